package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"cassiapin/pkg/billing"
	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/holdoff"
	"cassiapin/pkg/idempotency"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
	"cassiapin/pkg/upstream"
)

// endpointCooldown is how long a failed endpoint is used only as a last resort.
const endpointCooldown = 5 * time.Second

// endpointTable records when endpoints of plain services last failed.
type endpointTable struct {
	clock    clock.Clock
	mu       sync.Mutex
	failedAt map[string]time.Time
	// beliefs are what endpoints have said that they want.
	beliefs map[string]*holdoff.Belief
}

// hear records what an endpoint said in an answer.
func (t *endpointTable) hear(url string, w holdoff.Wish) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	b := t.beliefs[url]
	switch {
	case w == (holdoff.Wish{}):
		if b != nil && b.Blank(now) {
			delete(t.beliefs, url)
		}
		return
	case b == nil:
		if t.beliefs == nil {
			t.beliefs = make(map[string]*holdoff.Belief)
		}
		b = &holdoff.Belief{}
		t.beliefs[url] = b
	}
	if w.Leaving {
		// An endpoint has no instances: another process may take over its address.
		w = holdoff.Wish{RetryAfter: holdoff.MaxRefusal}
	}
	b.Hear(w, now)
}

// refusesUntil returns the end of an endpoint's refusal; ok is false if it may get
// requests.
func (t *endpointTable) refusesUntil(url string) (until time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.beliefs[url]
	if b == nil {
		return time.Time{}, false
	}
	// The open requests at an endpoint are not counted.
	switch b.State(0, t.clock.Now()) {
	case holdoff.Refusing, holdoff.Leaving:
		return b.Until(), true
	}
	return time.Time{}, false
}

func (t *endpointTable) setFailed(url string, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !failed {
		delete(t.failedAt, url)
		return
	}
	if t.failedAt == nil {
		t.failedAt = make(map[string]time.Time)
	}
	t.failedAt[url] = t.clock.Now()
}

func (t *endpointTable) coolingDown(url string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.failedAt[url]
	return ok && t.clock.Since(at) < endpointCooldown
}

// serviceFlow is the state of one call to a plain service.
type serviceFlow struct {
	service    *Service
	request    *ServiceRequest
	idempotent bool
	claim      idempotency.Claim
	runState   result.RunState
	tried      map[string]bool
}

// CallService runs one call to a plain service. A non-idempotent call is first
// recorded in the at-most-once ledger.
func (s *Service) CallService(ctx context.Context, r *ServiceRequest) (*ServiceResult, error) {
	s.inFlight.Add(1)
	defer s.inFlight.Done()
	ctx, cancel := context.WithTimeout(ctx, r.Service.Timeout.Std())
	defer cancel()
	f := &serviceFlow{
		service: s, request: r, runState: result.NotRun, tried: make(map[string]bool),
		idempotent: r.Service.Idempotent(r.Method, r.Path),
	}
	s.counters.requests.Inc()
	f.record(timeline.RequestReceived, nil)
	res, err := f.execute(ctx)
	if err != nil {
		return nil, f.fail(ctx, err)
	}
	s.counters.answered.Inc()
	f.record(timeline.RequestAnswered, nil)
	return res, nil
}

func (f *serviceFlow) record(kind timeline.Kind, change func(*timeline.Event)) {
	e := timeline.Event{
		Kind: kind, Request: f.request.ID, Organisation: f.request.Organisation.Name,
		Upstream: f.request.Service.Name, Config: f.service.config.Current().Number,
	}
	if change != nil {
		change(&e)
	}
	f.service.events.Record(e)
}

func (f *serviceFlow) fail(ctx context.Context, err error) error {
	e := completeFailure(ctx, err, f.runState, f.claim)
	f.claim = nil
	f.record(failureKind(e), withError(e))
	return e
}

