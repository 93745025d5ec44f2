package quota

import (
	"time"

	"cassiapin/pkg/peer"
)

// The parameters of a limit home.
const (
	// grantLifetime is how long an allotted rate lasts without renewal.
	grantLifetime = 2 * time.Second
	// demandMargin lets a node's demand grow between two reports.
	demandMargin = 1.5
	// idleDivisor is the part of a limit, as its inverse, that nodes get in equal
	// parts beside their demand, for those whose demand begins.
	idleDivisor = 4
	// demandLifetime is how long a node's demand counts.
	demandLifetime = 3 * time.Second
)

// grant is what one node reported and was given.
type grant struct {
	demand  float64
	rate    float64
	updated time.Time
	spent   float64
}

// coordinator divides the limits of the organisations that rendezvous at this node.
// Its state is rebuilt from the nodes' reports within a second, so that it may
// move. It is not safe for concurrent use.
type coordinator struct {
	grants map[string]map[peer.NodeID]*grant
}

func newCoordinator() *coordinator {
	return &coordinator{grants: make(map[string]map[peer.NodeID]*grant)}
}

// updateGrant takes a node's demand in requests per second and its spend of the
// last hour. It returns the node's rate, such that the rates in force never
// sum to more than the limit, and the spend of all nodes.
func (h *coordinator) updateGrant(organisation string, node peer.NodeID, demand, spent, limit float64, live int, now time.Time) (rate, total float64) {
	nodes := h.grants[organisation]
	if nodes == nil {
		nodes = make(map[peer.NodeID]*grant)
		h.grants[organisation] = nodes
	}
	own := nodes[node]
	if own == nil {
		own = &grant{}
		nodes[node] = own
	}
	own.demand, own.spent, own.updated = demand, spent, now
	idleShare := limit / float64(idleDivisor*max(1, live))
	totalDemand, grantedToOthers := 0.0, 0.0
	for id, s := range nodes {
		age := now.Sub(s.updated)
		if age >= spendWindow {
			delete(nodes, id)
			continue
		}
		total += s.spent
		if age < demandLifetime {
			totalDemand += demandMargin*s.demand + idleShare
		}
		if id != node && age < grantLifetime {
			grantedToOthers += s.rate
		}
	}
	want := demandMargin*demand + idleShare
	if totalDemand > limit {
		want *= limit / totalDemand
	}
	own.rate = max(0, min(want, limit-grantedToOthers))
	return own.rate, total
}
