package upstream

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"cassiapin/pkg/hangup"
)

// TestCallersGoneBeforeSend guards against requests that are sent to upstreams
// although their callers left before the node read them.
func TestCallersGoneBeforeSend(t *testing.T) {
	const callers = 100
	var arrived, done atomic.Int64
	engine := startEngine(t, func(http.ResponseWriter, *http.Request) { arrived.Add(1) })
	client := newTestClient(t)
	front := httptest.NewUnstartedServer(hangup.NewWatcher().Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = client.Complete(r.Context(), testCall(engine)) // The engine's answer has no completion.
		done.Add(1)
	})))
	front.Config.ConnContext = hangup.ConnContext
	t.Cleanup(front.Close)
	for range callers {
		conn, err := net.Dial("tcp", front.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		_ = conn.Close()
	}
	time.Sleep(20 * time.Millisecond)
	front.Start()
	for end := time.Now().Add(10 * time.Second); done.Load() < callers && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	if done.Load() < callers || arrived.Load() > 0 {
		t.Errorf("%d of %d requests arrived at the upstream, %d ended", arrived.Load(), callers, done.Load())
	}
}
