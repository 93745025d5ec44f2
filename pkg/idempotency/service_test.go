package idempotency

import (
	"bytes"
	"context"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/lease"
	"cassiapin/pkg/objectstore/memstore"
	"cassiapin/pkg/result"
)

var request = Request{Organisation: "berceuse", Key: "booking-1", Body: []byte("POST /book 1"), RequestID: "r1", Target: "studio"}

// newLedger returns the ledger of one node and the node's object store client.
func newLedger(store *memstore.Store, c clock.Clock, node string, change func(*Options)) (*Service, *memstore.Client) {
	client := store.Client()
	o := Options{
		Node: node, Store: client, Clock: c, Rand: rand.New(rand.NewSource(1)),
		Leases: lease.New(lease.Options{Holder: node, Store: client, Clock: c}),
	}
	if change != nil {
		change(&o)
	}
	return New(o), client
}

// Guards against a request that runs twice under concurrent retries at several
// nodes, other requests in the same slot, lost, dropped and late writes, and
// outcomes written before or after the reconciler. Also guards against a request
// that was not sent and can never run.
func TestRunsAtMostOnce(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(rt *rapid.T) {
		fake := clock.NewFake(time.Unix(1000, 0))
		store := memstore.New(fake)
		nodes := make([]*Service, 3)
		clients := make([]*memstore.Client, 3)
		for i := range nodes {
			nodes[i], clients[i] = newLedger(store, fake, fmt.Sprint(i), func(o *Options) {
				o.Resolver = func(context.Context, string, string) (*Outcome, State, error) { return nil, NotRun, nil }
			})
			nodes[i].slotDigits = 0
		}
		index := func(rt *rapid.T) int { return rapid.IntRange(0, len(nodes)-1).Draw(rt, "node") }
		var open []Claim
		sent, tooLate := 0, false
		begin := func(i int) {
			c, outcome, err := nodes[i].Begin(ctx, request)
			if c != nil {
				open = append(open, c)
			}
			if outcome != nil && sent == 0 {
				rt.Fatal("outcome returned for a request that was never sent")
			}
			if err != nil && result.CodeOf(err) == result.PlatformUnavailable && result.From(err).Run != result.NotRun {
				rt.Fatalf("error before sending has run %s, want not_run", result.From(err).Run)
			}
		}
		draw := func(rt *rapid.T) Claim {
			if len(open) == 0 {
				rt.Skip("no open claim")
			}
			i := rapid.IntRange(0, len(open)-1).Draw(rt, "claim")
			c := open[i]
			open = append(open[:i:i], open[i+1:]...)
			return c
		}
		rt.Repeat(map[string]func(*rapid.T){
			"": func(rt *rapid.T) {
				if sent > 1 {
					rt.Fatalf("request sent %d times, want at most once", sent)
				}
			},
			"begin": func(rt *rapid.T) { begin(index(rt)) },
			"fault": func(rt *rapid.T) {
				i, rival := index(rt), index(rt)
				fault := rapid.SampledFrom([]memstore.Fault{memstore.None, memstore.Unavailable, memstore.Lost, memstore.Dropped, memstore.Delayed}).Draw(rt, "fault")
				raced := false
				clients[i].SetHook(func(op, _ string) memstore.Fault {
					if op == "update" && !raced && rival != i {
						raced = true
						begin(rival)
					}
					return fault
				})
			},
			"send": func(rt *rapid.T) {
				c := draw(rt)
				sent++
				if rapid.Bool().Draw(rt, "answered") {
					_ = c.Done(ctx, Outcome{Status: 200})
				} else {
					_ = c.Unknown(ctx)
				}
			},
			"other request in slot": func(rt *rapid.T) {
				other := request
				other.Key = fmt.Sprint("neighbour ", rapid.IntRange(0, 2).Draw(rt, "key"))
				if c, _, _ := nodes[index(rt)].Begin(ctx, other); c != nil {
					_ = c.Done(ctx, Outcome{Status: 200})
				}
			},
			"not sent": func(rt *rapid.T) { _ = draw(rt).NotRun(ctx) },
			"deliver":  func(*rapid.T) { store.ApplyDelayed() },
			"retry":    func(rt *rapid.T) { nodes[index(rt)].retryWrites(ctx) },
			"reconcile": func(rt *rapid.T) {
				// A write that takes effect after lateWriteWindow stays started.
				tooLate = tooLate || store.Pending() > 0
				fake.Advance(DefaultOverdueAfter + time.Second)
				s := nodes[index(rt)]
				if l := s.acquire(ctx); l != nil {
					s.sweepStep(ctx, l)
				}
			},
		})
		if sent == 0 && len(open) == 0 && !tooLate {
			checkCanRun(rt, fake, store, nodes, clients)
		}
	})
}

