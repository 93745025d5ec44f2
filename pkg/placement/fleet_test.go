package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cassiapin/pkg/topology"
)

// deployment is a fleet whose nodes meet one upstream seldom: in each failure domain
// nodes nodes and upstreams upstreams.
type deployment struct {
	domains, nodes, upstreams, slots int
	// perSecond is the number of requests a second, each of which lasts two seconds
	// on average.
	perSecond float64
}

// occurrence is something that happens at a time of a simulation.
type occurrence struct {
	at time.Time
	do func(now time.Time)
}

type agenda []occurrence

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(occurrence)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// outcome is what a placement costs.
type outcome struct {
	// met is the mean number of other requests that a request finds at its upstream.
	met float64
	// busiest and idlest are the highest and the lowest mean load of an upstream,
	// compared with the mean of all.
	busiest, idlest float64
	// connections is the number of new connections for each request.
	connections float64
	// crossed is the share of the requests that go to another failure domain.
	crossed float64
}

// simulatedTimes of a request: its answer begins after answerDelay, and an idle
// connection is closed after idleTimeout.
const (
	answerDelay = 150 * time.Millisecond
	idleTimeout = 3 * time.Second
)

// simulate lets nodes place requests that arrive at random. subset gives each node its
// Subset, reports lets upstreams report their load, and central lets one node place all
// requests.
func (d deployment) simulate(subset, reports, central bool) outcome {
	random := rand.New(rand.NewPCG(7, 8))
	var pool []*topology.Upstream
	var tables []*Table
	var subsets []*Subset
	names := make([][]string, d.domains)
	for z := range d.domains {
		region := fmt.Sprintf("r%d", z%2)
		for i := range d.upstreams {
			u := newUpstream(fmt.Sprintf("u%d-%02d", z, i), fmt.Sprintf("z%d", z), region)
			u.Slots = d.slots
			pool = append(pool, u)
		}
		for i := range d.nodes {
			names[z] = append(names[z], fmt.Sprintf("n%d-%02d", z, i))
			tables = append(tables, NewTable())
			subsets = append(subsets, NewSubset(fmt.Sprintf("z%d", z), names[z][i]))
		}
	}
	load, area := make(map[*topology.Upstream]int), make(map[*topology.Upstream]float64)
	used := make(map[string]time.Time)
	var open agenda
	var out outcome
	placed := 0
	const seconds = 40
	for now := epoch; now.Sub(epoch) < seconds*time.Second; {
		step := time.Duration(random.ExpFloat64() / d.perSecond * float64(time.Second))
		for u, n := range load {
			area[u] += float64(n) * step.Seconds()
		}
		now = now.Add(step)
		for len(open) > 0 && open[0].at.Before(now) {
			o := heap.Pop(&open).(occurrence)
			o.do(o.at)
		}
		at := random.IntN(len(tables))
		zone, table := at/d.nodes, tables[at]
		if central {
			table = tables[0]
		}
		r := request(now, pool...)
		r.FailureDomain, r.Region, r.Batched = fmt.Sprintf("z%d", zone), fmt.Sprintf("r%d", zone%2), true
		if subset {
			r.Preferred = func(u *topology.Upstream) bool { return subsets[at].Contains(u, names[zone]) }
		}
		c, _ := table.Choose(r, random.Float64())
		u := c.Upstream
		out.met += float64(load[u])
		placed++
		if u.FailureDomain != r.FailureDomain {
			out.crossed++
		}
		load[u]++
		table.Opened(u, 0, now)
		pair := fmt.Sprint(at, u.ID)
		if last, ok := used[pair]; !ok || now.Sub(last) > idleTimeout {
			out.connections++
		}
		lasts := time.Duration(random.ExpFloat64()*2*float64(time.Second)) + answerDelay
		used[pair] = now.Add(lasts)
		if reports {
			heap.Push(&open, occurrence{now.Add(answerDelay), func(now time.Time) {
				table.LoadReported(u, Report{Running: load[u], Slots: d.slots}, r.FailureDomain, now)
			}})
		}
		heap.Push(&open, occurrence{now.Add(lasts), func(now time.Time) { table.Closed(u, now); load[u]-- }})
	}
	total := 0.0
	out.idlest = math.Inf(1)
	for _, u := range pool {
		out.busiest, out.idlest = max(out.busiest, area[u]), min(out.idlest, area[u])
		total += area[u]
	}
	mean := total / float64(len(pool))
	out.busiest, out.idlest = out.busiest/mean, out.idlest/mean
	out.met /= float64(placed)
	out.connections /= float64(placed)
	out.crossed /= float64(placed)
	return out
}

// TestSubsetKnowsItsUpstreams answers the load of a fleet in which a node that uses all
// upstreams meets each once in half a minute. The subsets must take away half of the
// excess over the placement by a single node, open at most one connection for four
// requests, and load no upstream by 0.3 more or less than the mean.
func TestSubsetKnowsItsUpstreams(t *testing.T) {
	d := deployment{domains: 6, nodes: 11, upstreams: 23, slots: 12, perSecond: 342}
	central := d.simulate(false, true, true)
	before := d.simulate(false, true, false)
	after := d.simulate(true, true, false)
	for name, o := range map[string]outcome{"one node": central, "all upstreams": before, "subsets": after} {
		t.Logf("%-14s a request meets %.2f others, upstreams %.2f to %.2f of the mean, %.2f connections a request, %.3f to other domains",
			name, o.met, o.idlest, o.busiest, o.connections, o.crossed)
	}
	if most := (central.met + before.met) / 2; after.met > most {
		t.Errorf("a request meets %.2f others, want at most %.2f", after.met, most)
	}
	if after.connections > 0.25 {
		t.Errorf("%.2f connections a request, want at most 0.25", after.connections)
	}
	if after.busiest > 1.3 || after.idlest < 0.7 {
		t.Errorf("upstreams have %.2f to %.2f of the mean load, want 0.7 to 1.3", after.idlest, after.busiest)
	}
}
