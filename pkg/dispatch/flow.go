package dispatch

import (
	"bytes"
	"context"
	"time"

	"cassiapin/pkg/admission"
	"cassiapin/pkg/config"
	"cassiapin/pkg/once"
	"cassiapin/pkg/plan"
	"cassiapin/pkg/result"
	"cassiapin/pkg/session"
	"cassiapin/pkg/timeline"
	"cassiapin/pkg/upstream"
)

// replanAfter is the wait in the admission queue after which the plan is made
// anew, because versions and load may have changed.
const replanAfter = 20 * time.Millisecond

// ledgerTimeout bounds the writes to the ledgers at the end of a request.
const ledgerTimeout = 2 * time.Second

// flow is the state of one chat request. One goroutine uses it.
type flow struct {
	service *Service
	request *ChatRequest
	event   timeline.Event
	session session.Session
	plan    plan.Plan
	claim   once.Claim

	// run is the worst run state over all attempts.
	run result.RunState
	// overhead is the cost of attempts that the caller does not pay.
	overhead float64
	// sent counts the plan steps that an attempt was sent for.
	sent int
	// started says that a part of the answer went to the caller.
	started bool
	meta    Meta
	// recorded holds the events of a streamed answer that the at-most-once
	// ledger keeps.
	recorded bytes.Buffer
}

// stepAnswer is a whole answer of one plan step.
type stepAnswer struct {
	ref    config.VersionRef
	body   []byte
	events [][]byte
	text   string
	usage  upstream.Usage
	first  time.Duration
	total  time.Duration
	// delivered says that the sink has the answer except for its end.
	delivered bool
}

// Chat runs a chat completion request. A streamed answer goes to the sink; its
// terminal marker is passed on only when the answer is whole and the bill is
// recorded. Errors are of type *result.Error.
func (s *Service) Chat(ctx context.Context, r *ChatRequest) (*ChatResult, error) {
	s.open.Add(1)
	defer s.open.Done()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	f := &flow{service: s, request: r, run: result.NotRun, event: timeline.Event{
		Request: r.ID, Organisation: r.Organisation.Name, Class: r.Class.Name, Domain: s.options.FailureDomain,
	}}
	start := s.clock.Now()
	s.counters.requests.Inc()
	f.record(timeline.RequestReceived, nil)
	res, err := f.execute(ctx)
	f.releaseUnsent()
	s.counters.durationMS.Update(float64(s.clock.Since(start).Microseconds()) / 1000)
	if err != nil {
		return nil, f.fail(ctx, err)
	}
	s.counters.answered.Inc()
	f.record(timeline.RequestAnswered, nil)
	return res, nil
}

// record adds an event of the request to the time line.
func (f *flow) record(kind timeline.Kind, change func(*timeline.Event)) {
	e := f.event
	e.Kind = kind
	e.Model, e.Version = f.meta.Version.Model, f.meta.Version.Version
	e.Config, e.Session = f.meta.Config, f.session.ID
	if change != nil {
		change(&e)
	}
	f.service.events.Record(e)
}

// fail completes an error with the run state of the whole request.
func (f *flow) fail(ctx context.Context, err error) error {
	e := failed(ctx, err, f.run, f.claim)
	f.claim = nil
	f.record(failureKind(e), describe(e))
	return e
}

// releaseUnsent gives back the places that a rollout reserved for steps that
// were not needed.
func (f *flow) releaseUnsent() {
	releaser, ok := f.service.planner.(plan.Releaser)
	if !ok {
		return
	}
	for _, step := range f.plan.Steps[min(f.sent, len(f.plan.Steps)):] {
		releaser.Release(f.request.ID, step.Version)
	}
}

func (f *flow) execute(ctx context.Context) (*ChatResult, error) {
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
	if stored, err := f.begin(ctx); err != nil || stored != nil {
		return f.replay(stored), err
	}
	answer, err := f.runPlans(ctx)
	if err != nil {
		return nil, err
	}
	return f.finish(ctx, answer)
}

