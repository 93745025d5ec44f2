package bench

import (
	"context"
	"sync"
	"time"

	"cassiapin/pkg/result"
	"cassiapin/pkg/workload"
)

// Run is one run of a load against a fleet, with the records of injected faults
// that the checks need.
type Run struct {
	Fleet *Fleet
	// Started and Duration are the start and the length of the load.
	Started  time.Time
	Duration time.Duration
	Outcomes []Outcome
	// Withdrawn maps each withdrawn version to the end of its grace period.
	// Requests due later must not be answered by it.
	Withdrawn map[string]time.Time
	// ReceivedWhileOut counts requests that the runners and services of a failure
	// domain received while it was marked out, after the propagation limit.
	ReceivedWhileOut int
	// ReceivedWhileLeaving counts requests that a leaving runner received after
	// its grace period (3 s, plus hostListLag if the host list announces it).
	ReceivedWhileLeaving int
	// ConfigReverts counts how often a node was seen to return to a lower
	// configuration number. ConfigLate counts the samples in which a node lacked
	// a configuration published more than configPropagationLimit before.
	ConfigReverts, ConfigLate int
	// Interrupted counts requests interrupted by planned node stops.
	Interrupted int
	// Extra has measurements specific to the scenario.
	Extra map[string]float64
}

// sendLoad sends the generator's requests when they are due and returns when all
// have ended. Latency is measured from the time at which a request was due.
func sendLoad(ctx context.Context, f *Fleet, o workload.Options) []Outcome {
	caller := NewCaller(o.Seed, f.Deployment.Domains, f.entryURLs)
	defer caller.Close()
	var (
		wait     sync.WaitGroup
		mu       sync.Mutex
		outcomes []Outcome
	)
	start := time.Now()
	for r := range workload.New(f.Deployment, o).All() {
		due := start.Add(r.Offset)
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			outcome := caller.Send(ctx, due, r)
			mu.Lock()
			outcomes = append(outcomes, outcome)
			mu.Unlock()
		}()
	}
	wait.Wait()
	return outcomes
}

// entryURLs returns the entry URLs of the nodes in the region, or of all nodes if
// it has none.
func (f *Fleet) entryURLs(region string) []string {
	var local, all []string
	for _, n := range f.Nodes() {
		all = append(all, n.EntryURL())
		if n.Region() == region {
			local = append(local, n.EntryURL())
		}
	}
	if len(local) == 0 {
		return all
	}
	return local
}

// refused reports whether the request was refused with a code and did not run.
func (o *Outcome) refused() bool { return !o.Answered && o.Code != 0 && o.Run == result.NotRun }

// receivedRequests returns the number of requests that the upstreams of a failure
// domain have received.
func (f *Fleet) receivedRequests(domain string) int {
	total := 0
	for _, r := range f.Deployment.Runners {
		if r.FailureDomain == domain {
			total += int(f.Engines[r.Name].Counters().Received)
		}
	}
	if s := f.Services[domain]; s != nil {
		c := s.Counters()
		total += int(c.Bookings + c.Lookups)
	}
	return total
}
