package bench

import (
	"context"
	"sync"
	"time"

	"cassiapin/pkg/result"
	"cassiapin/pkg/workload"
)

// Run is one run of a load against a fleet, with what the checks need to know
// of the faults that a scenario caused.
type Run struct {
	Fleet *Fleet
	// Started and Duration are those of the load.
	Started  time.Time
	Duration time.Duration
	Outcomes []Outcome
	// Withdrawn maps versions to the time from which a request must not be
	// answered by them, the grace included.
	Withdrawn map[string]time.Time
	// ReceivedWhileOut counts requests that runners and services of a failure domain
	// received after it was out and before it was back.
	ReceivedWhileOut int
	// ReceivedWhileLeaving counts requests that a leaving runner received after 3 s.
	ReceivedWhileLeaving int
	// ConfigReverts counts nodes that went back to a lower configuration, Late
	// those that had a configuration in force later than allowed.
	ConfigReverts, ConfigLate int
	// Interrupted counts answers that a planned stop cut off.
	Interrupted int
	// Extra are measurements of the scenario itself.
	Extra map[string]float64
}

// load sends the requests of the generator at their times and returns when all
// have ended. Latency counts from the time at which a request was due.
func load(ctx context.Context, f *Fleet, o workload.Options) []Outcome {
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

// entryURLs returns the nodes of the region, or all when it has none.
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

// refused reports an answer that says that the request did not run.
func (o *Outcome) refused() bool { return !o.Answered && o.Code != 0 && o.Run == result.NotRun }

// receivedRequests is the number of requests that the upstreams of a failure domain
// have received.
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
