package runners

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
)

// staticConfig is a configuration service with a fixed snapshot.
type staticConfig struct {
	kernel.Base
	*config.Static
}

func (staticConfig) Name() string { return config.SourceServiceName }

// Guards against a node that serves no requests because it has no peers and no
// lease store, and against goroutines that leak when the service stops.
func TestStandaloneServiceServesRequests(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/load" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(Report{Upstream: "u000", State: Warm, Capacity: 16, MaxConcurrency: 16, Versions: []config.VersionRef{testRef}})
	}))
	defer engine.Close()
	snapshot := declare(1)
	snapshot.Declarations.Upstreams[0].URL = engine.URL
	k := kernel.New(clock.Real{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	table := NewService(Options{Node: "n1", Region: "south"})
	if err := k.Register(staticConfig{Static: &config.Static{Snapshot: snapshot}}, table); err != nil {
		t.Fatal(err)
	}
	if err := k.Start(); err != nil {
		t.Fatal(err)
	}
	changed := table.Changed()
	for deadline := time.After(10 * time.Second); ; changed = table.Changed() {
		if c := table.Candidates(nil, testRef, false); len(c) == 1 && c[0].State == Warm {
			break
		}
		select {
		case <-changed:
		case <-deadline:
			t.Fatalf("the runner did not become warm within 10 s: %+v", table.Status())
		}
	}
	s, err := table.Acquire(context.Background(), "u000")
	if err != nil {
		t.Fatal(err)
	}
	s.Done(Outcome{FirstByte: time.Millisecond})
	if err := k.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
}
