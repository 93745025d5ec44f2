package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cassiapin/pkg/budget"
)

// cut returns a script whose stream is cut after text.
func cut(text string) func(context.Context, *Send) (*Answer, error) {
	return changed(200, "", func(a *Answer) { a.Body = resetBody{strings.NewReader(text)} })
}

// TestStreamResumes guards against missing, duplicate or merged events when a
// stream is resumed at another upstream.
func TestStreamResumes(t *testing.T) {
	for _, tc := range []struct {
		name          string
		first, second func(context.Context, *Send) (*Answer, error)
		after         int64
	}{
		{"cut between events", cut(events(1, 3)), answers(200, events(4, 6)), 3},
		{"cut within an event", cut(events(1, 3) + "id: 4\ndata: e"), answers(200, events(4, 6)), 3},
		{"ends within an event", answers(200, events(1, 3)+"id: 4\nda"), answers(200, events(4, 6)), 3},
		{"repeats events", cut(events(1, 3)), answers(200, events(2, 6)), 3},
		{"skips an event", answers(200, events(1, 2)+event(4)), answers(200, events(3, 6)), 2},
		{"cut before the first", cut(""), answers(200, events(1, 6)), 0},
		{"unreachable", unreachable, answers(200, events(1, 6)), 0},
		{"application failed", answers(500, "no"), answers(200, events(1, 6)), 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			svc := newTestService(t)
			svc.client.scripts["a"], svc.client.scripts["b"] = tc.first, tc.second
			resp := svc.run("/draft/1")
			if resp.body.String() != events(1, 6) || !resp.ended || resp.aborted || resp.heads != 1 {
				t.Errorf("got %q, ended %v, aborted %v, %d heads", resp.body.String(), resp.ended, resp.aborted, resp.heads)
			}
			if got := svc.client.sends[1].LastEventID; got != tc.after {
				t.Errorf("resumed after %d, want %d", got, tc.after)
			}
		})
	}
}

// TestBrokenStreamAborted guards against a broken stream that looks complete to
// the caller, and against running a stream twice that may run once.
func TestBrokenStreamAborted(t *testing.T) {
	svc := newTestService(t)
	svc.client.scripts["a"], svc.client.scripts["b"] = cut(events(1, 3)), answers(200, events(1, 6))
	resp := svc.run("/once/1")
	if !resp.aborted || resp.ended || svc.client.upstreams() != "a" {
		t.Errorf("aborted %v, ended %v, sends %q", resp.aborted, resp.ended, svc.client.upstreams())
	}
	svc = newTestService(t)
	svc.client.scripts["a"], svc.client.scripts["b"] = cut(events(1, 3)), cut(event(4))
	if resp = svc.run("/draft/1"); !resp.aborted || resp.ended || resp.body.String() != events(1, 4) {
		t.Errorf("aborted %v, ended %v, body %q", resp.aborted, resp.ended, resp.body.String())
	}
}

// TestCallerResumesStream guards against a stream that a caller resumes and that
// starts again from the first event.
func TestCallerResumesStream(t *testing.T) {
	svc := newTestService(t)
	svc.client.scripts["a"] = answers(200, events(5, 6))
	resp := svc.run("/draft/1", func(r *Request) { r.LastEventID = 4 })
	if svc.client.sends[0].LastEventID != 4 || resp.body.String() != events(5, 6) || !resp.ended {
		t.Errorf("after %d, body %q", svc.client.sends[0].LastEventID, resp.body.String())
	}
}

// TestCascade guards against forwarding a low-confidence answer of the small
// model, mixing two models' answers in one stream and replacing the model that
// the caller named.
func TestCascade(t *testing.T) {
	confident := func(c int) func(context.Context, *Send) (*Answer, error) {
		return func(ctx context.Context, s *Send) (*Answer, error) {
			return changed(200, strings.ReplaceAll(events(1, 2), "e", s.Model), func(a *Answer) { a.Confidence = c })(ctx, s)
		}
	}
	cascaded := func(r *Request) { r.Cascade = true }
	svc := newTestService(t)
	svc.client.scripts["a"] = confident(10)
	resp := svc.run("/draft/1", cascaded)
	if len(svc.client.sends) != 2 || svc.client.sends[0].Model != "small" || svc.client.sends[1].Model != "large" {
		t.Fatalf("sends %+v", svc.client.sends)
	}
	if strings.Contains(resp.body.String(), "small") || !resp.ended {
		t.Errorf("body %q, want only the large model's events", resp.body.String())
	}
	svc = newTestService(t)
	svc.client.scripts["a"] = confident(90)
	if svc.run("/draft/1", cascaded); len(svc.client.sends) != 1 {
		t.Errorf("%d sends for a high-confidence answer", len(svc.client.sends))
	}
	svc = newTestService(t)
	svc.client.scripts["a"] = confident(10)
	if svc.run("/draft/1"); len(svc.client.sends) != 1 || svc.client.sends[0].Model != "" {
		t.Errorf("the caller's model was replaced: %+v", svc.client.sends)
	}
}

