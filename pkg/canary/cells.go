package canary

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"cassiapin/pkg/hashing"
	"cassiapin/pkg/topology"
)

const (
	// maxTracked is the number of upstreams of each release that are counted one
	// by one. A disruption spoils single upstreams, so a few suffice to find out
	// which of them answer as usual.
	maxTracked = 6
	// cellPeriods is the number of parts of a rollout's duration that are counted
	// apart, because disruptions begin and end.
	cellPeriods = 4
	// maxSentCells bounds the cells in a message, some 30 bytes each; those with
	// the fewest answers stay at the node.
	maxSentCells = 128
	// maxGroupCells bounds those in the report of a collector.
	maxGroupCells = 4 * maxSentCells
)

// cell identifies the requests of one route and model at one upstream in one part
// of a rollout.
type cell struct {
	key string
	new bool
	// upstream is zero for upstreams that are not tracked.
	upstream uint32
	// period is zero for the new release: one that turns bad during its rollout
	// would look like one that is disrupted for a time.
	period uint8
}

// cellCounts are the outcomes of the requests in a cell.
type cellCounts struct{ FirstByte, Interval Count }

func (c *cellCounts) total() uint64 { return c.FirstByte.total() + c.FirstByte.Abandoned }

// Cell is a cell with its counts, in messages.
type Cell struct {
	Key       string `cbor:"1,keyasint"`
	New       bool   `cbor:"2,keyasint,omitempty"`
	Upstream  uint32 `cbor:"3,keyasint,omitempty"`
	Period    uint8  `cbor:"4,keyasint,omitempty"`
	FirstByte Count  `cbor:"5,keyasint"`
	Interval  Count  `cbor:"6,keyasint,omitzero"`
}

// cellOf returns the cell of a request that is sent to an upstream now.
func (ro *rollout) cellOf(u *topology.Upstream, key string, now time.Time) cell {
	c := cell{key: key, new: u.Release == ro.object.Target, upstream: ro.tracked[u.Incarnation()]}
	if !c.new {
		c.period = uint8(min(max(ro.progress(now), 0)*cellPeriods, cellPeriods-1))
	}
	return c
}

// track chooses the upstreams that are counted one by one: on all nodes the same,
// the first of each release in the order of Candidates.
func (ro *rollout) track(upstreams []*topology.Upstream) {
	ro.tracked = make(map[topology.Incarnation]uint32, 2*maxTracked)
	ordered := slices.Clone(upstreams)
	slices.SortFunc(ordered, func(x, y *topology.Upstream) int {
		return cmp.Compare(upstreamOrder(x, ro.id), upstreamOrder(y, ro.id))
	})
	byRelease := make(map[bool]int)
	for _, u := range ordered {
		new := u.Release == ro.object.Target
		if byRelease[new]++; byRelease[new] <= maxTracked {
			key := u.Incarnation()
			ro.tracked[key] = uint32(hashing.Mix(hashing.Hash(key.ID)^uint64(key.StartedMS))) | 1
		}
	}
}

// currentCells returns this node's cells, with the open requests at the new
// release like currentStats.
func (ro *rollout) currentCells(now time.Time) map[cell]cellCounts {
	cells := maps.Clone(ro.ownCells)
	for d := range ro.openNew {
		c := cells[d.cell]
		firstByte, interval := ro.openCounts(d, now)
		c.FirstByte.add(firstByte)
		c.Interval.add(interval)
		cells[d.cell] = c
	}
	return cells
}

// sentCells returns the cells of a report: those of the new release, whose counts
// change with the ramp, and if all is set those of the old one; at most
// maxSentCells.
func (ro *rollout) sentCells(now time.Time, all bool) []Cell {
	return cellList(ro.currentCells(now), all, maxSentCells)
}

// cellList returns cells for a message, at most limit.
func cellList(counts map[cell]cellCounts, withOld bool, limit int) []Cell {
	var cells []Cell
	for id, c := range counts {
		if id.new || withOld {
			cells = append(cells, Cell{Key: id.key, New: id.new, Upstream: id.upstream, Period: id.period, FirstByte: c.FirstByte, Interval: c.Interval})
		}
	}
	slices.SortFunc(cells, func(a, b Cell) int {
		switch {
		case a.New == b.New:
			return cmp.Compare(b.FirstByte.total(), a.FirstByte.total())
		case a.New:
			return -1
		}
		return 1
	})
	return cells[:min(len(cells), limit)]
}

// mergeCells returns the cells of a new report, and those of the old release from
// the last one if the report has none.
func mergeCells(report, last []Cell) []Cell {
	if slices.ContainsFunc(report, func(c Cell) bool { return !c.New }) {
		return report
	}
	for _, c := range last {
		if !c.New {
			report = append(report, c)
		}
	}
	return report
}

// allCells returns the sum of the cells of this node and those of its peers.
func (ro *rollout) allCells(now time.Time) map[cell]cellCounts {
	all := ro.currentCells(now)
	for _, p := range ro.peers {
		addCells(all, p.cells)
	}
	return all
}

// addCells adds cells of a message to sums.
func addCells(sums map[cell]cellCounts, cells []Cell) {
	for i := range cells {
		c := &cells[i]
		id := cell{key: c.Key, new: c.New, upstream: c.Upstream, period: c.Period}
		sum := sums[id]
		sum.FirstByte.add(c.FirstByte)
		sum.Interval.add(c.Interval)
		sums[id] = sum
	}
}

// describeUpstreams returns a log attribute: for each upstream of a release its
// answers, the bad ones among them, and the geometric mean of its times.
func describeUpstreams(cells map[cell]cellCounts, new bool) string {
	byUpstream := make(map[uint32]Count)
	for id, c := range cells {
		if id.new == new {
			sum := byUpstream[id.upstream]
			sum.add(c.FirstByte)
			byUpstream[id.upstream] = sum
		}
	}
	var text strings.Builder
	for _, id := range slices.Sorted(maps.Keys(byUpstream)) {
		c := byUpstream[id]
		mean := 0.0
		if c.timedCount() > 0 {
			mean = math.Exp2(c.Log2Sum / c.timedCount())
		}
		fmt.Fprintf(&text, "%08x: %d answers, %d bad, %.0f ms; ", id, c.total()+c.Abandoned, c.Bad, mean)
	}
	return strings.TrimSuffix(text.String(), "; ")
}
