package knowledge

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/topology"
)

// client is one node's access to a store, with its own count of calls.
type client struct {
	*fakeStore
	unavailable atomic.Bool
	calls       atomic.Int64
}

func (c *client) List(ctx context.Context, kind Kind) ([]Object, topology.Revision, error) {
	c.calls.Add(1)
	if c.unavailable.Load() {
		return nil, 0, errUnavailable
	}
	return c.fakeStore.List(ctx, kind)
}

func (c *client) Watch(
	ctx context.Context, kind Kind, after topology.Revision, wait, slack time.Duration,
) ([]Change, topology.Revision, error) {
	c.calls.Add(1)
	if c.unavailable.Load() {
		return nil, 0, errUnavailable
	}
	return c.fakeStore.Watch(ctx, kind, after, wait, slack)
}

// hub carries notices and questions between services.
type hub struct {
	mu       sync.Mutex
	handlers []func(Notice)
	answers  []func(Question) (Reply, error)
}

// hubPeer is one service's place at a hub.
type hubPeer struct {
	hub   *hub
	rank  int
	index int
	// dropNotices loses what the service tells.
	dropNotices atomic.Bool
}

func (h *hub) join(rank int) *hubPeer {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handlers, h.answers = append(h.handlers, nil), append(h.answers, nil)
	return &hubPeer{hub: h, rank: rank, index: len(h.handlers) - 1}
}

func (s *hubPeer) Rank() int { return s.rank }

func (s *hubPeer) Publish(n Notice) error {
	if s.dropNotices.Load() {
		return nil
	}
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	for i, handle := range s.hub.handlers {
		if i != s.index && handle != nil {
			handle(n)
		}
	}
	return nil
}

func (s *hubPeer) Receive(handle func(Notice)) {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	s.hub.handlers[s.index] = handle
}

func (s *hubPeer) HandleQueries(handle func(Question) (Reply, error)) {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	s.hub.answers[s.index] = handle
}

func (s *hubPeer) Query(_ context.Context, q Question) (Reply, error) {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	for i, answer := range s.hub.answers {
		if i != s.index && answer != nil {
			return answer(q)
		}
	}
	return Reply{}, errUnavailable
}

// fleet starts a node that reads the store for others and one of the others.
func fleet(t *testing.T) (store *fakeStore, listener *client, service *Service) {
	t.Helper()
	store = newFakeStore()
	h := &hub{}
	waitFor(t, startWith(t, &client{fakeStore: store}, h.join(0)), 1, time.Second)
	listener = &client{fakeStore: store}
	service = startWith(t, listener, h.join(Readers))
	waitFor(t, service, 1, time.Second)
	time.Sleep(effectiveIn / 2) // Its first calls are over.
	return store, listener, service
}

// TestOtherKindsChange guards against calls that ask for changes of a kind
// that has none, because the store's revision counts those of other kinds too.
func TestOtherKindsChange(t *testing.T) {
	store, listener, _ := fleet(t)
	before := listener.calls.Load()
	for range 15 {
		store.set(func() { store.others++ })
		time.Sleep(100 * time.Millisecond)
	}
	if calls := listener.calls.Load() - before; calls > 0 {
		t.Errorf("%d calls for changes that are none of this node's", calls)
	}
}

// TestOneCallAChange guards against a node that calls the store more than once
// for a configuration that others have told it of.
func TestOneCallAChange(t *testing.T) {
	store, listener, service := fleet(t)
	before := listener.calls.Load()
	store.set(func() { store.version = 5 })
	waitFor(t, service, 5, effectiveIn)
	time.Sleep(2 * effectiveIn)
	if calls := listener.calls.Load() - before; calls != 1 {
		t.Errorf("%d calls for one configuration, want 1", calls)
	}
}

// TestStoreUnavailableToOneNode guards against a node that the store refuses and that stays
// behind the others or calls the store again and again, though they tell what
// it says.
func TestStoreUnavailableToOneNode(t *testing.T) {
	store, listener, service := fleet(t)
	listener.unavailable.Store(true)
	before := listener.calls.Load()
	store.set(func() { store.version = 5 })
	waitFor(t, service, 5, effectiveIn)
	time.Sleep(2 * effectiveIn)
	store.set(func() { store.version = 6 })
	waitFor(t, service, 6, effectiveIn)
	// One refused call for each configuration; then another node is asked.
	if calls := listener.calls.Load() - before; calls > 2 {
		t.Errorf("%d calls, want 2", calls)
	}
}

