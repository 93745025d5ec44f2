package dispatch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/balance"
	"cassiapin/pkg/config"
	"cassiapin/pkg/plan"
	"cassiapin/pkg/policy"
	"cassiapin/pkg/quality"
	"cassiapin/pkg/result"
	"cassiapin/pkg/runners"
	"cassiapin/pkg/timeline"
	"cassiapin/pkg/upstream"
)

// qualitySample is the sample type of the estimator.
type qualitySample = quality.Sample

// The bounds of one step.
const (
	// maxAttempts bounds the attempts of one step beside the retry budget.
	maxAttempts = 3
	// maxAnswerBytes bounds one answer.
	maxAnswerBytes = 8 << 20
	// capacityWait is the longest wait for a runner before it is looked for
	// again without a sign of change.
	capacityWait = 100 * time.Millisecond
	// maxPriority is the priority of the most urgent requests, and
	// urgentReserve the part of a runner that the least urgent leave free. A
	// full runner makes a lookup wait for a slot and is slower for all of its
	// requests.
	maxPriority   = 9
	urgentReserve = 0.4
	// expectedAnswerBytes is added to the body's size for the link budget.
	expectedAnswerBytes = 2048
)

// runStep runs one step of the plan with its retries. Only the last step may
// stream to the caller while it runs; an earlier one is checked first.
func (f *flow) runStep(ctx context.Context, step plan.Step, last bool) (*stepAnswer, error) {
	avoid := ""
	for tries := 1; ; tries++ {
		answer, runner, err := f.attempt(ctx, step, last, avoid)
		if err == nil {
			return answer, nil
		}
		e := result.From(err)
		f.run = f.run.Worst(e.Run)
		if !f.mayRetry(ctx, e, tries) {
			return nil, err
		}
		f.service.counters.retries.Inc()
		avoid = runner
	}
}

// mayRetry reports whether another attempt is safe and within the budget.
func (f *flow) mayRetry(ctx context.Context, e *result.Error, tries int) bool {
	if ctx.Err() != nil || f.started || tries >= maxAttempts {
		return false
	}
	if f.request.Class.NonIdempotent && e.Run != result.NotRun {
		return false
	}
	switch e.Code {
	case result.ConnectFailed, result.UpstreamRefused, result.UpstreamError, result.StreamCut,
		result.UpstreamTimeout, result.UpstreamSilent, result.AnswerMismatch, result.TicketExpired,
		result.AnswerTooLarge, result.DomainOutOfService:
		return f.service.admitter.MayRetry()
	}
	return false
}

// attempt sends the step to one runner.
func (f *flow) attempt(ctx context.Context, step plan.Step, last bool, avoid string) (*stepAnswer, string, error) {
	candidate, slot, err := f.acquire(ctx, step, avoid)
	if err != nil {
		return nil, "", err
	}
	runner := candidate.Upstream.Name
	var outcome runners.Outcome
	defer func() { slot.Done(outcome) }()
	ticket, err := f.service.gate.Check(policy.Attempt{
		RequestID:    f.request.ID,
		AttemptID:    f.attemptID(),
		Organisation: f.request.Organisation.Name,
		Class:        f.request.Class.Name,
		Session:      f.session.ID,
		Version:      step.Version,
		Upstream:     runner,
	})
	if err != nil {
		return nil, runner, err
	}
	answer, err := f.send(ctx, slot, ticket, candidate.Upstream, step, last)
	outcome = f.outcome(answer, err)
	f.record(timeline.AttemptEnded, func(e *timeline.Event) {
		e.AttemptID, e.Upstream = ticket.Attempt().AttemptID, runner
		e.Model, e.Version = step.Version.Model, step.Version.Version
		if err != nil {
			failure := result.From(err)
			e.Code, e.Run, e.Detail = int(failure.Code), string(failure.Run), failure.Error()
		}
	})
	if err != nil && outcome.Failed {
		f.service.estimator.Observe(f.sample(&stepAnswer{ref: step.Version}, true))
	}
	return answer, runner, err
}

// attemptID returns a new attempt id. A non-idempotent request is sent with
// the id in its ledger record, so that the outcome can be asked for.
func (f *flow) attemptID() string {
	if f.claim != nil {
		return f.claim.AttemptID()
	}
	return fmt.Sprintf("%s-%016x", f.request.ID, f.service.randomUint64())
}

// outcome tells the runner table how an attempt ended. A caller that left does
// not count against the runner.
func (f *flow) outcome(a *stepAnswer, err error) runners.Outcome {
	if err == nil {
		return runners.Outcome{FirstByte: a.first, Total: a.total}
	}
	e := result.From(err)
	return runners.Outcome{
		Failed: e.Code != result.CallerCancelled && e.Code != result.TicketExpired,
		Cold:   e.Code == result.UpstreamRefused,
	}
}

