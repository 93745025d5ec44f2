package relay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/budget"
	"cassiapin/pkg/canary"
	"cassiapin/pkg/cascade"
	"cassiapin/pkg/clock"
	"cassiapin/pkg/drain"
	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/limits"
	"cassiapin/pkg/placement"
	"cassiapin/pkg/quarantine"
	"cassiapin/pkg/result"
	"cassiapin/pkg/storeview"
	"cassiapin/pkg/topology"
)

// ServiceName is the name under which a node registers its Service.
const ServiceName = "request.relay"

// ViewSource provides the node's view of the fleet.
type ViewSource interface {
	View() *topology.View
	Changed() <-chan struct{}
	// Age is the time since data of a kind was last confirmed.
	Age(kind storeview.Kind) time.Duration
	// AwaitConfirmed returns once the view is known to be current, or cannot be
	// confirmed, after the process was paused.
	AwaitConfirmed(ctx context.Context)
	// AwaitCurrent waits until the view of a kind includes all changes that must
	// have taken effect, at most for the given time, and reports whether it does.
	AwaitCurrent(ctx context.Context, kind storeview.Kind, limit time.Duration) bool
	// Confirmation returns what the view of a kind rests on.
	Confirmation(kind storeview.Kind) storeview.Confirmation
}

// Fleet lists the nodes that serve callers.
type Fleet interface {
	// Nodes returns the ids of the nodes that serve callers, including this
	// node.
	Nodes() []string
	// DomainNodes returns the ids of the live nodes of this node's failure domain,
	// including this node, in id order.
	DomainNodes() []string
}

// Options are the settings of a Service.
type Options struct {
	FailureDomain, Region string
	Client                Client
	Views                 ViewSource
	Fleet                 Fleet
	RetryBudget           *limits.RetryBudget
	Cold                  *limits.ColdLimiter
	Table                 *placement.Table
	// Subset is the part of the upstreams that this node prefers; nil is all.
	Subset  *placement.Subset
	Prefill *placement.PrefillEstimator
	Delay   *cascade.DelayEstimator
	Canary  *canary.Service
	// Quarantine holds back requests whose prompts crash upstreams; nil holds back
	// none.
	Quarantine *quarantine.Service
	// Memory bounds the buffers of answers; nil is no bound.
	Memory *budget.Memory
	// Stop is the planned stop of the node; nil is none.
	Stop *drain.Stop
}

// Service serves requests. It is registered as ServiceName.
type Service struct {
	kernel.Base
	opts  Options
	clock clock.Clock
	log   *slog.Logger
	open  atomic.Int64
	// durations tells a leaving node which requests it can still end.
	durations *drain.Durations
}

