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
func (b *permitSet) grant(id, runner string, bound int, now time.Time, ttl time.Duration) bool {
	if _, known := b.byID[id]; known {
		return true
	}
	if b.open[runner] >= bound {
		return false
	}
	b.byID[id] = permit{runner: runner, expires: now.Add(ttl + permitMargin)}
	b.open[runner]++
	return true
}

// release removes a permit and reports whether it was open.
func (b *permitSet) release(id string) bool {
	p, ok := b.byID[id]
	if !ok {
		return false
	}
	delete(b.byID, id)
	if b.open[p.runner]--; b.open[p.runner] <= 0 {
		delete(b.open, p.runner)
	}
	return true
}

// expire removes expired permits and returns their runners.
func (b *permitSet) expire(now time.Time) []string {
	var runners []string
	for id, p := range b.byID {
		if !p.expires.After(now) {
			b.release(id)
			runners = append(runners, p.runner)
		}
	}
	return runners
}