func (f *serviceFlow) execute(ctx context.Context) (*ServiceResult, error) {
	s, r := f.service, f.request
	if err := s.limiter.Take(r.Organisation.Name); err != nil {
		return nil, err
	}
	if !s.bills.HasCapacity() {
		return nil, result.New(result.LedgerFull, "bills cannot be kept at the moment").WithRetryAfter(10 * time.Second)
	}
	if !f.idempotent {
		stored, err := f.claimRequest(ctx)
		if err != nil {
			return nil, err
		}
		if stored != nil {
			// The earlier run may not have been billed if its answer was lost.
			// The bill id derives from the key, so a second bill is a duplicate.
			if err := f.bill(ctx, stored.Status); err != nil {
				return nil, err
			}
			return &ServiceResult{
				Meta:   Meta{RequestID: r.ID, Replayed: true},
				Status: stored.Status, ContentType: stored.ContentType, Body: stored.Body,
			}, nil
		}
	}
	answer, err := f.callEndpoints(ctx)
	if err != nil {
		return nil, err
	}
	return f.finish(ctx, answer)
}

func (f *serviceFlow) claimRequest(ctx context.Context) (*idempotency.Outcome, error) {
	r := f.request
	if err := f.service.checkConnected(); err != nil {
		return nil, err
	}
	if r.IdempotencyKey == "" {
		return nil, result.New(result.IdempotencyKeyRequired, "%s %s of service %q needs an Idempotency-Key", r.Method, r.Path, r.Service.Name)
	}
	body := append([]byte(r.Method+" "+r.Path+"?"+r.Query+"\n"), r.Body...)
	claim, stored, err := f.service.ledger.Begin(ctx, idempotency.Request{
		Organisation: r.Organisation.Name,
		Key:          r.IdempotencyKey,
		Body:         body,
		RequestID:    r.ID,
		Target:       r.Service.Name,
	})
	f.claim = claim
	return stored, err
}

// callEndpoints tries endpoints until one answers or a retry is not safe or not
// within the retry budget.
func (f *serviceFlow) callEndpoints(ctx context.Context) (upstream.ServiceResponse, error) {
	for {
		endpoint, err := f.choose()
		if err != nil {
			return upstream.ServiceResponse{}, err
		}
		f.tried[endpoint.URL] = true
		answer, err := f.call(ctx, endpoint)
		if err == nil {
			return answer, nil
		}
		e := result.From(err)
		f.runState = f.runState.Worst(e.Run)
		safe := f.idempotent || e.Run == result.NotRun
		if !safe || ctx.Err() != nil || len(f.tried) >= len(f.request.Service.Endpoints) || !f.service.admitter.MayRetry() {
			return upstream.ServiceResponse{}, err
		}
		f.service.counters.retries.Inc()
	}
}

