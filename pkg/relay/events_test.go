package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cassiapin/pkg/budget"
	"cassiapin/pkg/result"
)

// endless is a body that repeats a text until it is closed, with a pause before
// each copy.
type endless struct {
	text  string
	pause time.Duration
	ctx   context.Context
	rest  string
	read  int
}

func (b *endless) Read(p []byte) (int, error) {
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	if b.rest == "" {
		if b.pause > 0 {
			select {
			case <-time.After(b.pause):
			case <-b.ctx.Done():
				return 0, b.ctx.Err()
			}
		}
		b.rest = b.text
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	b.read += n
	return n, nil
}

func (*endless) Close() error { return nil }

// sendsEndlessly answers with a signed head, a prefix and then the endless text.
func sendsEndlessly(prefix, text string, pause time.Duration) func(context.Context, *Send) (*Answer, error) {
	return func(ctx context.Context, _ *Send) (*Answer, error) {
		return &Answer{
			Status: 200, Header: http.Header{}, Signed: true, MatchesRequest: true, Confidence: -1,
			Body: &prefixed{strings.NewReader(prefix), &endless{text: text, pause: pause, ctx: ctx}},
		}, nil
	}
}

// prefixed is a body with other bytes before it.
type prefixed struct {
	prefix *strings.Reader
	io.ReadCloser
}

func (b *prefixed) Read(p []byte) (int, error) {
	if b.prefix.Len() > 0 {
		return b.prefix.Read(p)
	}
	return b.ReadCloser.Read(p)
}

// TestEndlessStream guards against a stream of bytes that are no event: it must
// neither keep a request until its deadline nor fill the memory, and the stream
// continues at another upstream.
func TestEndlessStream(t *testing.T) {
	for name, text := range map[string]string{
		"blank lines":           "\r\n\n",
		"comments":              ":\n",
		"comment blocks":        ": still here\n\n",
		"a line without end":    strings.Repeat("x", 1000),
		"a comment without end": ":" + strings.Repeat("x", 1000),
		"an event without end":  "data: x\n",
	} {
		t.Run(name, func(t *testing.T) {
			svc := newTestService(t)
			svc.opts.Memory = budget.NewMemory(2 << 20)
			svc.client.scripts["a"] = sendsEndlessly(event(1), text, 0)
			svc.client.scripts["b"] = answers(200, events(2, 4))
			started := time.Now()
			resp := svc.run("/draft/")
			if !resp.ended || !strings.HasSuffix(resp.body.String(), events(2, 4)) || !strings.HasPrefix(resp.body.String(), event(1)) {
				t.Errorf("the answer is %.200q, ended %v", resp.body.String(), resp.ended)
			}
			if took := time.Since(started); took > time.Second {
				t.Errorf("the stream continued after %s", took)
			}
			if used := svc.opts.Memory.Used(); used != 0 {
				t.Errorf("%d bytes of memory are still reserved", used)
			}
		})
	}
}

// TestTrickle guards against a stalled stream that is never cut because its
// upstream sends a byte or a comment now and then.
func TestTrickle(t *testing.T) {
	for name, text := range map[string]string{"bytes": "x", "blank lines": "\n", "comments": ":\n\n"} {
		t.Run(name, func(t *testing.T) {
			svc := newTestService(t)
			svc.client.scripts["a"] = sendsEndlessly(event(1), text, 50*time.Millisecond)
			svc.client.scripts["b"] = answers(200, events(2, 4))
			resp := svc.run("/draft/", func(r *Request) { r.Timeout = 20 * time.Second })
			if !resp.ended || !strings.HasSuffix(resp.body.String(), events(2, 4)) {
				t.Errorf("the answer is %.200q, ended %v", resp.body.String(), resp.ended)
			}
		})
	}
}

// TestSlowStream guards against a slow stream with regular events that is cut
// although its pauses are shorter than the route's limit.
func TestSlowStream(t *testing.T) {
	svc := newTestService(t)
	svc.client.scripts["a"] = func(ctx context.Context, _ *Send) (*Answer, error) {
		r, w := io.Pipe()
		go func() {
			for id := 1; id <= 8; id++ {
				for _, half := range []string{event(id)[:5], event(id)[5:]} {
					time.Sleep(90 * time.Millisecond)
					_, _ = io.WriteString(w, half) // It fails once the attempt is closed.
				}
			}
			w.Close()
		}()
		return &Answer{Status: 200, Header: http.Header{}, Signed: true, MatchesRequest: true, Confidence: -1, Body: r}, nil
	}
	svc.client.scripts["b"] = answers(200, events(1, 8))
	resp := svc.run("/draft/")
	if resp.body.String() != events(1, 8) || svc.client.upstreams() != "a" {
		t.Errorf("the answer is %q from %s", resp.body.String(), svc.client.upstreams())
	}
}

// TestEndlessAnswer guards against plain answers without end that fill the
// memory, and against usual answers that fail meanwhile.
func TestEndlessAnswer(t *testing.T) {
	for _, tc := range []struct {
		path  string
		other func(context.Context, *Send) (*Answer, error)
		want  result.Code
	}{
		{"/lookup/", answers(200, "ok"), 0},
		{"/booking/", answers(200, "ok"), result.OutcomeUnknown},
	} {
		svc := newTestService(t)
		svc.opts.Memory = budget.NewMemory(1 << 20)
		svc.client.scripts["a"] = sendsEndlessly("", strings.Repeat("x", 4096), 0)
		svc.client.scripts["b"] = tc.other
		resp := svc.run(tc.path)
		if got := refusalCode(resp); got != tc.want {
			t.Errorf("%s: got code %d, want %d", tc.path, got, tc.want)
		}
		if used := svc.opts.Memory.Used(); used != 0 {
			t.Errorf("%d bytes of memory are still reserved", used)
		}
	}
}

func refusalCode(resp *recordingResponder) result.Code {
	if resp.refusal == nil {
		return 0
	}
	return resp.refusal.Code
}
