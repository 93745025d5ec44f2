package objectstore_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/objectstore/memstore"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

// fault is a fault that the test server injects into one call.
type fault int

const (
	pass fault = iota
	// lost applies a write and closes the connection without a response.
	lost
	// dropped closes the connection without applying the write.
	dropped
	// delayed closes the connection and applies the write just before the next
	// write.
	delayed
	// overwritten is like lost, but another writer then overwrites the object.
	overwritten
	// hung never responds.
	hung
)

// server serves the object API from a memstore, with a script of faults.
type server struct {
	*httptest.Server
	store *memstore.Store

	mu      sync.Mutex
	script  []fault
	reads   int
	blocked chan struct{}
}

func newServer(t interface{ Cleanup(func()) }) *server {
	s := &server{store: memstore.New(clock.Real{})}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

func (s *server) next(r *http.Request) fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet {
		s.reads++
	}
	if len(s.script) == 0 {
		return pass
	}
	f := s.script[0]
	s.script = s.script[1:]
	return f
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if s.blocked != nil {
		<-s.blocked
	}
	f := s.next(r)
	body, _ := io.ReadAll(r.Body)
	key := strings.TrimPrefix(r.URL.Path, "/objects/")
	switch {
	case f == hung:
		<-r.Context().Done()
	case r.URL.Path == "/objects" || r.URL.Path == "/watch":
		s.list(w, r)
	case r.Method == http.MethodGet:
		if f != pass {
			panic(http.ErrAbortHandler)
		}
		o, err := s.store.Client().Get(r.Context(), key)
		writeResponse(w, o, err)
	default:
		s.write(w, r, f, key, body)
	}
}

func (s *server) write(w http.ResponseWriter, r *http.Request, f fault, key string, body []byte) {
	s.store.ApplyDelayed()
	c := s.store.Client()
	if f == delayed {
		c.SetHook(func(string, string) memstore.Fault { return memstore.Delayed })
	}
	version, _ := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	var o objectstore.Object
	var err error
	if f != dropped {
		switch {
		case r.Method == http.MethodDelete:
			err = c.Delete(r.Context(), key, version)
		case version == 0:
			o, err = c.Create(r.Context(), key, body)
		default:
			o, err = c.Update(r.Context(), key, body, version)
		}
	}
	if f == overwritten && err == nil && r.Method != http.MethodDelete {
		_, _ = c.Update(r.Context(), key, []byte("rival"), o.Version)
	}
	if f != pass {
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, o, err)
}

func writeResponse(w http.ResponseWriter, o objectstore.Object, err error) {
	if result.CodeOf(err) == result.ObjectConflict {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	if err != nil {
		w.WriteHeader(result.CodeOf(err).HTTPStatus())
		return
	}
	w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(o.Version, 10)))
	_, _ = w.Write(o.Value)
}

func (s *server) list(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	objects, version, changed := s.store.Changes(r.FormValue("prefix"), after)
	if r.URL.Path == "/watch" && len(objects) == 0 {
		wait, _ := strconv.Atoi(r.FormValue("timeout_ms"))
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		objects, version, _ = s.store.Changes(r.FormValue("prefix"), after)
	}
	items := []map[string]any{}
	for _, o := range objects {
		items = append(items, map[string]any{"key": o.Key, "value": o.Value, "version": o.Version, "deleted": o.Deleted})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"objects": items, "version": version})
}

// noSleepClock is the real clock without sleeps, so that backoff does not slow
// the tests.
type noSleepClock struct{ clock.Real }

func (noSleepClock) Sleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

