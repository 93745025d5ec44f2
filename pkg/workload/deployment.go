// Package workload defines two example deployments and generates load for them.
//
// A Deployment provides the operators' declarations for a set of engine and
// service addresses, the options of the emulated engines and the hidden true
// quality. A Generator produces a seeded open-loop sequence of timed requests.
package workload

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/config"
	"cassiapin/pkg/standin"
	"cassiapin/pkg/standin/engine"
)

// Runner is a model runner of a deployment.
type Runner struct {
	Name, Region, FailureDomain string
	// Serves lists the loaded versions.
	Serves    []config.VersionRef
	Capacity  int
	ColdLimit int
	Fencing   bool
	Speed     float64
}

// Organisation is a caller of a deployment.
type Organisation struct {
	Name string
	// Key is the API key in plain text; the declarations contain its hash.
	Key string
	// Share is the relative weight of its requests.
	Share float64
	Allow []string
}

// Length is a heavy-tailed distribution of token counts: Pareto with scale Min
// and shape Alpha, capped at Max.
type Length struct {
	Min, Max int
	Alpha    float64
}

// Class describes the requests of one class and their arrivals.
type Class struct {
	Declared config.Class
	// Share is the fraction of requests outside of the burst. Batch is set if
	// the class arrives more often in the burst, because callers batch it into
	// Friday afternoon.
	Share float64
	Batch bool
	// Prompt is the length of the new part of a prompt, without system prompt
	// and session history. Answer is the length of the answer.
	Prompt, Answer Length
	// Stream and Session are the fractions of streamed requests and of requests
	// within a session.
	Stream, Session float64
	// Service is the fraction of requests that call Deployment.Service.
	Service float64
	// Quality is the true mean quality of the models small, medium and large.
	Quality [3]float64
}

// Deployment is an example deployment.
type Deployment struct {
	Name          string
	Domains       []config.FailureDomain
	Runners       []Runner
	Organisations []Organisation
	Classes       []Class
	// Service is the name of the plain service: an HTTP service that is not a
	// model.
	Service string
}

// URLs are the addresses used in the declarations.
type URLs struct {
	// Runners maps runner names to base URLs.
	Runners map[string]string
	// Service maps failure domains to base URLs of the plain service.
	Service map[string]string
}

// The versions of all deployments.
var (
	Small   = config.VersionRef{Model: "small", Version: "1"}
	Medium  = config.VersionRef{Model: "medium", Version: "1"}
	Medium2 = config.VersionRef{Model: "medium", Version: "2"}
	Large   = config.VersionRef{Model: "large", Version: "1"}
)

const (
	runnerCapacity  = 16
	runnerColdLimit = 2
	// linkBytesPerSecond is 16 Mbit/s, half of a link of a few tens of Mbit/s.
	linkBytesPerSecond = 2_000_000
	shardsPerRegion    = 8
	// tokenTimeout is short because the emulated engines of a benchmark are
	// faster than real ones.
	tokenTimeout   = 2 * time.Second
	serviceTimeout = 10 * time.Second
	servicePrice   = 0.5
	// medium2Gain is the true quality of medium@2 relative to medium@1.
	medium2Gain = 1.02
	// BadFactor is the true quality of a bad version, a fifth worse, relative to
	// that of medium@1.
	BadFactor = 0.8
)

// ByName returns the deployment "berceuse" or "vaxmynd".
func ByName(name string) (*Deployment, error) {
	switch name {
	case "berceuse":
		return Berceuse(), nil
	case "vaxmynd":
		return Vaxmynd(), nil
	}
	return nil, errors.Newf("no deployment %q; there are berceuse and vaxmynd", name)
}

// Class returns the class with the name, or nil if there is none.
func (d *Deployment) Class(name string) *Class {
	for i := range d.Classes {
		if d.Classes[i].Declared.Name == name {
			return &d.Classes[i]
		}
	}
	return nil
}

