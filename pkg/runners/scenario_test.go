package runners

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"cassiapin/pkg/lease"
)

// openRequest is a request that the test keeps open at the runner.
type openRequest struct {
	slot    *slot
	node    *clusterNode
	started time.Time
	// counted is false for a request that was sent before the runner changed its
	// state; it cannot be recalled and does not count against the limit.
	counted bool
}

// coldScenario sends requests from all nodes to one runner while nodes are
// paused, stopped, or cut off from each other, the lease store or the runner.
type coldScenario struct {
	*cluster
	t       *testing.T
	rng     *rand.Rand
	limit   int
	open    []openRequest
	served  int
	refused map[*clusterNode]int
}

const warmConcurrency = 16

func (s *coldScenario) request(n *clusterNode) {
	if n.paused || n.stopped {
		return
	}
	got, err := n.table.Acquire(context.Background(), "u000")
	if err != nil {
		return
	}
	sl := got.(*slot)
	if s.actual.State != Warm && sl.permit == "" {
		// The node has not detected the cold start yet; the engine refuses.
		s.refused[n]++
		sl.Done(Outcome{Cold: true})
		return
	}
	s.served++
	s.open = append(s.open, openRequest{slot: sl, node: n, started: s.clock.Now(), counted: s.actual.State != Warm})
	s.check("a request")
}

// finish ends the request with index i.
func (s *coldScenario) finish(i int) {
	s.open[i].slot.Done(Outcome{FirstByte: time.Millisecond})
	s.open = append(s.open[:i], s.open[i+1:]...)
}

func (s *coldScenario) check(after string) {
	s.t.Helper()
	n := 0
	for _, o := range s.open {
		if o.counted {
			n++
		}
	}
	if s.actual.State != Warm && n > s.actual.MaxConcurrency {
		s.t.Fatalf("after %s the runner in cold start has %d open requests, limit %d", after, n, s.actual.MaxConcurrency)
	}
}

// advance moves the clock and ends the requests whose permits have expired.
func (s *coldScenario) advance(d time.Duration) {
	s.clock.Advance(d)
	for i := len(s.open) - 1; i >= 0; i-- {
		if o := s.open[i]; o.slot.permit != "" && s.clock.Since(o.started) >= maxPermitTTL {
			<-o.slot.Context().Done()
			if cause := context.Cause(o.slot.Context()); !errors.Is(cause, context.DeadlineExceeded) {
				s.t.Fatalf("the context of an expired permit ended with %v, want DeadlineExceeded", cause)
			}
			s.finish(i)
		}
	}
	s.tick()
}

// toggleState switches the runner between warm and cold. Requests open at that
// time no longer count.
func (s *coldScenario) toggleState() {
	if s.actual.State == Warm {
		s.actual.State, s.actual.MaxConcurrency = Cold, s.limit
	} else {
		s.actual.State, s.actual.MaxConcurrency = Warm, warmConcurrency
	}
	s.refused = make(map[*clusterNode]int)
	for i := range s.open {
		s.open[i].counted = false
	}
}

func (s *coldScenario) step() {
	n := s.nodes[s.rng.Intn(len(s.nodes))]
	switch p := s.rng.Intn(100); {
	case p < 40:
		s.request(n)
	case p < 55 && len(s.open) > 0:
		s.finish(s.rng.Intn(len(s.open)))
	case p < 85:
		s.advance(500 * time.Millisecond)
	case p < 90:
		for range 30 {
			s.advance(time.Second)
		}
	case p < 92:
		n.paused = !n.paused
	case p < 94:
		n.partitioned = !n.partitioned
	case p < 96:
		n.storeUnreachable = !n.storeUnreachable
	case p < 97:
		n.runnerUnreachable = !n.runnerUnreachable
	case p < 98:
		s.toggleState()
	default:
		for _, other := range s.nodes {
			other.paused, other.partitioned, other.storeUnreachable, other.runnerUnreachable = false, false, false, false
		}
	}
	s.check("a step")
	for node, count := range s.refused {
		// A refusal marks the runner as cold at the node for coldStartHold; an
		// owner that cannot reach the runner repeats its last report until that
		// is reportTTL old.
		if most := int(reportTTL/coldStartHold) + 1; count > most {
			s.t.Fatalf("node %s sent %d requests without a permit to a cold runner, want at most %d", node.id, count, most)
		}
	}
}

// Guards against a runner in cold start that receives more requests from all
// nodes together than its limit, while its owner is paused, partitioned or
// replaced, or when it restarts cold without notice.
func TestColdRunnerLimitHoldsAcrossNodes(t *testing.T) {
	for seed := range int64(15) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewSource(seed))
			limit := 1 + rng.Intn(6)
			s := &coldScenario{cluster: newCluster(4, seed, limit), t: t, rng: rng, limit: limit, refused: map[*clusterNode]int{}}
			for range 800 {
				s.step()
			}
			if s.served == 0 {
				t.Fatal("no request was served")
			}
		})
	}
}

// Guards against cold runners that receive no requests after their owner has
// stopped, and against an owner that grants fewer permits than the limit.
func TestColdRunnerServedAfterOwnerLoss(t *testing.T) {
	s := &coldScenario{cluster: newCluster(4, 1, 4), t: t, limit: 4, refused: map[*clusterNode]int{}}
	fill := func() int {
		for len(s.open) > 0 {
			s.finish(0)
		}
		s.advance(time.Second)
		for range 10 {
			for _, n := range s.nodes {
				s.request(n)
			}
		}
		return len(s.open)
	}
	wait := func(d time.Duration) {
		for end := s.clock.Now().Add(d); s.clock.Now().Before(end); {
			s.advance(time.Second)
		}
	}
	wait(10 * time.Second)
	if n := fill(); n != 4 {
		t.Fatalf("a live owner admits %d requests, want 4", n)
	}
	for _, n := range s.nodes {
		n.storeUnreachable = true
	}
	wait(lease.DefaultTTL + time.Second)
	if n := fill(); n != 2 {
		t.Fatalf("an owner with an expired lease admits %d requests during a lease store outage, want 2", n)
	}
	for _, n := range s.nodes {
		n.storeUnreachable = false
	}
	wait(lease.DefaultTTL)
	if n := fill(); n != 4 {
		t.Fatalf("the owner admits %d requests after the outage, want 4", n)
	}
	// A bound raised while the runner warmed up must be lowered again.
	s.actual.State, s.actual.MaxConcurrency = Warming, 16
	wait(3 * time.Second)
	if n := fill(); n != 16 {
		t.Fatalf("the owner admits %d requests while the runner's limit is 16", n)
	}
	s.actual.State, s.actual.MaxConcurrency = Cold, 4
	for len(s.open) > 0 {
		s.finish(0)
	}
	wait(lease.DefaultRenewal + time.Second)
	for _, n := range s.nodes {
		if _, own := n.table.Owner("u000"); own {
			n.stopped = true
		}
	}
	wait(lease.DefaultTTL + fullClaimPeriod + 15*time.Second)
	if n := fill(); n != 2 {
		t.Fatalf("the successor of a stopped owner admits %d requests, want 2", n)
	}
	wait(predecessorRetention)
	if n := fill(); n != 4 {
		t.Fatalf("the successor admits %d requests after the stopped owner's claims have expired, want 4", n)
	}
}
