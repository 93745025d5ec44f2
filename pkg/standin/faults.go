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
func (i *FaultInjector) SetFaults(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	if i.changed != nil {
		close(i.changed)
		i.changed = nil
	}
}

// FaultedCalls returns the number of calls that were refused or hung.
func (i *FaultInjector) FaultedCalls() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faulted
}

// InjectFaults applies the faults to a call and reports whether the handler
// should continue.
func (i *FaultInjector) InjectFaults(w http.ResponseWriter, r *http.Request) bool {
	i.mu.Lock()
	f := i.faults
	if f.Refuse || f.Hang {
		i.faulted++
	}
	if i.changed == nil {
		i.changed = make(chan struct{})
	}
	changed := i.changed
	i.mu.Unlock()
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
	return f.Delay <= 0 || i.clock().Sleep(r.Context(), f.Delay) == nil
}

func (i *FaultInjector) clock() clock.Clock {
	if i.Clock == nil {
		return clock.Real{}
	}
	return i.Clock
}
