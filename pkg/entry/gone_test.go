package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cassiapin/pkg/dispatch"
)

// TestCallerGoneWhileAtWork guards against requests that stay at work after their
// caller, which had sent the start of a next request, has left.
func TestCallerGoneWhileAtWork(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	d := &fakeDispatcher{stream: func(ctx context.Context, _ dispatch.Sink) error {
		close(began)
		<-ctx.Done()
		close(ended)
		return ctx.Err()
	}}
	conn, err := net.Dial("tcp", start(t, d))
	if err != nil {
		t.Fatal(err)
	}
	body := `{"model":"auto","stream":true,"messages":[{"role":"user","content":"x"}]}`
	request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	if err := request.Write(conn); err != nil {
		t.Fatal(err)
	}
	<-began
	_, _ = io.WriteString(conn, "P")
	time.Sleep(20 * time.Millisecond)
	_ = conn.Close()
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Error("the request is at work 500 ms after the caller has left")
	}
}
