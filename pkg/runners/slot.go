package runners

import (
	"context"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cassiapin/pkg/config"
	"cassiapin/pkg/holdoff"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

var (
	permitsRefused   = metrics.GetOrCreateCounter("cassiapin_runner_permits_refused_total")
	ejections        = metrics.GetOrCreateCounter("cassiapin_runner_ejections_total")
	runnerWishes     = metrics.GetOrCreateCounter("cassiapin_runner_wishes_total")
	coldStartSignals = metrics.GetOrCreateCounter("cassiapin_runner_cold_signs_total")
)

// slot is one open request at a runner.
type slot struct {
	table  *Service
	runner *runner
	ctx    context.Context
	cancel context.CancelCauseFunc
	probe  bool
	// permit and owner are set for a runner that is not warm.
	permit string
	owner  peer.NodeID
}

// Acquire implements Table.
func (t *Service) Acquire(ctx context.Context, upstream string) (Slot, error) {
	r := t.view.Load().runners[upstream]
	if r == nil {
		return nil, noRunnerError(upstream)
	}
	if t.source.Marks()[r.domainKey].State == config.MarkOut {
		return nil, result.New(result.DomainOutOfService, "the failure domain of runner %s is taken out", upstream)
	}
	s := &slot{table: t, runner: r}
	needsPermit, err := s.reserve(t.clock.Now())
	if err != nil {
		return nil, err
	}
	if !needsPermit {
		s.ctx, s.cancel = context.WithCancelCause(ctx)
		return s, nil
	}
	if err := s.obtainPermit(ctx); err != nil {
		s.cancelReservation()
		return nil, err
	}
	// The runner may have spoken while the owner was asked.
	if err := s.stillWanted(t.clock.Now()); err != nil {
		s.cancel(nil)
		t.returnPermit(s.owner, s.permit, r)
		s.cancelReservation()
		return nil, err
	}
	return s, nil
}

// stillWanted returns an error if the runner wants no request any more.
func (s *slot) stillWanted(now time.Time) error {
	r := s.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.belief.State(r.outstanding-1, now) {
	case holdoff.Refusing, holdoff.Leaving:
		return refusingError(r.name, r.belief.Until().Sub(now))
	}
	return nil
}

// refusingError is returned for a runner that wants no requests for wait.
func refusingError(name string, wait time.Duration) *result.Error {
	return result.New(result.TooManyRequests, "runner %s wants no requests now", name).WithRetryAfter(max(wait, 0))
}

// UpstreamWish records what a runner said in an answer.
func (t *Service) UpstreamWish(name string, w holdoff.Wish) {
	r := t.view.Load().runners[name]
	if r == nil {
		return
	}
	now := t.clock.Now()
	r.mu.Lock()
	news := r.belief.Hear(w, now)
	r.mu.Unlock()
	if !news {
		return
	}
	runnerWishes.Inc()
	t.log.Info("runner refuses or leaves", "upstream", name, "retry_after_ms", w.RetryAfter.Milliseconds(), "leaving", w.Leaving)
	t.recordTransition(r)
}

// Reopens implements Table.
func (t *Service) Reopens(ref config.VersionRef) (at time.Time, refusing bool) {
	v, now := t.view.Load(), t.clock.Now()
	subset := v.subsets[ref]
	if subset == nil {
		return at, false
	}
	for _, list := range [2][]*runner{subset.local, subset.remote} {
		for _, r := range list {
			r.mu.Lock()
			state, until := r.belief.State(r.outstanding, now), r.belief.Until()
			gone := r.state(now) == Leaving || r.ejection.ejected
			r.mu.Unlock()
			switch {
			case gone:
			case state != holdoff.Refusing:
				return time.Time{}, false
			case at.IsZero() || until.Before(at):
				at = until
			}
		}
	}
	return at, !at.IsZero()
}

// reserve counts the request as outstanding and reports whether it needs a
// permit.
func (s *slot) reserve(now time.Time) (needsPermit bool, err error) {
	r := s.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.state(now)
	half := r.ejection.halfOpen(now)
	switch {
	case state == Leaving, r.ejection.ejected && !half:
		return false, noRunnerError(r.name)
	case r.belief.State(r.outstanding, now) != holdoff.Open:
		return false, refusingError(r.name, r.belief.Until().Sub(now))
	case state == Warm && r.outstanding >= r.limit.value():
		return false, result.New(result.TooManyRequests, "runner %s is at this node's limit", r.name)
	case state != Warm && now.Before(r.backoffUntil):
		return false, coldLimitedError(r.name)
	}
	r.ejection.probing, s.probe = half || r.ejection.probing, half
	r.outstanding++
	return state != Warm, nil
}

// cancelReservation undoes reserve.
func (s *slot) cancelReservation() {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	s.runner.outstanding--
	if s.probe {
		s.runner.ejection.probing = false
	}
}

func coldLimitedError(name string) *result.Error {
	return result.New(result.ColdStartLimited, "runner %s is in cold start and at its bound", name).
		WithRetryAfter(time.Second)
}

// obtainPermit requests a permit from the runner's owner. The TTL starts before
// the request is sent, so that this node stops using the permit before it
// expires at the owner.
func (s *slot) obtainPermit(ctx context.Context) error {
	t, now := s.table, s.table.clock.Now()
	ttl := maxPermitTTL
	if deadline, ok := ctx.Deadline(); ok {
		ttl = min(ttl, deadline.Sub(now))
	}
	id := string(t.options.Node) + "/" + strconv.FormatUint(t.permitID.Add(1), 10)
	owner, granted := t.requestPermit(ctx, s.runner, permitRequest{Upstream: s.runner.name, ID: id, TTLMS: ttl.Milliseconds()})
	if !granted {
		permitsRefused.Inc()
		s.runner.mu.Lock()
		s.runner.backoffUntil = t.clock.Now().Add(refusalBackoff)
		s.runner.mu.Unlock()
		return coldLimitedError(s.runner.name)
	}
	s.permit, s.owner = id, owner
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	go s.expire(t.clock.After(ttl - t.clock.Since(now)))
	return nil
}

// expire cancels the slot's context when its permit expires. With the cause the
// upstream client can distinguish the expiry from a cancellation by the caller.
func (s *slot) expire(after <-chan time.Time) {
	select {
	case <-after:
		s.cancel(context.DeadlineExceeded)
	case <-s.ctx.Done():
	}
}

// Context implements Slot.
func (s *slot) Context() context.Context { return s.ctx }

// Done implements Slot.
func (s *slot) Done(o Outcome) {
	s.cancel(nil)
	t, r, now := s.table, s.runner, s.table.clock.Now()
	if s.permit != "" {
		t.returnPermit(s.owner, s.permit, r)
	}
	r.mu.Lock()
	open := r.outstanding
	r.outstanding--
	r.backoffUntil = time.Time{}
	if o.Failed && o.Cold {
		// The runner still has requests from before its cold start; without a
		// backoff each refusal is followed by an immediate retry.
		r.backoffUntil = now.Add(refusalBackoff)
	}
	if s.probe {
		r.ejection.probing = false
	}
	shouldEject := r.observe(o, s.permit == "", open, now)
	restored := s.probe && !o.Failed && !o.Cold && r.ejection.ejected
	if restored {
		r.ejection.restore()
		r.isEjected.Store(false)
		r.rampStartedAt = now
	}
	r.mu.Unlock()
	switch {
	case restored:
		t.events.Record(timeline.Event{Kind: timeline.RunnerRestored, Upstream: r.name})
	case shouldEject:
		t.eject(r, s.probe)
	}
	if o.Cold {
		t.reportColdStart(r)
	}
	t.notifyChanged()
}

// observe updates the concurrency limit and the failure record, and reports
// whether the runner should be ejected. A cold start does not count as a failure.
func (r *runner) observe(o Outcome, warm bool, open int, now time.Time) (shouldEject bool) {
	if o.Cold {
		return false
	}
	latency := o.FirstByte
	if latency == 0 {
		latency = o.Total
	}
	switch {
	case o.Failed:
		r.limit.decrease()
	case warm && latency > 0:
		r.limit.observe(latency, open)
	}
	return r.ejection.record(o.Failed) || o.Failed && r.ejection.ejected && !now.Before(r.ejection.until)
}

// ejectableDivisor is the divisor of the number of a version's runners that gives
// how many of them may be ejected at once.
const ejectableDivisor = 3

// eject ejects the runner unless too many runners of one of its versions are
// ejected. A failed probe prolongs the ejection.
func (t *Service) eject(r *runner, probe bool) {
	t.ejectMu.Lock()
	defer t.ejectMu.Unlock()
	v := t.view.Load()
	r.mu.Lock()
	serves, already := r.decl.Serves, r.ejection.ejected
	r.mu.Unlock()
	if already != probe {
		return
	}
	for _, ref := range serves {
		if subset := v.subsets[ref]; !already && subset != nil && subset.ejected()+1 > subset.size()/ejectableDivisor {
			return
		}
	}
	r.mu.Lock()
	r.ejection.eject(t.clock.Now())
	r.mu.Unlock()
	r.isEjected.Store(true)
	ejections.Inc()
	t.events.Record(timeline.Event{Kind: timeline.RunnerEjected, Upstream: r.name})
}

func (s *runnerSubset) size() int { return len(s.local) + len(s.remote) }

func (s *runnerSubset) ejected() int {
	n := 0
	for _, list := range [2][]*runner{s.local, s.remote} {
		for _, r := range list {
			if r.isEjected.Load() {
				n++
			}
		}
	}
	return n
}