// maxReplans bounds how often a request is planned anew because its version
// was withdrawn while it waited.
const maxReplans = 3

// runPlans runs the plan, and a new one when the version was withdrawn or lost
// its last failure domain before anything was sent to it.
func (f *flow) runPlans(ctx context.Context) (*stepAnswer, error) {
	for replans := 0; ; replans++ {
		answer, err := f.runPlan(ctx)
		if result.CodeOf(err) != result.VersionWithdrawn || replans >= maxReplans || !f.mayReplan() {
			return answer, err
		}
		f.releaseUnsent()
		if f.plan, err = f.makePlan(); err != nil {
			return nil, err
		}
	}
}

func (f *flow) mayReplan() bool {
	safe := !f.request.Class.NonIdempotent || f.run == result.NotRun
	return safe && !f.started && f.request.Chat.Version == ""
}

func (f *flow) makePlan() (plan.Plan, error) {
	s, r := f.service, f.request
	allowed, err := s.gate.Allowed(r.Organisation.Name, r.Class.Name)
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

func (f *flow) admit(ctx context.Context) (release func(), err error) {
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

// runPlan runs the steps of the plan until one is accepted. When a later step
// cannot run, the best earlier answer is given rather than none.
func (f *flow) runPlan(ctx context.Context) (*stepAnswer, error) {
	var fallback *stepAnswer
	for i, step := range f.plan.Steps {
		f.sent = i + 1
		last := i == len(f.plan.Steps)-1
		answer, err := f.runStep(ctx, step, last)
		if err != nil {
			if fallback != nil && !f.started && ctx.Err() == nil {
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

// accepted checks the answer of a step that is not the last.
func (f *flow) accepted(step plan.Step, a *stepAnswer) bool {
	s := f.service
	var score float64
	switch f.plan.Check {
	case config.CheckRating:
		rated, err := s.estimator.Rate(f.sample(a, false), f.checkTimeout())
		if err != nil {
			// Without a rating the quality is unknown, so the step is not
			// accepted: the target goes before the cost.
			return false
		}
		score = rated
	default:
		score = s.planner.Heuristic(f.request.Chat.Prompt, a.text)
	}
	return score >= step.Accept
}

// checkTimeout leaves the larger part of the remaining time to the next step.
func (f *flow) checkTimeout() time.Duration {
	return f.request.Deadline.Sub(f.service.clock.Now()) / 4
}

func (f *flow) sample(a *stepAnswer, failed bool) qualitySample {
	return qualitySample{
		RequestID:    f.request.ID,
		Organisation: f.request.Organisation.Name,
		Class:        f.request.Class.Name,
		Version:      a.ref,
		Prompt:       f.request.Chat.Prompt,
		Answer:       a.text,
		Cost:         f.price(a),
		Time:         a.total,
		FirstToken:   a.first,
		Failed:       failed,
	}
}

// finish records the answer in the ledgers, then gives the caller its end.
func (f *flow) finish(ctx context.Context, a *stepAnswer) (*ChatResult, error) {
	f.service.estimator.Observe(f.sample(a, false))
	if err := f.bill(ctx, a, true); err != nil {
		return nil, err
	}
	if f.request.Sink != nil {
		return f.finishStream(ctx, a)
	}
	f.completeClaim(ctx, once.Outcome{Status: 200, ContentType: "application/json", Body: a.body})
	return &ChatResult{Meta: f.meta, ContentType: "application/json", Body: a.body}, nil
}

// terminalMarker ends a whole streamed answer.
var terminalMarker = []byte("[DONE]")

func (f *flow) finishStream(ctx context.Context, a *stepAnswer) (*ChatResult, error) {
	if !a.delivered {
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
	f.completeClaim(ctx, once.Outcome{Status: 200, ContentType: "text/event-stream", Body: f.recorded.Bytes()})
	if err := f.request.Sink.Event(terminalMarker); err != nil {
		return nil, f.callerGone(err)
	}
	return &ChatResult{Meta: f.meta, ContentType: "text/event-stream"}, nil
}
