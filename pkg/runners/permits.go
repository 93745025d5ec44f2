package runners

import (
	"time"
)

// permit allows one open request at a runner.
type permit struct {
	runner  string
	expires time.Time
}

// permitSet is the set of open permits that this node granted as owner. It is
// not safe for concurrent use.
type permitSet struct {
	byID map[string]permit
	open map[string]int
}

func newPermitSet() *permitSet {
	return &permitSet{byID: make(map[string]permit), open: make(map[string]int)}
}

// grant adds a permit if fewer than bound are open at the runner. It is
// idempotent: a known id is granted again without being counted twice.
func (s *permitSet) grant(id, runner string, bound int, now time.Time, ttl time.Duration) bool {
	if _, known := s.byID[id]; known {
		return true
	}
	if s.open[runner] >= bound {
		return false
	}
	s.byID[id] = permit{runner: runner, expires: now.Add(ttl + permitMargin)}
	s.open[runner]++
	return true
}

// release removes a permit and reports whether it was open.
func (s *permitSet) release(id string) bool {
	p, ok := s.byID[id]
	if !ok {
		return false
	}
	delete(s.byID, id)
	if s.open[p.runner]--; s.open[p.runner] <= 0 {
		delete(s.open, p.runner)
	}
	return true
}

// expire removes expired permits and returns their runners.
func (s *permitSet) expire(now time.Time) []string {
	var runners []string
	for id, p := range s.byID {
		if !p.expires.After(now) {
			s.release(id)
			runners = append(runners, p.runner)
		}
	}
	return runners
}
