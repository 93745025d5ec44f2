package dispatch

import (
	"bytes"
	"context"
	"time"

	"cassiapin/pkg/admission"
	"cassiapin/pkg/config"
	"cassiapin/pkg/idempotency"
	"cassiapin/pkg/plan"
	"cassiapin/pkg/quarantine"
	"cassiapin/pkg/result"
	"cassiapin/pkg/session"
	"cassiapin/pkg/timeline"
	"cassiapin/pkg/upstream"
)

// replanAfter is the admission wait after which the request is planned again,
// because allowed versions and load may have changed.
const replanAfter = 20 * time.Millisecond

// ledgerTimeout bounds each ledger write at the end of a request.
const ledgerTimeout = 2 * time.Second

// chatFlow is the state of one chat request. It is not safe for concurrent use.
type chatFlow struct {
	service *Service
	request *ChatRequest
	event   timeline.Event
	session session.Session
	plan    plan.Plan
	claim   idempotency.Claim

	// runState is the worst run state over all attempts.
	runState result.RunState
	// overhead is the cost of answers that the caller does not pay for.
	overhead float64
	// stepsAttempted is the number of plan steps that were started.
	stepsAttempted int
	// observed follows the latest send for the quarantine.
	observed *quarantine.Send
	// responseStarted reports that response headers were sent to the caller.
	responseStarted bool
	meta            Meta
	// recordedEvents are the events of a streamed answer to be stored in the
	// at-most-once ledger.
	recordedEvents bytes.Buffer
}

// stepAnswer is the answer of one plan step.
type stepAnswer struct {
	ref       config.VersionRef
	body      []byte
	events    [][]byte
	text      string
	usage     upstream.Usage
	firstByte time.Duration
	total     time.Duration
	// streamed reports that the events, all but the terminal marker, go to the
	// sink as they arrive.
	streamed bool
}

// Chat runs a chat completion request. A streamed answer goes to the sink; its
// terminal marker is sent only after the answer is complete and the bill is
// recorded. Errors are of type *result.Error.
func (s *Service) Chat(ctx context.Context, r *ChatRequest) (*ChatResult, error) {
	s.inFlight.Add(1)
	defer s.inFlight.Done()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	f := &chatFlow{service: s, request: r, runState: result.NotRun, event: timeline.Event{
		Request: r.ID, Organisation: r.Organisation.Name, Class: r.Class.Name, Domain: s.options.FailureDomain,
	}}
	start := s.clock.Now()
	s.counters.requests.Inc()
	f.record(timeline.RequestReceived, nil)
	res, err := f.execute(ctx)
	f.releaseUnusedSteps()
	s.counters.durationMS.Update(float64(s.clock.Since(start).Microseconds()) / 1000)
	if err != nil {
		return nil, f.fail(ctx, err)
	}
	s.counters.answered.Inc()
	f.record(timeline.RequestAnswered, nil)
	return res, nil
}

// record adds an event for the request to the timeline.
func (f *chatFlow) record(kind timeline.Kind, change func(*timeline.Event)) {
	e := f.event
	e.Kind = kind
	e.Model, e.Version = f.meta.Version.Model, f.meta.Version.Version
	e.Config, e.Session = f.meta.Config, f.session.ID
	if change != nil {
		change(&e)
	}
	f.service.events.Record(e)
}

// fail merges the run state of the whole request into an error and records it.
func (f *chatFlow) fail(ctx context.Context, err error) error {
	e := completeFailure(ctx, err, f.runState, f.claim)
	f.claim = nil
	f.record(failureKind(e), withError(e))
	return e
}

// releaseUnusedSteps releases the rollout reservations of steps that were not
// started.
func (f *chatFlow) releaseUnusedSteps() {
	releaser, ok := f.service.planner.(plan.Releaser)
	if !ok {
		return
	}
	for _, step := range f.plan.Steps[min(f.stepsAttempted, len(f.plan.Steps)):] {
		releaser.Release(f.request.ID, step.Version)
	}
}

