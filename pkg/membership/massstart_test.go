package membership

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cassiapin/pkg/peer"
	"cassiapin/pkg/peer/memnet"
)

// massStart starts nodes at once. Each has the addresses of all, and becomes ready some
// time later.
func massStart(t *testing.T, nodes int, o memnet.Options, prepare func(*fleet, *node)) *fleet {
	t.Helper()
	f := newFleet(t, o)
	var addresses []string
	for i := range nodes {
		addresses = append(addresses, address(i))
	}
	for i := range nodes {
		n := f.add(i)
		prepare(f, n)
		n.withLock(func(time.Time) { n.sync.discoveredSeeds = addresses })
		f.net.After(1500*time.Millisecond+time.Duration(n.rng.Int63n(int64(time.Second))), func() { n.SetReady(true) })
	}
	return f
}

// unready counts the running nodes that another node does not know to be ready.
func (f *fleet) unready() (count int) {
	for _, n := range f.running() {
		for _, m := range n.Live() {
			if !m.Ready {
				count++
			}
		}
	}
	return count
}

// TestMassStartFitsControlBudget guards against nodes that start together and bring each
// change to each other over all of their neighbours, which fills the links.
func TestMassStartFitsControlBudget(t *testing.T) {
	t.Parallel()
	const (
		// controlBytes is what a node may send for control in a second, and effective the
		// time in which changes must be in force everywhere, at the design size.
		controlBytes = 9 << 10
		effective    = 12 * time.Second
	)
	for _, nodes := range []int{120, 295} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			f := massStart(t, nodes, memnet.Options{Seed: 7, Delay: 3 * time.Millisecond, Jitter: 2 * time.Millisecond}, func(*fleet, *node) {})
			f.requireConvergence("a mass start", effective, all)
			f.net.Run(effective)
			if unready := f.unready(); unready > 0 {
				t.Errorf("%d entries of ready nodes are not ready", unready)
			}
			var sent uint64
			for _, n := range f.nodes {
				for _, kind := range []peer.Kind{kindUpdate, kindOffer, kindWant, kindChanges, "flood.announce", "flood.fetch", "flood.prune"} {
					sent += n.endpoint.SentBytes(kind)
				}
			}
			mean, most := sent/uint64(nodes), uint64(controlBytes*effective/time.Second)
			t.Logf("%d KB for changes sent by a node on average", mean>>10)
			if mean > most {
				t.Errorf("%d KB for changes sent by a node on average, want at most %d", mean>>10, most>>10)
			}
		})
	}
}

// TestOffersReachAllNodes guards against changes that a node never requests again after a
// lost message, and against nodes of an earlier release that get none.
func TestOffersReachAllNodes(t *testing.T) {
	t.Parallel()
	for name, prepare := range map[string]func(*fleet, *node){
		"one release": func(*fleet, *node) {},
		"two releases": func(f *fleet, n *node) {
			if n.index%4 == 1 {
				f.becomeEarlierRelease(n)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := int64(1); seed <= 5; seed++ {
				o := lossy
				o.Seed = seed
				f := massStart(t, 48, o, prepare)
				f.requireConvergence("a mass start", 12*time.Second, all)
				took, ok := f.net.RunUntil(12*time.Second, 100*time.Millisecond, func() bool { return f.unready() == 0 })
				if !ok {
					t.Errorf("seed %d: %d entries of ready nodes are not ready after %s", seed, f.unready(), took)
				}
			}
		})
	}
}

// becomeEarlierRelease makes a node that has just been added one that knows no offers.
func (f *fleet) becomeEarlierRelease(n *node) {
	n.withLock(func(now time.Time) {
		n.self.Offers = false
		n.table.put(n.self, now)
	})
	for _, kind := range []peer.Kind{kindOffer, kindWant, kindChanges} {
		n.endpoint.Handle(kind, func(_ context.Context, from peer.NodeID, _ []byte) (any, error) {
			f.t.Errorf("%s sent %s to a node of an earlier release", from, kind)
			return nil, nil
		})
	}
}
