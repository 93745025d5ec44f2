package limits

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/topology"
)

var epoch = time.Unix(1_700_000_000, 0)

// TestRetryBudgetNotExceeded guards against nodes that together exceed the
// retry budget in some sliding window. Eight nodes get random loads with bursts
// and retry as often as they may.
func TestRetryBudgetNotExceeded(t *testing.T) {
	const nodes, step, window = 8, 50 * time.Millisecond, 10 * time.Second
	opts := RetryOptions{Ratio: 0.9, Extra: 56, Window: window}
	for seed := range int64(20) {
		random := rand.New(rand.NewSource(seed))
		c := clock.NewFake(epoch)
		var budgets [nodes]*RetryBudget
		for i := range budgets {
			budgets[i] = NewRetryBudget(opts, c, func() int { return nodes })
		}
		var requests, repeats []int
		for tick := range 800 {
			load := 1 + random.Intn(3)
			if tick/100%3 == 2 {
				load *= 4
			}
			requests, repeats = append(requests, 0), append(repeats, 0)
			for range load {
				b := budgets[random.Intn(nodes)]
				b.CountRequest("pool")
				requests[tick]++
				for b.Take("pool", Recovery) {
					repeats[tick]++
				}
			}
			c.Advance(step)
			checkWindow(t, seed, requests, repeats, int(window/step), opts)
		}
	}
}

func checkWindow(t *testing.T, seed int64, requests, repeats []int, width int, o RetryOptions) {
	t.Helper()
	sum := func(v []int, from, to int) (n int) {
		for i := max(from, 0); i < max(to, 0); i++ {
			n += v[i]
		}
		return n
	}
	end := len(requests)
	// The budget may be based on this window, the previous one or the one that
	// began half a window earlier.
	most := max(sum(requests, end-width, end), sum(requests, end-2*width, end-width), sum(requests, end-width*3/2, end-width/2))
	if got, limit := float64(sum(repeats, end-width, end)), o.Ratio*float64(most)+o.Extra; got > limit {
		t.Fatalf("seed %d, tick %d: %v retries, limit %v", seed, end, got, limit)
	}
}

// TestEscalationLeavesBudgetForRecovery guards against escalations that use up
// the budget of failed requests.
func TestEscalationLeavesBudgetForRecovery(t *testing.T) {
	c := clock.NewFake(epoch)
	b := NewRetryBudget(RetryOptions{Ratio: 0.9, Extra: 10, Window: 10 * time.Second}, c, func() int { return 1 })
	for range 100 {
		b.CountRequest("pool")
	}
	for b.Take("pool", Escalation) {
	}
	if !b.Take("pool", Recovery) {
		t.Error("no budget left for recovery after all escalations")
	}
}

// TestColdLimitNotExceeded guards against exceeding the rate limit of a cold
// upstream in any second while all nodes, one to 410, send as much as they may.
func TestColdLimitNotExceeded(t *testing.T) {
	const perSecond = 10
	o := ColdOptions{Factor: 1.5, Extra: 5}
	limit := int(perSecond*o.Factor + o.Extra)
	for _, size := range []int{1, 2, 8, 9, 86, 410} {
		var ids []string
		for i := range size {
			ids = append(ids, fmt.Sprintf("node-%d", i))
		}
		total := 0
		for u := range 3 {
			up := &topology.Upstream{ID: fmt.Sprintf("u-%d", u), StartedMS: 1}
			total += simulateColdSends(t, o, up, ids, perSecond, limit)
		}
		if total < 3*3*perSecond/2 {
			t.Errorf("%d nodes: %d sends to 3 upstreams in 3 s, want at least half of the rate", size, total)
		}
	}
}

func simulateColdSends(t *testing.T, o ColdOptions, up *topology.Upstream, ids []string, perSecond float64, limit int) (total int) {
	t.Helper()
	var limiters []*ColdLimiter
	for _, id := range ids {
		limiters = append(limiters, NewColdLimiter(o, id))
	}
	var sends []time.Time
	for now := epoch; now.Before(epoch.Add(3 * time.Second)); now = now.Add(40 * time.Millisecond) {
		for _, limiter := range limiters {
			if limiter.Take(up, perSecond, ids, now) {
				sends = append(sends, now)
			}
		}
		recent := 0
		for _, at := range sends {
			if now.Sub(at) < time.Second {
				recent++
			}
		}
		if recent > limit {
			t.Fatalf("%d nodes: %d sends within a second, limit %d", len(ids), recent, limit)
		}
	}
	return len(sends)
}

// TestColdLimitWithDifferingViews guards against nodes that exceed the limit
// while they disagree on the membership: half of them miss a third of the fleet.
func TestColdLimitWithDifferingViews(t *testing.T) {
	const perSecond = 10
	o := ColdOptions{Factor: 1.5, Extra: 5}
	var ids []string
	for i := range 9 {
		ids = append(ids, fmt.Sprintf("node-%d", i))
	}
	worst := 0
	for u := range 60 {
		up := &topology.Upstream{ID: fmt.Sprintf("u-%d", u), StartedMS: 1}
		sends := 0
		for i, id := range ids {
			view := ids
			if i%2 == 0 {
				view = append(append([]string{}, ids[:3]...), ids[6:]...)
			}
			limiter := NewColdLimiter(o, id)
			for now := epoch; now.Before(epoch.Add(time.Second)); now = now.Add(10 * time.Millisecond) {
				if limiter.Take(up, perSecond, view, now) {
					sends++
				}
			}
		}
		worst = max(worst, sends)
	}
	if limit := int(perSecond*o.Factor + o.Extra); worst > limit {
		t.Errorf("%d sends in one second, limit %d", worst, limit)
	}
}
