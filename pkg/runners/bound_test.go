package runners

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiapin/pkg/lease"
)

// boundHolder is a node in the shard lease model.
type boundHolder struct {
	record              Record
	recordedAt, renewed time.Duration
	granting, paused    bool
	open                []time.Duration // expiry times
}

// boundModel models one runner, its lease record in the object store, and nodes
// that pause, let the lease expire, resume and take over from each other.
type boundModel struct {
	limit    int
	now      time.Duration
	stored   *Record
	holder   string
	renewed  time.Duration
	released bool
	nodes    map[string]*boundHolder
}

const boundRunner = "u"

func (m *boundModel) bound(id string) int {
	h := m.nodes[id]
	if !h.granting {
		return 0
	}
	claims := h.record.Claims(boundRunner, m.now-h.recordedAt)
	switch {
	case m.now-h.renewed < lease.DefaultTTL:
		return HolderBound(m.limit, h.record.Bounds[boundRunner], claims)
	case m.now-h.renewed < leaseGracePeriod:
		return LapsedBound(m.limit, h.record.Bounds[boundRunner], claims)
	}
	return 0
}

// current reports whether the node holds the lease in the object store.
func (m *boundModel) current(id string) bool {
	return m.holder == id && !m.released && m.nodes[id].granting && m.now-m.nodes[id].renewed < lease.DefaultTTL
}

func (m *boundModel) takeover(id string) {
	if m.holder != "" && !m.released && m.now-m.renewed < lease.DefaultTTL {
		return
	}
	next := NextRecord(m.stored, m.released, id, map[string]int{boundRunner: m.limit})
	m.stored, m.holder, m.renewed, m.released = &next, id, m.now, false
	h := m.nodes[id]
	h.record, h.recordedAt, h.renewed, h.granting = next, m.now, m.now, true
}

// grow writes the maximum bound. If the response is lost, the holder keeps its
// smaller bound.
func (m *boundModel) grow(id string, lost bool) {
	if !m.current(id) {
		return
	}
	h := m.nodes[id]
	next := h.record.aged(m.now - h.recordedAt)
	next.Bounds = map[string]int{boundRunner: max(0, m.limit-next.Claims(boundRunner, 0))}
	m.stored, m.renewed = &next, m.now
	if !lost {
		h.record, h.recordedAt, h.renewed = next, m.now, m.now
	}
}

func (m *boundModel) release(id string) {
	if !m.current(id) {
		return
	}
	h := m.nodes[id]
	h.granting = false
	last := h.record.aged(m.now - h.recordedAt)
	last.Bounds = map[string]int{boundRunner: len(h.open)}
	m.stored, m.released = &last, true
}

// announce notifies a predecessor of its successor, and drops it from the
// record when it has no open permits.
func (m *boundModel) announce(id string) {
	h := m.nodes[id]
	if !m.current(id) || len(h.record.Predecessors) == 0 {
		return
	}
	p := m.nodes[h.record.Predecessors[0].Holder]
	p.granting = false
	if len(p.open) == 0 {
		h.record.Predecessors = h.record.Predecessors[1:]
	}
}

// advance moves the clock; the holder renews the lease unless it is paused.
func (m *boundModel) advance(d time.Duration) {
	m.now += d
	for id, h := range m.nodes {
		if m.current(id) && !h.paused {
			h.renewed, m.renewed = m.now, m.now
		}
		h.open = slices.DeleteFunc(h.open, func(expiry time.Duration) bool { return expiry <= m.now })
	}
}

func (m *boundModel) step(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node")
	h := m.nodes[id]
	ops := []string{"advance", "advance", "grant", "grant", "return", "takeover", "grow", "lost", "release", "announce", "pause"}
	switch rapid.SampledFrom(ops).Draw(t, "op") {
	case "advance":
		for range rapid.SampledFrom([]int{1, 3, 10, 13, 270, 370}).Draw(t, "periods") {
			m.advance(lease.DefaultRenewal)
		}
	case "pause":
		h.paused = !h.paused
	case "grant":
		if len(h.open) < m.bound(id) {
			h.open = append(h.open, m.now+maxPermitTTL+permitMargin)
		}
	case "return":
		if len(h.open) > 0 {
			h.open = h.open[1:]
		}
	case "takeover":
		m.takeover(id)
	case "grow":
		m.grow(id, false)
	case "lost":
		m.grow(id, true)
	case "release":
		m.release(id)
	case "announce":
		m.announce(id)
	}
}

// Guards against current and former owners that together grant more permits
// than the cold limit of a runner, over random sequences of takeovers, lease
// expiries, releases, pauses and lost responses.
func TestBoundsOfAllHoldersStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &boundModel{limit: rapid.IntRange(0, 9).Draw(t, "limit"), nodes: map[string]*boundHolder{}}
		for _, id := range []string{"a", "b", "c"} {
			m.nodes[id] = &boundHolder{}
		}
		for range rapid.IntRange(1, 1500).Draw(t, "steps") {
			m.step(t)
			sum, detail := 0, ""
			for id, h := range m.nodes {
				n := max(m.bound(id), len(h.open))
				sum += n
				detail += fmt.Sprintf(" %s: bound %d, open %d;", id, m.bound(id), len(h.open))
			}
			if sum > m.limit {
				t.Fatalf("at %v the holders together have %d permits, above the limit of %d:%s", m.now, sum, m.limit, detail)
			}
		}
	})
}
