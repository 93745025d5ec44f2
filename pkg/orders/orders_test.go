package orders

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/result"
	"cassiapin/pkg/runners"
	"cassiapin/pkg/upstream"
)

// fakeBackend is a runner with its table, its lease and the object store.
type fakeBackend struct {
	runners.Table
	objectstore.Store
	report           runners.Report
	epoch            uint64
	owned            bool
	storeUnreachable bool
	onWrite          func()
	object           *objectstore.Object
	received         []string
}

func (b *fakeBackend) Status() []runners.RunnerStatus {
	return []runners.RunnerStatus{{Report: b.report}}
}
func (b *fakeBackend) Owner(string) (uint64, bool) { return b.epoch, b.owned }

func (b *fakeBackend) Get(context.Context, string) (objectstore.Object, error) {
	switch {
	case b.storeUnreachable:
		return objectstore.Object{}, result.New(result.PlatformUnavailable, "object store unreachable")
	case b.object == nil:
		return objectstore.Object{}, result.New(result.ObjectNotFound, "no such object")
	}
	return *b.object, nil
}

func (b *fakeBackend) Create(_ context.Context, key string, value []byte) (objectstore.Object, error) {
	return b.Update(context.Background(), key, value, 0)
}

func (b *fakeBackend) Update(_ context.Context, key string, value []byte, version uint64) (objectstore.Object, error) {
	b.object = &objectstore.Object{Key: key, Value: value, Version: version + 1}
	if b.onWrite != nil {
		b.onWrite()
	}
	return *b.object, nil
}

// ServeHTTP is the engine; it records the orders with their fencing numbers.
func (b *fakeBackend) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	var o struct{ Action, Version string }
	_ = json.NewDecoder(r.Body).Decode(&o)
	b.received = append(b.received, fmt.Sprint(o.Action, " ", o.Version, " ", r.Header.Get(upstream.HeaderFencing)))
}

func newFakeBackend(t *testing.T, fetches float64, serves ...config.VersionRef) (*fakeBackend, *Service, *clock.Fake, *config.Static) {
	b := &fakeBackend{report: runners.Report{Upstream: "u", State: runners.Warm, Running: 1}, epoch: 7, owned: true}
	engine := httptest.NewServer(b)
	t.Cleanup(engine.Close)
	c := clock.NewFake(time.Unix(1000, 0))
	source := &config.Static{MarkSet: config.Marks{}, Snapshot: config.NewSnapshot(1, "", config.Declarations{
		Upstreams: []config.Upstream{{Name: "u", URL: engine.URL, Serves: serves}},
		Limits:    config.Limits{WeightFetchesPerMinute: fetches},
	})}
	s := NewService(Options{Clock: c})
	s.source, s.table, s.owner, s.store = source, b, b, b
	return b, s, c, source
}

func expectOrders(t *testing.T, b *fakeBackend, want ...string) {
	t.Helper()
	if !slices.Equal(b.received, want) {
		t.Fatalf("the engine received the orders %v, want %v", b.received, want)
	}
	b.received = nil
}

var (
	v1 = config.VersionRef{Model: "m", Version: "1"}
	v2 = config.VersionRef{Model: "m", Version: "2"}
)

// Guards against orders that are sent before they are recorded, by a node that
// is no longer the owner, or with an old epoch.
func TestOrdersComeFromTheRecordedOwnerOnly(t *testing.T) {
	b, s, c, _ := newFakeBackend(t, 6000, v1)
	check := func() {
		c.Advance(repeatPeriod)
		s.check(context.Background())
	}
	b.storeUnreachable = true
	check()
	expectOrders(t, b)
	b.storeUnreachable = false
	b.onWrite = func() { b.owned = false }
	check()
	expectOrders(t, b)
	b.onWrite, b.owned = nil, true
	check()
	check()
	expectOrders(t, b, "load m@1 7", "load m@1 7")
	b.epoch = 9
	check()
	expectOrders(t, b, "load m@1 9")
	b.epoch = 8 // a paused earlier owner
	check()
	expectOrders(t, b)
	b.epoch, b.report.Versions = 9, []config.VersionRef{v1}
	check()
	expectOrders(t, b)
}

// Guards against unloading a version while requests may still use it, and
// against a withdrawn version that stays loaded or is loaded again.
func TestWithdrawnVersionIsUnloadedWhenNothingRuns(t *testing.T) {
	b, s, c, source := newFakeBackend(t, 6000, v1, v2)
	b.report.Versions = []config.VersionRef{v1, v2}
	source.MarkSet = config.Marks{config.VersionKey(v2): {State: config.MarkWithdrawn}}
	s.check(context.Background())
	c.Advance(defaultUnloadDelay - time.Second)
	s.check(context.Background())
	expectOrders(t, b)
	b.report.Running = 0
	s.check(context.Background())
	expectOrders(t, b, "unload m@2 7")
	b.report.Versions = []config.VersionRef{v1}
	c.Advance(repeatPeriod)
	s.check(context.Background())
	expectOrders(t, b)
}

// Guards against loads that exceed the fetch rate of the weight store.
func TestLoadsRespectFetchRate(t *testing.T) {
	var serves []config.VersionRef
	for i := range 9 {
		serves = append(serves, config.VersionRef{Model: "m", Version: fmt.Sprint(i)})
	}
	b, s, c, _ := newFakeBackend(t, 6, serves...)
	for range 20 {
		s.check(context.Background())
		c.Advance(time.Second)
	}
	slices.Sort(b.received)
	if n := len(slices.Compact(b.received)); n != fetchBurst+1 {
		t.Fatalf("%d versions were ordered in 20 s at 6 fetches per minute, want %d", n, fetchBurst+1)
	}
}
