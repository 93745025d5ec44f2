package workload

import (
	"fmt"
	"time"

	"cassiapin/pkg/config"
)

// tier describes the runners of one model: the versions they serve and their
// speed.
type tier struct {
	name   string
	serves []config.VersionRef
	speed  float64
}

var (
	smallTier  = tier{"small", []config.VersionRef{Small}, 3}
	mediumTier = tier{"medium", []config.VersionRef{Medium, Medium2}, 1.5}
	largeTier  = tier{"large", []config.VersionRef{Large}, 1}
)

// addDomain adds a failure domain with the given number of runners of each
// tier. Every second runner checks fencing numbers.
func (d *Deployment) addDomain(name, region string, small, medium, large int) {
	d.Domains = append(d.Domains, config.FailureDomain{Name: name, Region: region})
	add := func(t tier, n int) {
		for i := range n {
			d.Runners = append(d.Runners, Runner{
				Name:   fmt.Sprintf("%s-%s-%d", name, t.name, i+1),
				Region: region, FailureDomain: name, Serves: t.serves,
				Capacity: runnerCapacity, ColdLimit: runnerColdLimit,
				Fencing: len(d.Runners)%2 == 0, Speed: t.speed,
			})
		}
	}
	add(smallTier, small)
	add(mediumTier, medium)
	add(largeTier, large)
}

// addOrganisations adds organisations with shares proportional to 1/rank, so
// that a few are large. Two have narrower permissions: the last may not use
// large, and the one before it may use only version 1 of medium.
func (d *Deployment) addOrganisations(names ...string) {
	for i, name := range names {
		allow := []string{"small", "medium", "large"}
		switch i {
		case len(names) - 1:
			allow = []string{"small", "medium"}
		case len(names) - 2:
			allow = []string{"small", "medium@1", "large"}
		}
		d.Organisations = append(d.Organisations, Organisation{
			Name: name, Key: "key-" + d.Name + "-" + name, Share: 1 / float64(i+1), Allow: allow,
		})
	}
}

func declareClass(name string, target float64, deadline time.Duration, priority int, check config.CheckKind) config.Class {
	return config.Class{
		Name: name, QualityTarget: target, Deadline: config.Duration(deadline),
		Priority: priority, Check: check, Explore: true,
	}
}

func tagClass(share float64) Class {
	return Class{
		Declared: declareClass("tag", 0.80, 30*time.Second, 4, config.CheckHeuristic),
		Share:    share, Batch: true,
		Prompt: Length{Min: 40, Max: 1500, Alpha: 1.5}, Answer: Length{Min: 8, Max: 80, Alpha: 1.8},
		Quality: [3]float64{0.84, 0.88, 0.90},
	}
}

func lookupClass(share float64) Class {
	c := Class{
		Declared: declareClass("lookup", 0.82, 5*time.Second, 9, config.CheckNone),
		Share:    share,
		Prompt:   Length{Min: 12, Max: 200, Alpha: 1.8}, Answer: Length{Min: 10, Max: 60, Alpha: 2},
		Stream: 0.2, Service: 0.4,
		Quality: [3]float64{0.86, 0.89, 0.91},
	}
	c.Declared.FirstToken = config.Duration(1800 * time.Millisecond)
	c.Declared.Explore = false
	return c
}

func bookingClass(share float64) Class {
	c := Class{
		Declared: declareClass("booking", 0, 10*time.Second, 8, config.CheckNone),
		Share:    share, Service: 1,
	}
	c.Declared.NonIdempotent = true
	c.Declared.Explore = false
	return c
}

// Berceuse returns the deployment of a recording studio and its arrangers: 10
// runners, two failure domains in Dakar and one in Thiès.
func Berceuse() *Deployment {
	d := &Deployment{Name: "berceuse", Service: "studio"}
	d.addDomain("dakar-a", "dakar", 2, 1, 1)
	d.addDomain("dakar-b", "dakar", 1, 1, 1)
	d.addDomain("thies-a", "thies", 1, 1, 1)
	d.addOrganisations("studio-ngor", "arrangers", "label-teranga", "choir-thies", "radio-sahel",
		"archive", "school-of-music", "festival", "night-sessions", "apprentices")
	suggestion := Class{
		Declared: declareClass("suggestion", 0.70, 20*time.Second, 6, config.CheckHeuristic),
		Share:    0.25,
		Prompt:   Length{Min: 60, Max: 2000, Alpha: 1.4}, Answer: Length{Min: 30, Max: 300, Alpha: 1.6},
		Stream: 0.8, Session: 0.6,
		Quality: [3]float64{0.62, 0.76, 0.84},
	}
	suggestion.Declared.FirstToken = config.Duration(1800 * time.Millisecond)
	d.Classes = []Class{
		{
			Declared: declareClass("draft", 0.70, 60*time.Second, 2, config.CheckRating),
			Share:    0.15, Batch: true,
			Prompt: Length{Min: 120, Max: 4000, Alpha: 1.3}, Answer: Length{Min: 120, Max: 1500, Alpha: 1.4},
			Stream: 0.5, Session: 0.5,
			Quality: [3]float64{0.55, 0.74, 0.85},
		},
		suggestion, tagClass(0.25), lookupClass(0.3), bookingClass(0.05),
	}
	return d
}

// Vaxmynd returns the deployment of a museum chain: 20 runners, two failure
// domains in the southwest and one in the northeast.
func Vaxmynd() *Deployment {
	d := &Deployment{Name: "vaxmynd", Service: "museum"}
	d.addDomain("southwest-a", "southwest", 3, 3, 2)
	d.addDomain("southwest-b", "southwest", 2, 2, 2)
	d.addDomain("northeast-a", "northeast", 2, 2, 2)
	d.addOrganisations("city-museum", "harbour-museum", "wax-cabinet", "conservation", "front-desk",
		"education", "night-watch", "loans", "touring", "volunteers")
	d.Classes = []Class{
		{
			Declared: declareClass("summary", 0.74, 60*time.Second, 3, config.CheckHeuristic),
			Share:    0.25, Batch: true,
			Prompt: Length{Min: 200, Max: 6000, Alpha: 1.3}, Answer: Length{Min: 60, Max: 600, Alpha: 1.5},
			Stream: 0.2, Session: 0.2,
			Quality: [3]float64{0.66, 0.79, 0.86},
		},
		{
			Declared: declareClass("rota", 0.70, 120*time.Second, 1, config.CheckRating),
			Share:    0.05, Batch: true,
			Prompt: Length{Min: 300, Max: 6000, Alpha: 1.3}, Answer: Length{Min: 200, Max: 2000, Alpha: 1.4},
			Stream: 0.1, Session: 0.3,
			Quality: [3]float64{0.50, 0.74, 0.83},
		},
		tagClass(0.35), lookupClass(0.3), bookingClass(0.05),
	}
	return d
}
