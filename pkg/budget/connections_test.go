package budget

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// startBound serves a handler with a bound on its connections.
func startBound(t *testing.T, limit int, handler http.HandlerFunc) (*httptest.Server, *Connections) {
	t.Helper()
	c := NewConnections(limit)
	s := httptest.NewUnstartedServer(handler)
	s.Listener = c.Listener(s.Listener)
	s.Config.ConnState = c.ConnState
	s.Start()
	t.Cleanup(s.Close)
	return s, c
}

// caller is a connection to a server.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, s *httptest.Server) caller {
	t.Helper()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	return caller{conn, bufio.NewReader(conn)}
}

// get sends a request and returns the status of its answer, zero without one.
func (c caller) get() int {
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") // Without an answer it failed.
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// TestLongestIdleConnectionYields guards against a server that takes no new
// connection because of idle ones, and against closing another than the longest
// idle.
func TestLongestIdleConnectionYields(t *testing.T) {
	s, c := startBound(t, 3, func(http.ResponseWriter, *http.Request) {})
	var all []caller
	for range 3 {
		all = append(all, dial(t, s))
		if status := all[len(all)-1].get(); status != 200 {
			t.Fatalf("status %d", status)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if all[0].get() != 200 { // The second one is now idle longest.
		t.Fatal("a kept connection gets no answer")
	}
	time.Sleep(5 * time.Millisecond)
	if status := dial(t, s).get(); status != 200 {
		t.Errorf("a new connection at the bound: status %d", status)
	}
	for i, want := range []int{200, 0, 200} {
		if got := all[i].get(); got != want {
			t.Errorf("connection %d: status %d, want %d", i, got, want)
		}
	}
	if open := c.Open(); open != 3 {
		t.Errorf("%d connections are open", open)
	}
}

// TestBusyConnectionsKept guards against closing connections with requests at work,
// and against a server that does not say that it refuses connections.
func TestBusyConnectionsKept(t *testing.T) {
	done := make(chan struct{})
	s, c := startBound(t, 2, func(http.ResponseWriter, *http.Request) { <-done })
	answers := make(chan int, 2)
	for range 2 {
		busy := dial(t, s)
		go func() { answers <- busy.get() }()
	}
	eventually(t, "both requests are at work", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.idle.Len() == 0 && c.open == 2
	})
	if status := dial(t, s).get(); status != 0 {
		t.Errorf("a connection beyond the bound: status %d", status)
	}
	time.Sleep(20 * time.Millisecond)
	if c.RefusingFor() < 20*time.Millisecond || !c.Crowded() {
		t.Errorf("refusing for %v, crowded %v", c.RefusingFor(), c.Crowded())
	}
	close(done)
	for range 2 {
		if status := <-answers; status != 200 {
			t.Errorf("a request at work: status %d", status)
		}
	}
	eventually(t, "an idle connection can yield", func() bool { return c.RefusingFor() == 0 })
	if status := dial(t, s).get(); status != 200 {
		t.Errorf("a new connection afterwards: status %d", status)
	}
}

// TestIdleConnectionsExpire guards against idle connections that outlast a limit
// which may change, and against connections that are counted after their end.
func TestIdleConnectionsExpire(t *testing.T) {
	s, c := startBound(t, 10, func(http.ResponseWriter, *http.Request) {})
	kept, silent := dial(t, s), dial(t, s)
	if kept.get() != 200 {
		t.Fatal("no answer")
	}
	eventually(t, "both are open", func() bool { return c.Open() == 2 })
	c.CloseIdle(time.Minute)
	if kept.get() != 200 {
		t.Error("a connection was closed before the limit")
	}
	time.Sleep(20 * time.Millisecond)
	c.CloseIdle(10 * time.Millisecond)
	for _, conn := range []caller{kept, silent} {
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		if n, err := conn.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
			t.Errorf("a connection is open after the limit: read %d bytes, %v", n, err)
		}
	}
	if c.Open() != 0 {
		t.Errorf("%d connections count after the limit", c.Open())
	}
	closed := dial(t, s)
	eventually(t, "it is open", func() bool { return c.Open() == 1 })
	_ = closed.Close()
	eventually(t, "a closed connection is counted", func() bool { return c.Open() == 0 })
}

// acceptOne returns a bound of one connection with both ends of that connection.
func acceptOne(t *testing.T) (c *Connections, in, out net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c = NewConnections(1)
	bound := c.Listener(l)
	if out, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if in, err = bound.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_, _, _ = in.Close(), out.Close(), l.Close() // Closed connections may be closed again.
	})
	return c, in, out
}