func (f *chatFlow) execute(ctx context.Context) (*ChatResult, error) {
	s, r := f.service, f.request
	if !s.bills.HasCapacity() {
		return nil, result.New(result.LedgerFull, "bills cannot be kept at the moment").WithRetryAfter(10 * time.Second)
	}
	if err := s.limiter.Take(r.Organisation.Name); err != nil {
		return nil, err
	}
	var err error
	if f.session, err = s.sessions.Resolve(ctx, r.Organisation.Name, r.Class.Name, r.Session); err != nil {
		return nil, err
	}
	if f.session.ID == "" {
		f.session.Cohort = s.randomFloat()
	}
	if f.plan, err = f.makePlan(); err != nil {
		return nil, err
	}
	release, err := f.admit(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	if stored, err := f.claimRequest(ctx); err != nil || stored != nil {
		return f.replay(stored), err
	}
	answer, err := f.runWithReplans(ctx)
	if err != nil {
		return nil, err
	}
	return f.finish(ctx, answer)
}

// maxReplans bounds how often a request is planned again because its version
// was withdrawn while the request waited.
const maxReplans = 3

// runWithReplans runs the plan. If the version was withdrawn or lost its last
// failure domain before anything was sent to it, it makes and runs a new plan.
func (f *chatFlow) runWithReplans(ctx context.Context) (*stepAnswer, error) {
	for replans := 0; ; replans++ {
		answer, err := f.runPlan(ctx)
		if result.CodeOf(err) != result.VersionWithdrawn || replans >= maxReplans || !f.mayReplan() {
			return answer, err
		}
		f.releaseUnusedSteps()
		if f.plan, err = f.makePlan(); err != nil {
			return nil, err
		}
	}
}

func (f *chatFlow) mayReplan() bool {
	safe := !f.request.Class.NonIdempotent || f.runState == result.NotRun
	return safe && !f.responseStarted && f.request.Chat.Version == ""
}

func (f *chatFlow) makePlan() (plan.Plan, error) {
	s, r := f.service, f.request
	allowed, err := s.checker.Allowed(r.Organisation.Name, r.Class.Name)
	if err != nil {
		return plan.Plan{}, err
	}
	return s.planner.Plan(plan.Request{
		RequestID:    r.ID,
		Organisation: r.Organisation.Name,
		Class:        r.Class,
		Allowed:      allowed,
		Model:        r.Chat.Model,
		Version:      r.Chat.Version,
		Session:      f.session.ID != "",
		Pinned:       f.session.Pinned,
		Cohort:       f.session.Cohort,
		PromptTokens: r.Chat.PromptTokens(),
		Remaining:    r.Deadline.Sub(s.clock.Now()),
	})
}

func (f *chatFlow) admit(ctx context.Context) (release func(), err error) {
	s, r := f.service, f.request
	start := s.clock.Now()
	release, err = s.admitter.Admit(ctx, admission.Request{
		Organisation: r.Organisation.Name,
		Weight:       r.Organisation.Weight,
		Class:        r.Class.Name,
		Priority:     r.Priority,
		Deadline:     r.Deadline,
		Expected:     f.plan.Time,
	})
	if err != nil {
		return nil, err
	}
	if s.clock.Since(start) >= replanAfter {
		if f.plan, err = f.makePlan(); err != nil {
			release()
			return nil, err
		}
	}
	return release, nil
}

// runPlan runs the steps of the plan until an answer is accepted. If a later
// step fails, it falls back to the previous step's answer.
func (f *chatFlow) runPlan(ctx context.Context) (*stepAnswer, error) {
	var fallback *stepAnswer
	for i, step := range f.plan.Steps {
		f.stepsAttempted = i + 1
		last := i == len(f.plan.Steps)-1
		answer, err := f.runStep(ctx, step, last)
		if err != nil {
			if fallback != nil && !f.responseStarted && ctx.Err() == nil {
				f.overhead -= f.price(fallback)
				return f.bindAnswer(ctx, fallback)
			}
			return nil, err
		}
		if last || f.accepted(step, answer) {
			return f.bindAnswer(ctx, answer)
		}
		f.service.counters.escalated.Inc()
		f.service.estimator.Observe(f.sample(answer, false))
		f.overhead += f.price(answer)
		fallback = answer
	}
	return nil, result.New(result.NoRunner, "the plan has no step")
}

// accepted reports whether the answer of a step before the last passes the
// check.
func (f *chatFlow) accepted(step plan.Step, a *stepAnswer) bool {
	s := f.service
	var score float64
	switch f.plan.Check {
	case config.CheckRating:
		rated, err := s.estimator.Rate(f.sample(a, false), f.checkTimeout())
		if err != nil {
			// Without a rating the quality is unknown. Escalate, because
			// meeting the quality target takes precedence over cost.
			return false
		}
		score = rated
	default:
		score = s.planner.Heuristic(f.request.Chat.Prompt, a.text)
	}
	return score >= step.Accept
}

// checkTimeout is a quarter of the remaining time; the rest is left to the next
// step.
func (f *chatFlow) checkTimeout() time.Duration {
	return f.request.Deadline.Sub(f.service.clock.Now()) / 4
}

func (f *chatFlow) sample(a *stepAnswer, failed bool) qualitySample {
	return qualitySample{
		RequestID:    f.request.ID,
		Organisation: f.request.Organisation.Name,
		Class:        f.request.Class.Name,
		Version:      a.ref,
		Prompt:       f.request.Chat.Prompt,
		Answer:       a.text,
		Cost:         f.price(a),
		Time:         a.total,
		FirstToken:   a.firstByte,
		Failed:       failed,
	}
}

// finish records the bill and the outcome, then completes the response.
func (f *chatFlow) finish(ctx context.Context, a *stepAnswer) (*ChatResult, error) {
	f.service.estimator.Observe(f.sample(a, false))
	if err := f.bill(ctx, a, true); err != nil {
		return nil, err
	}
	if f.request.Sink != nil {
		return f.finishStream(ctx, a)
	}
	f.completeClaim(ctx, idempotency.Outcome{Status: 200, ContentType: "application/json", Body: a.body})
	return &ChatResult{Meta: f.meta, ContentType: "application/json", Body: a.body}, nil
}

// terminalMarker is the last event of a complete stream.
var terminalMarker = []byte("[DONE]")

func (f *chatFlow) finishStream(ctx context.Context, a *stepAnswer) (*ChatResult, error) {
	if !a.streamed {
		if err := f.start(); err != nil {
			return nil, err
		}
		for _, event := range a.events {
			if err := f.emit(event); err != nil {
				return nil, err
			}
		}
	}
	f.recordEvent(terminalMarker)
	f.completeClaim(ctx, idempotency.Outcome{Status: 200, ContentType: "text/event-stream", Body: f.recordedEvents.Bytes()})
	if err := f.request.Sink.Event(terminalMarker); err != nil {
		return nil, f.callerCancelled(err)
	}
	return &ChatResult{Meta: f.meta, ContentType: "text/event-stream"}, nil
}
