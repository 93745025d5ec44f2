package limits

import (
	"sync"
	"time"

	"cassiapin/pkg/spread"
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
func (c *ColdLimiter) Take(u *topology.Upstream, perSecond float64, nodes []string, now time.Time) bool {
	share := c.share(u, perSecond, nodes)
	if share <= 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	key := u.Incarnation()
	if now.Before(c.nextAt[key]) {
		return false
	}
	c.nextAt[key] = now.Add(time.Duration(float64(time.Second) / share))
	c.evictExpired(now)
	return true
}

// Ready reports whether Take would succeed, without counting a request.
func (c *ColdLimiter) Ready(u *topology.Upstream, perSecond float64, nodes []string, now time.Time) bool {
	if c.share(u, perSecond, nodes) <= 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.nextAt[u.Incarnation()])
}

// share returns the requests per second that this node may send; zero if it is
// not among the chosen nodes.
func (c *ColdLimiter) share(u *topology.Upstream, perSecond float64, nodes []string) float64 {
	if perSecond <= 0 {
		return 0
	}
	// Each chosen node may exceed its rate by one request in any second.
	chosen := int(coldSafetyFactor*(c.opts.Factor*perSecond+c.opts.Extra) - perSecond)
	chosen = min(max(chosen, 1), max(len(nodes), 1))
	rank := 0
	own := spread.Hash(u.ID, c.self)
	for _, n := range nodes {
		if n != c.self && spread.Hash(u.ID, n) > own {
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

func (c *ColdLimiter) evictExpired(now time.Time) {
	if len(c.nextAt) < maxColdEntries {
		return
	}
	for key, at := range c.nextAt {
		if now.After(at) {
			delete(c.nextAt, key)
		}
	}
}
