package canary

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cassiapin/pkg/hashing"
	"cassiapin/pkg/topology"
)

// Assignment defines which releases of a service a request may use.
type Assignment struct {
	// required is the only release allowed; empty allows any.
	required string
	// excluded are releases that are not allowed.
	excluded map[string]bool
	fallback *Assignment
	// share is the share of requests that use the release, which limits the
	// upstreams they are spread over; zero allows all upstreams.
	share float64
	// rollout is the id of the rollout.
	rollout topology.Revision
	// basis is what the choice was based on.
	basis basis
}

// basis is what an assignment was based on. Logged with each request during a
// rollout, it shows why two requests of one session used different releases.
type basis string

const (
	basisCompleted basis = "completed"
	basisWithdrawn basis = "rolled back"
	basisNoShare   basis = "share is zero"
	basisOutside   basis = "outside the share"
	basisInside    basis = "inside the share"
	basisBound     basis = "session is known"
	basisUnknown   basis = "session is unknown"
	basisExposure  basis = "session is unknown and the exposure is used up"
	basisFallback  basis = "no upstream of the other release"
)

// Basis returns what the choice was based on, for logs; empty without a rollout.
func (a *Assignment) Basis() string { return string(a.basis) }

// canarySpread multiplies the number of upstreams used for a share of the
// requests: the lower load leaves room to avoid upstreams busy with long
// prompts.
const canarySpread = 2

// minCanaryUpstreams is the number of upstreams from which on an impaired one can
// be told from a bad release.
const minCanaryUpstreams = 2

// Candidates returns the upstreams that the request may be sent to. While a
// small share of the requests uses the new release, they go to a small share of
// its upstreams, so that those carry some load: a release may fail only under
// load. All nodes choose the same ones and replace unusable ones by the same
// rule.
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
		return cmp.Compare(upstreamOrder(x, a.rollout), upstreamOrder(y, a.rollout))
	})
	return candidates[:min(max(int(math.Ceil(canarySpread*a.share*float64(len(candidates)))), minCanaryUpstreams), len(candidates))]
}

// upstreamOrder is the sort key of an upstream, which differs for each rollout.
func upstreamOrder(u *topology.Upstream, id topology.Revision) uint64 {
	return hashing.Mix(hashing.Hash(u.ID) ^ id.Number)
}

// Permits reports whether the request may be sent to the release.
func (a *Assignment) Permits(release string) bool {
	return (a.required == "" || a.required == release) && !a.excluded[release]
}

// HasFallback reports whether there is an alternative assignment for when no
// upstream of the permitted releases can be used.
func (a *Assignment) HasFallback() bool { return a.fallback != nil }

// Fallback returns the alternative assignment, or nil.
func (a *Assignment) Fallback() *Assignment { return a.fallback }

// Assign chooses the releases for a request of a session. A request with an
// empty session is treated as a session of its own.
func (s *Service) Assign(service, session string, now time.Time) *Assignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	ro := s.rollouts[service]
	if ro == nil {
		s.recordSession(service, session, now)
		return s.assignWithoutRollout(service, now)
	}
	target := ro.object.Target
	old := &Assignment{excluded: map[string]bool{target: true}}
	for key := range s.rejected {
		if key.service == service {
			old.excluded[key.release] = true
		}
	}
	switch ro.state() {
	case topology.RolloutCompleted:
		return &Assignment{required: target, fallback: old, basis: basisCompleted}
	case topology.RolloutRolledBack:
		s.recordSession(service, session, now)
		old.basis = basisWithdrawn
		return old
	}
	useNew, basis := s.useNew(ro, service, session, now)
	old.basis = basis
	if useNew {
		old.basis = basisFallback
		a := &Assignment{required: target, fallback: old, basis: basis}
		if ro.share < 1 {
			a.share, a.rollout = ro.share, ro.id
		}
		return a
	}
	if ro.progress(now) >= canaryEnd && ro.halted == "" {
		// From here on sessions may move to the new release.
		old.fallback = &Assignment{required: target, basis: basisFallback}
	}
	return old
}

// assignWithoutRollout permits every release but those that were rolled back
// or have just appeared.
func (s *Service) assignWithoutRollout(service string, now time.Time) *Assignment {
	a := &Assignment{excluded: make(map[string]bool)}
	rejected := make(map[string]bool)
	for key := range s.rejected {
		if key.service == service {
			a.excluded[key.release], rejected[key.release] = true, true
		}
	}
	for release, h := range s.heardOf(service, now) {
		if h.completed {
			return &Assignment{required: release, fallback: a, basis: basisCompleted}
		}
		a.excluded[release] = true
		if h.halted {
			rejected[release] = true
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

// useNew decides whether a request goes to the new release during a rollout.
func (s *Service) useNew(ro *rollout, service, session string, now time.Time) (bool, basis) {
	// The share is updated here and not only at the next step, so that all
	// nodes change it at the same time: a session must not return to the old
	// release at a node that lags.
	s.updateShare(ro, now)
	if ro.share == 0 {
		s.recordSession(service, session, now)
		return false, basisNoShare
	}
	key, position := s.cohort(service, session)
	if position >= ro.share {
		return false, basisOutside
	}
	if ro.progress(now) >= canaryEnd {
		return true, basisInside
	}
	bound, known := s.sessions.get(key, now)
	basis := basisBound
	if !known {
		basis, bound.new = basisUnknown, true
		if ro.exposureExceeded(now, s.opts.ExposureShare, s.opts.ExposureExtra) {
			basis, bound.new = basisExposure, false
		}
	}
	if session != "" {
		s.sessions.bind(key, bound.new, now)
	}
	return bound.new, basis
}

// Use is the use of a session by a request that may be sent. Its methods may be
// called on nil.
type Use struct {
	service *Service
	name    string
	key     uint64
}

// Begin records that a request of a session is open, until End is called. It returns
// nil for sessions that no canary may choose.
func (s *Service) Begin(service, session string) *Use {
	if session == "" {
		return nil
	}
	key, position := s.cohort(service, session)
	if position >= maxCanaryShare {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions.opened(key)
	return &Use{service: s, name: service, key: key}
}

// End records the end of the request at a release, empty if it was not sent.
func (u *Use) End(release string) {
	if u == nil {
		return
	}
	s := u.service
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	ro := s.rollouts[u.name]
	isNew := ro != nil && release == ro.object.Target
	if bound, known := s.sessions.get(u.key, now); release == "" && known {
		isNew = bound.new
	}
	s.sessions.closed(u.key, isNew, now)
}

// recordSession binds a session to the old release if its position is below
// maxCanaryShare, so that a canary could choose it.
func (s *Service) recordSession(service, session string, now time.Time) {
	if session == "" {
		return
	}
	if key, position := s.cohort(service, session); position < maxCanaryShare {
		s.sessions.bind(key, false, now)
	}
}

// cohort returns a session's key and its position between 0 and 1, the same on
// all nodes. A session may use the new release once the share exceeds its
// position.
func (s *Service) cohort(service, session string) (key uint64, position float64) {
	if session == "" {
		return 0, rand.Float64()
	}
	key = hashing.Hash(service, session)
	return key, float64(key) / math.MaxUint64
}
