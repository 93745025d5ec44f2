package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"
	"unsafe"

	"go.uber.org/goleak"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/policy"
	"cassiapin/pkg/result"
)

// Guards against goroutines and connections that outlive their request.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// ticketFor builds a ticket as a policy.Service issues it. It sets unexported
// fields by reflection, because only a policy.Service may create tickets.
func ticketFor(url string, issued time.Time) policy.Ticket {
	var t policy.Ticket
	set := func(name string, value any) {
		f := reflect.ValueOf(&t).Elem().FieldByName(name)
		reflect.NewAt(f.Type(), unsafe.Pointer(f.UnsafeAddr())).Elem().Set(reflect.ValueOf(value))
	}
	ref := config.VersionRef{Model: "m", Version: "1"}
	set("attempt", policy.Attempt{AttemptID: "a1", Upstream: "u", Version: ref})
	set("upstream", &config.Upstream{Name: "u", URL: url})
	set("issued", issued)
	return t
}

func newTestClient(t *testing.T) *HTTPClient {
	c := NewClient(Options{Clock: clock.Real{}})
	t.Cleanup(func() { _ = c.Cleanup() })
	return c
}

// testCall returns a Call with timeouts that only the timeout tests reach.
func testCall(url string) Call {
	return Call{Ticket: ticketFor(url, time.Now()), Body: []byte(`{}`), FirstByteTimeout: 20 * time.Second, TokenTimeout: 20 * time.Second}
}

func startEngine(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
		h(w, r)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

func expectFailure(t *testing.T, err error, code result.Code, run result.RunState) {
	t.Helper()
	var e *result.Error
	if !errors.As(err, &e) || e.Code != code || e.Run != run {
		t.Fatalf("got %v, want code %v with run state %v", err, code, run)
	}
}

// Guards against failures with a wrong run state, and against returning the
// response of another attempt to a caller.
func TestFailuresReportRunState(t *testing.T) {
	closed := httptest.NewServer(nil)
	closed.Close()
	handlers := map[string]http.HandlerFunc{
		"cut": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"busy": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(429)
		},
		"cold": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderEngineState, "cold")
			w.WriteHeader(503)
		},
		"unavailable":      func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) },
		"wrong attempt id": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(HeaderAttempt, "a2") },
		"no attempt id":    func(w http.ResponseWriter, _ *http.Request) { w.Header().Del(HeaderAttempt) },
		"busy, no attempt id": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Del(HeaderAttempt)
			w.WriteHeader(429)
		},
		"truncated JSON": func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"choices":[{"mess`) },
	}
	for _, c := range []struct {
		name string
		code result.Code
		run  result.RunState
		cold bool
	}{
		{"refused", result.ConnectFailed, result.NotRun, true},
		{"cut", result.StreamCut, result.Unknown, false},
		{"busy", result.UpstreamRefused, result.NotRun, false},
		{"cold", result.UpstreamRefused, result.NotRun, true},
		{"unavailable", result.UpstreamError, result.Ran, false},
		{"wrong attempt id", result.AnswerMismatch, result.Unknown, false},
		{"no attempt id", result.AnswerMismatch, result.Unknown, false},
		{"busy, no attempt id", result.UpstreamError, result.Unknown, false},
		{"truncated JSON", result.StreamCut, result.Ran, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			url := closed.URL
			if h := handlers[c.name]; h != nil {
				url = startEngine(t, h)
			}
			_, err := newTestClient(t).Complete(context.Background(), testCall(url))
			expectFailure(t, err, c.code, c.run)
			if IndicatesColdStart(err) != c.cold {
				t.Fatalf("cold-start indication for %v is %v", err, !c.cold)
			}
		})
	}
	_, err := newTestClient(t).Complete(context.Background(), Call{Ticket: ticketFor(closed.URL, time.Now().Add(-time.Second))})
	expectFailure(t, err, result.TicketExpired, result.NotRun)
}

