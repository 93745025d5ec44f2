// Package hanguptest plays callers that leave, for tests of request paths.
package hanguptest

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cassiapin/pkg/hangup"
)

const (
	// arriveTime is enough for bytes and closes to reach the server.
	arriveTime = 10 * time.Millisecond
	// serveTime bounds how long a request may take.
	serveTime = 10 * time.Second
)

// ServeGone serves requests whose callers leave before the handler runs. Each caller
// has sent the start of a next request, so that net/http does not notice that it
// leaves; only a query of its connection does.
func ServeGone(t *testing.T, callers int, request string, handler http.Handler) {
	t.Helper()
	began, left, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	front := httptest.NewUnstartedServer(hangup.NewWatcher().Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() { ended <- struct{}{} }()
		began <- struct{}{}
		<-left
		handler.ServeHTTP(w, r)
	})))
	front.Config.ConnContext = hangup.ConnContext
	front.Start()
	t.Cleanup(front.Close)
	for range callers {
		conn, err := net.Dial("tcp", front.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, request); err != nil {
			t.Fatal(err)
		}
		await(t, began)
		time.Sleep(arriveTime)
		_, _ = io.WriteString(conn, "G") // The server has read its caller's request.
		time.Sleep(arriveTime)
		_ = conn.Close() // The caller leaves in any case.
		time.Sleep(arriveTime)
		left <- struct{}{}
		await(t, ended)
	}
}

func await(t *testing.T, happened <-chan struct{}) {
	t.Helper()
	select {
	case <-happened:
	case <-time.After(serveTime):
		t.Fatalf("the request takes longer than %v", serveTime)
	}
}
