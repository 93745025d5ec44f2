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

// slowStore is a store that calls beforeResponse, if set, once between applying an
// update and returning its result.
type slowStore struct {
	*memstore.Client
	beforeResponse func()
}

func (s *slowStore) Update(ctx context.Context, key string, value []byte, version uint64) (objectstore.Object, error) {
	o, err := s.Client.Update(ctx, key, value, version)
	if hook := s.beforeResponse; hook != nil {
		s.beforeResponse = nil
		hook()
	}
	return o, err
}

// fakeNode is a node of the property test. The test calls its renewals, so a
// node that is not called behaves like a paused one.
type fakeNode struct {
	manager *Service
	store   *slowStore
	// leases are all leases that the node acquired.
	leases []Lease
}

// testCluster is the state of the property test.
type testCluster struct {
	fake      *clock.Fake
	store     *memstore.Store
	nodes     []*fakeNode
	lastEpoch uint64
}

func newTestCluster() *testCluster {
	fake := clock.NewFake(time.Unix(1000, 0))
	c := &testCluster{fake: fake, store: memstore.New(fake)}
	for _, id := range []string{"a", "b", "c"} {
		s := &slowStore{Client: c.store.Client()}
		c.nodes = append(c.nodes, &fakeNode{store: s, manager: New(Options{Holder: id, Store: s, Clock: fake})})
	}
	return c
}

func (c *testCluster) node(rt *rapid.T) *fakeNode {
	return c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(rt, "node")]
}

// latestLease returns the last lease that a random node acquired, or nil.
func (c *testCluster) latestLease(rt *rapid.T) Lease {
	n := c.node(rt)
	if len(n.leases) == 0 {
		return nil
	}
	return n.leases[len(n.leases)-1]
}

func (c *testCluster) acquire(rt *rapid.T, n *fakeNode) {
	before := c.lastEpoch
	l, err := n.manager.Acquire(context.Background(), "x", nil)
	if err != nil {
		return
	}
	if l.Epoch() <= before {
		rt.Fatalf("epoch did not increase: got %d after %d", l.Epoch(), before)
	}
	c.lastEpoch = max(c.lastEpoch, l.Epoch())
	n.leases = append(n.leases, l)
}

// injectFault sets random faults, delays and a competing acquisition for the next
// calls of a random node.
func (c *testCluster) injectFault(rt *rapid.T) {
	n, competitor := c.node(rt), c.node(rt)
	fault := rapid.SampledFrom([]memstore.Fault{memstore.None, memstore.Unavailable, memstore.Lost, memstore.Dropped, memstore.Delayed}).Draw(rt, "fault")
	requestDelay := time.Duration(rapid.SampledFrom([]int{0, 0, 5, 31}).Draw(rt, "request")) * time.Second
	responseDelay := time.Duration(rapid.SampledFrom([]int{0, 5, 15, 25}).Draw(rt, "answer")) * time.Second
	n.store.SetHook(func(op, _ string) memstore.Fault {
		if op == "update" {
			c.fake.Advance(requestDelay)
		}
		if op == "get" && fault != memstore.Unavailable {
			return memstore.None
		}
		return fault
	})
	n.store.beforeResponse = func() {
		c.acquire(rt, competitor)
		c.fake.Advance(responseDelay)
	}
}

// checkSingleHolder fails the test if more than one node holds the lease.
func (c *testCluster) checkSingleHolder(rt *rapid.T) {
	holders := 0
	for _, n := range c.nodes {
		for _, l := range n.leases {
			if l.Held() {
				holders++
			}
		}
	}
	if holders > 1 {
		rt.Fatalf("%d nodes hold the lease", holders)
	}
}

// Guards against two concurrent holders and epochs that do not increase, under
// pauses, outages, slow calls and lost, dropped or delayed requests.
func TestAtMostOneHolder(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(rt *rapid.T) {
		c := newTestCluster()
		rt.Repeat(map[string]func(*rapid.T){
			"":        c.checkSingleHolder,
			"fault":   c.injectFault,
			"deliver": func(*rapid.T) { c.store.ApplyDelayed() },
			"acquire": func(rt *rapid.T) { c.acquire(rt, c.node(rt)) },
			"advance": func(rt *rapid.T) {
				c.fake.Advance(time.Duration(rapid.IntRange(1, 40).Draw(rt, "seconds")) * time.Second)
			},
			"renew": func(rt *rapid.T) {
				if l := c.latestLease(rt); l != nil {
					_ = l.Sync(ctx)
				}
			},
			"release": func(rt *rapid.T) {
				if l := c.latestLease(rt); l != nil {
					_ = l.Release(ctx)
				}
			},
		})
	})
}

// Guards against a lease time that counts from the end of a renewal: if the
// response is late, another node has already read the record and would take the
// lease over before the holder considers it expired.
func TestLeaseTimeCountsFromRenewalStart(t *testing.T) {
	c, ctx := newTestCluster(), context.Background()
	a, b := c.nodes[0], c.nodes[1]
	l, err := a.manager.Acquire(ctx, "x", nil)
	if err != nil {
		t.Fatal(err)
	}
	a.store.beforeResponse = func() {
		if _, err := b.manager.Acquire(ctx, "x", nil); result.CodeOf(err) != result.LeaseLost {
			t.Error(err)
		}
		c.fake.Advance(20 * time.Second)
	}
	if err := l.Sync(ctx); err != nil {
		t.Fatal(err)
	}
	c.fake.Advance(10 * time.Second)
	if _, err := b.manager.Acquire(ctx, "x", nil); err != nil {
		t.Fatal(err)
	}
	if l.Held() {
		t.Fatal("two nodes hold the lease")
	}
}

// Guards against a lease that ends because the response to a renewal was lost, a
// released lease that cannot be acquired immediately, lost application data, and
// a takeover before the TTL has passed.
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
			t.Errorf("previous holder: got data %q, released %t", previous, released)
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
		t.Fatal("lease taken over before the TTL had passed:", err)
	}
	fake.Advance(time.Second)
	if _, err := a.Acquire(ctx, "x", nil); err != nil {
		t.Fatal(err)
	}
	select {
	case <-got.Lost():
		t.Fatal("Lost was closed before a call of Held")
	default:
	}
	if got.Held() {
		t.Fatal("the previous holder still holds the lease")
	}
	<-got.Lost()
}

// Guards against a running service that does not renew its leases, and against a
// graceful stop that does not release them, so that the next holder must wait.
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

// Guards against a default renewal interval other than a third of the TTL: an
// integer overflow once gave 162 ms instead of 10 s.
func TestDefaultRenewal(t *testing.T) {
	for _, ttl := range []time.Duration{0, 3 * time.Second, time.Hour} {
		o := New(Options{Holder: "h", TTL: ttl}).opts
		if o.Renewal != o.TTL/3 {
			t.Errorf("TTL %s: got a renewal interval of %s, want a third", o.TTL, o.Renewal)
		}
	}
}
