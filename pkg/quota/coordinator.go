package quota

import (
	"time"

	"cassiapin/pkg/peer"
)

const (
	// grantLifetime is how long a granted rate is valid without renewal.
	grantLifetime = 2 * time.Second
	// demandMargin allows for growth of a node's demand between two reports.
	demandMargin = 1.5
	// idleDivisor is the inverse of the share of a limit that is divided equally
	// among the nodes regardless of demand, for nodes whose demand begins.
	idleDivisor = 4
	// demandLifetime is how long a reported demand is taken into account.
	demandLifetime = 3 * time.Second
)

// grant is the last report of one node and the rate granted to it.
type grant struct {
	demand  float64
	rate    float64
	updated time.Time
	spent   float64
}

// coordinator divides the limits of the organisations that rendezvous hashing
// assigns to this node. Its state is rebuilt from the nodes' reports within a
// second after the assignment changes. It is not safe for concurrent use.
type coordinator struct {
	grants map[string]map[peer.NodeID]*grant
}

func newCoordinator() *coordinator {
	return &coordinator{grants: make(map[string]map[peer.NodeID]*grant)}
}

// updateGrant records a node's demand in requests per second and its spend of the
// last hour. It returns the rate granted to the node and the spend of all nodes.
// The sum of the granted rates that have not expired never exceeds the limit.
func (c *coordinator) updateGrant(organisation string, node peer.NodeID, demand, spent, limit float64, live int, now time.Time) (rate, total float64) {
	nodes := c.grants[organisation]
	if nodes == nil {
		nodes = make(map[peer.NodeID]*grant)
		c.grants[organisation] = nodes
	}
	own := nodes[node]
	if own == nil {
		own = &grant{}
		nodes[node] = own
	}
	own.demand, own.spent, own.updated = demand, spent, now
	idleShare := limit / float64(idleDivisor*max(1, live))
	totalDemand, grantedToOthers := 0.0, 0.0
	for id, g := range nodes {
		age := now.Sub(g.updated)
		if age >= spendWindow {
			delete(nodes, id)
			continue
		}
		total += g.spent
		if age < demandLifetime {
			totalDemand += demandMargin*g.demand + idleShare
		}
		if id != node && age < grantLifetime {
			grantedToOthers += g.rate
		}
	}
	want := demandMargin*demand + idleShare
	if totalDemand > limit {
		want *= limit / totalDemand
	}
	own.rate = max(0, min(want, limit-grantedToOthers))
	return own.rate, total
}
