package edge

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"cassiapin/pkg/settings"
	"cassiapin/platform/platformtest"
)

// TestHeldConnectionsLeaveRoom guards against callers that hold connections and
// thereby keep a node from serving others, from calling upstreams or from saying
// truly whether it is ready.
func TestHeldConnectionsLeaveRoom(t *testing.T) {
	const files = 400
	f := newFleet(t, 0)
	n := f.startSettings(0, func(s *settings.Router) { s.Limits.FileDescriptors = files }, func(*Node) {})
	f.eventually("the node is ready", n.Ready)
	limit := n.callers
	for i := range 3 * files {
		conn := dialRaw(t, n.settings.Entry)
		if i%2 == 0 { // The others never send a request.
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.WriteString(conn, platformtest.RawRequest("/lookup/1", fmt.Sprint(i), 5*time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Fatalf("connection %d: %v, %+v", i, err, response)
			}
			_, _ = io.Copy(io.Discard, response.Body)
		}
		if limit.Open() > files/2 {
			t.Fatalf("%d connections of callers are open", limit.Open())
		}
	}
	served := 0
	for range 100 {
		if status, _ := f.get(n, "/lookup/1", "key"); status == http.StatusOK {
			served++
		}
		if !n.Ready() {
			t.Fatal("the node is not ready although idle connections can yield")
		}
	}
	if served < 95 {
		t.Errorf("%d of 100 requests are served", served)
	}
}

// TestNotReadyWithoutRoom guards against a node that says that it is ready while it
// takes no new connection.
func TestNotReadyWithoutRoom(t *testing.T) {
	f := newFleet(t, 0)
	hold := make(chan struct{})
	n := f.startSettings(0, func(s *settings.Router) { s.Limits.FileDescriptors = 100 }, func(n *Node) {
		n.servers.all[0].Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hold })
	})
	f.eventually("the node is ready", n.Ready)
	for range 100 {
		_, _ = io.WriteString(dialRaw(t, n.settings.Entry), rawRequest("/lookup/1", "1"))
	}
	f.eventually("the node is not ready", func() bool { return !n.Ready() })
	close(hold)
	f.eventually("the node is ready again", n.Ready)
}
