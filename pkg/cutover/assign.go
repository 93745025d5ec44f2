package cutover

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cassiapin/pkg/spread"
	"cassiapin/pkg/topology"
)

// Assignment says which releases of a service a request may use.
type Assignment struct {
	// required is the one release that is allowed; empty is any.
	required string
	// not are releases that are not allowed.
	excluded map[string]bool
	fallback *Assignment
	// share is the part of the upstreams that share the requests, zero for
	// all of them.
	share   float64
	created topology.Revision
}

// canarySpread is how many times more upstreams a share of the requests is spread
// over than the share itself would need: less load than usual leaves room to
// choose around long prompts.
const canarySpread = 2

// Candidates returns the upstreams that the request may be sent to. While a small
// share of the requests tries a release, it goes to a small share of its
// upstreams, so that they carry some load: a release may fail only under load.
// All nodes take the same ones, and others in their place when those cannot be
// used.
func (a *Assignment) Candidates(upstreams []*topology.Upstream, usable func(u *topology.Upstream) bool) []*topology.Upstream {
	if a.share == 0 {
		return upstreams
	}
	var candidates []*topology.Upstream
	for _, u := range upstreams {
		if u.Release == a.required && usable(u) {
			candidates = append(candidates, u)
		}
	}
	slices.SortFunc(candidates, func(x, y *topology.Upstream) int {
		return cmp.Compare(spread.Mix(spread.Hash(x.ID)^uint64(a.created)), spread.Mix(spread.Hash(y.ID)^uint64(a.created)))
	})
	return candidates[:min(int(math.Ceil(canarySpread*a.share*float64(len(candidates)))), len(candidates))]
}

// Permits reports whether an upstream of the release may get the request.
func (a *Assignment) Permits(release string) bool {
	return (a.required == "" || a.required == release) && !a.excluded[release]
}

// HasFallback reports whether there is another choice when no upstream of the
// permitted releases can be used.
func (a *Assignment) HasFallback() bool { return a.fallback != nil }

// Fallback returns the other choice.
func (a *Assignment) Fallback() *Assignment { return a.fallback }

// Assign decides on the release for a request of a session; an empty session
// is one by itself.
func (s *Service) Assign(service, session string, now time.Time) *Assignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.rollouts[service]
	if t == nil {
		s.recordSession(service, session, now)
		return s.assignWithoutRollout(service, now)
	}
	target := t.object.Target
	old := &Assignment{excluded: map[string]bool{target: true}}
	for key := range s.rejected {
		if key.service == service {
			old.excluded[key.release] = true
		}
	}
	switch t.object.State {
	case topology.RolloutCompleted:
		return &Assignment{required: target, fallback: old}
	case topology.RolloutRolledBack:
		s.recordSession(service, session, now)
		return old
	}
	if s.useNew(t, service, session, now) {
		a := &Assignment{required: target, fallback: old}
		if t.share < 1 {
			a.share, a.created = t.share, t.object.Created
		}
		return a
	}
	if t.progress(now) >= canaryEnd && t.halted == "" {
		// Moving to the new release is allowed from here on.
		old.fallback = &Assignment{required: target}
	}
	return old
}

// assignWithoutRollout is the assignment without an order: every release but those that
// were rolled back or have just appeared.
func (s *Service) assignWithoutRollout(service string, now time.Time) *Assignment {
	a := &Assignment{excluded: make(map[string]bool)}
	rejected := make(map[string]bool)
	for key := range s.rejected {
		if key.service == service {
			a.excluded[key.release], rejected[key.release] = true, true
		}
	}
	for key, at := range s.firstSeen {
		if key.service == service && now.Sub(at) < probation {
			a.excluded[key.release] = true
		}
	}
	if len(a.excluded) > len(rejected) {
		a.fallback = &Assignment{excluded: rejected}
	}
	return a
}

// useNew decides whether a request under trial goes to the new release.
func (s *Service) useNew(t *rollout, service, session string, now time.Time) bool {
	// All nodes change the share at the same moment and not at their next
	// step; a session must not come back to the old release at a node that is
	// behind.
	s.updateShare(t, now)
	if t.share == 0 {
		s.recordSession(service, session, now)
		return false
	}
	key, place := s.cohort(service, session)
	if place >= t.share {
		return false
	}
	if t.progress(now) >= canaryEnd {
		return true
	}
	bound, known := s.sessions.get(key, now)
	if !known {
		bound.new = !t.exposureExceeded(now, s.opts.ExposureShare, s.opts.ExposureExtra)
	}
	if session != "" {
		s.sessions.bind(key, bound.new, now)
	}
	return bound.new
}

// recordSession remembers a session at the old release if it might be chosen to
// try a new one.
func (s *Service) recordSession(service, session string, now time.Time) {
	if session == "" {
		return
	}
	if key, place := s.cohort(service, session); place < canaryShare {
		s.sessions.bind(key, false, now)
	}
}

// cohort returns a session's key and its cohort between 0 and 1, on which all
// nodes agree.
func (s *Service) cohort(service, session string) (key uint64, place float64) {
	if session == "" {
		return 0, rand.Float64()
	}
	key = spread.Hash(service, session)
	return key, float64(key) / math.MaxUint64
}

// SendStarted counts a send to a release; movable requests can go on at another
// upstream if theirs stops. The returned function counts the end of the send.
func (s *Service) SendStarted(service, release string, movable bool) (closed func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.rollouts[service]
	if t == nil || t.object.State.Final() {
		return func() {}
	}
	t.sent++
	if release == t.object.Target {
		t.newSent++
		return func() {}
	}
	firm := 1
	if movable {
		firm = 0
	}
	t.openOld++
	t.pinnedOld += firm
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		t.openOld--
		t.pinnedOld -= firm
	}
}

// RecordAbandoned counts a request that was given up without an answer.
func (s *Service) RecordAbandoned(service, release, cell string, waited time.Duration) {
	s.count(service, release, cell, func(c, _ *Count) { c.addAbandoned(waited) })
}

// RecordAnswer counts an answer of the application: whether it was good, and the
// time to its first byte.
func (s *Service) RecordAnswer(service, release, cell string, good bool, firstByte time.Duration) {
	s.count(service, release, cell, func(c, _ *Count) {
		if good {
			c.addGood(firstByte)
		} else {
			c.Bad++
		}
	})
}

// RecordEventInterval counts a stream with the mean time between its events.
func (s *Service) RecordEventInterval(service, release, cell string, gap time.Duration) {
	s.count(service, release, cell, func(_, pace *Count) { pace.addGood(gap) })
}

// count changes the counts of a cell while a trial runs.
func (s *Service) count(service, release, cell string, change func(c, pace *Count)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.rollouts[service]
	if t == nil || t.object.State.Final() {
		return
	}
	pair := t.ownStats[cell]
	if release == t.object.Target {
		change(&pair.New, &pair.NewInterval)
	} else {
		change(&pair.Old, &pair.OldInterval)
	}
	t.ownStats[cell] = pair
}