// choose returns the closest untried endpoint, skipping failure domains that
// are out of service. Endpoints that failed recently come last.
func (f *serviceFlow) choose() (config.ServiceEndpoint, error) {
	s := f.service
	marks := s.config.Marks()
	best, bestScore, outOfService := -1, 0, 0
	var opens time.Time
	endpoints := f.request.Service.Endpoints
	for i, e := range endpoints {
		if marks.DomainOut(e.FailureDomain) {
			outOfService++
			continue
		}
		if f.tried[e.URL] {
			continue
		}
		if until, refuses := s.endpoints.refusesUntil(e.URL); refuses {
			if opens.IsZero() || until.Before(opens) {
				opens = until
			}
			continue
		}
		if score := s.endpointScore(e); best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best >= 0 {
		return endpoints[best], nil
	}
	if outOfService == len(endpoints) {
		return config.ServiceEndpoint{}, result.New(result.DomainOutOfService, "all failure domains of service %q are out", f.request.Service.Name)
	}
	failure := result.New(result.NoRunner, "no endpoint of service %q is left", f.request.Service.Name)
	if wait := opens.Sub(s.clock.Now()); wait > 0 {
		return config.ServiceEndpoint{}, failure.WithRetryAfter(holdoff.RetryDelay(wait, s.randomFloat()))
	}
	return config.ServiceEndpoint{}, failure
}

func (s *Service) endpointScore(e config.ServiceEndpoint) int {
	score := 0
	switch {
	case e.FailureDomain == s.options.FailureDomain:
	case e.Region == s.options.Region:
		score = 1
	default:
		score = 2
	}
	if s.endpoints.coolingDown(e.URL) {
		score += 3
	}
	return score
}

func (f *serviceFlow) call(ctx context.Context, endpoint config.ServiceEndpoint) (upstream.ServiceResponse, error) {
	s, r := f.service, f.request
	attempt := r.ID
	if f.claim != nil {
		attempt = f.claim.AttemptID()
	}
	s.counters.attempts.Inc()
	f.record(timeline.AttemptSent, func(e *timeline.Event) { e.AttemptID, e.Domain = attempt, endpoint.FailureDomain })
	answer, err := s.client.CallService(ctx, upstream.ServiceCall{
		Service:          r.Service.Name,
		Endpoint:         endpoint,
		Method:           r.Method,
		Path:             r.Path,
		Query:            r.Query,
		Header:           http.Header(r.Header),
		Body:             r.Body,
		AttemptID:        attempt,
		Timeout:          r.Service.Timeout.Std(),
		MaxResponseBytes: maxAnswerBytes,
	})
	s.endpoints.setFailed(endpoint.URL, err != nil)
	if err == nil {
		s.endpoints.hear(endpoint.URL, answer.Wish)
	}
	f.record(timeline.AttemptEnded, func(e *timeline.Event) {
		e.AttemptID, e.Domain = attempt, endpoint.FailureDomain
		if err != nil {
			failure := result.From(err)
			e.Code, e.Run, e.Detail = int(failure.Code), string(failure.Run), failure.Error()
		}
	})
	return answer, err
}

// finish records the outcome and the bill.
func (f *serviceFlow) finish(ctx context.Context, a upstream.ServiceResponse) (*ServiceResult, error) {
	r := f.request
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ledgerTimeout)
	defer cancel()
	contentType := a.Header.Get("Content-Type")
	if f.claim != nil {
		// The ledger retries a failed write in the background.
		_ = f.claim.Done(ctx, idempotency.Outcome{
			Status: a.Status, ContentType: contentType, Body: a.Body, Upstream: r.Service.Name,
		})
		f.claim = nil
	}
	if err := f.bill(ctx, a.Status); err != nil {
		return nil, err
	}
	return &ServiceResult{
		Meta:   Meta{RequestID: r.ID, Config: f.service.config.Current().Number},
		Status: a.Status, ContentType: contentType, Body: a.Body,
	}, nil
}

// bill records the charge for a successful call.
func (f *serviceFlow) bill(ctx context.Context, status int) error {
	s, r := f.service, f.request
	if status >= http.StatusBadRequest {
		return nil
	}
	bill := billing.Bill{
		ID:           billing.ID(r.Organisation.Name, f.billingKey(), r.ID),
		Organisation: r.Organisation.Name,
		Service:      r.Service.Name,
		Price:        r.Service.PricePerCall,
		Complete:     true,
		Time:         s.clock.Now(),
		Node:         s.options.Node,
	}
	if err := s.bills.Record(ctx, bill); err != nil {
		return result.Wrap(err, result.CodeOf(err), result.Ran, "the bill could not be kept")
	}
	s.limiter.Spend(r.Organisation.Name, bill.Price)
	f.record(timeline.BillRecorded, func(e *timeline.Event) { e.Detail = bill.ID })
	return nil
}

// billingKey returns the idempotency key if the call is deduplicated by it.
func (f *serviceFlow) billingKey() string {
	if f.idempotent {
		return ""
	}
	return f.request.IdempotencyKey
}
