package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"cassiapin/pkg/canary"
	"cassiapin/pkg/drain"
	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/hangup"
	"cassiapin/pkg/holdoff"
	"cassiapin/pkg/limits"
	"cassiapin/pkg/quarantine"
	"cassiapin/pkg/result"
	"cassiapin/pkg/topology"
)

const (
	// minRemaining is the shortest remaining time for which a request is sent.
	minRemaining = 10 * time.Millisecond
	// refusedRetryDivisor divides the caller's remaining time into the retry
	// delay of a refusal. Callers retry only once, so the delay should be long
	// enough for an upstream to recover; they honour delays of up to a third of
	// their timeout.
	refusedRetryDivisor = 4
)

// errNoUpstream is returned if no upstream is eligible for the request.
var errNoUpstream = errors.New("no upstream may get the request now")

// heldError is returned for a request with a part of its prompt in quarantine.
type heldError struct{ hold *quarantine.Hold }

func (e heldError) Error() string {
	return "upstreams crashed on part " + e.hold.Part + " of the prompt"
}

// acquireFailure classifies an error of acquire.
func acquireFailure(err error) failure {
	var held heldError
	if errors.As(err, &held) {
		return failure{code: result.PromptQuarantined, reason: err.Error(), retryAfter: held.hold.Retry}
	}
	if errors.Is(err, errEndsLate) {
		return failure{code: result.Draining, reason: err.Error(), retryAfter: drain.RetryDelay()}
	}
	return failure{code: result.NoRunner, reason: err.Error()}
}

// errAllRefuse is returned if all upstreams that could serve the request refuse
// requests for longer than it may wait.
var errAllRefuse = errors.New("all upstreams refuse requests")

// attempt is a send in progress.
type attempt struct {
	upstream *topology.Upstream
	answer   *Answer
	started  time.Time
	cancel   context.CancelFunc
	flow     *flow
	// release follows the send for the canary service.
	release *canary.Send
	// prefill is the estimated time for processing the prompt; it is zero once
	// the first event has arrived.
	prefill time.Duration
	closed  bool
}

// prefillDone records that the upstream has processed the prompt.
func (a *attempt) prefillDone() {
	if a.prefill == 0 {
		return
	}
	s := a.flow.service
	s.opts.Table.Read(a.upstream, a.prefill, s.clock.Now())
	a.prefill = 0
}

// close ends the attempt, cancelling a request that is still running.
func (a *attempt) close() {
	if a.closed {
		return
	}
	a.closed = true
	a.cancel()
	if a.answer != nil {
		_ = a.answer.Body.Close() // The rest of the body is not needed.
	}
	a.release.Closed()
	a.prefillDone()
	a.flow.service.opts.Table.Closed(a.upstream, a.flow.service.clock.Now())
}

// send makes one attempt. The error is a *SendError or the context's error.
func (f *flow) send(ctx context.Context, u *topology.Upstream, model string, after int64) (*attempt, error) {
	s := f.service
	now := s.clock.Now()
	remaining := f.deadline.Sub(now)
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{upstream: u, started: now, cancel: cancel, flow: f, release: s.opts.Canary.SendStarted(u, f.route, f.model)}
	f.observed = s.opts.Quarantine.Sent(u.ID, f.request.ID, f.sharedParts)
	f.tried[u.Incarnation()] = true
	f.lastUpstream, f.sentAt, f.answeredAt, f.progressedAt = u, now, time.Time{}, time.Time{}
	a.prefill = s.opts.Prefill.Estimate(model, f.uncachedTokens())
	s.opts.Table.Opened(u, a.prefill, now)
	answer, err := s.opts.Client.Send(ctx, &Send{
		Request: f.request, Upstream: u, Organisation: f.organisationName(), Model: model,
		Remaining: remaining, LastEventID: after, Priority: f.priority(),
		Admit: func() bool { return f.mayStillSend(u) },
	})
	now = s.clock.Now()
	if err != nil {
		a.close()
		var failed *SendError
		if errors.As(err, &failed) && failed.Connected {
			f.sends++
			f.mayHaveRun = true
		}
		return a, err
	}
	f.sends++
	a.answer = answer
	f.observe(a, now)
	return a, nil
}

// uncachedTokens estimates how many prompt tokens the chosen upstream has to process.
func (f *flow) uncachedTokens() int { return max(f.request.PromptTokens-f.kept, 0) }