// Guards against automatic retries by net/http when the upstream closes a
// keep-alive connection after receiving the request.
func TestPossiblySentRequestIsNotRetried(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var received atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for i := 0; i < 2; i++ {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					received.Add(1)
					if i == 0 {
						fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					}
				}
			}()
		}
	}()
	c := newTestClient(t)
	for _, method := range []string{"GET", "POST"} {
		received.Store(0)
		request := ServiceCall{
			Endpoint: config.ServiceEndpoint{URL: "http://" + listener.Addr().String()}, Method: method, Path: "/p",
			AttemptID: "a1", Timeout: 20 * time.Second,
			Header: http.Header{"Idempotency-Key": {"k"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}},
		}
		if _, err := c.CallService(context.Background(), request); err != nil {
			t.Fatal(err)
		}
		_, err := c.CallService(context.Background(), request)
		expectFailure(t, err, result.StreamCut, result.Unknown)
		if n := received.Load(); n != 2 {
			t.Fatalf("%s: the upstream received %d requests, want 2", method, n)
		}
	}
	if got := endToEnd(http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Te": {"x"}, "Accept": {"y"}}); len(got) != 1 {
		t.Fatalf("hop-by-hop headers were not removed: %v", got)
	}
}

// Guards against a late write after the request was reported as not run.
func TestSealedConnectionRejectsWrites(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	c := &trackedConn{Conn: a}
	s := &sendTrace{gotConn: true, conn: c, writesBefore: c.writeCount()}
	if s.runState() != result.NotRun {
		t.Fatal("an unwritten request is not reported as not run")
	}
	if _, err := c.Write([]byte("x")); !errors.Is(err, errSealed) {
		t.Fatalf("write to a sealed connection returned %v", err)
	}
}

func event(text string) string {
	return `data: {"choices":[{"delta":{"content":"` + text + `"}}]}` + "\n\n"
}

func readStream(s Stream) (text string, err error) {
	for {
		chunk, err := s.Next()
		if err != nil {
			return text, err
		}
		text += chunk.Text
	}
}

// Guards against streams that count as complete without the terminal marker,
// against waiting forever on a stalled connection, and against lost or
// duplicate events when a stream is resumed.
func TestStreamRequiresTerminalMarker(t *testing.T) {
	const done = "data: [DONE]\n\n"
	long := "data: " + strings.Repeat("x", maxLineBytes) + "\n"
	for _, c := range []struct {
		name, first, resumed, text string
		hang                       bool
		code                       result.Code
	}{
		{name: "complete", first: ": hello\r\n\r\n" + event("a") + event("b") + done, text: "ab"},
		{name: "cut", first: event("a") + `data: {"choices":[]}`, text: "a", code: result.StreamCut},
		{name: "silent", first: event("a"), hang: true, text: "a", code: result.UpstreamSilent},
		{name: "resumed after a cut", first: event("a"), resumed: event("b") + done, text: "ab"},
		{name: "resumed after silence", first: event("a"), hang: true, resumed: event("b") + done, text: "ab"},
		{name: "resumed once", first: event("a"), resumed: event("b"), text: "ab", code: result.StreamCut},
		{name: "line too long", first: long, code: result.AnswerTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			var from atomic.Value
			url := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				if r.Method == http.MethodGet {
					from.Store(r.URL.Path + "?" + r.URL.RawQuery)
					fmt.Fprint(w, c.resumed)
					return
				}
				if c.resumed != "" {
					w.Header().Set(HeaderResume, "1")
				}
				fmt.Fprint(w, c.first)
				w.(http.Flusher).Flush()
				if c.hang {
					<-r.Context().Done()
				}
			})
			request := testCall(url)
			if c.hang {
				request.TokenTimeout = time.Second
			}
			s, err := newTestClient(t).Stream(context.Background(), request)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			text, err := readStream(s)
			if text != c.text {
				t.Fatalf("got text %q, want %q (%v)", text, c.text, err)
			}
			if c.resumed != "" && from.Load() != "/v1/streams/a1?from=1" {
				t.Fatalf("resumed with %v", from.Load())
			}
			if c.code == 0 && err != io.EOF {
				t.Fatalf("a complete stream ended with %v", err)
			}
			if c.code != 0 {
				expectFailure(t, err, c.code, result.Ran)
			}
		})
	}
}

// Guards against an engine that continues to generate after the caller
// cancelled the request.
func TestCancelPropagatesToEngine(t *testing.T) {
	ended := make(chan struct{})
	url := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	s, err := newTestClient(t).Stream(ctx, testCall(url))
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	_, err = s.Next()
	expectFailure(t, err, result.CallerCancelled, result.Ran)
	<-ended
}