// checkCanRun clears all faults and checks that the unsent request can run.
func checkCanRun(rt *rapid.T, fake *clock.Fake, store *memstore.Store, nodes []*Service, clients []*memstore.Client) {
	store.ApplyDelayed()
	fake.Advance(missingRecheckInterval)
	for i := range nodes {
		clients[i].SetHook(nil)
		nodes[i].retryWrites(context.Background())
	}
	if c, _, err := nodes[0].Begin(context.Background(), request); c == nil {
		rt.Fatalf("an unsent request cannot run: %v", err)
	}
}

// Guards against two simultaneous claims when many nodes begin the same request
// concurrently, both for a new request and after an attempt that was not sent.
func TestRacingNodes(t *testing.T) {
	const nodes, rounds = 8, 20
	store := memstore.New(clock.Real{})
	ctx := context.Background()
	for range rounds {
		var claims atomic.Int32
		var group sync.WaitGroup
		for i := range nodes {
			s, _ := newLedger(store, clock.Real{}, fmt.Sprint(i), nil)
			group.Go(func() {
				if c, _, _ := s.Begin(ctx, request); c != nil {
					claims.Add(1)
					defer c.NotRun(ctx)
					time.Sleep(time.Millisecond)
					if claims.Add(-1) != 0 {
						t.Error("two claims were open at the same time")
					}
				}
			})
		}
		group.Wait()
	}
}

// Guards against a retry that gets a different response, a key reused with another
// body, a response that is too large to store, and a response that is lost because
// its first write failed.
func TestOutcomeIsReplayed(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	store := memstore.New(fake)
	s, client := newLedger(store, fake, "a", nil)
	ctx := context.Background()
	c, _, err := s.Begin(ctx, request)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := s.Begin(ctx, request); result.CodeOf(err) != result.InProgress {
		t.Fatal(err)
	}
	client.SetUnavailable(true)
	want := Outcome{Status: 201, ContentType: "text/plain", Body: []byte("room 4"), Upstream: "studio"}
	if err := c.Done(ctx, want); result.CodeOf(err) != result.PlatformUnavailable {
		t.Fatal(err)
	}
	if _, _, err := s.Begin(ctx, request); result.CodeOf(err) != result.PlatformUnavailable || result.From(err).Run != result.NotRun {
		t.Fatal(err)
	}
	client.SetUnavailable(false)
	if err := s.Drain(ctx); err != nil {
		t.Fatal(err)
	}
	_, got, err := s.Begin(ctx, request)
	if err != nil || !cmp.Equal(*got, want) {
		t.Fatalf("%v, %s", err, cmp.Diff(want, *got))
	}
	other := request
	other.Body = []byte("POST /book 2")
	if _, _, err := s.Begin(ctx, other); result.CodeOf(err) != result.IdempotencyKeyReused {
		t.Fatal(err)
	}
	other.Key = "booking-2"
	c, _, err = s.Begin(ctx, other)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Done(ctx, Outcome{Body: bytes.Repeat([]byte("x"), MaxOutcomeBytes+1)}); err != nil {
		t.Fatal(err)
	}
	_, _, err = s.Begin(ctx, other)
	if e := result.From(err); e.Code != result.OutcomeUnknown || e.Run != result.Ran {
		t.Fatalf("got error %v with run %s", err, e.Run)
	}
}