// observe updates the state of the upstream from the headers of an answer. An
// answer that does not belong to the request says nothing, and the upstream may
// still run the request.
func (f *flow) observe(a *attempt, now time.Time) {
	table := f.service.opts.Table
	table.Received(a.upstream, now)
	if !a.answer.MatchesRequest {
		f.mayHaveRun = true
		return
	}
	if a.answer.Leaving && table.Left(a.upstream, now) {
		f.logWish(a, "leaving")
	}
	if a.answer.RetryAfter > 0 && table.Refused(a.upstream, a.answer.RetryAfter, now) {
		f.logWish(a, "refusing")
	}
	if a.answer.Load != nil {
		table.LoadReported(a.upstream, *a.answer.Load, f.service.opts.FailureDomain, now)
	}
	if a.answer.ColdFor > 0 {
		table.SetColdUntil(a.upstream, now.Add(a.answer.ColdFor), now)
	}
	if !a.answer.NotRun && !a.answer.WrongInstance {
		f.mayHaveRun = true
	}
}

// logWish logs what an upstream wants from now on.
func (f *flow) logWish(a *attempt, state string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cassiapin_upstream_wishes_total{state=%q}`, state)).Inc()
	f.service.log.Info(eventlog.UpstreamWish, f.attrs("upstream", a.upstream.ID, "state", state, "status", a.answer.Status,
		"retry_after_ms", a.answer.RetryAfter.Milliseconds(), "born", a.upstream.StartedMS)...)
}

// reportOutcome reports the outcome of an application's answer to the canary
// service.
func (f *flow) reportOutcome(a *attempt, good bool) {
	a.release.Answered(good, f.service.clock.Since(a.started))
}

// recordSuccess records a successful answer.
func (f *flow) recordSuccess(u *topology.Upstream) {
	f.countSend(u, sendGood)
	f.service.opts.Table.Succeeded(u, f.service.clock.Now())
}

// reportTimeout reports to the canary service an attempt that got no answer in
// time.
func (f *flow) reportTimeout(a *attempt) {
	a.release.Abandoned(f.service.clock.Since(a.started))
}

// failure is the reason why an attempt did not serve the request.
type failure struct {
	code   result.Code
	reason string
	// notRun is set if the upstream certainly did not run the request and will
	// not.
	notRun bool
	// unreachable is set if the upstream is to be paused.
	unreachable bool
	// reported is set if the application itself answered with the failure.
	reported bool
	// unwanted is set if the upstream is sound but wants no requests.
	unwanted bool
	// broken is set if the connection broke off before the answer was complete.
	broken bool
	// retryAfter, if set, is the time until the request may be sent.
	retryAfter time.Duration
}

// sendFailure classifies the error of an attempt that got no answer.
func sendFailure(err error, timedOut bool) failure {
	var failed *SendError
	connected := errors.As(err, &failed) && failed.Connected
	switch {
	case errors.Is(err, hangup.ErrCallerLeft):
		return failure{code: result.CallerCancelled, reason: err.Error(), notRun: true, unwanted: true}
	case failed != nil && failed.HeldBack:
		return failure{code: result.UpstreamRefused, reason: err.Error(), notRun: true, unwanted: true}
	case !connected:
		return failure{code: result.ConnectFailed, reason: err.Error(), notRun: true, unreachable: true}
	case timedOut:
		return failure{code: result.UpstreamSilent, reason: "no answer in time", unreachable: true}
	}
	return failure{code: result.StreamCut, reason: err.Error(), unreachable: true, broken: true}
}

// headerFailure classifies the headers of an answer; ok is true for answers of
// the application to this request, whatever their status.
func headerFailure(a *Answer) (f failure, ok bool) {
	switch {
	case !a.MatchesRequest:
		return failure{code: result.AnswerMismatch, reason: "the answer belongs to another request"}, false
	case a.WrongInstance:
		return failure{code: result.UpstreamRefused, reason: "another upstream has the address", notRun: true, unreachable: true}, false
	case a.NotRun:
		return failure{
			code: result.UpstreamRefused, reason: "the upstream did not run the request", notRun: true,
			unwanted: a.Leaving || a.RetryAfter > 0,
		}, false
	case !a.Signed || a.Encoded:
		return failure{code: result.UpstreamError, reason: "the answer is not the application's"}, false
	}
	return failure{}, true
}

// attemptFailed records a failed attempt.
func (f *flow) attemptFailed(ctx context.Context, u *topology.Upstream, fail failure) {
	s := f.service
	now := s.clock.Now()
	var pause time.Duration
	if f.countsAgainstUpstream(ctx, u, fail, now) {
		pause = s.opts.Table.Failed(u, fail.unreachable, now)
	}
	f.countSend(u, fail.code.String())
	attrs := f.attrs("upstream", u.ID, "failure_domain", u.FailureDomain,
		"code", int(fail.code), "reason", fail.reason, "not_run", fail.notRun, "sends", f.sends, "model", f.model,
		"delivered", f.delivered, "paused_ms", pause.Milliseconds(), "elapsed_ms", f.elapsed().Milliseconds())
	attrs = append(attrs, f.releaseAttrs(u)...)
	if fail.broken && ctx.Err() == nil {
		f.observed.Broken()
		countBroken(!f.answeredAt.IsZero())
		attrs = append(attrs, f.brokenAttrs(now)...)
	}
	s.log.Warn(eventlog.AttemptFailed, attrs...)
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// brokenAttrs returns log fields of a send whose connection broke off. They show
// whether upstreams fail with what requests contain: how long the answer had
// lasted, and the parts of the prompt that other requests share.
func (f *flow) brokenAttrs(now time.Time) []any {
	answered := time.Duration(-1)
	if !f.answeredAt.IsZero() {
		answered = now.Sub(f.answeredAt)
	}
	return []any{"sent_ms", now.Sub(f.sentAt).Milliseconds(), "answered_ms", answered.Milliseconds(),
		"prompt_parts", f.sharedParts[:min(len(f.sharedParts), maxLoggedParts)]}
}

// countsAgainstUpstream reports whether a failure is attributed to the upstream.
// It is not if the caller left or the deadline expired before the upstream
// exceeded the latency objective, nor if the caller left a stream whose events
// arrived in time, nor if the application fails the request at a
// second upstream too; the failure of the first is then retracted.
func (f *flow) countsAgainstUpstream(ctx context.Context, u *topology.Upstream, fail failure, now time.Time) bool {
	ended := ctx.Err() != nil || f.deadline.Sub(now) < minRemaining
	if ended && now.Sub(f.sentAt) < f.route.TargetLatency || fail.unwanted {
		return false
	}
	if errors.Is(ctx.Err(), context.Canceled) && f.steady(now) {
		return false
	}
	if !fail.reported {
		return true
	}
	if f.firstFailed != nil {
		f.service.opts.Table.RetractFailure(f.firstFailed, now)
		return false
	}
	f.firstFailed = u
	return true
}

// steady reports whether the latest send is answered and its events arrive in time.
func (f *flow) steady(now time.Time) bool {
	gap := f.route.GapTarget
	if gap <= 0 {
		gap = f.route.TargetLatency
	}
	return !f.progressedAt.IsZero() && now.Sub(f.progressedAt) <= gap
}

// mayRepeat reports whether the request may be sent to one more upstream, and
// takes that send from the retry budget. A request that has not reached any
// upstream yet needs no budget.
func (f *flow) mayRepeat(ctx context.Context, purpose limits.Purpose) bool {
	s := f.service
	if ctx.Err() != nil || f.deadline.Sub(s.clock.Now()) < minRemaining {
		return false
	}
	if f.sends == 0 {
		return true
	}
	if f.sends >= f.route.MaxUpstreams {
		return false
	}
	if outlasts := !f.begun && !f.mayEnd(); outlasts {
		return false
	}
	if purpose == limits.Recovery && f.reserved.Swap(false) {
		return true
	}
	if !s.opts.RetryBudget.Take(f.target, purpose) {
		countDenied(purpose)
		return false
	}
	return true
}

// giveUp ends a request that got no answer. The code states whether the request
// did not run, timed out or may have run.
func (f *flow) giveUp(ctx context.Context, fail failure) {
	now := f.service.clock.Now()
	switch {
	case errors.Is(context.Cause(ctx), drain.ErrAborted):
		f.aborted()
	case errors.Is(ctx.Err(), context.Canceled):
		f.callerLeft()
	case !f.mayHaveRun && (fail.code == result.PromptQuarantined || fail.code == result.Draining):
		f.refuse(fail.code, fail.retryAfter, fail.reason)
	case !f.mayHaveRun && !f.mayEnd():
		f.refuse(result.Draining, drain.RetryDelay(), fail.reason)
	case !f.mayHaveRun:
		f.refuse(result.NoRunner, f.retryAfter(now), fail.reason)
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || !now.Before(f.deadline):
		f.fail(result.UpstreamTimeout, fail.reason)
	default:
		f.fail(result.OutcomeUnknown, fail.reason)
	}
}

// retryAfter returns the retry delay for a refused caller.
func (f *flow) retryAfter(now time.Time) time.Duration {
	if opens, refusing := f.reopening(now); refusing {
		return holdoff.RetryDelay(opens.Sub(now), rand.Float64())
	}
	left := f.deadline.Sub(now)
	return max(left/refusedRetryDivisor, 0)
}
