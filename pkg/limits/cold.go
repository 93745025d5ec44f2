package limits

import (
	"sync"
	"time"

	"cassiapin/pkg/hashing"
	"cassiapin/pkg/topology"
)

// ColdOptions limit the requests that all nodes together send to a cold
// upstream in one second, to its rate times Factor plus Extra.
type ColdOptions struct {
	Factor, Extra float64
}

// coldSafetyFactor is the share of the limit that is used, so that nodes with
// different views of the membership do not exceed it together.
const coldSafetyFactor = 0.8

// ColdLimiter limits the sends of one node to upstreams in cold start. For each
// upstream a few nodes are chosen by rendezvous hashing; each of them sends at
// most its share of the rate, evenly spaced. Nodes exchange no messages for
// this, so the limit also holds for partitioned nodes.
type ColdLimiter struct {
	opts ColdOptions
	self string

	mu sync.Mutex
	// nextAt is the earliest time of the next send by incarnation.
	nextAt map[topology.Incarnation]time.Time
}

// NewColdLimiter returns a limiter for the node with the id self.
func NewColdLimiter(o ColdOptions, self string) *ColdLimiter {
	return &ColdLimiter{opts: o, self: self, nextAt: make(map[topology.Incarnation]time.Time)}
}

// Take reports whether this node may send a request to a cold upstream now, and
// if so counts it. nodes are the ids of the nodes that serve callers.
func (l *ColdLimiter) Take(u *topology.Upstream, perSecond float64, nodes []string, now time.Time) bool {
	share := l.share(u, perSecond, nodes)
	if share <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := u.Incarnation()
	if now.Before(l.nextAt[key]) {
		return false
	}
	l.nextAt[key] = now.Add(time.Duration(float64(time.Second) / share))
	l.evictExpired(now)
	return true
}

// Ready reports whether Take would succeed, without counting a request.
func (l *ColdLimiter) Ready(u *topology.Upstream, perSecond float64, nodes []string, now time.Time) bool {
	if l.share(u, perSecond, nodes) <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !now.Before(l.nextAt[u.Incarnation()])
}

// share returns the requests per second that this node may send; zero if it is
// not among the chosen nodes.
func (l *ColdLimiter) share(u *topology.Upstream, perSecond float64, nodes []string) float64 {
	if perSecond <= 0 {
		return 0
	}
	// Each chosen node may exceed its rate by one request in any second.
	chosen := int(coldSafetyFactor*(l.opts.Factor*perSecond+l.opts.Extra) - perSecond)
	chosen = min(max(chosen, 1), max(len(nodes), 1))
	rank := 0
	own := hashing.Hash(u.ID, l.self)
	for _, n := range nodes {
		if n != l.self && hashing.Hash(u.ID, n) > own {
			rank++
		}
	}
	if rank >= chosen {
		return 0
	}
	return perSecond / float64(chosen)
}

// maxColdEntries is the number of entries at which expired ones are evicted.
const maxColdEntries = 1024

func (l *ColdLimiter) evictExpired(now time.Time) {
	if len(l.nextAt) < maxColdEntries {
		return
	}
	for key, at := range l.nextAt {
		if now.After(at) {
			delete(l.nextAt, key)
		}
	}
}
