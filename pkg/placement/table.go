// Package placement chooses the upstream of a request among those that may get
// it: by load, distance, kept prefixes and recent failures.
package placement

import (
	"math"
	"sync"
	"time"

	"cassiapin/pkg/topology"
)

const (
	// failureWeight is the weight of the latest outcome in the failure rate.
	failureWeight = 0.15
	// pauseMin and pauseMax bound the time for which an upstream that cannot
	// be reached is left out; the time doubles with each failure in a row.
	pauseMin = 400 * time.Millisecond
	pauseMax = 3 * time.Second
	// reportTTL is the age at which a load report no longer counts.
	reportTTL = 2 * time.Second
	// failureHalfLife is the time in which a failure rate halves without
	// traffic, so that an upstream is tried again.
	failureHalfLife = 4 * time.Second
	// stateTTL removes upstreams that have not been used.
	stateTTL = time.Minute
)

// Report is the load that an upstream stated in an answer.
type Report struct {
	Running, Waiting, Slots int
}

// state is what a node knows of one incarnation from its own sends.
type state struct {
	// prefill is the time that the upstream needs for prompts of this node
	// that have not had their first event.
	prefill      time.Duration
	open         int
	failureRate  float64
	failedAt     time.Time
	pauses       int
	pausedUntil  time.Time
	report       Report
	reportAt     time.Time
	openAtReport int
	lastByte     time.Time
	lastUse      time.Time
	coldUntil    time.Time
}

// Table holds the states of all upstreams. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	states  map[topology.Incarnation]*state
	sweptAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{states: make(map[topology.Incarnation]*state)} }

func (t *Table) state(u *topology.Upstream, now time.Time) *state {
	s := t.states[u.Incarnation()]
	if s == nil {
		s = &state{}
		t.states[u.Incarnation()] = s
	}
	s.lastUse = now
	t.sweep(now)
	return s
}

func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < stateTTL {
		return
	}
	t.sweptAt = now
	for key, s := range t.states {
		if s.open == 0 && now.Sub(s.lastUse) > stateTTL {
			delete(t.states, key)
		}
	}
}

// Opened counts a send whose prompt takes a time to read.
func (t *Table) Opened(u *topology.Upstream, prefill time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(u, now)
	s.open++
	s.prefill += prefill
	if s.open == 1 {
		s.lastByte = now
	}
}

// Closed counts the end of a send.
func (t *Table) Closed(u *topology.Upstream, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.state(u, now); s.open > 0 {
		s.open--
	}
}

// Read notes that the upstream has read a prompt, or that the send has ended.
func (t *Table) Read(u *topology.Upstream, prefill time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(u, now)
	s.prefill = max(s.prefill-prefill, 0)
}

// Received notes that bytes arrived from the upstream.
func (t *Table) Received(u *topology.Upstream, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(u, now).lastByte = now
}

// IdleTime returns the time since the upstream last sent anything.
func (t *Table) IdleTime(u *topology.Upstream, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.state(u, now).lastByte)
}

// Reported takes a load report.
func (t *Table) Reported(u *topology.Upstream, r Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(u, now)
	s.report, s.reportAt, s.openAtReport = r, now, s.open
}

// SetColdUntil notes that the upstream says it is cold until a moment.
func (t *Table) SetColdUntil(u *topology.Upstream, until, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(u, now).coldUntil = until
}

// Succeeded counts a good answer.
func (t *Table) Succeeded(u *topology.Upstream, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(u, now)
	s.failureRate = s.rate(now) * (1 - failureWeight)
	s.failedAt = now
	s.pauses, s.pausedUntil = 0, time.Time{}
}

// Failed counts a failed answer. An unreachable upstream is left out for a
// while; Failed returns for how long.
func (t *Table) Failed(u *topology.Upstream, unreachable bool, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(u, now)
	s.failureRate = s.rate(now)*(1-failureWeight) + failureWeight
	s.failedAt = now
	if !unreachable || now.Before(s.pausedUntil) {
		return 0
	}
	pause := min(pauseMin<<min(s.pauses, 8), pauseMax)
	s.pauses++
	s.pausedUntil = now.Add(pause)
	return pause
}

// RetractFailure takes back a failure that was not the upstream's.
func (t *Table) RetractFailure(u *topology.Upstream, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(u, now)
	s.failureRate = max((s.rate(now)-failureWeight)/(1-failureWeight), 0)
	s.failedAt = now
}

// Paused reports whether an upstream is left out because it could not be
// reached.
func (t *Table) Paused(u *topology.Upstream, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[u.Incarnation()]
	return s != nil && now.Before(s.pausedUntil)
}

// rate is the failure rate, which decays without traffic.
func (s *state) rate(now time.Time) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp2(-now.Sub(s.failedAt).Seconds()/failureHalfLife.Seconds())
}

// load estimates the requests that the upstream has: those of the latest
// report, corrected by what this node has opened and closed since.
func (s *state) load(now time.Time) float64 {
	own := float64(s.open)
	age := now.Sub(s.reportAt)
	if s.reportAt.IsZero() || age > reportTTL {
		return own
	}
	reported := float64(s.report.Running+s.report.Waiting) + float64(s.open-s.openAtReport)
	return max(own, reported)
}
