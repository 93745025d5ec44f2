package standin

import (
	"net/http"
	"sync"
	"time"

	"cassiapin/pkg/clock"
)

// Faults are the injectable faults common to the simpler emulators.
type Faults struct {
	// Delay delays every call before it takes effect.
	Delay time.Duration
	// Refuse answers every call with 503.
	Refuse bool
	// Hang leaves calls without a response until the faults change, and then
	// closes their connections.
	Hang bool
}

// FaultInjector injects Faults into calls; it is safe for concurrent use. The
// zero value has no faults and uses the real clock.
type FaultInjector struct {
	Clock clock.Clock

	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	faulted int64
}

// SetFaults replaces the faults.
func (g *FaultInjector) SetFaults(f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

// FaultedCalls returns the number of calls that were refused or hung.
func (g *FaultInjector) FaultedCalls() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faulted
}

// InjectFaults applies the faults to a call and reports whether the handler
// should continue.
func (g *FaultInjector) InjectFaults(w http.ResponseWriter, r *http.Request) bool {
	g.mu.Lock()
	f := g.faults
	if f.Refuse || f.Hang {
		g.faulted++
	}
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	changed := g.changed
	g.mu.Unlock()
	switch {
	case f.Hang:
		select {
		case <-changed:
		case <-r.Context().Done():
		}
		Abort()
	case f.Refuse:
		WriteError(w, http.StatusServiceUnavailable, "outage", "the service is away")
		return false
	}
	return f.Delay <= 0 || g.clock().Sleep(r.Context(), f.Delay) == nil
}

func (g *FaultInjector) clock() clock.Clock {
	if g.Clock == nil {
		return clock.Real{}
	}
	return g.Clock
}