// Declarations returns the operators' declarations. Runners and endpoints
// without a URL are omitted.
func (d *Deployment) Declarations(urls URLs) config.Declarations {
	decl := config.Declarations{
		FailureDomains: append([]config.FailureDomain(nil), d.Domains...),
		Models:         d.models(),
		Services:       []config.Service{d.service(urls)},
		Links:          d.links(),
		Limits:         config.Limits{ShardsPerRegion: shardsPerRegion, TokenTimeout: config.Duration(tokenTimeout)},
	}
	decl.Limits.DrainTimeout = config.Duration(config.DefaultDrainTimeout)
	for _, c := range d.Classes {
		decl.Classes = append(decl.Classes, c.Declared)
		// Draining must allow for the longest class deadline.
		decl.Limits.DrainTimeout = max(decl.Limits.DrainTimeout, c.Declared.Deadline)
	}
	for _, o := range d.Organisations {
		decl.Organisations = append(decl.Organisations, config.Organisation{
			Name: o.Name, KeySHA256: []string{hashKey(o.Key)}, Allow: o.Allow,
			DefaultClass: d.Classes[0].Declared.Name,
		})
	}
	for _, r := range d.Runners {
		if url, ok := urls.Runners[r.Name]; ok {
			decl.Upstreams = append(decl.Upstreams, config.Upstream{
				Name: r.Name, URL: url, Region: r.Region, FailureDomain: r.FailureDomain,
				Serves: r.Serves, Capacity: r.Capacity, ColdLimit: r.ColdLimit, Fencing: r.Fencing,
			})
		}
	}
	return decl
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// declaredQualityMargin is how far the declared quality is below the true one.
// Operators estimate the quality from trials, as in examples/.
const declaredQualityMargin = 0.02

// classQuality returns the declared quality by class of the model of the given
// size: 0 for small, 1 for medium, 2 for large.
func (d *Deployment) classQuality(size int) map[string]float64 {
	quality := make(map[string]float64)
	for _, c := range d.Classes {
		if mean := c.Quality[size]; mean > 0 {
			quality[c.Declared.Name] = mean - declaredQualityMargin
		}
	}
	return quality
}

func (d *Deployment) models() []config.Model {
	list := []config.Model{
		{Name: Small.Model, Versions: []config.Version{
			{Name: Small.Version, PriceInput: 0.2, PriceOutput: 0.6, PriorQuality: 0.65},
		}},
		{Name: Medium.Model, Versions: []config.Version{
			{Name: Medium.Version, PriceInput: 1, PriceOutput: 3, PriorQuality: 0.75},
			{Name: Medium2.Version, PriceInput: 1, PriceOutput: 3, PriorQuality: 0.75},
		}},
		{Name: Large.Model, Versions: []config.Version{
			{Name: Large.Version, PriceInput: 4, PriceOutput: 12, PriorQuality: 0.85},
		}},
	}
	for size := range list {
		for v := range list[size].Versions {
			list[size].Versions[v].ClassQuality = d.classQuality(size)
		}
	}
	return list
}

func (d *Deployment) service(urls URLs) config.Service {
	s := config.Service{
		Name: d.Service, Timeout: config.Duration(serviceTimeout), PricePerCall: servicePrice,
		AttemptPath: "/attempts/",
		Routes: []config.ServiceRoute{
			{Method: "POST", Prefix: "/bookings", Idempotent: false},
			{Method: "GET", Prefix: "/", Idempotent: true},
		},
	}
	for _, domain := range d.Domains {
		if url, ok := urls.Service[domain.Name]; ok {
			s.Endpoints = append(s.Endpoints, config.ServiceEndpoint{
				URL: url, Region: domain.Region, FailureDomain: domain.Name,
			})
		}
	}
	return s
}

// Regions returns the names of the regions, starting with the larger one.
func (d *Deployment) Regions() []string {
	var regions []string
	seen := make(map[string]bool)
	for _, domain := range d.Domains {
		if !seen[domain.Region] {
			seen[domain.Region] = true
			regions = append(regions, domain.Region)
		}
	}
	return regions
}

func (d *Deployment) links() []config.Link {
	return []config.Link{{Between: d.Regions(), BytesPerSecond: linkBytesPerSecond}}
}

// Rollout returns a rollout of the model medium from version 1 to 2.
func (d *Deployment) Rollout(id string) config.Rollout {
	lowest := 1.0
	for _, c := range d.Classes {
		if c.Quality[1] > 0 {
			lowest = min(lowest, c.Quality[1])
		}
	}
	return config.Rollout{
		ID: id, Model: Medium.Model, From: Medium.Version, To: Medium2.Version,
		Steps: []config.RolloutStep{
			{Share: 0.01, MinRated: 30}, {Share: 0.1, MinRated: 100},
			{Share: 0.5, MinRated: 200}, {Share: 1, MinRated: 200},
		},
		MinQuality: 0.9 * lowest, MaxErrorRate: 0.05,
	}
}

// SetTrueQuality sets the true quality of every class and version. medium@2 is
// slightly better than medium@1, or a fifth worse if bad is set.
func (d *Deployment) SetTrueQuality(q *standin.QualityModel, bad bool) {
	factor := medium2Gain
	if bad {
		factor = BadFactor
	}
	for _, c := range d.Classes {
		name := c.Declared.Name
		q.Set(name, Small, c.Quality[0])
		q.Set(name, Medium, c.Quality[1])
		q.Set(name, Medium2, c.Quality[1]*factor)
		q.Set(name, Large, c.Quality[2])
	}
}

// EngineOptions returns the options of the runner's emulated engine. The caller
// sets the options specific to a run: time scale, quality model, seed, whether
// it starts warm, and faults.
func (r Runner) EngineOptions() engine.Options {
	o := engine.Options{
		Name: r.Name, Capacity: r.Capacity, ColdLimit: r.ColdLimit, Fencing: r.Fencing,
	}
	for _, ref := range r.Serves {
		o.Versions = append(o.Versions, engine.Version{Ref: ref, Speed: r.Speed})
	}
	return o
}

// systemPrompt returns the prompt prefix shared by the requests of an
// organisation and class. It does not depend on the seed of a run.
func (d *Deployment) systemPrompt(organisation, class string) string {
	seed := standin.Hash64(d.Name, organisation, class)
	g := Generator{rng: rand.New(rand.NewSource(int64(seed)))}
	return organisation + " " + class + " " + strings.Join(g.words(systemWords), " ")
}
