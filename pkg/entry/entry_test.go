package entry

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/dispatch"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/result"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const apiKey = "key of the studio"

// fakeDispatcher answers every request and records the last one.
type fakeDispatcher struct {
	kernel.Base
	chat    *dispatch.ChatRequest
	service *dispatch.ServiceRequest
	stream  func(ctx context.Context, sink dispatch.Sink) error
}

func (*fakeDispatcher) Name() string { return dispatch.ServiceName }

func (f *fakeDispatcher) Chat(ctx context.Context, r *dispatch.ChatRequest) (*dispatch.ChatResult, error) {
	f.chat = r
	if r.Sink != nil && f.stream != nil {
		if err := f.stream(ctx, r.Sink); err != nil {
			return nil, err
		}
	}
	return &dispatch.ChatResult{ContentType: "application/json", Body: []byte("{}")}, nil
}

func (f *fakeDispatcher) CallService(_ context.Context, r *dispatch.ServiceRequest) (*dispatch.ServiceResult, error) {
	f.service = r
	return &dispatch.ServiceResult{Status: 200}, nil
}

type fakeSource struct {
	kernel.Base
	*config.Static
}

func (fakeSource) Name() string { return config.SourceServiceName }

// start serves the client API with the given dispatcher and returns its address.
func start(t *testing.T, d *fakeDispatcher) string {
	t.Helper()
	return startWith(t, d, Options{WriteTimeout: 500 * time.Millisecond})
}

// startWith is start with other options.
func startWith(t *testing.T, d *fakeDispatcher, o Options) string {
	t.Helper()
	sum := sha256.Sum256([]byte(apiKey))
	snapshot := config.NewSnapshot(7, "", config.Declarations{
		Organisations: []config.Organisation{{Name: "studio", KeySHA256: []string{hex.EncodeToString(sum[:])}, DefaultClass: "tag"}},
		Classes: []config.Class{
			{Name: "tag", Deadline: config.Duration(10 * time.Second), Priority: 5},
		},
		Services: []config.Service{
			{Name: "booth", Timeout: config.Duration(time.Second)},
			{Name: "private", Timeout: config.Duration(time.Second), Organisations: []string{"other"}},
		},
		Limits: config.Limits{BodyBytes: 1000},
	})
	k := kernel.New(clock.Real{}, slog.New(slog.DiscardHandler))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o.Listener, o.SelfURL = listener, "http://"+listener.Addr().String()
	s := New(o)
	if err := k.Register(fakeSource{Static: &config.Static{Snapshot: snapshot}}, d, s); err != nil {
		t.Fatal(err)
	}
	if err := k.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := k.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// exchange sends raw bytes and returns the response.
func exchange(t *testing.T, address, raw string) (*http.Response, []byte) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(conn, raw); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, body
}

func post(path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nConnection: close\r\nContent-Length: %d\r\n%s\r\n%s",
		path, apiKey, len(body), headers, body)
}

const chatPath = "/v1/chat/completions"
const chatBody = `{"messages":[{"role":"user","content":"x"}]}`

