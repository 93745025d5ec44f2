package session

import (
	"slices"
	"sync"
	"time"

	"cassiapin/pkg/peer"
)

// history records the members that were live within the TTL of names, so that a
// node can distinguish a new name from one whose homes were lost.
type history struct {
	ttl time.Duration

	mu          sync.Mutex
	initialized bool
	records     map[peer.NodeID]memberRecord
}

type memberRecord struct {
	member peer.Member
	// joined is zero for members that were present when this node started; left
	// is zero while the member is live.
	joined, left time.Time
}

func newHistory(ttl time.Duration) *history {
	return &history{ttl: ttl, records: make(map[peer.NodeID]memberRecord)}
}

// observe records the live members and removes those that left at least one TTL
// ago.
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

// formerHomes is a possible earlier set of homes of a name, split into live
// members and members that left.
type formerHomes struct {
	live, left []peer.NodeID
}

// formerHomes returns the homes of a name among all recorded members, and among
// those that did not join within the last TTL.
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

// mayBeLost reports whether all nodes of any set of former homes have left. If
// answered is not nil, a set also counts if none of its live nodes has answered.
func mayBeLost(former []formerHomes, answered []peer.NodeID) bool {
	return slices.ContainsFunc(former, func(f formerHomes) bool {
		if answered == nil {
			return len(f.live) == 0
		}
		return !slices.ContainsFunc(f.live, func(id peer.NodeID) bool { return slices.Contains(answered, id) })
	})
}
