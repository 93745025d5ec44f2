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

func (w *fakeBackend) Status() []runners.RunnerStatus {
	return []runners.RunnerStatus{{Report: w.report}}
}
func (w *fakeBackend) Owner(string) (uint64, bool) { return w.epoch, w.owned }

func (w *fakeBackend) Get(context.Context, string) (objectstore.Object, error) {
	switch {
	case w.storeUnreachable:
		return objectstore.Object{}, result.New(result.PlatformUnavailable, "object store unreachable")
	case w.object == nil:
		return objectstore.Object{}, result.New(result.ObjectNotFound, "no such object")
	}
	return *w.object, nil
}

func (w *fakeBackend) Create(_ context.Context, key string, value []byte) (objectstore.Object, error) {
	return w.Update(context.Background(), key, value, 0)
}

func (w *fakeBackend) Update(_ context.Context, key string, value []byte, version uint64) (objectstore.Object, error) {
	w.object = &objectstore.Object{Key: key, Value: value, Version: version + 1}
	if w.onWrite != nil {
		w.onWrite()
	}
	return *w.object, nil
}

// ServeHTTP is the engine; it records the orders with their fencing numbers.
func (w *fakeBackend) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	var o struct{ Action, Version string }
	_ = json.NewDecoder(r.Body).Decode(&o)
	w.received = append(w.received, fmt.Sprint(o.Action, " ", o.Version, " ", r.Header.Get(upstream.HeaderFencing)))
}

func newFakeBackend(t *testing.T, fetches float64, serves ...config.VersionRef) (*fakeBackend, *Service, *clock.Fake, *config.Static) {
	w := &fakeBackend{report: runners.Report{Upstream: "u", State: runners.Warm, Running: 1}, epoch: 7, owned: true}
	engine := httptest.NewServer(w)
	t.Cleanup(engine.Close)
	c := clock.NewFake(time.Unix(1000, 0))
	source := &config.Static{MarkSet: config.Marks{}, Snapshot: config.NewSnapshot(1, "", config.Declarations{
		Upstreams: []config.Upstream{{Name: "u", URL: engine.URL, Serves: serves}},
		Limits:    config.Limits{WeightFetchesPerMinute: fetches},
	})}
	s := NewService(Options{Clock: c})
	s.source, s.table, s.owner, s.store = source, w, w, w
	return w, s, c, source
}

func expectOrders(t *testing.T, w *fakeBackend, want ...string) {
	t.Helper()
	if !slices.Equal(w.received, want) {
		t.Fatalf("the engine received the orders %v, want %v", w.received, want)
	}
	w.received = nil
}

var (
	v1 = config.VersionRef{Model: "m", Version: "1"}
	v2 = config.VersionRef{Model: "m", Version: "2"}
)

// Guards against orders that are sent before they are recorded, by a node that
// is no longer the owner, or with an old epoch.
func TestOrdersComeFromTheRecordedOwnerOnly(t *testing.T) {
	w, s, c, _ := newFakeBackend(t, 6000, v1)
	check := func() {
		c.Advance(repeatPeriod)
		s.check(context.Background())
	}
	w.storeUnreachable = true
	check()
	expectOrders(t, w)
	w.storeUnreachable = false
	w.onWrite = func() { w.owned = false }
	check()
	expectOrders(t, w)
	w.onWrite, w.owned = nil, true
	check()
	check()
	expectOrders(t, w, "load m@1 7", "load m@1 7")
	w.epoch = 9
	check()
	expectOrders(t, w, "load m@1 9")
	w.epoch = 8 // a paused earlier owner
	check()
	expectOrders(t, w)
	w.epoch, w.report.Versions = 9, []config.VersionRef{v1}
	check()
	expectOrders(t, w)
}

// Guards against unloading a version while requests may still use it, and
// against a withdrawn version that stays loaded or is loaded again.
func TestWithdrawnVersionIsUnloadedWhenNothingRuns(t *testing.T) {
	w, s, c, source := newFakeBackend(t, 6000, v1, v2)
	w.report.Versions = []config.VersionRef{v1, v2}
	source.MarkSet = config.Marks{config.VersionKey(v2): {State: config.MarkWithdrawn}}
	s.check(context.Background())
	c.Advance(defaultUnloadDelay - time.Second)
	s.check(context.Background())
	expectOrders(t, w)
	w.report.Running = 0
	s.check(context.Background())
	expectOrders(t, w, "unload m@2 7")
	w.report.Versions = []config.VersionRef{v1}
	c.Advance(repeatPeriod)
	s.check(context.Background())
	expectOrders(t, w)
}

// Guards against loads that exceed the fetch rate of the weight store.
func TestLoadsRespectFetchRate(t *testing.T) {
	var serves []config.VersionRef
	for i := range 9 {
		serves = append(serves, config.VersionRef{Model: "m", Version: fmt.Sprint(i)})
	}
	w, s, c, _ := newFakeBackend(t, 6, serves...)
	for range 20 {
		s.check(context.Background())
		c.Advance(time.Second)
	}
	slices.Sort(w.received)
	if n := len(slices.Compact(w.received)); n != fetchBurst+1 {
		t.Fatalf("%d versions were ordered in 20 s at 6 fetches per minute, want %d", n, fetchBurst+1)
	}
}
