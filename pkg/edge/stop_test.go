package edge

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cassiapin/pkg/drain"
	"cassiapin/platform/platformtest"
)

// TestStopWhileStoreIsSilent guards against unsafe requests that are lost because a
// node that is stopped waits for the store: it then accepts requests too long and
// aborts them at the end of its grace period.
func TestStopWhileStoreIsSilent(t *testing.T) {
	f := newFleet(t, 1)
	n := f.nodes[0]
	work := n.settings.Bounds.Grace.Std() / 4
	f.store.RemoveRunner("i-1")
	f.store.RemoveRunner("i-2")
	f.store.PutRunner("i-3", "v1", platformtest.SlowRunner(t, "i-3", work, &atomic.Int64{}))
	f.store.PutRoutes(2, platformtest.AtMostOnceRoute("/booking/"))
	f.eventually("the node knows the runner and the route", func() bool {
		v := n.storeView.View()
		all := v.Upstreams["pool"]
		return v.Config.Version == 2 && len(all) == 1 && all[0].ID == "i-3"
	})
	t.Cleanup(f.store.Silence())
	type answer struct {
		sent   time.Duration
		status int
	}
	requested := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop(requested) }()
	accepting := time.Duration(drain.AcceptShare * float64(n.settings.Bounds.Grace.Std()))
	answers := make(chan answer)
	sent := 0
	for ; time.Since(requested) < accepting+drain.RefuseTime; sent++ {
		go func() {
			at := time.Since(requested)
			status, _ := f.get(n, "/booking/1", "key")
			answers <- answer{at, status}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	phases := drain.NewPhases(requested, n.settings.Bounds.Grace.Std())
	time.Sleep(time.Until(phases.Close.Add(phases.Abort.Sub(phases.Close) / 2)))
	if conn, err := net.Dial("tcp", n.settings.Entry); err == nil {
		_ = conn.Close()
		t.Errorf("the node accepts connections %v after the stop", time.Since(requested))
	}
	counts := map[int]int{}
	for range sent {
		a := <-answers
		counts[a.status]++
		if a.status != http.StatusOK && a.status != http.StatusServiceUnavailable && a.sent < accepting {
			t.Errorf("a request that was sent %v after the stop has no answer: %d", a.sent, a.status)
		}
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if took, grace := time.Since(requested), n.settings.Bounds.Grace.Std(); took > grace {
		t.Errorf("the stop took %v of %v", took, grace)
	}
	if counts[http.StatusOK] == 0 || counts[http.StatusServiceUnavailable] == 0 {
		t.Errorf("answers by status %v, want some served and some refused", counts)
	}
}

// TestStopRemovesEntryLater guards against an entry that stays in the store because
// the store did not answer at the moment of the stop.
func TestStopRemovesEntryLater(t *testing.T) {
	f := newFleet(t, 1)
	n := f.nodes[0]
	answers := f.store.Silence()
	time.AfterFunc(n.settings.Bounds.Grace.Std()/4, answers)
	if err := n.Stop(time.Now()); err != nil {
		t.Error(err)
	}
	if f.store.HasNode(n.settings.Host) {
		t.Error("the node's entry is still in the store")
	}
}

// TestEntryOfNextProcessIsKept guards against the removal of the entry of the next
// process on a host, without which other nodes refuse its messages.
func TestEntryOfNextProcessIsKept(t *testing.T) {
	f := newFleet(t, 1)
	r := f.nodes[0].registry
	f.store.PutNode(r.host, "that of the next process")
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	<-r.leave(ctx)
	if ctx.Err() != nil || !f.store.HasNode(r.host) {
		t.Errorf("the entry of the next process is gone, or its removal was tried to the end: %v", ctx.Err())
	}
}

// TestClosedRegistryEndsLookups guards against a stop that waits for the lookup of a
// certificate in a silent store.
func TestClosedRegistryEndsLookups(t *testing.T) {
	f := newFleet(t, 1)
	r := f.nodes[0].registry
	t.Cleanup(f.store.Silence())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.isTrusted("front-9", "0123")
	}()
	time.Sleep(vouchWaitMax + 50*time.Millisecond) // The store is asked now.
	r.close()
	select {
	case <-ended:
	case <-time.After(listTimeout / 4):
		t.Error("the lookup goes on after the registry was closed")
	}
}
