// Package hanguptest plays callers that leave, for tests of request paths.
package hanguptest

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"cassiapin/pkg/hangup"
)

const (
	// closeTime is enough for the closes to reach the server's side.
	closeTime = 20 * time.Millisecond
	// serveTime bounds how long the requests may take.
	serveTime = 10 * time.Second
)

// ServeGone serves the requests of callers that have written them and closed their
// connections before the server accepts them. It returns when all requests have
// ended.
func ServeGone(t *testing.T, callers int, request string, handler http.Handler) {
	t.Helper()
	var ended atomic.Int64
	front := httptest.NewUnstartedServer(hangup.NewWatcher().Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer ended.Add(1)
		handler.ServeHTTP(w, r)
	})))
	front.Config.ConnContext = hangup.ConnContext
	t.Cleanup(front.Close)
	for range callers {
		conn, err := net.Dial("tcp", front.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.WriteString(conn, request)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.Close() // The caller leaves in any case.
	}
	time.Sleep(closeTime)
	front.Start()
	for end := time.Now().Add(serveTime); ended.Load() < int64(callers); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d requests have ended", ended.Load(), callers)
		}
	}
}