func newClient(t interface{ Fatal(...any) }, s *server, change func(*objectstore.Options)) *objectstore.Client {
	o := objectstore.Options{
		BaseURLs: []string{s.URL}, ReadsPerSecond: 1e6, WritesPerSecond: 1e6,
		CallTimeout: 10 * time.Second, OperationTimeout: 30 * time.Second, ResolveTimeout: 30 * time.Second,
		Clock: noSleepClock{}, Rand: rand.New(rand.NewSource(1)),
	}
	if change != nil {
		change(&o)
	}
	c, err := objectstore.New(o)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a wrong outcome after a lost response: a write that took effect
// but is reported as a conflict or unknown, a reported success that is missing
// or applied twice, or a write reported as not_run that took effect, also if the
// request arrives after its read-back.
func TestLostAnswersAreResolved(t *testing.T) {
	s := newServer(t)
	c := newClient(t, s, nil)
	ctx := context.Background()
	runs := 0
	rapid.Check(t, func(rt *rapid.T) {
		runs++
		key := fmt.Sprintf("a/%d", runs)
		op := rapid.SampledFrom([]string{"create", "update", "delete"}).Draw(rt, "op")
		var version uint64
		if op != "create" {
			o, err := s.store.Client().Create(ctx, key, []byte("old"))
			if err != nil {
				rt.Fatal(err)
			}
			version = o.Version
		}
		script := rapid.SliceOfN(rapid.SampledFrom([]fault{pass, lost, dropped, delayed, overwritten}), 0, 9).Draw(rt, "script")
		s.mu.Lock()
		s.script = script
		s.mu.Unlock()
		before := s.store.Writes()
		err := perform(ctx, c, op, key, version)
		written := s.store.Writes() - before
		s.mu.Lock()
		s.script = nil
		s.mu.Unlock()
		s.store.ApplyDelayed()
		switch {
		case err == nil && written != 1:
			rt.Fatalf("%s reports success after %d writes", op, written)
		case err == nil && op != "delete":
			if o, err := c.Get(ctx, key); err != nil || string(o.Value) != "new" {
				rt.Fatalf("%s reports success, but the object is %q, %v", op, o.Value, err)
			}
		case err != nil && result.From(err).Run == result.NotRun && s.store.Writes() != before:
			rt.Fatalf("%s reports not_run but took effect: %v", op, err)
		case err != nil && !slices.Contains(script, overwritten) &&
			(len(script) < 5 || result.CodeOf(err) != result.PlatformUnavailable):
			// At least five faults are needed to exhaust all tries and read-backs.
			rt.Fatal(err)
		}
	})
}

func perform(ctx context.Context, c *objectstore.Client, op, key string, version uint64) error {
	var err error
	switch op {
	case "create":
		_, err = c.Create(ctx, key, []byte("new"))
	case "update":
		_, err = c.Update(ctx, key, []byte("new"), version)
	default:
		err = c.Delete(ctx, key, version)
	}
	return err
}

// Guards against an outage or recovery that is not detected, refused writes that
// are reported as unknown, and a conflict that is mistaken for an outage.
func TestAvailability(t *testing.T) {
	s := newServer(t)
	ring := timeline.NewRing("n", clock.NewHLC(clock.Real{}), 16)
	down := httptest.NewServer(nil)
	down.Close()
	c := newClient(t, s, func(o *objectstore.Options) {
		o.BaseURLs = []string{down.URL, down.URL, down.URL, s.URL}
		o.Recorder = ring
	})
	ctx := context.Background()
	_, err := c.Create(ctx, "k", nil)
	if e := result.From(err); e.Code != result.PlatformUnavailable || e.Run != result.NotRun {
		t.Fatalf("got %v with run %s", err, e.Run)
	}
	if c.Available() {
		t.Fatal("available during an outage")
	}
	if _, err := c.Create(ctx, "k", []byte("v")); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Create(ctx, "k", []byte("v")); result.CodeOf(err) != result.ObjectConflict {
		t.Fatalf("second creation: got %v", err)
	}
	events, _ := ring.Snapshot()
	if !c.Available() || len(events) != 2 || events[0].Kind != timeline.PlatformUnavailable || events[1].Kind != timeline.PlatformRecovered {
		t.Fatalf("events %v", events)
	}
}

// Guards against a call that hangs on a dead connection, and against one call
// for each concurrent reader of the same object.
func TestSilentConnectionAndSharedReads(t *testing.T) {
	s := newServer(t)
	ctx := context.Background()
	fast := newClient(t, s, func(o *objectstore.Options) { o.CallTimeout = time.Second })
	if _, err := fast.Create(ctx, "k", []byte("v")); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	s.script = []fault{hung}
	s.mu.Unlock()
	if _, err := fast.Get(ctx, "k"); err != nil {
		t.Fatal("a new connection was not used:", err)
	}

	c := newClient(t, s, nil)
	s.blocked = make(chan struct{})
	s.reads = 0
	// A Get whose context has ended still starts or joins the shared call.
	ended, cancel := context.WithCancel(ctx)
	cancel()
	for range 50 {
		if _, err := c.Get(ended, "k"); err == nil {
			t.Fatal("got a response while the server blocks all calls")
		}
	}
	close(s.blocked)
	if o, err := c.Get(ctx, "k"); err != nil || string(o.Value) != "v" {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// The last Get may start after the shared call has ended.
	if s.reads > 2 {
		t.Fatalf("%d calls for one object", s.reads)
	}
}

// Guards against rate limits that are not enforced, and against changes that a
// watch misses between polls.
func TestLimitsAndWatch(t *testing.T) {
	s := newServer(t)
	fake := clock.NewFake(time.Unix(0, 0))
	limited := newClient(t, s, func(o *objectstore.Options) {
		o.Clock, o.WritesPerSecond, o.LimitWait = fake, 2, time.Millisecond
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i, want := range []result.Code{0, 0, result.PlatformLimited} {
		if _, err := limited.Create(ctx, fmt.Sprintf("w/%d", i), []byte("v")); result.CodeOf(err) != want {
			t.Fatalf("write %d: %v", i, err)
		}
	}
	limited.SetRates(10, 1000)
	fake.Advance(time.Second)
	if _, err := limited.Create(ctx, "w/2", []byte("v")); err != nil {
		t.Fatal(err)
	}

	c := newClient(t, s, func(o *objectstore.Options) { o.WatchTimeout = time.Second })
	s.mu.Lock()
	s.script = []fault{pass, pass}
	s.mu.Unlock()
	changes, err := c.Watch(ctx, "w/", 1)
	if err != nil {
		t.Fatal(err)
	}
	if err := limited.Delete(ctx, "w/1", 2); err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for len(seen) < 2 {
		o := <-changes
		if o.Key == "w/0" {
			t.Fatal("a change before the start was sent")
		}
		if o.Key == "w/2" || o.Deleted {
			seen[o.Key] = true
		}
	}
	cancel()
	for range changes {
	}
}