// pausedBody is a body with a pause between two parts.
type pausedBody struct {
	first, second io.Reader
	pause         time.Duration
	ctx           context.Context
}

func (p *pausedBody) Read(b []byte) (int, error) {
	if n, err := p.first.Read(b); err == nil {
		return n, nil
	}
	select {
	case <-time.After(p.pause):
		p.pause = 0
	case <-p.ctx.Done():
		return 0, p.ctx.Err()
	}
	return p.second.Read(b)
}
func (*pausedBody) Close() error { return nil }

// TestStreamFailsOverOnlyIfProbeFails guards against a stream that waits for a
// dead upstream until its deadline, and against one that fails over from an
// upstream that is only busy.
func TestStreamFailsOverOnlyIfProbeFails(t *testing.T) {
	busy := func(ctx context.Context, _ *Send) (*Answer, error) {
		return &Answer{
			Status: 200, Header: http.Header{}, Signed: true, MatchesRequest: true, Confidence: -1,
			Body: &pausedBody{strings.NewReader(event(1)), strings.NewReader(events(2, 3)), 1400 * time.Millisecond, ctx},
		}, nil
	}
	for _, tc := range []struct {
		name         string
		unresponsive bool
		sends        string
	}{{"busy", false, "a"}, {"dead", true, "a b"}} {
		t.Run(tc.name, func(t *testing.T) {
			svc := newTestService(t)
			for _, r := range svc.config.Routes {
				r.Timeout, r.GapTarget = 5*time.Second, time.Second
			}
			svc.client.scripts["a"], svc.client.scripts["b"] = busy, answers(200, events(2, 3))
			svc.client.unresponsive["a"] = tc.unresponsive
			resp := svc.run("/draft/1", func(r *Request) { r.Timeout = 5 * time.Second })
			if resp.body.String() != events(1, 3) || !resp.ended || svc.client.upstreams() != tc.sends {
				t.Errorf("body %q, ended %v, sends %q, want %q", resp.body.String(), resp.ended, svc.client.upstreams(), tc.sends)
			}
		})
	}
}

// TestStreamFailsOverWithoutFirstEvent guards against a stream that exceeds its
// latency objective at an upstream that passes probes but has lost the answer.
func TestStreamFailsOverWithoutFirstEvent(t *testing.T) {
	svc := newTestService(t)
	for _, r := range svc.config.Routes {
		r.Timeout, r.TargetLatency = 10*time.Second, 3*time.Second
	}
	svc.client.scripts["a"], svc.client.scripts["b"] = silent, answers(200, events(1, 3))
	start := time.Now()
	resp := svc.run("/draft/1", func(r *Request) { r.Timeout = 10 * time.Second })
	if took := time.Since(start); resp.body.String() != events(1, 3) || took > 2*time.Second {
		t.Errorf("body %q after %s", resp.body.String(), took)
	}
}

// TestFirstEventTimeout guards against streams that fail over although all
// upstreams are late or the prompt is long.
func TestFirstEventTimeout(t *testing.T) {
	const target = 4 * time.Second
	for _, tc := range []struct {
		name   string
		tokens int
		delay  time.Duration
		want   time.Duration
	}{
		{"idle", 0, 0, 2 * time.Second},
		{"long prompt", 10_000, 0, 3500 * time.Millisecond},
		{"all are late", 0, 300 * time.Millisecond, 3200 * time.Millisecond},
		{"all are very late", 0, 3 * time.Second, 4 * time.Second},
	} {
		if got := firstEventTimeout(target, tc.tokens, tc.delay); got != tc.want {
			t.Errorf("%s: %s, want %s", tc.name, got, tc.want)
		}
	}
	if got := firstEventTimeout(100*time.Millisecond, 0, 0); got < idleBeforeProbe {
		t.Errorf("short objective: %s", got)
	}
}

// FuzzEvents guards against lost, changed or truncated events in the output of
// eventReader, whatever an upstream sends.
func FuzzEvents(f *testing.F) {
	f.Add(events(1, 3))
	f.Add("id: 4\ndata: x\r\n\r\n\n\n: comment\n\nid: nine\n\n")
	f.Add(strings.Repeat("data: long ", 600) + "\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		memory := budget.NewMemory(1 << 20)
		r := newEventReader(strings.NewReader(text), memory)
		var joined strings.Builder
		for {
			next, err := r.next()
			if err != nil {
				break
			}
			raw := next.raw
			if !strings.HasSuffix(strings.ReplaceAll(string(raw), "\r", ""), "\n\n") {
				t.Fatalf("event does not end with a blank line: %q", raw)
			}
			joined.Write(raw)
		}
		// Only blank lines between events may be dropped.
		if got := strings.Join(strings.Fields(joined.String()), ""); !strings.HasPrefix(strings.Join(strings.Fields(text), ""), got) {
			t.Fatalf("events %q are not a prefix of the input %q", got, text)
		}
		if r.close(); memory.Used() != 0 {
			t.Fatalf("%d bytes are still reserved", memory.Used())
		}
	})
}
