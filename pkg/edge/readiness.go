package edge

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/kernel"
)

// readyInterval is the period at which the node checks its readiness.
const readyInterval = 100 * time.Millisecond

// timerDelay is how late the process runs what is due: on a host without enough
// processor time, requests are read as late.
var timerDelay = metrics.GetOrCreateHistogram("cassiapin_timer_delay_seconds")

// readiness publishes to the other nodes whether this one serves callers.
type readiness struct {
	kernel.Base
	node *Node
}

func (*readiness) Name() string { return "node.readiness" }

func (r *readiness) Run(t *tomb.Tomb) error {
	t.Go(func() error {
		ticker := time.NewTicker(readyInterval)
		defer ticker.Stop()
		last := false
		for {
			select {
			case <-t.Dying():
				return nil
			case due := <-ticker.C:
				timerDelay.Update(time.Since(due).Seconds())
			}
			if now := r.node.Ready(); now != last {
				last = now
				r.node.members.SetReady(now)
			}
		}
	})
	return nil
}
