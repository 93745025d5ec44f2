package membership

import (
	"fmt"
	"testing"
	"time"

	"cassiapin/pkg/peer/memnet"
)

const (
	// restartSettled bounds how long after a series of restarts a node may lack another:
	// a first join that fails and a second, a missed probe of an instance that has ended
	// and the indirect ones, and one sample.
	restartSettled = joinTimeout + 3*joinRetry/2 + probeInterval + 2*probeTimeout + sampleInterval + sampleDuration
	// isolationCorrected bounds how long a node that reaches the others may be isolated:
	// the next sample ends it.
	isolationCorrected = sampleInterval + sampleDuration
)

// series is a series of restarts in turn, every so often. Each node announces for a
// time that it leaves, or is killed if that is 0; its address is then unused for a time.
type series struct {
	count              int
	every, leave, down time.Duration
}

func (r series) duration() time.Duration { return time.Duration(r.count)*r.every + r.leave + r.down }

// restart schedules a series of restarts of the nodes that were preloaded.
func (f *fleet) restart(r series) {
	hosts := len(f.nodes)
	for i := range r.count {
		f.net.After(time.Duration(i)*r.every, func() {
			n := f.runningOn(i % hosts)
			if r.leave > 0 {
				n.Leave()
			}
			f.net.After(r.leave, func() { f.kill(n) })
			f.net.After(r.leave+r.down, func() { f.add(n.index) })
		})
	}
}

func (f *fleet) runningOn(index int) *node {
	for _, n := range f.running() {
		if n.index == index {
			return n
		}
	}
	f.t.Fatalf("no node runs on %s", address(index))
	return nil
}

func (f *fleet) running() (nodes []*node) {
	for _, n := range f.nodes {
		if !n.down {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// lacking returns the first running node that is not named by another.
func (f *fleet) lacking() string {
	for _, n := range f.running() {
		named := map[string]bool{}
		for _, m := range n.Reachable() {
			named[m.EntryAddress] = true
		}
		for _, other := range f.running() {
			if !named[other.Self().EntryAddress] {
				return fmt.Sprintf("%s lacks %s", n.Self().ID, other.Self().ID)
			}
		}
	}
	return ""
}

// TestRestartsIsolateNobody guards against instances that have been replaced on their
// address and count as members out of reach: nodes that reached each other were
// isolated for 30 s and more.
func TestRestartsIsolateNobody(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	for _, tc := range []struct {
		name  string
		nodes int
		series
		seeds int64
	}{
		{"six graceful", 5, series{6, time.Second, 500 * ms, 300 * ms}, 5},
		{"six kills", 5, series{6, time.Second, 0, 500 * ms}, 5},
		{"graceful twice", 20, series{40, 200 * ms, 500 * ms, 300 * ms}, 5},
		{"kills twice", 20, series{40, 200 * ms, 0, 300 * ms}, 5},
		{"large fleet", 64, series{128, 200 * ms, 2 * time.Second, 500 * ms}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := int64(1); seed <= tc.seeds; seed++ {
				f := newFleet(t, memnet.Options{Seed: seed, Delay: 3 * ms, Jitter: 2 * ms})
				f.preload(tc.nodes)
				f.net.Run(3 * time.Second)
				f.restart(tc.series)
				isolations := isolations{fleet: f, lasted: map[*node]time.Duration{}}
				isolations.run(tc.duration() + restartSettled)
				if lacking := f.lacking(); lacking != "" {
					t.Errorf("seed %d: %s after the restarts, %s", seed, restartSettled, lacking)
				}
				isolations.run(recentWindow) // Instances that ended last are recent until then.
				if isolations.longest > isolationCorrected {
					t.Errorf("seed %d: a node was isolated for %s, want at most %s", seed, isolations.longest, isolationCorrected)
				}
			}
		})
	}
}

// isolations measures how long nodes of a fleet are isolated.
type isolations struct {
	fleet   *fleet
	lasted  map[*node]time.Duration
	longest time.Duration
}

// run runs the network for d.
func (i *isolations) run(d time.Duration) {
	for range d / TickInterval {
		i.fleet.net.Run(TickInterval)
		for _, n := range i.fleet.nodes {
			if n.down || !n.Isolated() {
				delete(i.lasted, n)
				continue
			}
			i.lasted[n] += TickInterval
			i.longest = max(i.longest, i.lasted[n])
		}
	}
}

// TestMassLossAfterRestartsIsNoticed guards against restarts that hide a loss: the
// instances that ended before count no more, but those that were lost do.
func TestMassLossAfterRestartsIsNoticed(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	for _, leave := range []time.Duration{0, 500 * ms} {
		for seed := int64(1); seed <= 10; seed++ {
			f := newFleet(t, memnet.Options{Seed: seed, Delay: 3 * ms, Jitter: 2 * ms})
			f.preload(9)
			f.net.Run(3 * time.Second)
			restarts := series{9, 200 * ms, leave, 300 * ms}
			f.restart(restarts)
			f.net.Run(restarts.duration() + restartSettled)
			survivors := f.running()
			for _, n := range survivors[:6] {
				f.kill(n)
			}
			f.net.Run(lossBound)
			if wrong := f.wrongly(survivors[6:]); wrong != "" {
				t.Errorf("6 of 9 lost after restarts (%s of leaving), seed %d: %s", leave, seed, wrong)
			}
		}
	}
}
