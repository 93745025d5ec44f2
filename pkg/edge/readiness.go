package edge

import (
	"sync/atomic"
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
	// checked is when the last check was due; nil before the first.
	checked atomic.Pointer[time.Time]
}

// delay returns how late the next check is: how long the process has not run what
// was due.
func (r *readiness) delay() time.Duration {
	last := r.checked.Load()
	if last == nil {
		return 0
	}
	return max(time.Since(*last)-readyInterval, 0)
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
				r.checked.Store(&due)
			}
			if now := r.node.Ready(); now != last {
				last = now
				r.node.members.SetReady(now)
			}
		}
	})
	return nil
}
