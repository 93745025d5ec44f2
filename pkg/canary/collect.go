package canary

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cassiapin/pkg/hashing"
	"cassiapin/pkg/topology"
)

// largeFleet is the number of nodes from which on reports go to a collector in each
// failure domain, which adds them up for the aggregators: the reports of hundreds of
// nodes, some a second each, would occupy an aggregator, which serves callers too.
const largeFleet = 64

// duty is what a node does with the reports of a rollout.
type duty int

const (
	// reportsToAggregators is the duty of the nodes of a small fleet, and of the
	// aggregators among each other.
	reportsToAggregators duty = iota
	// reportsToCollector is that of most nodes of a large fleet.
	reportsToCollector
	// collects is that of the first node of each failure domain, in the order of the
	// rollout. If it fails, the next one takes over once its failure is known.
	collects
)

// receivers returns the nodes to which this node reports, and its duty.
func (s *Service) receivers(ro *rollout, position int, peers []string) ([]string, duty) {
	self := s.opts.Fleet.Self()
	toAggregators := aggregators(ro.id, self, peers)
	if len(peers)+1 < largeFleet {
		return toAggregators, reportsToAggregators
	}
	collector := slices.MinFunc(append(s.opts.Fleet.DomainNodes(), self), func(a, b string) int {
		return cmp.Compare(collectorKey(ro.id, a), collectorKey(ro.id, b))
	})
	switch {
	case collector == self:
		return toAggregators, collects
	case position < aggregatorCount:
		return toAggregators, reportsToAggregators
	}
	return []string{collector}, reportsToCollector
}

// collectorKey is the sort key of the nodes for collecting. It differs from orderKey,
// so that the first nodes of all are not busy with both.
func collectorKey(id topology.Revision, node string) uint64 {
	return hashing.Mix(orderKey(id, node))
}

// group returns the report of a collector: its own, and those of the nodes that report
// to it, without the bindings of their sessions. A node that has become an aggregator
// reports to the others itself, so its last report here is left out.
func (ro *rollout) group(own Message, aggregators []string, withOld bool, now time.Time) Message {
	m := own
	m.Stats = maps.Clone(own.Stats)
	m.Members = []uint64{hashing.Hash(own.Node)}
	m.AllFrom = slices.Clone(m.Members)
	if !own.Drained {
		m.Undrained = slices.Clone(m.Members)
	}
	cells := make(map[cell]cellCounts)
	addCells(cells, own.Cells)
	for node, p := range ro.peers {
		if !p.message.Member || slices.Contains(aggregators, node) {
			continue
		}
		id := hashing.Hash(node)
		m.Members = append(m.Members, id)
		if !p.message.Drained || now.Sub(p.at) > maxReportAge {
			m.Undrained = append(m.Undrained, id)
		}
		if ro.reportedAll[id] {
			m.AllFrom = append(m.AllFrom, id)
		}
		m.NewSent += p.message.NewSent
		m.Sent += p.message.Sent
		m.LongestPinnedMS = max(m.LongestPinnedMS, p.message.LongestPinnedMS)
		m.Stats.add(p.message.Stats)
		addCells(cells, p.cells)
	}
	m.Cells = cellList(cells, withOld, maxGroupCells)
	return m
}

// replaceReports drops the earlier reports that a collector's report replaces: those
// of its members, and of the collector that they had before.
func (ro *rollout) replaceReports(m *Message) {
	if len(m.Members) == 0 {
		return
	}
	members := make(map[uint64]bool, len(m.Members))
	for _, id := range m.Members {
		members[id] = true
	}
	maps.DeleteFunc(ro.peers, func(node string, p peerReport) bool {
		return node != m.Node && (members[hashing.Hash(node)] ||
			slices.ContainsFunc(p.message.Members, func(id uint64) bool { return members[id] }))
	})
}

// drainedNodes returns hashes of the nodes that have reported within maxAge that they
// are drained.
func (ro *rollout) drainedNodes(now time.Time, maxAge time.Duration) map[uint64]bool {
	drained := make(map[uint64]bool)
	for node, p := range ro.peers {
		if now.Sub(p.at) > maxAge {
			continue
		}
		if p.message.Drained && len(p.message.Members) == 0 {
			drained[hashing.Hash(node)] = true
		}
		for _, id := range p.message.Members {
			drained[id] = true
		}
		for _, id := range p.message.Undrained {
			delete(drained, id)
		}
	}
	return drained
}

// reporters is the number of other nodes whose counts this node has.
func (ro *rollout) reporters() (n int) {
	for _, p := range ro.peers {
		n += max(len(p.message.Members), 1)
	}
	return n
}
