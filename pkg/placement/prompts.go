package placement

import (
	"time"

	"cassiapin/pkg/hashing"
	"cassiapin/pkg/topology"
)

const (
	// homeHolds is the probability that the home of a prompt's beginning still has
	// it, sentHolds that of an upstream to which this node has sent it within
	// sentTTL.
	homeHolds = 0.8
	sentHolds = 0.8
	sentTTL   = 10 * time.Second
	// maxSentPrompts bounds what is remembered of one upstream.
	maxSentPrompts = 64
	// minHomePrefill is the time to read a beginning from which on it has a home.
	// Shorter ones are soon kept by all upstreams, and a preferred upstream would
	// only be crowded.
	minHomePrefill = 50 * time.Millisecond
)

// Prompt is the beginning of a request's prompt that other requests share.
type Prompt struct {
	// Key identifies the shared parts and the model; empty is none.
	Key string
	// Tokens is the length of the shared parts, and Prefill the time in which an idle
	// upstream reads them.
	Tokens  int
	Prefill time.Duration
}

// sentPrompts remembers which prompts a node has sent to one upstream.
type sentPrompts map[uint64]time.Time

// add remembers a prompt; the oldest one yields.
func (p sentPrompts) add(key uint64, now time.Time) {
	if _, known := p[key]; !known && len(p) >= maxSentPrompts {
		var oldest uint64
		at := now
		for k, sent := range p {
			if !sent.After(at) {
				oldest, at = k, sent
			}
		}
		delete(p, oldest)
	}
	p[key] = now
}

func (p sentPrompts) has(key uint64, now time.Time) bool {
	sent, known := p[key]
	return known && now.Sub(sent) <= sentTTL
}

// held is the probability that an upstream still has the beginning of a prompt.
// home is the upstream that all nodes prefer for it.
func (s *state) held(p Prompt, home bool, now time.Time) float64 {
	switch {
	case p.Key == "":
		return 0
	case s.prompts.has(hashing.Hash(p.Key), now):
		return sentHolds
	case home:
		return homeHolds
	}
	return 0
}

// home returns the preferred upstream for the beginning of a prompt: the first by
// rendezvous hashing among the eligible ones of the node's region, or else of all.
func (t *Table) home(r Request) *topology.Upstream {
	if r.Prompt.Key == "" || r.Prompt.Prefill < minHomePrefill {
		return nil
	}
	var best *topology.Upstream
	var bestHash uint64
	for _, u := range r.Upstreams {
		if !t.eligible(r, u) {
			continue
		}
		h := hashing.Hash(r.Prompt.Key, u.ID)
		near, bestNear := u.Region == r.Region, best != nil && best.Region == r.Region
		if best == nil || near && !bestNear || near == bestNear && h > bestHash {
			best, bestHash = u, h
		}
	}
	return best
}