// Guards against accepting invalid requests: wrong keys, repeated or oversized
// headers, request smuggling, path traversal, malformed or oversized bodies.
func TestInvalidRequestsAreRejected(t *testing.T) {
	cases := []struct {
		name, raw string
		status    int
		code      result.Code
	}{
		{"good request", post(chatPath, "", chatBody), 200, 0},
		{"no key", strings.Replace(post(chatPath, "", chatBody), "Bearer", "Basic", 1), 401, result.Unauthenticated},
		{"wrong key", strings.Replace(post(chatPath, "", chatBody), apiKey, apiKey+"x", 1), 401, result.Unauthenticated},
		{"two keys", post(chatPath, "Authorization: Bearer other\r\n", chatBody), 400, result.BadHeader},
		{"two sessions", post(chatPath, "Cassiapin-Session: a\r\nCassiapin-Session: b\r\n", chatBody), 400, result.BadHeader},
		{"long key", post(chatPath, "Idempotency-Key: "+strings.Repeat("k", 129)+"\r\n", chatBody), 400, result.BadHeader},
		{"bad priority", post(chatPath, "Cassiapin-Priority: 10\r\n", chatBody), 400, result.BadHeader},
		{"bad deadline", post(chatPath, "Cassiapin-Deadline-Ms: -1\r\n", chatBody), 400, result.BadHeader},
		{"unknown class", post(chatPath, "Cassiapin-Class: none\r\n", chatBody), 400, result.UnknownClass},
		{"not JSON", post(chatPath, "", "hello"), 400, result.BadRequest},
		{"no messages", post(chatPath, "", "{}"), 400, result.BadRequest},
		{"large body", post(chatPath, "", `{"x":"`+strings.Repeat("x", 2000)+`"}`), 413, result.BodyTooLarge},
		{"large header", post(chatPath, "X: "+strings.Repeat("x", 40<<10)+"\r\n", chatBody), 431, 0},
		{"two lengths", post(chatPath, "Content-Length: 3\r\n", chatBody), 400, 0},
		{"length and chunks", post(chatPath, "Transfer-Encoding: chunked, identity\r\n", chatBody), 501, 0},
		{"parent path", post("/services/booth/../../v1/models", "", ""), 400, result.BadRequest},
		{"encoded parent path", post("/services/booth/%2e%2e/private/x", "", ""), 400, result.BadRequest},
		{"encoded slash", post("/services/booth/a%2f..%2fb", "", ""), 400, result.BadRequest},
		{"service of another organisation", post("/services/private/x", "", ""), 404, result.NotFound},
		{"unknown path", post("/v2/x", "", ""), 404, result.NotFound},
		{"wrong method", strings.Replace(post(chatPath, "", ""), "POST", "PUT", 1), 405, result.MethodNotAllowed},
	}
	address := start(t, &fakeDispatcher{})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response, body := exchange(t, address, c.raw)
			if response.StatusCode != c.status {
				t.Fatalf("status %d, want %d: %s", response.StatusCode, c.status, body)
			}
			if c.code == 0 {
				return
			}
			var e errorBody
			if err := json.Unmarshal(body, &e); err != nil || e.Error.CassiapinCode != int(c.code) || e.Error.Run != result.NotRun {
				t.Fatalf("got %s, want code %d not_run", body, c.code)
			}
		})
	}
}

// Guards against callers that raise priority or deadline above those of the
// class, and against loss of parts of a service's path or query.
func TestPriorityAndDeadlineAreCapped(t *testing.T) {
	d := &fakeDispatcher{}
	address := start(t, d)
	exchange(t, address, post(chatPath, "Cassiapin-Priority: 9\r\nCassiapin-Deadline-Ms: 99999999\r\n", chatBody))
	if d.chat.Priority != 5 || time.Until(d.chat.Deadline) > 10*time.Second {
		t.Errorf("priority %d, deadline in %s", d.chat.Priority, time.Until(d.chat.Deadline))
	}
	exchange(t, address, post("/services/booth/bookings/7?slot=a%20b", "", "x"))
	if got := d.service.Path + "?" + d.service.Query; got != "/bookings/7?slot=a%20b" {
		t.Errorf("path and query %q", got)
	}
}

// Guards against a stream that fails after its start but looks complete.
func TestFailedStreamHasNoTerminalMarker(t *testing.T) {
	d := &fakeDispatcher{stream: func(_ context.Context, sink dispatch.Sink) error {
		if err := sink.Start(dispatch.Meta{}); err != nil {
			return err
		}
		if err := sink.Event([]byte(`{"a":1}`)); err != nil {
			return err
		}
		return result.New(result.StreamCut, "cut").WithRun(result.Ran)
	}}
	_, body := exchange(t, start(t, d), post(chatPath, "", strings.Replace(chatBody, "{", `{"stream":true,`, 1)))
	if text := string(body); strings.Contains(text, "[DONE]") || !strings.Contains(text, `"cassiapin_code":304`) {
		t.Fatalf("got %q", text)
	}
}

