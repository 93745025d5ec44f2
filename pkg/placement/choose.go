package placement

import (
	"math"
	"slices"
	"time"

	"cassiapin/pkg/holdoff"
	"cassiapin/pkg/topology"
)

// Request is a request for which an upstream is to be chosen.
type Request struct {
	Upstreams []*topology.Upstream
	// Prompt is the shared beginning of the request's prompt.
	Prompt Prompt
	// FailureDomain and Region are those of the node.
	FailureDomain, Region string
	// Usable reports whether the request may be sent to an upstream that is cold
	// until coldUntil. It must not call the table, which is locked.
	Usable func(u *topology.Upstream, coldUntil time.Time) bool
	// MaxOpen is the number of requests that this node may have open at one
	// upstream; zero is no limit. Upstreams limit the connections of all nodes
	// together.
	MaxOpen int
	// Batched is set for requests that run in batches, where each slows down the
	// others. Other requests run independently until all slots are taken.
	Batched bool
	// Preferred reports whether an upstream is in this node's subset; nil is all.
	Preferred func(u *topology.Upstream) bool
	// Tried are the upstreams to which the request was already sent.
	Tried map[topology.Incarnation]bool
	Now   time.Time
}

// Weights of the score, which is the expected delay in seconds.
const (
	// fullLoadDelay is the delay at an upstream whose slots are all taken.
	fullLoadDelay = 1.0
	// prefillWeight scales the pending prefill time of this node's requests at
	// the upstream. It is above 1 to account for requests of other nodes.
	prefillWeight = 1.5
	// domainDistance and regionDistance are added for an upstream in another
	// failure domain and in another region.
	domainDistance = 0.04
	regionDistance = 0.15
	// outsideSubset is added for an upstream that other nodes use.
	outsideSubset = 0.2
	// failurePenalty is added at a failure rate of 1.
	failurePenalty = 3.0
	// coldPenalty is added while an upstream is cold.
	coldPenalty = 0.3
	// jitter is the largest random addition; it spreads the choices of nodes
	// with the same view.
	jitter = 0.02
)

// Choice is the result of Choose.
type Choice struct {
	Upstream *topology.Upstream
	// Load is the estimated number of requests at the upstream; Free is set if
	// that is less than its slots.
	Load float64
	Free bool
	// Kept is the expected number of prompt tokens that the upstream still has.
	Kept int
}

// Choose returns the upstream with the lowest score; ok is false if none is
// usable.
func (t *Table) Choose(r Request, random float64) (best Choice, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	home := t.home(r)
	bestScore := math.Inf(1)
	for i, u := range r.Upstreams {
		if !t.eligible(r, u) {
			continue
		}
		score, l, held := t.score(r, u, home)
		score += jitter * jitterFraction(random, i)
		if score < bestScore {
			bestScore, ok = score, true
			best = Choice{Upstream: u, Load: l.requests, Free: l.requests < float64(u.Slots), Kept: int(held * float64(r.Prompt.Tokens))}
		}
	}
	return best, ok
}

// Has reports whether Choose would return an upstream.
func (t *Table) Has(r Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(r.Upstreams, func(u *topology.Upstream) bool { return t.eligible(r, u) })
}

// score returns the expected delay of the request at an upstream in seconds, with the
// load there and the probability that it still has the beginning of the prompt.
func (t *Table) score(r Request, u, home *topology.Upstream) (score float64, l load, held float64) {
	s := t.state(u, r.Now)
	l = t.estimate(u, u.FailureDomain == r.FailureDomain, r.Now)
	held = s.held(r.Prompt, u == home, r.Now)
	// What the upstream need not read weighs against the wait there, and like pending
	// prefill. A prompt that many requests share is spread over several upstreams once
	// its home is slower than others by more than that.
	prefill := l.prefill.Seconds() - held*r.Prompt.Prefill.Seconds()
	queue := fullLoadDelay * slowdown(l.requests/float64(max(u.Slots, 1)), r.Batched)
	score = l.pace*(queue+prefillWeight*prefill) + distance(r, u) + failurePenalty*s.rate(r.Now)
	if r.Now.Before(t.coldUntil(u)) {
		score += coldPenalty
	}
	if r.Preferred != nil && u != home && !r.Preferred(u) {
		score += outsideSubset
	}
	return score, l, held
}

func (t *Table) eligible(r Request, u *topology.Upstream) bool {
	if r.Tried[u.Incarnation()] || !r.Usable(u, t.coldUntil(u)) {
		return false
	}
	s := t.states[u.Incarnation()]
	if s == nil {
		return true
	}
	return !r.Now.Before(s.pausedUntil) && s.belief.State(s.open, r.Now) == holdoff.Open && (r.MaxOpen == 0 || s.open < r.MaxOpen)
}

// ColdUntil returns the reported end of the upstream's cold start.
func (t *Table) ColdUntil(u *topology.Upstream) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.coldUntil(u)
}

func (t *Table) coldUntil(u *topology.Upstream) time.Time {
	until := u.ColdUntil
	if s := t.states[u.Incarnation()]; s != nil && s.coldUntil.After(until) {
		until = s.coldUntil
	}
	return until
}

// slowdown returns the delay caused by a load as a share of fullLoadDelay.
// Without batching a request waits only if all slots are taken on arrival,
// which is rare at a low load.
func slowdown(load float64, batched bool) float64 {
	if batched {
		return load
	}
	return load * load
}

func distance(r Request, u *topology.Upstream) float64 {
	switch {
	case u.FailureDomain == r.FailureDomain:
		return 0
	case u.Region == r.Region:
		return domainDistance
	}
	return regionDistance
}

// jitterFraction derives a number in [0, 1) for candidate i from random.
func jitterFraction(random float64, i int) float64 {
	_, f := math.Modf(random + float64(i)*math.Phi)
	return f
}