// checkCallsInOutage makes the store refuse the client for a while and checks how
// often it is called meanwhile, and that its return is noticed in time.
func (c *client) checkCallsInOutage(t *testing.T, s *Service) {
	t.Helper()
	c.unavailable.Store(true)
	before := c.calls.Load()
	const span = 2500 * time.Millisecond
	time.Sleep(span)
	// One call of each duty finds the outage; then half of the longest pause is
	// the shortest between two calls, but for the first ones.
	if calls, most := c.calls.Load()-before, int64(Nodes)+int64(span/(retryMax/2))+2; calls > most {
		t.Errorf("%d calls in %s, want at most %d", calls, span, most)
	}
	c.unavailable.Store(false)
	c.set(func() { c.version = 3 })
	waitFor(t, s, 3, 3*retryMax/2+200*time.Millisecond)
}

// TestStoreUnavailableToReader guards against a first reader that calls the store once
// for each notice that has come while it read, and against a return of the
// store that it notices late for that.
func TestStoreUnavailableToReader(t *testing.T) {
	store := newFakeStore()
	h := &hub{}
	c := &client{fakeStore: store}
	s := startWith(t, c, h.join(0))
	waitFor(t, s, 1, time.Second)
	other := h.join(1)
	for range noticeQueue {
		k := Known{Kind: Configurations, Revision: 1, Changed: 1}
		if err := other.Publish(Notice{Known: []Known{k}}); err != nil {
			t.Fatal(err)
		}
	}
	c.checkCallsInOutage(t, s)
}

// TestOutageCalls guards against calls of every duty at its own pace while the
// store is away: each call is paid for, also a refused one.
func TestOutageCalls(t *testing.T) {
	store := newFakeStore()
	c := &client{fakeStore: store}
	s := start(t, c)
	waitFor(t, s, 1, time.Second)
	time.Sleep(effectiveIn / 2)
	c.checkCallsInOutage(t, s)
}

// TestStandbyReader guards against further readers that call the store while the
// first one tells what it says, and against nodes that all call it when that
// one falls silent: the second reader does, in time, and tells the others.
func TestStandbyReader(t *testing.T) {
	store := newFakeStore()
	h := &hub{}
	first := h.join(0)
	waitFor(t, startWith(t, &client{fakeStore: store}, first), 1, time.Second)
	second := &client{fakeStore: store}
	waitFor(t, startWith(t, second, h.join(1)), 1, time.Second)
	other := &client{fakeStore: store}
	service := startWith(t, other, h.join(Readers))
	waitFor(t, service, 1, time.Second)
	time.Sleep(effectiveIn / 2)

	before := second.calls.Load()
	time.Sleep(3 * effectiveIn)
	if calls := second.calls.Load() - before; calls > 0 {
		t.Errorf("%d calls of the second reader while the first one reads", calls)
	}

	first.dropNotices.Store(true)
	before = other.calls.Load()
	time.Sleep(3 * effectiveIn)
	if calls := other.calls.Load() - before; calls > 0 {
		t.Errorf("%d calls of a node that the second reader tells", calls)
	}
	store.set(func() { store.version = 4 })
	waitFor(t, service, 4, effectiveIn)
}

// TestTakenChanges guards against a reader that took changes from another node
// and then tells that there were none: who has missed them would not ask.
func TestTakenChanges(t *testing.T) {
	s := New(Options{Decoder: fakeDecoder{}, EffectiveIn: map[Kind]time.Duration{}})
	if err := s.Provision(kernel.New(clock.Real{}, slog.New(slog.DiscardHandler))); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name   string
		notice Notice
		want   topology.Revision
	}{
		{"changes", Notice{From: 10, To: 12, Whole: true, Changes: []NoticeChange{{Name: "main", Revision: 11}}}, 12},
		{"an older change of the sender", Notice{From: 8, To: 12, Whole: true}, 9},
		{"a change that this node knows", Notice{From: 10, To: 12, Whole: true}, 10},
	} {
		f := &follower{service: s, kind: Configurations, from: 10, changed: 9, listed: true}
		if !f.applyNotice(tc.notice) || f.from != tc.notice.To {
			t.Errorf("%s: not taken, at %d", tc.name, f.from)
		}
		if f.changed != tc.want {
			t.Errorf("%s: no change after %d, want %d", tc.name, f.changed, tc.want)
		}
	}
}