// Guards against a caller that stops reading and thereby occupies its stream
// and a runner indefinitely.
func TestCallerThatStopsReadingIsDisconnected(t *testing.T) {
	ended := make(chan error, 1)
	d := &fakeDispatcher{stream: func(ctx context.Context, sink dispatch.Sink) error {
		err := sink.Start(dispatch.Meta{})
		for event := []byte(strings.Repeat("x", 64<<10)); err == nil && ctx.Err() == nil; {
			err = sink.Event(event)
		}
		ended <- err
		return result.New(result.CallerCancelled, "gone").WithRun(result.Ran)
	}}
	address := start(t, d)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, post(chatPath, "", strings.Replace(chatBody, "{", `{"stream":true,`, 1))); err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	select {
	case err := <-ended:
		if err == nil {
			t.Fatal("the stream ended without an error")
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the stream was not aborted after the write timeout")
	}
}

// Guards against a draining node that still lists itself in /v1/entries.
func TestDrainingNodeIsNotListed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	s := New(Options{Listener: listener})
	s.config = &config.Static{Snapshot: config.NewSnapshot(1, "", config.Declarations{})}
	for _, want := range []int{1, 0} {
		recorder := &recorder{header: http.Header{}}
		s.entries(recorder, nil)
		var e Entries
		if err := json.Unmarshal(recorder.body, &e); err != nil || len(e.Entries) != want || e.TTLSeconds != 5 {
			t.Fatalf("got %s, want %d entries", recorder.body, want)
		}
		s.StopAdvertising()
	}
}

// Guards against a stop that cuts off a request because its caller still used a
// kept connection when the idle ones were closed: callers have to be asked to
// reconnect elsewhere as soon as the node leaves.
func TestLeavingNodeAsksCallersToReconnect(t *testing.T) {
	s := New(Options{})
	s.config = &config.Static{Snapshot: config.NewSnapshot(1, "", config.Declarations{})}
	handler := s.handler()
	for _, want := range []string{"", "close"} {
		recorder := &recorder{header: http.Header{}}
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/entries", nil))
		if got := recorder.header.Get("Connection"); got != want {
			t.Errorf("Connection: %q, want %q", got, want)
		}
		s.StopAdvertising()
	}
}

type recorder struct {
	header http.Header
	body   []byte
}

func (r *recorder) Header() http.Header { return r.header }
func (r *recorder) WriteHeader(int)     {}
func (r *recorder) Write(p []byte) (int, error) {
	r.body = append(r.body, p...)
	return len(p), nil
}

// Guards against accepting paths that an upstream may normalise differently.
func FuzzCheckPath(f *testing.F) {
	f.Add("/services/a/b")
	f.Add("/services/%2e%2E/x")
	f.Fuzz(func(t *testing.T, path string) {
		if rejectAmbiguousPath(path) != nil {
			return
		}
		for _, segment := range strings.Split(path, "/") {
			if segment == ".." || strings.EqualFold(segment, "%2e%2e") || strings.ContainsRune(segment, '\\') {
				t.Fatalf("%q is accepted", path)
			}
		}
	})
}

// Guards against a missing header for sessions that may have moved, and against
// setting it for all sessions.
func TestSessionMovedHeader(t *testing.T) {
	previous := config.VersionRef{Model: "m", Version: "1"}
	for want, m := range map[string]dispatch.Meta{
		"": {}, "m@1": {MovedFrom: previous, BindingLost: true}, "unknown": {BindingLost: true},
	} {
		h := http.Header{}
		setMeta(h, m)
		if got := h.Get(headerSessionMoved); got != want {
			t.Errorf("%+v: header %q, want %q", m, got, want)
		}
	}
}