// New returns a service.
func New(o Options) *Service {
	return &Service{opts: o, durations: drain.NewDurations()}
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision implements kernel.Service.
func (s *Service) Provision(k *kernel.Kernel) error {
	s.clock, s.log = k.Clock, k.Log
	s.registerGauges()
	return nil
}

// Open returns the number of requests without a final answer.
func (s *Service) Open() int { return int(s.open.Load()) }

// Serve serves a request and writes its final answer to out. ctx is cancelled
// when the caller disconnects.
func (s *Service) Serve(ctx context.Context, r *Request, out Responder) {
	s.open.Add(1)
	defer s.open.Add(-1)
	ctx, end := s.opts.Stop.RequestContext(ctx)
	defer end()
	s.opts.Views.AwaitConfirmed(ctx)
	f := &flow{service: s, request: r, out: out, sharedParts: r.SharedParts(), tried: make(map[topology.Incarnation]bool)}
	if !f.admit(ctx) {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	defer cancel()
	use := s.opts.Canary.Begin(f.target, r.Session)
	defer func() { use.End(f.servedBy()) }()
	if f.route.Streams() {
		f.stream(ctx)
	} else {
		f.unary(ctx)
	}
}

// flow is the state of one request.
type flow struct {
	service *Service
	request *Request
	out     Responder

	// sharedParts are the ids of the prompt's parts that other requests may share;
	// observed follows the latest send for the quarantine.
	sharedParts []string
	observed    *quarantine.Send

	view         *topology.View
	route        *topology.Route
	organisation *topology.Organisation
	target       string // The service chosen by the route's weights.
	deadline     time.Time
	// sends counts the attempts that reached an upstream; mayHaveRun is set
	// once one of them may have run the request.
	sends      int
	mayHaveRun bool
	tried      map[topology.Incarnation]bool
	// assignment is that of the latest choice; reserved is set while the retry budget
	// has counted the next send ahead of it.
	assignment   *canary.Assignment
	reserved     atomic.Bool
	lastUpstream *topology.Upstream
	// sentAt is the start of the latest send, answeredAt that of its answer and
	// progressedAt the time of its latest event, zero before; firstFailed is the first
	// upstream whose application reported a failure, or nil.
	sentAt       time.Time
	answeredAt   time.Time
	progressedAt time.Time
	firstFailed  *topology.Upstream
	model        string
	// kept is the number of prompt tokens that the chosen upstream is expected to have
	// from earlier requests.
	kept int
	// delivered is the id of the last event sent to the caller; begun is set once
	// the headers of a stream have been sent, with status.
	delivered int64
	begun     bool
	status    int
	firstByte time.Duration
}

// defaultTimeout is the timeout of callers that state none; the route's timeout
// may be shorter.
const defaultTimeout = time.Minute

// admit resolves the route, organisation and deadline. It refuses requests that
// the configuration does not allow and returns false for them.
func (f *flow) admit(ctx context.Context) bool {
	r := f.request
	denial, reason := f.resolve()
	if denial != 0 && denial != result.NoConfiguration {
		current := f.service.opts.Views.AwaitCurrent(ctx, storeview.Configurations, denialWait(r.Timeout))
		if denial, reason = f.resolve(); denial != 0 && !current {
			denial, reason = result.NoConfiguration, reason+", and the configuration cannot be confirmed"
		}
	}
	switch denial {
	case 0:
	case result.NoConfiguration:
		f.refuse(denial, unconfiguredRetry(r.Timeout), reason)
		return false
	default:
		f.refuse(denial, 0, reason)
		return false
	}
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if f.route.Timeout > 0 {
		timeout = min(timeout, f.route.Timeout)
	}
	f.deadline = r.Received.Add(timeout)
	if !f.mayEnd() {
		f.refuse(result.Draining, drain.RetryDelay(), errEndsLate.Error())
		return false
	}
	f.target = pickService(f.route.Targets, rand.Float64())
	f.delivered = r.LastEventID
	f.service.opts.RetryBudget.CountRequest(f.target)
	return true
}

// errEndsLate is returned for requests that a leaving node could not answer before it
// ends.
var errEndsLate = errors.New("the node is leaving and the request is likely to outlast it")

// mayEnd reports whether the request, sent now, is likely to end before the node does.
func (f *flow) mayEnd() bool {
	s := f.service
	if _, leaving := s.opts.Stop.Phases(); !leaving {
		return true
	}
	return s.opts.Stop.MayEnd(s.clock.Now(), s.durations.Likely(f.route.Name), f.deadline)
}

// resolve looks up the route and the organisation in the newest configuration. It
// returns the code and the reason of a denial, or zero.
func (f *flow) resolve() (denial result.Code, reason string) {
	f.view = f.service.opts.Views.View()
	config, r := f.view.Config, f.request
	if config == nil {
		return result.NoConfiguration, "no configuration has been read yet"
	}
	if f.route = config.Route(r.Host, r.Path); f.route == nil {
		return result.NotFound, "no route for this host and path"
	}
	if config.Authenticated() && !f.route.Public {
		if f.organisation = config.Organisation(r.Key); f.organisation == nil {
			return result.Unauthenticated, "unknown API key"
		}
	}
	return 0, ""
}

const (
	// maxDenialWait bounds how long a request that the known configuration does not
	// allow waits for the current one, and denialWaitDivisor divides the caller's
	// timeout into that time.
	maxDenialWait     = 500 * time.Millisecond
	denialWaitDivisor = 4
)

// denialWait returns how long a request that the known configuration does not allow
// may wait for the current one: a node that has missed changes must not deny what
// they allow.
func denialWait(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return maxDenialWait
	}
	return min(timeout/denialWaitDivisor, maxDenialWait)
}

const (
	// unconfiguredRetryDivisor divides the caller's timeout into the retry delay
	// of a node without a configuration: during a store outage it is unknown
	// when there will be one, and callers retry only once.
	unconfiguredRetryDivisor = 10
	// minUnconfiguredRetry is the shortest retry delay; a node reads an available
	// store within some tens of milliseconds of its start.
	minUnconfiguredRetry = 600 * time.Millisecond
	// maxRetryDivisor divides the caller's timeout into the longest retry delay
	// that callers honour.
	maxRetryDivisor = 3
)

// unconfiguredRetry returns the retry delay of a node without a configuration.
func unconfiguredRetry(timeout time.Duration) time.Duration {
	pause := max(timeout/unconfiguredRetryDivisor, minUnconfiguredRetry)
	if timeout > 0 {
		pause = min(pause, timeout/maxRetryDivisor)
	}
	return pause
}

// pickService returns a service at random in proportion to the weights.
func pickService(targets []topology.WeightedService, random float64) string {
	total := 0.0
	for _, t := range targets {
		total += t.Weight
	}
	random *= total
	for _, t := range targets {
		if random -= t.Weight; random < 0 {
			return t.Service
		}
	}
	return targets[len(targets)-1].Service
}

// priority returns the request's priority; 0 is the most urgent.
func (f *flow) priority() int {
	if f.organisation != nil && f.organisation.HasPriority {
		return f.organisation.Priority
	}
	return f.route.Priority
}

func (f *flow) organisationName() string {
	if f.organisation == nil {
		return ""
	}
	return f.organisation.Name
}

// attrs returns the log fields common to all lines about the request, followed
// by more.
func (f *flow) attrs(more ...any) []any {
	attrs := []any{"request", f.request.ID}
	return append(f.describe(f.addConfig(attrs)), more...)
}

// answerAttrs is attrs for lines about answers of the node's own. What decided on the
// answer comes first, because collectors may cut lines.
func (f *flow) answerAttrs(code result.Code, decisive []any, more ...any) []any {
	attrs := f.addConfig([]any{"request", f.request.ID, "code", int(code)})
	return append(f.describe(append(attrs, decisive...)), more...)
}

func (f *flow) addConfig(attrs []any) []any {
	if f.view.Config != nil {
		attrs = append(attrs, "config", f.view.Config.Version)
	}
	return attrs
}

// describe appends log fields about the request.
func (f *flow) describe(attrs []any) []any {
	if f.route != nil {
		attrs = append(attrs, "route", f.route.Name, "kind", f.route.Kind.String(), "organisation", f.organisationName())
	}
	if p, leaving := f.service.opts.Stop.Phases(); leaving {
		attrs = append(attrs, "after_stop_ms", f.request.Received.Sub(p.Requested).Milliseconds())
	}
	return attrs
}

func (f *flow) elapsed() time.Duration { return f.service.clock.Since(f.request.Received) }

// refuse answers with a refusal: the request has not run and will not.
func (f *flow) refuse(code result.Code, retryAfter time.Duration, reason string) {
	f.countOutcome(outcomeRefused)
	var decisive []any
	switch code {
	case result.NoRunner:
		decisive = f.exclusions()
	case result.NoConfiguration, result.NotFound, result.Unauthenticated:
		decisive = f.confirmation()
	}
	attrs := f.answerAttrs(code, decisive, "status", code.HTTPStatus(), "reason", reason,
		"retry_after_ms", retryAfter.Milliseconds(), "elapsed_ms", f.elapsed().Milliseconds(), "sends", f.sends)
	f.service.log.Warn(eventlog.RequestRefused, attrs...)
	f.out.Refuse(Refusal{Status: code.HTTPStatus(), Code: code, RetryAfter: retryAfter, Reason: reason})
}

// confirmation returns the log fields about what a denial rests on. Their names are
// short, so that all of them stand in the first 200 characters of the line.
func (f *flow) confirmation() []any {
	c := f.service.opts.Views.Confirmation(storeview.Configurations)
	return []any{
		"proof", c.Source, "proof_ms", c.Age.Milliseconds(), "rev", c.Revision, "ann", c.Announced, "rank", c.Rank,
		"store", c.StoreVersion, "in_force", c.InForce,
	}
}

// fail answers with an error: the request may have run, but has no answer.
func (f *flow) fail(code result.Code, reason string) {
	f.countOutcome(outcomeFailed)
	status := code.HTTPStatus()
	if f.begun {
		status = 0 // The answer has a status already.
	}
	f.service.log.Error(eventlog.RequestFailed, f.answerAttrs(code, nil, "status", status, "reason", reason,
		"elapsed_ms", f.elapsed().Milliseconds(), "sends", f.sends, "upstream", f.lastUpstreamID(), "delivered", f.delivered)...)
	if f.begun {
		f.out.Abort()
		return
	}
	f.out.Refuse(Refusal{Status: code.HTTPStatus(), Code: code, Reason: reason})
}

// callerLeft ends a request whose caller has disconnected.
func (f *flow) callerLeft() {
	f.countOutcome(outcomeCallerLeft)
	stage := f.stage()
	countCallerLeft(stage)
	f.service.log.Info(eventlog.CallerLeft, f.attrs("stage", stage, "elapsed_ms", f.elapsed().Milliseconds(), "sends", f.sends,
		"upstream", f.lastUpstreamID(), "delivered", f.delivered)...)
	f.out.Abort()
}

// aborted ends a request that is open at the end of a planned stop. Only a stream
// that has begun gets no answer.
func (f *flow) aborted() {
	switch {
	case f.begun:
		f.countOutcome(outcomeAborted)
		f.service.log.Info(eventlog.RequestAborted, f.attrs("elapsed_ms", f.elapsed().Milliseconds(), "sends", f.sends,
			"upstream", f.lastUpstreamID(), "delivered", f.delivered)...)
		f.out.Abort()
	case f.mayHaveRun:
		f.fail(result.OutcomeUnknown, drain.ErrAborted.Error())
	default:
		f.refuse(result.Draining, drain.RetryDelay(), drain.ErrAborted.Error())
	}
}

func (f *flow) done(status int) {
	f.countOutcome(outcomeAnswered)
	f.countFirstByte(f.firstByte)
	f.service.durations.Record(f.route.Name, f.elapsed())
	attrs := f.attrs("status", status, "sends", f.sends, "upstream", f.lastUpstreamID(),
		"model", f.model, "first_ms", f.firstByte.Milliseconds(), "elapsed_ms", f.elapsed().Milliseconds())
	if f.lastUpstream != nil {
		attrs = append(attrs, f.releaseAttrs(f.lastUpstream)...)
	}
	f.service.log.Info(eventlog.RequestDone, attrs...)
}

// servedBy returns the release of the latest upstream, empty if the request was not
// sent.
func (f *flow) servedBy() string {
	if f.lastUpstream == nil {
		return ""
	}
	return f.lastUpstream.Release
}

// releaseAttrs returns log fields that show which release served a session, and why.
func (f *flow) releaseAttrs(u *topology.Upstream) []any {
	attrs := []any{"release", u.Release}
	if f.request.Session != "" {
		attrs = append(attrs, "session", f.request.Session)
	}
	if f.assignment != nil && f.assignment.Basis() != "" {
		attrs = append(attrs, "basis", f.assignment.Basis())
	}
	return attrs
}

func (f *flow) lastUpstreamID() string {
	if f.lastUpstream == nil {
		return ""
	}
	return f.lastUpstream.ID
}