// TestEvictedRequestUnread guards against requests that are read on a connection which
// was chosen to be closed, and whose answer would be lost: they are unread or served.
func TestEvictedRequestUnread(t *testing.T) {
	evict := func(t *testing.T, c *Connections) *boundConn {
		t.Helper()
		c.mu.Lock()
		defer c.mu.Unlock()
		evicted := c.evictOldest()
		if evicted == nil {
			t.Fatal("a connection without a request is not idle")
		}
		return evicted
	}
	t.Run("before its reading ends", func(t *testing.T) {
		c, in, out := acceptOne(t)
		evicted := evict(t, c)
		_, _ = fmt.Fprint(out, "GET")
		if n, err := in.Read(make([]byte, 8)); n != 3 || err != nil {
			t.Errorf("read %d bytes, %v", n, err)
		}
		evicted.endReading()
		_, _ = fmt.Fprint(out, " /")
		if n, err := in.Read(make([]byte, 8)); n != 2 || err != nil {
			t.Errorf("of the rest of a request that is served %d bytes are read, %v", n, err)
		}
		if _, err := in.Write([]byte("answer")); err != nil {
			t.Errorf("the answer is lost: %v", err)
		}
		if c.Open() != 1 {
			t.Errorf("%d connections open, want 1", c.Open())
		}
	})
	t.Run("after its reading ended", func(t *testing.T) {
		c, in, out := acceptOne(t)
		evict(t, c).endReading()
		_, _ = fmt.Fprint(out, "GET")
		_ = in.SetReadDeadline(time.Now().Add(time.Minute)) // As servers do.
		if n, err := in.Read(make([]byte, 8)); n != 0 || err == nil {
			t.Errorf("read %d bytes, %v", n, err)
		}
		if c.Open() != 0 {
			t.Errorf("%d connections open, want none", c.Open())
		}
	})
}

// TestBufferedRequestKeepsConnection guards against a connection that counts as idle
// because its request was read together with the one before it.
func TestBufferedRequestKeepsConnection(t *testing.T) {
	for _, tc := range []struct {
		name  string
		close func(c *Connections)
	}{
		{"planned stop", func(c *Connections) {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			go func() { defer cancel(); _ = c.Drain(ctx) }()
		}},
		{"idle limit", func(c *Connections) { c.CloseIdle(50 * time.Millisecond) }},
		{"limit", func(c *Connections) {
			c.mu.Lock()
			evicted := c.evictOldest()
			c.mu.Unlock()
			if evicted != nil {
				evicted.endReading()
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			begun := make(chan struct{}, 2)
			cancelled := make(chan bool, 2)
			s, c := startBound(t, 10, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/second" {
					begun <- struct{}{}
					select {
					case <-r.Context().Done():
						cancelled <- true
						panic(http.ErrAbortHandler)
					case <-time.After(500 * time.Millisecond):
						cancelled <- false
					}
				}
			})
			caller := dial(t, s)
			_, _ = io.WriteString(caller, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n")
			if _, err := http.ReadResponse(caller.reader, nil); err != nil {
				t.Fatal(err)
			}
			<-begun
			time.Sleep(100 * time.Millisecond)
			tc.close(c)
			if <-cancelled {
				t.Error("the context of a request at work is cancelled")
			}
			if r, err := http.ReadResponse(caller.reader, nil); err != nil || r.StatusCode != 200 {
				t.Errorf("no answer to a request at work: %v", err)
			}
		})
	}
}

// TestArrivedRequestKeepsConnection guards against requests that have arrived, are
// read late and dropped with their connection.
func TestArrivedRequestKeepsConnection(t *testing.T) {
	c, in, out := acceptOne(t)
	_, _ = fmt.Fprint(out, "GET")
	time.Sleep(5 * time.Millisecond)
	c.CloseIdle(0)
	if n, err := in.Read(make([]byte, 8)); n != 3 || err != nil {
		t.Errorf("read %d bytes, %v, want the request", n, err)
	}
	if c.Open() != 1 {
		t.Errorf("%d connections open, want 1", c.Open())
	}
}

// TestDivideFiles guards against callers that take the descriptors which their
// requests need for upstreams.
func TestDivideFiles(t *testing.T) {
	for _, limit := range []int{0, 100, 256, 1024, 4100} {
		d := DivideFiles(limit)
		if limit == 0 {
			limit = processFiles()
		}
		used := 2*d.Callers + d.IdleUpstreams + d.Directory + 2*d.Operators
		if d.Callers < 1 || used > max(limit-reservedFiles, reservedFiles) {
			t.Errorf("%d descriptors: %+v use %d", limit, d, used)
		}
	}
}
