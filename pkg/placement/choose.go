package placement

import (
	"math"
	"time"

	"cassiapin/pkg/spread"
	"cassiapin/pkg/topology"
)

// Request describes what is to be placed.
type Request struct {
	Upstreams []*topology.Upstream
	// Affinity identifies the part of the prompt that is worth keeping at one
	// upstream; empty is none.
	Affinity string
	// FailureDomain and Region are those of the node.
	FailureDomain, Region string
	// Usable reports whether the request may go to an upstream, which said that
	// it is cold until a moment. It must not call the table.
	Usable func(u *topology.Upstream, coldUntil time.Time) bool
	// MaxOpen is the number of requests that this node may have open at one
	// upstream, zero for no limit: upstreams bound the connections of all nodes
	// together.
	MaxOpen int
	// Batched requests run in batches, in which each slows the others. Others
	// run side by side until the slots are taken.
	Batched bool
	// Tried are upstreams that already had the request.
	Tried map[topology.Incarnation]bool
	Now   time.Time
}

// The weights of the score, in seconds by which a request is served later.
const (
	// fullLoadDelay is the delay at an upstream whose slots are all taken.
	fullLoadDelay = 1.0
	// prefillWeight is the part of the prompts that wait to be read in front of
	// a request, of those that this node knows of; it stands for those of
	// other nodes as well.
	prefillWeight = 1.5
	// domainDistance and regionDistance are added for upstreams in another
	// failure domain and in another region.
	domainDistance = 0.04
	regionDistance = 0.15
	// affinityBonus is taken off for the upstream that the prefix is kept at.
	// An upstream that is later than the others by more than that is passed
	// over, so that one hot prefix spreads.
	affinityBonus = 0.12
	// failurePenalty is added at a failure rate of 1.
	failurePenalty = 3.0
	// coldPenalty is added while an upstream is cold.
	coldPenalty = 0.3
	// jitter spreads the choices of nodes with the same view.
	jitter = 0.02
)

// Choice is the result of Choose.
type Choice struct {
	Upstream *topology.Upstream
	// Load is the estimated number of requests at the upstream, and Free tells
	// whether it has a free slot by that estimate.
	Load float64
	Free bool
}

// Choose returns the best upstream; ok is false when none can be used.
func (t *Table) Choose(r Request, random float64) (best Choice, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	preferred := t.affinityUpstream(r)
	bestScore := math.Inf(1)
	for i, u := range r.Upstreams {
		if !t.eligible(r, u) {
			continue
		}
		s := t.state(u, r.Now)
		load := s.load(r.Now)
		score := fullLoadDelay*slowdown(load/float64(max(u.Slots, 1)), r.Batched) + prefillWeight*s.prefill.Seconds() + distance(r, u) + failurePenalty*s.rate(r.Now)
		if u == preferred {
			score -= affinityBonus
		}
		if r.Now.Before(t.coldUntil(u)) {
			score += coldPenalty
		}
		score += jitter * jitterFraction(random, i)
		if score < bestScore {
			bestScore, ok = score, true
			best = Choice{Upstream: u, Load: load, Free: load < float64(u.Slots)}
		}
	}
	return best, ok
}

func (t *Table) eligible(r Request, u *topology.Upstream) bool {
	if r.Tried[u.Incarnation()] || !r.Usable(u, t.coldUntil(u)) {
		return false
	}
	s := t.states[u.Incarnation()]
	if s == nil {
		return true
	}
	return !r.Now.Before(s.pausedUntil) && (r.MaxOpen == 0 || s.open < r.MaxOpen)
}

// ColdUntil returns until when the upstream said that it is cold.
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

// affinityUpstream returns the upstream that keeps the request's prefix: the first by
// rendezvous hashing among those that are nearest.
func (t *Table) affinityUpstream(r Request) *topology.Upstream {
	if r.Affinity == "" {
		return nil
	}
	var best *topology.Upstream
	var bestHash uint64
	nearest := math.Inf(1)
	for _, u := range r.Upstreams {
		if !t.eligible(r, u) {
			continue
		}
		d := 0.0
		if u.Region != r.Region {
			d = 1
		}
		h := spread.Hash(r.Affinity, u.ID)
		if best == nil || d < nearest || d == nearest && h > bestHash {
			best, bestHash, nearest = u, h, d
		}
	}
	return best
}

// slowdown is the part of the delay at full load that a load causes. Without
// batches a request waits only if all slots are taken when it comes, which is
// seldom so at a small load.
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

// jitterFraction spreads one random number over candidates.
func jitterFraction(random float64, i int) float64 {
	_, f := math.Modf(random + float64(i)*math.Phi)
	return f
}
