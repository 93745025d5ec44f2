package upstream

import (
	"net/http"
	"sync/atomic"
	"testing"

	"cassiapin/pkg/hangup/hanguptest"
)

// TestCallersGoneBeforeSend guards against requests that are sent to upstreams
// although their callers left before the node read them.
func TestCallersGoneBeforeSend(t *testing.T) {
	var arrived atomic.Int64
	engine := startEngine(t, func(http.ResponseWriter, *http.Request) { arrived.Add(1) })
	client := newTestClient(t)
	hanguptest.ServeGone(t, 5, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := client.Complete(r.Context(), testCall(engine)); err == nil {
			t.Error("a request without an answer succeeded")
		}
	}))
	if n := arrived.Load(); n > 0 {
		t.Errorf("%d requests arrived at the upstream", n)
	}
}