// Guards against records that stay started after their node crashed, outcomes that
// the upstream could provide and the ledger misses, and records that are never
// deleted or deleted too early.
func TestReconciler(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	store := memstore.New(fake)
	ctx := context.Background()
	var resolved *Outcome
	s, _ := newLedger(store, fake, "a", func(o *Options) {
		o.Resolver = func(context.Context, string, string) (*Outcome, State, error) {
			if resolved != nil {
				return resolved, Done, nil
			}
			return nil, Unknown, result.New(result.ConnectFailed, "upstream unreachable")
		}
	})
	round := func() {
		l, err := s.opts.Leases.Acquire(ctx, leaseName, nil)
		if err != nil {
			t.Fatal(err)
		}
		for range 2 { // The first step may start in the middle of the slots.
			s.sweepStep(ctx, l)
		}
		if err := l.Release(ctx); err != nil {
			t.Fatal(err)
		}
	}
	second := request
	second.Key = "booking-2"
	for _, r := range []Request{request, second} {
		if _, _, err := s.Begin(ctx, r); err != nil {
			t.Fatal(err)
		}
	}
	fake.Advance(DefaultOverdueAfter + time.Second)
	round()
	if _, _, err := s.Begin(ctx, request); result.CodeOf(err) != result.InProgress {
		t.Fatal("marked unknown within the resolve grace:", err)
	}
	fake.Advance(DefaultResolveGrace)
	round()
	if _, _, err := s.Begin(ctx, request); result.CodeOf(err) != result.OutcomeUnknown {
		t.Fatal(err)
	}
	third := request
	third.Key = "booking-3"
	if _, _, err := s.Begin(ctx, third); err != nil {
		t.Fatal(err)
	}
	resolved = &Outcome{Status: 200, Body: []byte("booked")}
	fake.Advance(DefaultOverdueAfter + time.Second)
	round()
	if _, got, err := s.Begin(ctx, third); err != nil || !cmp.Equal(got, resolved) {
		t.Fatal(err)
	}
	fake.Advance(DefaultRetention - time.Minute)
	round()
	if left, _ := s.opts.Store.List(ctx, keyPrefix); len(left) != 1 {
		t.Fatalf("%d slots remain, want 1, that of the youngest record", len(left))
	}
}

// Guards against a retry that does not get the outcome of a request whose response
// was lost, although the upstream can provide it.
func TestRetryResolvesUnknownOutcome(t *testing.T) {
	ctx := context.Background()
	fake := clock.NewFake(time.Unix(1000, 0))
	store := memstore.New(fake)
	first, _ := newLedger(store, fake, "1", nil)
	c, _, err := first.Begin(ctx, request)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Unknown(ctx); err != nil {
		t.Fatal(err)
	}
	states := []State{Unknown, Done}
	queries := 0
	second, _ := newLedger(store, fake, "2", func(o *Options) {
		o.Resolver = func(_ context.Context, target, id string) (*Outcome, State, error) {
			if target != request.Target || id != c.AttemptID() {
				t.Errorf("resolver called for target %q, attempt %q", target, id)
			}
			queries++
			return &Outcome{Body: []byte("booked")}, states[min(queries, 2)-1], nil
		}
	})
	if _, _, err := second.Begin(ctx, request); result.CodeOf(err) != result.OutcomeUnknown {
		t.Fatalf("got error %v, want outcome unknown", err)
	}
	for range 2 {
		_, outcome, err := second.Begin(ctx, request)
		if err != nil || outcome == nil || string(outcome.Body) != "booked" {
			t.Fatalf("got outcome %v, error %v", outcome, err)
		}
	}
	if queries != 2 {
		t.Errorf("resolver called %d times, want 2: the resolved outcome was not stored", queries)
	}
}
