package dispatch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/balance"
	"cassiapin/pkg/config"
	"cassiapin/pkg/holdoff"
	"cassiapin/pkg/plan"
	"cassiapin/pkg/policy"
	"cassiapin/pkg/quality"
	"cassiapin/pkg/quarantine"
	"cassiapin/pkg/result"
	"cassiapin/pkg/runners"
	"cassiapin/pkg/timeline"
	"cassiapin/pkg/upstream"
)

type qualitySample = quality.Sample

const (
	// maxAttempts bounds the attempts of one step, in addition to the retry
	// budget.
	maxAttempts    = 3
	maxAnswerBytes = 8 << 20
	// capacityPollInterval is how often a waiting request retries runner
	// selection if no runner table change is signalled.
	capacityPollInterval = 100 * time.Millisecond
	// maxPriority is the highest request priority, and lowPriorityReserve the
	// share of a runner's capacity that requests of the lowest priority leave
	// free, because on a full runner urgent requests wait for a slot and all
	// requests are slower.
	maxPriority        = 9
	lowPriorityReserve = 0.4
	// expectedAnswerBytes is added to the prompt size for the link budget.
	expectedAnswerBytes = 2048
)

// runStep runs one step of the plan with retries. Only the last step may stream
// to the caller while it runs; answers of earlier steps are checked first.
func (f *chatFlow) runStep(ctx context.Context, step plan.Step, last bool) (*stepAnswer, error) {
	avoid := ""
	for tries := 1; ; tries++ {
		answer, runner, err := f.attempt(ctx, step, last, avoid)
		if err == nil {
			return answer, nil
		}
		e := result.From(err)
		f.runState = f.runState.Worst(e.Run)
		if !f.mayRetry(ctx, e, tries) {
			return nil, err
		}
		f.service.counters.retries.Inc()
		avoid = runner
	}
}

