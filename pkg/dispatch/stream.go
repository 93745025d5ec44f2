package dispatch

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/config"
	"cassiapin/pkg/result"
	"cassiapin/pkg/upstream"
)

// stream runs a streamed call. Events of the last step go to the caller as they
// arrive. Events of earlier steps are buffered until the answer has been
// checked, so that the caller sees the answer of one model only.
func (f *chatFlow) stream(ctx context.Context, call upstream.Call, ref config.VersionRef, last bool) (*stepAnswer, error) {
	s := f.service
	start := s.clock.Now()
	source, err := s.client.Stream(ctx, call)
	if err != nil {
		return nil, err
	}
	defer source.Close()
	f.runState = f.runState.Worst(result.Ran)
	a := &stepAnswer{ref: ref}
	if last {
		if err := f.bindStream(ctx, a); err != nil {
			return nil, err
		}
	}
	if err := f.copyEvents(source, a, start); err != nil {
		f.billPartial(ctx, a)
		return nil, err
	}
	a.total = s.clock.Since(start)
	return a, nil
}

// bindStream binds the session before the first event, because the response
// headers carry the version. If another request has bound the session to
// another version, the events are buffered and bindAnswer runs the request
// again.
func (f *chatFlow) bindStream(ctx context.Context, a *stepAnswer) error {
	actual, err := f.bind(ctx, a.ref)
	if err != nil {
		return err
	}
	if actual != a.ref {
		return nil
	}
	a.streamed = true
	return nil
}

// copyEvents reads the stream to its end. The terminal marker is not forwarded.
func (f *chatFlow) copyEvents(source upstream.Stream, a *stepAnswer, start time.Time) error {
	var text strings.Builder
	defer func() { a.text = text.String() }()
	for {
		chunk, err := source.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if chunk.Done {
			continue
		}
		f.observed.Progress()
		if chunk.Text != "" {
			if a.firstByte == 0 {
				a.firstByte = f.service.clock.Since(start)
			}
			text.WriteString(chunk.Text)
			a.usage.CompletionTokens++
		}
		if chunk.Usage != nil {
			a.usage = *chunk.Usage
		}
		if err := f.forward(a, chunk.Data); err != nil {
			return err
		}
	}
}

// forward sends an event to the caller, or buffers it.
func (f *chatFlow) forward(a *stepAnswer, data []byte) error {
	if !a.streamed {
		a.events = append(a.events, append([]byte(nil), data...))
		return nil
	}
	if !f.responseStarted {
		if err := f.start(); err != nil {
			return err
		}
	}
	return f.emit(data)
}

// start sends the response headers.
func (f *chatFlow) start() error {
	f.responseStarted = true
	if err := f.request.Sink.Start(f.meta); err != nil {
		return f.callerCancelled(err)
	}
	return nil
}

func (f *chatFlow) emit(data []byte) error {
	f.recordEvent(data)
	if err := f.request.Sink.Event(data); err != nil {
		return f.callerCancelled(err)
	}
	return nil
}

// recordEvent stores an event of a non-idempotent request for the at-most-once
// ledger.
func (f *chatFlow) recordEvent(data []byte) {
	if f.claim == nil {
		return
	}
	f.recordedEvents.WriteString("data: ")
	f.recordedEvents.Write(data)
	f.recordedEvents.WriteString("\n\n")
}

func (f *chatFlow) callerCancelled(err error) *result.Error {
	return result.Wrap(err, result.CallerCancelled, result.Ran, "the caller closed the connection")
}

// billPartial bills the part of an interrupted answer that the caller received.
func (f *chatFlow) billPartial(ctx context.Context, a *stepAnswer) {
	if !f.responseStarted || a.usage.CompletionTokens == 0 {
		return
	}
	if a.usage.PromptTokens == 0 {
		a.usage.PromptTokens = f.request.Chat.PromptTokens()
	}
	// The request has already failed; the billing service counts bills that
	// cannot be recorded.
	_ = f.bill(ctx, a, false)
}
