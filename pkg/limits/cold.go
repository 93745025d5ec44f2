package limits

import (
	"sync"
	"time"

	"cassiapin/pkg/spread"
	"cassiapin/pkg/topology"
)

// ColdOptions bound what a cold upstream gets in one second from all nodes
// together: its rate times Factor plus Extra.
type ColdOptions struct {
	Factor, Extra float64
}

// coldSafetyFactor is the part of the bound that is used, so that two nodes with
// different views of the members stay within it together.
const coldSafetyFactor = 0.8

// ColdLimiter limits the sends of one node to upstreams in cold start. For each
// upstream a few nodes are chosen by rendezvous hashing; each of them sends at
// most its share of the rate, one request at a time. No messages are needed,
// so the limit also holds for nodes that are cut off.
type ColdLimiter struct {
	opts ColdOptions
	self string

	mu sync.Mutex
	// nextAt is the earliest time of the next send by upstream.
	nextAt map[topology.Incarnation]time.Time
}

// NewColdLimiter returns the limit of the node with the id self.
func NewColdLimiter(o ColdOptions, self string) *ColdLimiter {
	return &ColdLimiter{opts: o, self: self, nextAt: make(map[topology.Incarnation]time.Time)}
}

// Take reports whether this node may send a request to a cold upstream now,
// and counts it. nodes are the ids of the nodes that serve callers.
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

// Ready reports whether Take would succeed.
func (c *ColdLimiter) Ready(u *topology.Upstream, perSecond float64, nodes []string, now time.Time) bool {
	if c.share(u, perSecond, nodes) <= 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.nextAt[u.Incarnation()])
}

// share returns the requests a second that this node may send, zero if it is
// not among the chosen nodes.
func (c *ColdLimiter) share(u *topology.Upstream, perSecond float64, nodes []string) float64 {
	if perSecond <= 0 {
		return 0
	}
	// Each chosen node may send one request more than its rate in a second.
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

// maxColdEntries bounds the remembered upstreams.
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
