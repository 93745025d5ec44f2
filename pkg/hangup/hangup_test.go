package hangup

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"
)

// startServer serves a handler behind a watcher.
func startServer(t *testing.T, secure bool, handler http.HandlerFunc) (*httptest.Server, *Watcher) {
	t.Helper()
	w := NewWatcher()
	var tb tomb.Tomb
	w.Run(&tb)
	s := httptest.NewUnstartedServer(w.Handler(handler))
	s.Config.ConnContext = ConnContext
	if secure {
		s.StartTLS()
	} else {
		s.Start()
	}
	t.Cleanup(func() {
		s.Close()
		tb.Kill(nil)
		_ = tb.Wait()
	})
	return s, w
}

// TestLeft guards against callers that are taken for gone while they wait, with
// and without TLS, and against ones that are not noticed.
func TestLeft(t *testing.T) {
	for _, secure := range []bool{false, true} {
		t.Run(fmt.Sprintf("TLS %v", secure), func(t *testing.T) {
			var present bool
			began, left := make(chan struct{}), make(chan error, 1)
			s, _ := startServer(t, secure, func(_ http.ResponseWriter, r *http.Request) {
				present = !Left(r.Context())
				close(began)
				<-r.Context().Done()
				if !Left(r.Context()) {
					t.Error("a caller that has left is taken for present")
				}
				left <- r.Context().Err()
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL, nil)
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				<-began
				cancel()
			}()
			if _, err := s.Client().Do(request); err == nil {
				t.Error("the request has an answer")
			}
			if err := <-left; !errors.Is(err, context.Canceled) || !present {
				t.Errorf("present %v, then %v", present, err)
			}
		})
	}
}

// TestSweep guards against callers that have left unnoticed because they had sent
// bytes of a next request, and against requests that are kept after their end.
func TestSweep(t *testing.T) {
	cause := make(chan error, 1)
	s, w := startServer(t, false, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		cause <- context.Cause(r.Context())
	})
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(conn, "GET")
	time.Sleep(20 * time.Millisecond)
	_ = conn.Close()
	select {
	case err := <-cause:
		if !errors.Is(err, ErrCallerLeft) {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(2 * sweepInterval):
		t.Fatal("the request has not ended after two sweeps")
	}
	for end := time.Now().Add(time.Second); len(w.calls(nil)) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the watcher keeps a request that has ended")
		}
	}
}

// TestUnwatched guards against requests that are held back because their
// connection is unknown.
func TestUnwatched(t *testing.T) {
	if Left(context.Background()) {
		t.Error("a request without a connection counts as left")
	}
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	if ctx := ConnContext(context.Background(), a); ctx != context.Background() {
		t.Error("a connection without a descriptor is watched")
	}
}

// BenchmarkLeft measures the query before each send.
func BenchmarkLeft(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if peerClosed(raw) {
			b.Fatal("the connection is open")
		}
	}
}
