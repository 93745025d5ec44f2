package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cassiapin/platform/platformtest"
)

// goneLimit is how long after a caller has closed its connection its request may
// still reach an upstream or be at work there.
const goneLimit = 500 * time.Millisecond

// gatedListener accepts connections once it is open; until then they wait in the
// kernel, as before a process that is paused.
type gatedListener struct {
	net.Listener
	open chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	<-l.open
	return l.Listener.Accept()
}

// departures are the ways in which callers leave.
var departures = map[string]func(*net.TCPConn){
	"close":      func(c *net.TCPConn) { _ = c.Close() },
	"half close": func(c *net.TCPConn) { _ = c.CloseWrite() },
	"reset": func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	},
}

// rawRequest is a request with a body, as a caller writes it.
func rawRequest(path, id string) string {
	return platformtest.RawRequest(path, id, 1500*time.Millisecond)
}

func dialRaw(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// TestCallersGoneBeforeRead guards against requests that are sent to upstreams
// although their callers left before the node read them.
func TestCallersGoneBeforeRead(t *testing.T) {
	const callers = 150
	for name, leave := range departures {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 0)
			gate := make(chan struct{})
			n := f.startWith(0, func(n *Node) { n.servers.all[0].listener = gatedListener{n.servers.all[0].listener, gate} })
			f.eventually("the node is ready", n.Ready)
			for i := range callers {
				conn := dialRaw(t, n.settings.Entry)
				_, _ = io.WriteString(conn, rawRequest("/lookup/1", fmt.Sprint(i)))
				leave(conn)
			}
			time.Sleep(50 * time.Millisecond)
			close(gate)
			f.eventually("the node serves", func() bool {
				status, _ := f.get(n, "/lookup/1", "key")
				return status == 200
			})
			time.Sleep(200 * time.Millisecond)
			if ran := f.ran["i-1"].Load() + f.ran["i-2"].Load() - 1; ran > 0 {
				t.Errorf("%d of %d requests ran although their callers had left before", ran, callers)
			}
		})
	}
}

// TestCallersGoneWhileAtWork guards against upstreams that work on for callers
// that have left, also if these had sent the start of a next request.
func TestCallersGoneWhileAtWork(t *testing.T) {
	for _, ahead := range []string{"", "P", rawRequest("/lookup/2", "next")} {
		for name, leave := range departures {
			t.Run(fmt.Sprintf("%s after %d bytes", name, len(ahead)), func(t *testing.T) {
				f := newFleet(t, 1)
				f.store.RemoveRunner("i-1")
				f.store.RemoveRunner("i-2")
				r := &holdingRunner{ended: make(chan struct{})}
				f.store.PutRunner("i-3", "v1", platformtest.Runner(t, r.ServeHTTP))
				n := f.nodes[0]
				f.eventually("the node knows the runner", func() bool {
					all := n.storeView.View().Upstreams["pool"]
					return len(all) == 1 && all[0].ID == "i-3"
				})
				conn := dialRaw(t, n.settings.Entry)
				_, _ = io.WriteString(conn, rawRequest("/lookup/1", "7"))
				f.eventually("the request is at work", func() bool { return r.arrived.Load() > 0 })
				_, _ = io.WriteString(conn, ahead)
				time.Sleep(20 * time.Millisecond)
				left := time.Now()
				leave(conn)
				select {
				case <-r.ended:
				case <-time.After(goneLimit):
					t.Errorf("the upstream is at work %v after the caller has left", time.Since(left))
				}
				time.Sleep(goneLimit)
				if got := r.arrived.Load(); got > 1 {
					t.Errorf("%d requests reached the upstream, want 1", got)
				}
			})
		}
	}
}

// holdingRunner works on each request until its connection closes.
type holdingRunner struct {
	arrived atomic.Int64
	once    sync.Once
	// ended is closed when the first request ends.
	ended chan struct{}
}

func (r *holdingRunner) ServeHTTP(_ http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body) // The server notices the close once the body has been read.
	r.arrived.Add(1)
	<-q.Context().Done()
	r.once.Do(func() { close(r.ended) })
}