// mayRetry reports whether another attempt is safe and within the budget.
func (f *chatFlow) mayRetry(ctx context.Context, e *result.Error, tries int) bool {
	if ctx.Err() != nil || f.responseStarted || tries >= maxAttempts {
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

// attempt sends the step to one runner and returns the runner's name.
func (f *chatFlow) attempt(ctx context.Context, step plan.Step, last bool, avoid string) (*stepAnswer, string, error) {
	if err := heldBack(f.service.held.Check(f.request.Chat.SharedParts)); err != nil {
		return nil, "", err
	}
	candidate, slot, err := f.acquire(ctx, step, avoid)
	if err != nil {
		return nil, "", err
	}
	runner := candidate.Upstream.Name
	var outcome runners.Outcome
	defer func() { slot.Done(outcome) }()
	ticket, err := f.service.checker.Check(policy.Attempt{
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
	if err := heldBack(f.service.held.Admit(f.request.ID, f.request.Chat.SharedParts)); err != nil {
		return nil, runner, err
	}
	f.observed = f.service.held.Sent(runner, f.request.ID, f.request.Chat.SharedParts)
	answer, err := f.send(ctx, slot, ticket, candidate.Upstream, step, last)
	f.observeEnd(ctx, err)
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

// heldBack returns the refusal of a request with a part of its prompt in
// quarantine.
func heldBack(hold *quarantine.Hold) error {
	if hold == nil {
		return nil
	}
	return result.New(result.PromptQuarantined, "runners crashed on a message of the prompt").WithRetryAfter(hold.Retry)
}

// observeEnd tells the quarantine how the latest send ended.
func (f *chatFlow) observeEnd(ctx context.Context, err error) {
	switch {
	case err == nil:
		f.observed.Answered()
	case result.CodeOf(err) == result.StreamCut && ctx.Err() == nil:
		f.observed.Broken()
	}
}

// attemptID returns the id of the next attempt. A non-idempotent request uses
// the id in its ledger record, so that its outcome can be queried later.
func (f *chatFlow) attemptID() string {
	if f.claim != nil {
		return f.claim.AttemptID()
	}
	return fmt.Sprintf("%s-%016x", f.request.ID, f.service.randomUint64())
}

// outcome returns the result of an attempt for the runner table. Cancellation by
// the caller and expired tickets do not count as failures of the runner.
func (f *chatFlow) outcome(a *stepAnswer, err error) runners.Outcome {
	if err == nil {
		return runners.Outcome{FirstByte: a.firstByte, Total: a.total}
	}
	e := result.From(err)
	return runners.Outcome{
		Failed: e.Code != result.CallerCancelled && e.Code != result.TicketExpired,
		Cold:   e.Code == result.UpstreamRefused,
	}
}

// acquire selects a runner with free capacity. If there is none, it waits as
// long as the plan can still finish before the deadline.
func (f *chatFlow) acquire(ctx context.Context, step plan.Step, avoid string) (runners.Candidate, runners.Slot, error) {
	s := f.service
	for {
		changed := s.table.Changed()
		candidate, slot, err := f.tryAcquire(ctx, step, avoid)
		if err == nil || !isCapacityError(err) {
			return candidate, slot, err
		}
		now := s.clock.Now()
		remaining := f.request.Deadline.Sub(now) - f.plan.Time
		if remaining <= 0 {
			return candidate, nil, err
		}
		if opens, refusing := s.table.Reopens(step.Version); refusing && opens.Sub(now) > remaining {
			return candidate, nil, result.New(result.NoRunner, "all runners of %s refuse requests", step.Version).
				WithRetryAfter(holdoff.RetryDelay(opens.Sub(now), s.randomFloat()))
		}
		select {
		case <-changed:
		case <-s.clock.After(min(capacityPollInterval, remaining)):
		case <-ctx.Done():
			return candidate, nil, f.contextError(ctx, result.NotRun)
		}
		if !f.stillAllowed(step.Version) {
			return candidate, nil, result.New(result.VersionWithdrawn, "version %s can no longer be used", step.Version)
		}
		if result.CodeOf(err) == result.NoRunner {
			// No other runner serves the version. Allow the avoided one again,
			// as the request might otherwise wait until its deadline.
			avoid = ""
		}
	}
}

// stillAllowed reports whether policy still allows the version. It may have
// been withdrawn while the request waited.
func (f *chatFlow) stillAllowed(ref config.VersionRef) bool {
	allowed, err := f.service.checker.Allowed(f.request.Organisation.Name, f.request.Class.Name)
	return err == nil && slices.Contains(allowed, ref)
}

// isCapacityError reports whether err can clear when a runner becomes usable.
func isCapacityError(err error) bool {
	switch result.CodeOf(err) {
	case result.ColdStartLimited, result.TooManyRequests, result.NoRunner, result.LinkBudgetExhausted:
		return true
	}
	return false
}

func (f *chatFlow) tryAcquire(ctx context.Context, step plan.Step, avoid string) (runners.Candidate, runners.Slot, error) {
	s, chat := f.service, f.request.Chat
	prefixHash := chat.PrefixHash()
	candidate, err := s.chooser.Choose(balance.Request{
		Version:      step.Version,
		Prefix:       prefixHash,
		PromptTokens: chat.PromptTokens(),
		Avoid:        avoid,
		Bytes:        int64(len(chat.Prompt)) + expectedAnswerBytes,
		Seed:         s.randomUint64(),
		Reserve:      lowPriorityReserve * float64(maxPriority-f.request.Priority) / maxPriority,
	})
	if err != nil {
		return candidate, nil, err
	}
	slot, err := s.table.Acquire(ctx, candidate.Upstream.Name)
	if err != nil {
		return candidate, nil, err
	}
	s.chooser.RecordSent(prefixHash, candidate.Upstream.Name)
	return candidate, slot, nil
}

// contextError converts the error of the request's context.
func (f *chatFlow) contextError(ctx context.Context, run result.RunState) *result.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.Wrap(ctx.Err(), result.DeadlineUnmeetable, run, "the deadline passed")
	}
	return result.Wrap(ctx.Err(), result.CallerCancelled, run, "the caller closed the connection")
}

// send calls the runner. The call is cancelled when the request's context ends
// or the runner's cold-start permit expires.
func (f *chatFlow) send(
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
	f.runState = f.runState.Worst(result.Ran)
	return &stepAnswer{
		ref: ref, body: answer.Body, text: answer.Text, usage: answer.Usage,
		firstByte: answer.FirstByte, total: answer.Total,
	}, nil
}

// slowAnswerFactor is the multiple of the expected time after which an attempt
// without a first byte is abandoned if time remains for another one.
const slowAnswerFactor = 4

// firstByteTimeout bounds the wait for the first byte of an answer. It reserves
// half of the remaining time for another attempt, so that an unresponsive
// connection does not use up the deadline, but is never shorter than
// slowAnswerFactor times the expected time unless the deadline is.
func (f *chatFlow) firstByteTimeout(ref config.VersionRef) time.Duration {
	s := f.service
	remaining := f.request.Deadline.Sub(s.clock.Now())
	estimate := s.estimator.Estimate(f.request.Class.Name, ref)
	expected := estimate.Time
	if f.request.Sink != nil {
		expected = estimate.FirstToken
	}
	if expected == 0 {
		// Without observed times, a slow answer looks like a lost one.
		return remaining
	}
	return min(remaining, max(remaining/2, slowAnswerFactor*expected))
}
