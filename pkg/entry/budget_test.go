package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cassiapin/pkg/dispatch"
)

// streamRequest is a chat request with a body of about size bytes.
func streamRequest(size int) string {
	body := fmt.Sprintf(`{"model":"auto","stream":true,"messages":[{"role":"user","content":%q}]}`, strings.Repeat("x", size))
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		apiKey, len(body), body)
}

// TestBodiesBoundedTogether guards against bodies that are sound one by one and
// exceed the memory together; a head takes some 500 bytes of it.
func TestBodiesBoundedTogether(t *testing.T) {
	began, done := make(chan struct{}), make(chan struct{})
	d := &fakeDispatcher{stream: func(context.Context, dispatch.Sink) error {
		close(began)
		<-done
		return nil
	}}
	address := startWith(t, d, Options{BodyMemory: 1500})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprint(conn, streamRequest(600))
	<-began
	response, body := exchange(t, address, streamRequest(600))
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" ||
		!strings.Contains(string(body), "memory_exhausted") || !strings.Contains(string(body), "not_run") {
		t.Errorf("status %d, Retry-After %q, %s", response.StatusCode, response.Header.Get("Retry-After"), body)
	}
	close(done)
	d.stream = nil
	for end := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
		if response, _ = exchange(t, address, streamRequest(600)); response.StatusCode == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("status %d after the memory was given back", response.StatusCode)
		}
	}
}

// TestIdleCallersYield guards against callers that hold connections and thereby
// keep a node from serving others.
func TestIdleCallersYield(t *testing.T) {
	address := startWith(t, &fakeDispatcher{}, Options{Connections: 3})
	for range 10 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	response, _ := exchange(t, address, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
	if response.StatusCode != http.StatusOK {
		t.Errorf("status %d", response.StatusCode)
	}
}
