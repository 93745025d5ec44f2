// Package placement chooses an upstream for a request by load, distance, what it still
// has of the prompt, and recent failures.
package placement

import (
	"math"
	"sync"
	"time"

	"cassiapin/pkg/hashing"
	"cassiapin/pkg/holdoff"
	"cassiapin/pkg/topology"
)

const (
	// failureWeight is the EWMA weight of the latest outcome in the failure
	// rate.
	failureWeight = 0.15
	// pauseMin and pauseMax bound the pause of an unreachable upstream, which
	// doubles with each consecutive failure.
	pauseMin = 400 * time.Millisecond
	pauseMax = 3 * time.Second
	// failureHalfLife is the time in which a failure rate halves without traffic,
	// so that the upstream is tried again.
	failureHalfLife = 4 * time.Second
	// stateTTL is how long the state of an unused upstream is kept.
	stateTTL = time.Minute
	// beliefTTL is how long an unused upstream that has said that it leaves is
	// remembered; such upstreams are listed for minutes at most.
	beliefTTL = time.Hour
)

// Report is a load report of an upstream, sent with an answer.
type Report struct {
	Running, Waiting, Slots int
	// Pace is how long work takes on the upstream's machine at the moment, compared
	// with the usual; zero is unknown.
	Pace float64
}

// state is what a node has observed of one incarnation in its own sends.
type state struct {
	// prefill is the total estimated prefill time of this node's requests that
	// have not got their first event.
	prefill     time.Duration
	open        int
	failureRate float64
	failedAt    time.Time
	pauses      int
	pausedUntil time.Time
	lastByte    time.Time
	lastUse     time.Time
	coldUntil   time.Time
	// rest is the part of the load that this node does not know.
	rest remainder
	// pace is how long work takes compared with the usual, as of paceAt.
	pace   float64
	paceAt time.Time
	// prompts are the beginnings of prompts that this node has sent there.
	prompts sentPrompts
	// belief is what the upstream wants.
	belief holdoff.Belief
}

// Table has the observed state of all upstreams. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	states  map[topology.Incarnation]*state
	sweptAt time.Time
	// usual is what upstreams usually have open for other nodes.
	usual map[usualRemainder]float64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{states: make(map[topology.Incarnation]*state), usual: make(map[usualRemainder]float64)}
}

func (t *Table) state(u *topology.Upstream, now time.Time) *state {
	s := t.states[u.Incarnation()]
	if s == nil {
		s = &state{prompts: make(sentPrompts)}
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
		// What an instance said holds as long as it may be listed.
		if s.open == 0 && now.Sub(s.lastUse) > stateTTL && (s.belief.Blank(now) || now.Sub(s.lastUse) > beliefTTL) {
			delete(t.states, key)
		}
	}
}

// Opened records the start of a send with the estimated prefill time.
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

// PromptSent records that an upstream has begun to answer a request whose prompt has
// a shared beginning, so that it has read it.
func (t *Table) PromptSent(u *topology.Upstream, p Prompt, now time.Time) {
	if p.Key == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(u, now).prompts.add(hashing.Hash(p.Key), now)
}

// Closed records the end of a send.
func (t *Table) Closed(u *topology.Upstream, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.state(u, now); s.open > 0 {
		s.open--
	}
}

// Read records that the upstream has processed a prompt, or that the send
// has ended.
func (t *Table) Read(u *topology.Upstream, prefill time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(u, now)
	s.prefill = max(s.prefill-prefill, 0)
}

// Received records that bytes arrived from the upstream.
func (t *Table) Received(u *topology.Upstream, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(u, now).lastByte = now
}

// IdleTime returns the time since bytes last arrived from the upstream.
func (t *Table) IdleTime(u *topology.Upstream, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.state(u, now).lastByte)
}

// LoadReported records a load report. domain is the node's failure domain.
func (t *Table) LoadReported(u *topology.Upstream, r Report, domain string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeLoad(u, r, u.FailureDomain == domain, now)
}

// SetColdUntil records the end of the cold start that the upstream reported.
func (t *Table) SetColdUntil(u *topology.Upstream, until, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(u, now).coldUntil = until
}

// Succeeded records a successful answer and ends any pause.
func (t *Table) Succeeded(u *topology.Upstream, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(u, now)
	s.failureRate = s.rate(now) * (1 - failureWeight)
	s.failedAt = now
	s.pauses, s.pausedUntil = 0, time.Time{}
}

// Refused records an answer in which the upstream wants nothing for retryAfter, Left
// one in which it says that it leaves. They report whether that was news.
func (t *Table) Refused(u *topology.Upstream, retryAfter time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(u, now).belief.Refused(retryAfter, now)
}

// Left records an answer in which the upstream says that it leaves.
func (t *Table) Left(u *topology.Upstream, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(u, now).belief.Left(now)
}

// Wants returns what the upstream wants, and when its latest refusal ends or ended.
func (t *Table) Wants(u *topology.Upstream, now time.Time) (state holdoff.State, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[u.Incarnation()]
	if s == nil {
		return holdoff.Open, time.Time{}
	}
	return s.belief.State(s.open, now), s.belief.Until()
}

// Failed records a failed send. It pauses an unreachable upstream that is not
// paused yet and returns the length of the new pause, or 0.
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

// RetractFailure removes a failure from the failure rate that was not caused by
// the upstream.
func (t *Table) RetractFailure(u *topology.Upstream, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(u, now)
	s.failureRate = max((s.rate(now)-failureWeight)/(1-failureWeight), 0)
	s.failedAt = now
}

// Paused reports whether an upstream is paused because it was unreachable.
func (t *Table) Paused(u *topology.Upstream, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[u.Incarnation()]
	return s != nil && now.Before(s.pausedUntil)
}

// rate returns the failure rate, which decays without traffic.
func (s *state) rate(now time.Time) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp2(-now.Sub(s.failedAt).Seconds()/failureHalfLife.Seconds())
}
