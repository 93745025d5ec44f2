package lease

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/objectstore/memstore"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

// slowAnswers is a store whose answers to updates are late: meanwhile after
// runs.
type slowAnswers struct {
	*memstore.Client
	after func()
}

func (s *slowAnswers) Update(ctx context.Context, key string, value []byte, version uint64) (objectstore.Object, error) {
	o, err := s.Client.Update(ctx, key, value, version)
	if after := s.after; after != nil {
		s.after = nil
		after()
	}
	return o, err
}

// fakeNode is one node of the property test. Its renewals run only when the
// test calls them, so a node that is not called is paused.
type fakeNode struct {
	manager *Service
	store   *slowAnswers
	// leases holds every lease that the node ever acquired.
	leases []Lease
}

// world is the state of the property test.
type world struct {
	fake      *clock.Fake
	store     *memstore.Store
	nodes     []*fakeNode
	lastEpoch uint64
}

func newWorld() *world {
	fake := clock.NewFake(time.Unix(1000, 0))
	w := &world{fake: fake, store: memstore.New(fake)}
	for _, id := range []string{"a", "b", "c"} {
		s := &slowAnswers{Client: w.store.Client()}
		w.nodes = append(w.nodes, &fakeNode{store: s, manager: New(Options{Holder: id, Store: s, Clock: fake})})
	}
	return w
}

func (w *world) node(rt *rapid.T) *fakeNode {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(rt, "node")]
}

// latest returns the latest lease of a node, nil when it had none.
func (w *world) latest(rt *rapid.T) Lease {
	n := w.node(rt)
	if len(n.leases) == 0 {
		return nil
	}
	return n.leases[len(n.leases)-1]
}

func (w *world) acquire(rt *rapid.T, n *fakeNode) {
	before := w.lastEpoch
	l, err := n.manager.Acquire(context.Background(), "x", nil)
	if err != nil {
		return
	}
	if l.Epoch() <= before {
		rt.Fatalf("epoch %d after %d", l.Epoch(), before)
	}
	w.lastEpoch = max(w.lastEpoch, l.Epoch())
	n.leases = append(n.leases, l)
}

// fault draws the faults of a node's next calls.
func (w *world) fault(rt *rapid.T) {
	n, rival := w.node(rt), w.node(rt)
	fault := rapid.SampledFrom([]memstore.Fault{memstore.None, memstore.Unavailable, memstore.Lost, memstore.Dropped, memstore.Delayed}).Draw(rt, "fault")
	request := time.Duration(rapid.SampledFrom([]int{0, 0, 5, 31}).Draw(rt, "request")) * time.Second
	answer := time.Duration(rapid.SampledFrom([]int{0, 5, 15, 25}).Draw(rt, "answer")) * time.Second
	n.store.SetHook(func(op, _ string) memstore.Fault {
		if op == "update" {
			w.fake.Advance(request)
		}
		if op == "get" && fault != memstore.Unavailable {
			return memstore.None
		}
		return fault
	})
	n.store.after = func() {
		w.acquire(rt, rival)
		w.fake.Advance(answer)
	}
}

// check counts the holders.
func (w *world) check(rt *rapid.T) {
	holders := 0
	for _, n := range w.nodes {
		for _, l := range n.leases {
			if l.Held() {
				holders++
			}
		}
	}
	if holders > 1 {
		rt.Fatalf("%d holders", holders)
	}
}

// Guards against two holders at once and against epochs that do not grow,
// under pauses, outages, slow calls and lost, dropped or late requests.
func TestNeverTwoHolders(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld()
		rt.Repeat(map[string]func(*rapid.T){
			"":        w.check,
			"fault":   w.fault,
			"deliver": func(*rapid.T) { w.store.ApplyDelayed() },
			"acquire": func(rt *rapid.T) { w.acquire(rt, w.node(rt)) },
			"advance": func(rt *rapid.T) {
				w.fake.Advance(time.Duration(rapid.IntRange(1, 40).Draw(rt, "seconds")) * time.Second)
			},
			"renew": func(rt *rapid.T) {
				if l := w.latest(rt); l != nil {
					_ = l.Sync(ctx)
				}
			},
			"release": func(rt *rapid.T) {
				if l := w.latest(rt); l != nil {
					_ = l.Release(ctx)
				}
			},
		})
	})
}

