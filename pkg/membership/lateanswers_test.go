package membership

import (
	"testing"
	"time"

	"cassiapin/pkg/peer"
	"cassiapin/pkg/peer/memnet"
)

// TestLateAnswersEndIsolation guards against overloaded nodes that stay isolated, and
// name nobody, because answers arrive after the timeout of the probe.
func TestLateAnswersEndIsolation(t *testing.T) {
	t.Parallel()
	const (
		late = probeTimeout/2 + 50*time.Millisecond // One way.
		// found bounds the time to the next sample and to its answers.
		found = isolationCorrected + 2*late
	)
	for nodes, seeds := range map[int]int64{9: 5, 64: 1} {
		for seed := int64(1); seed <= seeds; seed++ {
			f := newFleet(t, memnet.Options{Seed: seed, Delay: late, Jitter: 20 * time.Millisecond})
			f.preload(nodes)
			f.net.Run(3 * time.Second)
			f.net.Partition(func(_, _ peer.NodeID) bool { return false })
			f.net.Run(lossBound)
			f.net.Partition(nil)
			f.net.Run(found)
			for range 20 * time.Second / TickInterval {
				if lacking := f.lacking(); lacking != "" {
					t.Errorf("%d nodes, seed %d: %s after the cut, %s", nodes, seed, found, lacking)
					break
				}
				f.net.Run(TickInterval)
			}
			for _, n := range f.nodes {
				if n.Isolated() {
					t.Errorf("%d nodes, seed %d: %s is isolated", nodes, seed, n.endpoint.Self())
					break
				}
			}
		}
	}
}

// TestIsolatedNodeKeepsWhoAnsweredLately guards against an isolated node that takes a
// member for out of reach after a single lost answer.
func TestIsolatedNodeKeepsWhoAnsweredLately(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 10; seed++ {
		f, survivors := massLoss(t, 9, 6, seed)
		f.net.Run(lossBound)
		if !survivors[0].Isolated() {
			t.Fatalf("seed %d: the survivors of a mass loss are not isolated", seed)
		}
		for range 5 {
			f.net.Partition(func(_, _ peer.NodeID) bool { return false })
			f.net.Run(TickInterval)
			f.net.Partition(nil)
			for range 30 {
				f.net.Run(TickInterval)
				if lacking := f.lacking(); lacking != "" {
					t.Fatalf("seed %d: %s", seed, lacking)
				}
			}
		}
	}
}
