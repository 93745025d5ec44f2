package canary

import (
	"testing"
	"time"

	"cassiapin/pkg/topology"
)

// TestNewAggregatorKeepsShare guards against a ramp that falls back, so that sessions
// return to the old release, because a node that has just started sums the reports.
func TestNewAggregatorKeepsShare(t *testing.T) {
	for seed := range int64(seeds) {
		tr := &traffic{maxMS: 600}
		highest := map[string]float64{}
		w := simulate(seed, 8, 0, tr, func(w *simulation, at time.Duration) {
			for _, n := range w.nodes {
				ro := n.service.rollouts["pool"]
				if ro == nil || ro.object.State.Final() {
					continue
				}
				if ro.share < highest[n.id] && ro.halted == "" {
					t.Errorf("seed %d: at %s the share of %s falls from %.2f to %.2f", seed, at, n.id, highest[n.id], ro.share)
				}
				highest[n.id] = ro.share
			}
			if at == 22500*time.Millisecond {
				first := ""
				for _, n := range w.nodes {
					if rank(w.rollout.Created, n.id, n.Peers()) == 0 {
						first = n.id
					}
				}
				w.start(first)
				delete(highest, first)
			}
		})
		if len(w.finalStates) != 1 || w.finalStates[0] != topology.RolloutCompleted {
			t.Errorf("seed %d: final states %v, want one completed", seed, w.finalStates)
		}
	}
}