// Guards against a lease counted from the end of a renewal: its answer is late,
// and a challenger saw the record in the meantime.
func TestRenewalCountsFromItsStart(t *testing.T) {
	w, ctx := newWorld(), context.Background()
	a, b := w.nodes[0], w.nodes[1]
	l, err := a.manager.Acquire(ctx, "x", nil)
	if err != nil {
		t.Fatal(err)
	}
	a.store.after = func() {
		if _, err := b.manager.Acquire(ctx, "x", nil); result.CodeOf(err) != result.LeaseLost {
			t.Error(err)
		}
		w.fake.Advance(20 * time.Second)
	}
	if err := l.Sync(ctx); err != nil {
		t.Fatal(err)
	}
	w.fake.Advance(10 * time.Second)
	if _, err := b.manager.Acquire(ctx, "x", nil); err != nil {
		t.Fatal(err)
	}
	if l.Held() {
		t.Fatal("two holders")
	}
}

// Guards against a lease that a lost answer of a renewal ends, one that is not
// handed over at once on release, lost application data, and a successor that
// waits less than the time to live.
func TestHandOver(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	store := memstore.New(fake)
	first, second := store.Client(), store.Client()
	a := New(Options{Holder: "a", Store: first, Clock: fake})
	b := New(Options{Holder: "b", Store: second, Clock: fake})
	ctx := context.Background()
	l, err := a.Acquire(ctx, "x", func([]byte, bool) []byte { return []byte("1") })
	if err != nil {
		t.Fatal(err)
	}
	fault := memstore.Lost
	first.SetHook(func(op, _ string) memstore.Fault {
		if op == "update" {
			f := fault
			fault = memstore.None
			return f
		}
		return memstore.None
	})
	l.SetData([]byte("2"))
	if err := l.Sync(ctx); result.From(err).Run != result.Unknown {
		t.Fatal(err)
	}
	fake.Advance(20 * time.Second)
	if err := l.Sync(ctx); err != nil || !l.Held() {
		t.Fatalf("held %t, %v", l.Held(), err)
	}
	if _, err := b.Acquire(ctx, "x", nil); result.CodeOf(err) != result.LeaseLost {
		t.Fatal(err)
	}
	fake.Advance(20 * time.Second)
	if err := l.Release(ctx); err != nil {
		t.Fatal(err)
	}
	got, err := b.Acquire(ctx, "x", func(previous []byte, released bool) []byte {
		if string(previous) != "2" || !released {
			t.Errorf("predecessor's data %q, released %t", previous, released)
		}
		return nil
	})
	if err != nil || got.Epoch() != 2 {
		t.Fatal(err)
	}
	if _, err := a.Acquire(ctx, "x", nil); result.CodeOf(err) != result.LeaseLost {
		t.Fatal(err)
	}
	fake.Advance(DefaultTTL - time.Second)
	if _, err := a.Acquire(ctx, "x", nil); result.CodeOf(err) != result.LeaseLost {
		t.Fatal("taken over before the time to live:", err)
	}
	fake.Advance(time.Second)
	if _, err := a.Acquire(ctx, "x", nil); err != nil {
		t.Fatal(err)
	}
	select {
	case <-got.Lost():
		t.Fatal("Lost closed before the holder looked")
	default:
	}
	if got.Held() {
		t.Fatal("the old holder still holds")
	}
	<-got.Lost()
}

// Guards against leases that a running service does not renew and against a
// planned stop that makes the next holder wait.
func TestServiceRenewsAndReleases(t *testing.T) {
	store := memstore.New(clock.Real{})
	k := kernel.New(clock.Real{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	s := New(Options{Holder: "a", TTL: time.Minute, Renewal: 20 * time.Millisecond})
	if err := k.Register(timeline.NewService("a", k.HLC, 64), store.Client(), s); err != nil {
		t.Fatal(err)
	}
	if err := k.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := s.Acquire(ctx, "x", nil); err != nil {
		t.Fatal(err)
	}
	const creationAndTwoRenewals = 3
	for store.Writes() < creationAndTwoRenewals && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if err := k.Drain(ctx); err != nil {
		t.Fatal(err)
	}
	if err := k.Stop(ctx); err != nil {
		t.Fatal(err)
	}
	b := New(Options{Holder: "b", Store: store.Client(), Clock: clock.Real{}})
	if _, err := b.Acquire(ctx, "x", nil); err != nil {
		t.Fatal(err)
	}
}

// Guards against a default that renews far more often than three times within
// the time to live: an overflow once gave 162 ms instead of 10 s.
func TestDefaultRenewal(t *testing.T) {
	for _, ttl := range []time.Duration{0, 3 * time.Second, time.Hour} {
		o := New(Options{Holder: "h", TTL: ttl}).opts
		if o.Renewal != o.TTL/3 {
			t.Errorf("time to live %s: renewal every %s", o.TTL, o.Renewal)
		}
	}
}