// acquire finds a runner with room, waiting for one until the deadline.
func (f *flow) acquire(ctx context.Context, step plan.Step, avoid string) (runners.Candidate, runners.Slot, error) {
	s := f.service
	for {
		changed := s.table.Changed()
		candidate, slot, err := f.tryAcquire(ctx, step, avoid)
		if err == nil || !waitsForRoom(err) {
			return candidate, slot, err
		}
		remaining := f.request.Deadline.Sub(s.clock.Now()) - f.plan.Time
		if remaining <= 0 {
			return candidate, nil, err
		}
		select {
		case <-changed:
		case <-s.clock.After(min(capacityWait, remaining)):
		case <-ctx.Done():
			return candidate, nil, f.ended(ctx, result.NotRun)
		}
		if !f.stillAllowed(step.Version) {
			return candidate, nil, result.New(result.VersionWithdrawn, "version %s can no longer be used", step.Version)
		}
		if result.CodeOf(err) == result.NoRunner {
			// Without another runner the request would wait for its whole
			// deadline while the avoided one recovers.
			avoid = ""
		}
	}
}

// stillAllowed reports whether the gate still lists the version; it may have
// been withdrawn while the request waited.
func (f *flow) stillAllowed(ref config.VersionRef) bool {
	allowed, err := f.service.gate.Allowed(f.request.Organisation.Name, f.request.Class.Name)
	return err == nil && slices.Contains(allowed, ref)
}

// waitsForRoom reports whether a runner may become usable soon.
func waitsForRoom(err error) bool {
	switch result.CodeOf(err) {
	case result.ColdStartLimited, result.TooManyRequests, result.NoRunner, result.LinkBudgetExhausted:
		return true
	}
	return false
}

func (f *flow) tryAcquire(ctx context.Context, step plan.Step, avoid string) (runners.Candidate, runners.Slot, error) {
	s, chat := f.service, f.request.Chat
	prefix := chat.Prefix()
	candidate, err := s.chooser.Choose(balance.Request{
		Version:      step.Version,
		Prefix:       prefix,
		PromptTokens: chat.PromptTokens(),
		Avoid:        avoid,
		Bytes:        int64(len(chat.Prompt)) + expectedAnswerBytes,
		Seed:         s.randomUint64(),
		Reserve:      urgentReserve * float64(maxPriority-f.request.Priority) / maxPriority,
	})
	if err != nil {
		return candidate, nil, err
	}
	slot, err := s.table.Acquire(ctx, candidate.Upstream.Name)
	if err != nil {
		return candidate, nil, err
	}
	s.chooser.RecordSent(prefix, candidate.Upstream.Name)
	return candidate, slot, nil
}

// ended explains why the request's context ended.
func (f *flow) ended(ctx context.Context, run result.RunState) *result.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.Wrap(ctx.Err(), result.DeadlineUnmeetable, run, "the deadline passed")
	}
	return result.Wrap(ctx.Err(), result.CallerCancelled, run, "the caller closed the connection")
}

// send makes the call. The call ends with the request or with the runner's
// cold-start permit, whichever is first.
func (f *flow) send(
	ctx context.Context, slot runners.Slot, ticket policy.Ticket, runner *config.Upstream, step plan.Step, last bool,
) (*stepAnswer, error) {
	s, r := f.service, f.request
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(slot.Context(), cancel)
	defer stop()
	ref := step.Version
	stream := r.Sink != nil
	body, err := r.Chat.engineBody(ref, r.Class.Name, stream)
	if err != nil {
		return nil, err
	}
	f.meta.Config = ticket.Config()
	s.counters.attempts.Inc()
	f.record(timeline.AttemptSent, func(e *timeline.Event) {
		e.AttemptID, e.Upstream = ticket.Attempt().AttemptID, runner.Name
		e.Model, e.Version, e.Config = ref.Model, ref.Version, ticket.Config()
		e.Domain = runner.FailureDomain
	})
	call := upstream.Call{
		Ticket:           ticket,
		Body:             body,
		Priority:         r.Priority,
		FirstByteTimeout: f.firstByteTimeout(ref),
		TokenTimeout:     s.config.Current().Limits.TokenTimeout.Std(),
		MaxResponseBytes: maxAnswerBytes,
	}
	if stream {
		return f.stream(ctx, call, ref, last)
	}
	answer, err := s.client.Complete(ctx, call)
	if err != nil {
		return nil, err
	}
	f.run = f.run.Worst(result.Ran)
	return &stepAnswer{
		ref: ref, body: answer.Body, text: answer.Text, usage: answer.Usage,
		first: answer.FirstByte, total: answer.Total,
	}, nil
}

// expectedFactor is how many times the expected time an attempt may take
// before it is given up while there is time for another one.
const expectedFactor = 4

// firstByteTimeout bounds the wait for an answer's first byte. It leaves half
// of the remaining time to another attempt, so that a connection that has gone
// silent does not use up the deadline, but never cuts off an attempt that is
// only as slow as estimated.
func (f *flow) firstByteTimeout(ref config.VersionRef) time.Duration {
	s := f.service
	remaining := f.request.Deadline.Sub(s.clock.Now())
	estimate := s.estimator.Estimate(f.request.Class.Name, ref)
	expected := estimate.Time
	if f.request.Sink != nil {
		expected = estimate.FirstToken
	}
	if expected == 0 {
		// Without an observed time nothing tells a slow answer from a lost one.
		return remaining
	}
	return min(remaining, max(remaining/2, expectedFactor*expected))
}
