package objectstore_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/result"
)

// rawServer answers each request with the head and the body, and resets the connection
// before it has read a long body if cut is set.
func rawServer(t *testing.T, answer string, cut bool) (url string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var conns sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); conns.Wait() })
	conns.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns.Go(func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = fmt.Fprint(conn, answer)
				if cut {
					_ = conn.(*net.TCPConn).SetLinger(0) // Without it the test proves less.
				}
			})
		}
	})
	return "http://" + l.Addr().String()
}

// TestInvalidStatusTakenForAnswer sends answers whose status HTTP does not define.
func TestInvalidStatusTakenForAnswer(t *testing.T) {
	for status, connection := range map[string]string{"000": "close", "099": "close", "101": "Upgrade\r\nUpgrade: x", "600": "close", "999": "close"} {
		t.Run(status, func(t *testing.T) {
			url := rawServer(t, "HTTP/1.1 "+status+" Odd\r\nConnection: "+connection+"\r\nETag: \"7\"\r\nContent-Length: 2\r\n\r\n{}", false)
			c := newClient(t, &server{Server: &httptest.Server{URL: url}}, nil)
			t.Cleanup(func() { _ = c.Cleanup() })
			_, err := c.Create(t.Context(), "a/1", []byte("value"))
			var failed *result.Error
			if !errors.As(err, &failed) || failed.Code != result.PlatformUnavailable || failed.Run != result.Unknown {
				t.Errorf("create: %v", err)
			}
			if c.Available() {
				t.Error("the platform counts as available")
			}
			if _, err := c.Get(t.Context(), "a/1"); result.CodeOf(err) != result.PlatformUnavailable {
				t.Errorf("get: %v", err)
			}
			if _, err := c.List(t.Context(), "a/"); result.CodeOf(err) != result.PlatformUnavailable {
				t.Errorf("list: %v", err)
			}
		})
	}
}

// TestResetListTakenForWhole resets answers without a length.
func TestResetListTakenForWhole(t *testing.T) {
	for _, body := range []string{"", `{"objects":[`, `{"objects":[{"key":"a/1","value":"","version":7}]`} {
		url := rawServer(t, "HTTP/1.1 200 OK\r\n\r\n"+body, true)
		c := newClient(t, &server{Server: &httptest.Server{URL: url}}, nil)
		t.Cleanup(func() { _ = c.Cleanup() })
		if objects, err := c.List(t.Context(), "a/"); result.CodeOf(err) != result.PlatformUnavailable {
			t.Errorf("%q: %d objects, %v", body, len(objects), err)
		}
		if o, err := c.Get(t.Context(), "a/1"); result.CodeOf(err) != result.PlatformUnavailable {
			t.Errorf("%q: object %v, %v", body, o, err)
		}
	}
}
