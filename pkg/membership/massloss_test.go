package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cassiapin/pkg/peer"
	"cassiapin/pkg/peer/memnet"
)

// How long survivors may take lost nodes for reachable: the stability window of a
// deployment, which is longer in those with more than 60 nodes, and three seconds.
const (
	lossBound      = 6 * time.Second
	largeLossBound = 7 * time.Second
)

// massLoss is a fleet of which some random nodes are lost at one moment.
func massLoss(t *testing.T, nodes, lost int, seed int64) (f *fleet, survivors []*node) {
	t.Helper()
	f = newFleet(t, memnet.Options{Seed: seed, Delay: 3 * time.Millisecond, Jitter: 2 * time.Millisecond})
	f.preload(nodes)
	f.net.Run(3 * time.Second)
	order := slices.Clone(f.nodes)
	random := f.nodes[0].rng // Seeded; the services run in this goroutine.
	random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	for _, n := range order[:lost] {
		f.kill(n)
	}
	return f, order[lost:]
}

// wrongly returns the first lost node that a survivor takes for reachable, or the
// first survivor that it doesn't.
func (f *fleet) wrongly(survivors []*node) string {
	for _, n := range survivors {
		for _, other := range f.nodes {
			reachable := slices.ContainsFunc(n.Reachable(), func(m peer.Member) bool { return m.ID == other.endpoint.Self() })
			if reachable == other.down {
				return fmt.Sprintf("%s reachable at %s: %v", other.endpoint.Self(), n.endpoint.Self(), reachable)
			}
		}
	}
	return ""
}

// TestMassLossIsNoticed guards against survivors of a mass loss that take lost nodes
// for reachable because nobody is left to suspect them: with most nodes lost, every
// survivor considers itself isolated, and with fewer, all that probe a node may be
// lost with it. Survivors must find each other as well.
func TestMassLossIsNoticed(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		nodes, lost int
		seeds       int64
		bound       time.Duration
	}{
		{9, 4, 20, lossBound}, {9, 5, 20, lossBound}, {9, 6, 20, lossBound}, {9, 7, 20, lossBound}, {9, 8, 10, lossBound},
		{2, 1, 3, lossBound}, {16, 10, 20, lossBound},
		{64, 24, 5, largeLossBound}, {64, 31, 5, largeLossBound}, {64, 36, 10, largeLossBound}, {64, 40, 5, largeLossBound},
		{64, 60, 5, largeLossBound}, {120, 55, 3, largeLossBound}, {120, 110, 3, largeLossBound},
	} {
		for seed := int64(1); seed <= tc.seeds; seed++ {
			f, survivors := massLoss(t, tc.nodes, tc.lost, seed)
			f.net.Run(tc.bound)
			if wrong := f.wrongly(survivors); wrong != "" {
				t.Errorf("%d of %d lost, seed %d: %s", tc.lost, tc.nodes, seed, wrong)
			}
		}
	}
}

// TestSurvivorsAreConnected guards against survivors of a mass loss whose messages do
// not reach each other because they are passed on through lost nodes only.
func TestSurvivorsAreConnected(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 20; seed++ {
		f, survivors := massLoss(t, 9, 6, seed)
		f.net.Run(lossBound)
		survivors[0].SetReady(!survivors[0].Self().Ready)
		f.net.Run(time.Second)
		for _, n := range survivors[1:] {
			for _, m := range n.All() {
				if m.ID == survivors[0].endpoint.Self() && m.Ready != survivors[0].Self().Ready {
					t.Errorf("seed %d: a change of %s has not reached %s", seed, m.ID, n.endpoint.Self())
				}
			}
		}
	}
}

// TestIsolatedNodeFindsOthersAgain guards against an isolated node that goes on taking
// members for unreachable, or drops them from the live ones, although they are only
// out of its reach for a time.
func TestIsolatedNodeFindsOthersAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, memnet.Options{Seed: 2, Delay: 3 * time.Millisecond})
	f.preload(16)
	f.net.Run(3 * time.Second)
	cut := f.nodes[5]
	self := cut.endpoint.Self()
	f.net.Partition(func(from, to peer.NodeID) bool { return from != self && to != self })
	f.net.Run(lossBound)
	if got := cut.Reachable(); !cut.Isolated() || len(got) != 1 || got[0].ID != self {
		t.Errorf("a node without a link reaches %d members, isolated %v", len(got), cut.Isolated())
	}
	f.net.Partition(nil)
	const seen = sampleInterval + time.Second
	f.net.Run(seen)
	if got := len(cut.Reachable()); got != 16 {
		t.Errorf("%v after the cut the node reaches %d of 16 members", seen, got)
	}
}
