package admission

import (
	"context"
	"math/rand"
	"testing"
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/result"
)

// load is a source of simulated requests.
type load struct {
	name     string
	priority int
	// rate is in requests per second. It ends at the time until; 0 means never.
	rate        float64
	until       time.Duration
	serviceTime time.Duration
	deadline    time.Duration

	offered, refused, answered, late int
	longestWait, lastRefusal         time.Duration
}

// simulate runs loads against a scheduler in steps of 1 ms.
func simulate(s *scheduler, length time.Duration, seed int64, loads ...*load) {
	rng := rand.New(rand.NewSource(seed))
	start := time.Unix(1000, 0)
	type job struct {
		w      *waiter
		from   *load
		end    time.Time
		queued bool
	}
	var jobs []*job
	for at := time.Duration(0); at < length; at += time.Millisecond {
		now := start.Add(at)
		remaining := jobs[:0]
		for _, j := range jobs {
			if j.queued {
				select {
				case err := <-j.w.ready:
					if err != nil {
						j.from.refused++
						continue
					}
					j.queued, j.end = false, now.Add(j.from.serviceTime)
					j.from.longestWait = max(j.from.longestWait, now.Sub(j.w.enqueued))
				default:
				}
			}
			if !j.queued && !now.Before(j.end) {
				s.finish(j.w, now)
				j.from.answered++
				if now.After(j.w.request.Deadline.Add(5 * time.Millisecond)) {
					j.from.late++
				}
				continue
			}
			remaining = append(remaining, j)
		}
		jobs = remaining
		for _, l := range loads {
			if l.until > 0 && at >= l.until || rng.Float64() >= l.rate/1000 {
				continue
			}
			l.offered++
			w, err := s.enqueue(Request{
				Organisation: l.name, Priority: l.priority, Deadline: now.Add(l.deadline), Expected: l.serviceTime,
			}, now)
			if err != nil {
				l.refused++
				l.lastRefusal = at
				continue
			}
			jobs = append(jobs, &job{w: w, from: l, queued: true})
		}
	}
}

// Guards against a flood from one organisation delaying the requests of another
// with the same priority.
func TestFloodDoesNotDelayOthers(t *testing.T) {
	s := newScheduler(10, 256, 4096)
	flood := &load{name: "flood", priority: 3, rate: 500, serviceTime: 100 * time.Millisecond, deadline: 5 * time.Second}
	small := &load{name: "small", priority: 3, rate: 5, serviceTime: 100 * time.Millisecond, deadline: 5 * time.Second}
	simulate(s, time.Minute, 1, flood, small)
	if small.refused > 0 || small.longestWait > 100*time.Millisecond {
		t.Fatalf("the small organisation waited up to %v and had %d refusals, want at most 100 ms and none", small.longestWait, small.refused)
	}
	if flood.late > 0 || flood.answered < 5000 {
		t.Fatalf("flood: %d requests answered, %d of them late, want at least 5,000 of a capacity of 6,000 and none late", flood.answered, flood.late)
	}
}

// Guards against urgent requests queueing behind a batch, and against batch
// requests that are admitted and then answered after their deadline.
func TestBatchDoesNotDelayLookups(t *testing.T) {
	s := newScheduler(10, 256, 4096)
	batch := &load{name: "a", priority: 1, rate: 15, serviceTime: time.Second, deadline: 20 * time.Second}
	lookups := &load{name: "a", priority: 8, rate: 10, serviceTime: 20 * time.Millisecond, deadline: time.Second}
	simulate(s, 2*time.Minute, 2, batch, lookups)
	// Concurrent lookups wait for each other on the reserved slot. A lookup
	// behind a batch request would wait for up to 1 s.
	if lookups.refused > 0 || lookups.longestWait > 3*lookups.serviceTime {
		t.Fatalf("lookups waited up to %v and had %d refusals, want at most three service times and none", lookups.longestWait, lookups.refused)
	}
	if batch.late > 0 || batch.answered < 900 {
		t.Fatalf("batch: %d requests answered, %d of them late, want at least 900 of a capacity of 1,080 and none late", batch.answered, batch.late)
	}
}

// Guards against starvation of low priorities, and against an overload that
// persists after its cause has ended.
func TestRecoveryFromOverload(t *testing.T) {
	s := newScheduler(10, 256, 4096)
	spike := &load{name: "storm", priority: 5, rate: 300, until: 30 * time.Second, serviceTime: 100 * time.Millisecond, deadline: 3 * time.Second}
	normal := &load{name: "normal", priority: 2, rate: 60, serviceTime: 100 * time.Millisecond, deadline: 3 * time.Second}
	simulate(s, 2*time.Minute, 3, spike, normal)
	if s.waiting > 2 || normal.lastRefusal > 34*time.Second {
		t.Fatalf("%d requests are waiting, the last refusal was at %v, want at most 2 and 34 s after a spike that ended at 30 s", s.waiting, normal.lastRefusal)
	}
	if normal.late+spike.late > 0 || normal.answered < 85*60 {
		t.Fatalf("%d requests were late and %d of the low priority were answered, want none and at least 5,100", normal.late+spike.late, normal.answered)
	}
	if unfinished := normal.offered - normal.refused - normal.answered; unfinished > 20 {
		t.Fatalf("%d requests are in flight or queued after a load of 60%%, want at most 20", unfinished)
	}
}

// Guards against leaking concurrency slots when callers cancel or deadlines pass
// in the queue, and against retries beyond the retry budget.
func TestSlotReleaseAndRetryBudget(t *testing.T) {
	c := clock.NewFake(time.Unix(1000, 0))
	s := NewService(Options{Clock: c, Concurrency: 1})
	request := Request{Organisation: "o", Deadline: c.Now().Add(10 * time.Second), Expected: time.Second}
	release, err := s.Admit(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	abandoned, expired := make(chan error, 1), make(chan error, 1)
	for end, ctx := range map[chan error]context.Context{abandoned: ctx, expired: context.Background()} {
		go func() {
			_, err := s.Admit(ctx, request)
			end <- err
		}()
	}
	for waiting := 0; waiting < 2; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		waiting = s.scheduler.waiting
		s.mu.Unlock()
	}
	cancel()
	if err := <-abandoned; result.CodeOf(err) != result.CallerCancelled {
		t.Fatalf("a cancelled request got %v, want CallerCancelled", err)
	}
	for err = nil; err == nil; c.Advance(time.Second) {
		select {
		case err = <-expired:
		case <-time.After(time.Millisecond):
		}
	}
	if result.CodeOf(err) != result.DeadlineUnmeetable {
		t.Fatalf("a request whose deadline passed in the queue got %v, want DeadlineUnmeetable", err)
	}
	release()
	release()
	request.Deadline = c.Now().Add(10 * time.Second)
	if _, err = s.Admit(context.Background(), request); err != nil || s.scheduler.inFlight != 1 {
		t.Fatalf("%d requests are in flight after all were released and one was admitted, want 1: %v", s.scheduler.inFlight, err)
	}
	retries := 0
	for s.MayRetry() {
		retries++
	}
	if retries > retryBurst {
		t.Fatalf("%d retries allowed for 2 requests, want at most retryBurst", retries)
	}
}
