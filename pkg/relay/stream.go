package relay

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/budget"
	"cassiapin/pkg/cascade"
	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/limits"
	"cassiapin/pkg/result"
	"cassiapin/pkg/topology"
)

// streamEnd is the result of one stream attempt.
type streamEnd int

const (
	streamComplete streamEnd = iota
	streamFailed
	streamEscalated
	streamCallerLeft
)

// stream serves a request that is answered by an event stream. Events are
// forwarded once they are complete. After a failure a resumable stream
// continues at another upstream within the same answer.
func (f *flow) stream(ctx context.Context) {
	cascadeState := cascade.New(f.route.Models, f.request.Cascade)
	for {
		f.model = cascadeState.Model()
		u, err := f.acquire(ctx, f.model)
		if err != nil {
			f.giveUp(ctx, acquireFailure(err))
			return
		}
		end, fail := f.streamAttempt(ctx, u, cascadeState)
		switch end {
		case streamComplete:
			f.out.End()
			f.done(f.status)
			return
		case streamCallerLeft:
			f.callerLeft()
			return
		case streamEscalated:
			continue
		}
		f.attemptFailed(ctx, u, fail)
		if !(f.route.Retryable() || fail.notRun) || !f.mayRepeat(ctx, limits.Recovery) {
			f.giveUp(ctx, fail)
			return
		}
		if f.begun {
			f.service.log.Info(eventlog.StreamResumed, f.attrs("after", f.delivered, "from", u.ID)...)
		}
	}
}

// streamAttempt runs the stream at one upstream, starting after the last event
// sent to the caller.
func (f *flow) streamAttempt(ctx context.Context, u *topology.Upstream, cascadeState *cascade.State) (streamEnd, failure) {
	s := f.service
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := f.startWatchdog(ctx, cancel, u)
	defer watch.stop()
	a, err := f.send(ctx, u, f.model, f.delivered)
	defer a.close()
	if err != nil {
		if watch.timedOut() || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			f.reportTimeout(a)
		}
		return streamFailed, sendFailure(err, watch.timedOut())
	}
	if fail, ok := headerFailure(a.answer); !ok {
		return streamFailed, fail
	}
	f.reportOutcome(a, a.answer.Successful())
	if !a.answer.Successful() {
		return f.streamErrorAnswer(ctx, a)
	}
	f.recordFirstEvent(a)
	input := f.escalationInput(a, cascadeState)
	if !f.begun && cascadeState.ShouldEscalate(input) && f.mayRepeat(ctx, limits.Escalation) {
		s.log.Info(eventlog.ModelEscalated, f.attrs("upstream", u.ID, "model", f.model,
			"confidence", input.Confidence, "delay_ms", input.Delay.Milliseconds(),
			"expected_ms", input.Expected.Milliseconds(), "elapsed_ms", f.elapsed().Milliseconds())...)
		cascadeState.Escalate()
		f.recordSuccess(u)
		delete(f.tried, u.Incarnation()) // The larger model may run at the same upstream.
		return streamEscalated, failure{}
	}
	events := newEventReader(a.answer.Body, s.opts.Memory)
	defer events.close()
	pace := eventPace{start: s.clock.Now()}
	defer func() { f.reportPace(a, pace) }()
	for {
		next, err := events.next()
		if errors.Is(err, io.EOF) {
			f.recordSuccess(u)
			f.observed.Answered()
			f.begin(a.answer)
			return streamComplete, failure{}
		}
		if err != nil {
			return streamFailed, bodyFailure(err, watch.timedOut())
		}
		if next.comment && !f.begun {
			continue
		}
		if !next.comment {
			watch.recordEvent()
			f.recordFirstEvent(a)
			pace.event(s.clock.Now())
			a.release.Event()
		}
		if next.id >= 0 && next.id <= f.delivered && f.delivered > 0 {
			continue // Drop events that the caller already has.
		}
		if next.id >= 0 && f.delivered > 0 && next.id != f.delivered+1 {
			return streamFailed, failure{code: result.StreamCut, reason: "the upstream left out an event"}
		}
		f.begin(a.answer)
		if err := f.out.WriteEvents(next.raw); err != nil {
			return streamCallerLeft, failure{}
		}
		if next.id >= 0 {
			f.delivered = next.id
		}
	}
}

// bodyFailure classifies the error of reading an answer's body.
func bodyFailure(err error, timedOut bool) failure {
	if errors.IsAny(err, budget.ErrTooLarge, budget.ErrNoMemory, errOnlyFiller) {
		return failure{code: result.AnswerTooLarge, reason: err.Error()}
	}
	return failure{
		code: result.StreamCut, reason: errors.Wrap(err, "read answer").Error(), unreachable: timedOut, broken: !timedOut,
	}
}

// eventPace measures the interval between the events of one attempt.
type eventPace struct {
	start, last time.Time
	events      int
}

func (p *eventPace) event(now time.Time) {
	p.last = now
	p.events++
}

// minPaceEvents is the number of events from which on their average interval is
// reported.
const minPaceEvents = 3

// reportPace reports the average interval between an attempt's events to the
// canary service.
func (f *flow) reportPace(a *attempt, p eventPace) {
	if p.events >= minPaceEvents {
		gap := p.last.Sub(p.start) / time.Duration(p.events)
		a.release.EventInterval(gap)
	}
}

// recordFirstEvent records the time to the first event of an attempt.
func (f *flow) recordFirstEvent(a *attempt) {
	s := f.service
	now := s.clock.Now()
	f.progressedAt = now
	f.observed.Progress()
	if f.answeredAt.IsZero() {
		f.answeredAt = now
	}
	if a.prefill == 0 {
		return
	}
	took := now.Sub(a.started)
	s.opts.Table.PromptSent(a.upstream, f.prompt(f.model), now)
	s.opts.Prefill.Observe(f.model, f.uncachedTokens(), took)
	s.opts.Delay.Observe(f.target, took-a.prefill, now)
	a.prefillDone()
}

// escalationInput returns what the cascade's decision depends on.
func (f *flow) escalationInput(a *attempt, cascadeState *cascade.State) cascade.EscalationInput {
	s := f.service
	delay := s.opts.Delay.Current(f.target, s.clock.Now())
	return cascade.EscalationInput{
		Confidence: a.answer.Confidence, Delay: delay, Target: f.route.TargetLatency,
		Expected: f.elapsed() + delay + s.opts.Prefill.Estimate(cascadeState.Larger(), f.uncachedTokens()),
	}
}

// begin forwards the headers of the first answer; later calls do nothing.
func (f *flow) begin(a *Answer) {
	if f.begun {
		return
	}
	f.begun, f.status = true, a.Status
	f.firstByte = f.elapsed()
	f.out.Begin(a)
}

// streamErrorAnswer handles an application's answer that reports a failure. It
// forwards the answer if the request cannot be retried.
func (f *flow) streamErrorAnswer(ctx context.Context, a *attempt) (streamEnd, failure) {
	fail := failure{code: result.UpstreamError, reason: "the application reports a failure", reported: true}
	if f.begun || f.route.Retryable() && f.sends < f.route.MaxUpstreams {
		return streamFailed, fail
	}
	body := newBuffer(f.service.opts.Memory, maxAnswerBytes)
	defer body.Release()
	if err := body.ReadAll(a.answer.Body); err != nil || ctx.Err() != nil {
		return streamFailed, fail
	}
	f.attemptFailed(ctx, a.upstream, fail)
	f.begin(a.answer)
	if err := f.out.WriteEvents(body.Bytes); err != nil {
		return streamCallerLeft, failure{}
	}
	return streamComplete, failure{}
}
