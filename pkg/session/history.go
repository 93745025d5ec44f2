package session

import (
	"slices"
	"sync"
	"time"

	"cassiapin/pkg/peer"
)

// history remembers the members of the last time to live of names, so that a
// node can tell a new name from one whose homes were lost.
type history struct {
	ttl time.Duration

	mu          sync.Mutex
	initialized bool
	records     map[peer.NodeID]memberRecord
}

type memberRecord struct {
	member peer.Member
	// joined is zero for the members that this node found at its start; left is
	// zero while the member lives.
	joined, left time.Time
}

func newHistory(ttl time.Duration) *history {
	return &history{ttl: ttl, records: make(map[peer.NodeID]memberRecord)}
}

// observe notes who lives now and drops members that left before the time to
// live.
func (h *history) observe(live []peer.Member, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	present := make(map[peer.NodeID]struct{}, len(live))
	for _, m := range live {
		present[m.ID] = struct{}{}
		record, known := h.records[m.ID]
		if !known && h.initialized {
			record.joined = now
		}
		record.member, record.left = m, time.Time{}
		h.records[m.ID] = record
	}
	h.initialized = true
	for id, record := range h.records {
		if _, ok := present[id]; ok {
			continue
		}
		if record.left.IsZero() {
			record.left = now
			h.records[id] = record
		}
		if now.Sub(record.left) >= h.ttl {
			delete(h.records, id)
		}
	}
}

// formerHomes is a set of homes that a name can have had.
type formerHomes struct {
	live, left []peer.NodeID
}

// formerHomes returns the homes of a name among all members of the last time to
// live, and among those of them that did not join within it.
func (h *history) formerHomes(organisation, name string, now time.Time) []formerHomes {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all, established []peer.Member
	for _, record := range h.records {
		all = append(all, record.member)
		if record.joined.IsZero() || now.Sub(record.joined) >= h.ttl {
			established = append(established, record.member)
		}
	}
	var out []formerHomes
	for _, candidates := range [][]peer.Member{all, established} {
		var f formerHomes
		for _, id := range homesAmong(organisation, name, candidates) {
			if h.records[id].left.IsZero() {
				f.live = append(f.live, id)
			} else {
				f.left = append(f.left, id)
			}
		}
		if len(f.live)+len(f.left) > 0 {
			out = append(out, f)
		}
	}
	return out
}

// mayBeLost reports whether every node of some set of former homes has left.
// With answered it also does when none of the set has answered.
func mayBeLost(former []formerHomes, answered []peer.NodeID) bool {
	return slices.ContainsFunc(former, func(f formerHomes) bool {
		if answered == nil {
			return len(f.live) == 0
		}
		return !slices.ContainsFunc(f.live, func(id peer.NodeID) bool { return slices.Contains(answered, id) })
	})
}
