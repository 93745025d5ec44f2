package membership

import (
	"cmp"
	"slices"

	"cassiapin/pkg/peer"
)

// overlay is the set of this node's outgoing connections.
type overlay struct {
	neighbours []peer.NodeID
	// probers are the nodes of the region that have this one among their neighbours.
	probers []peer.NodeID
	relay   bool
	// stale is set when the members change. The overlay is recomputed at most
	// once per tick, not per change, to bound the work of a burst of changes.
	stale bool
}

// refreshOverlay recomputes the overlay if it is stale.
func (s *Service) refreshOverlay() {
	if !s.overlay.stale && s.overlay.neighbours != nil {
		return
	}
	byRegion := make(map[string][]peer.Member)
	var ring []peer.NodeID
	for _, e := range s.table.entries {
		m := e.member
		if m.State == peer.Dead || s.outOfReach(e) {
			continue
		}
		if m.Region == s.self.Region {
			ring = append(ring, m.ID)
		}
		byRegion[m.Region] = append(byRegion[m.Region], m)
	}
	next := overlay{}
	next.neighbours, next.probers = fingers(ring, s.self.ID)
	for _, m := range relays(byRegion, s.self.Region) {
		next.relay = next.relay || m.ID == s.self.ID
	}
	if next.relay {
		next.neighbours = append(next.neighbours, otherRelays(byRegion, s.self.Region)...)
	}
	s.overlay = next
	s.reach.forgetProbers(next.probers)
}

// relays returns the relays of a region, chosen among its alive members. If no
// member is alive it falls back to the others, so that they are still probed
// and their failure is detected.
func relays(byRegion map[string][]peer.Member, region string) []peer.Member {
	members := byRegion[region]
	var alive []peer.Member
	for _, m := range members {
		if m.State == peer.Alive {
			alive = append(alive, m)
		}
	}
	if len(alive) > 0 {
		members = alive
	}
	return peer.Rendezvous("relay/"+region, members, relaysPerRegion)
}

// otherRelays returns the relays of all regions except own, in region order.
func otherRelays(byRegion map[string][]peer.Member, own string) []peer.NodeID {
	var regions []string
	for r := range byRegion {
		if r != own {
			regions = append(regions, r)
		}
	}
	slices.Sort(regions)
	var out []peer.NodeID
	for _, r := range regions {
		for _, m := range relays(byRegion, r) {
			out = append(out, m.ID)
		}
	}
	return out
}

// fingers returns the successors of self at distances 1, 2, 4, … on the ring
// of ids ordered by hash, and its predecessors at these distances, which have self
// among their fingers.
func fingers(ids []peer.NodeID, self peer.NodeID) (successors, predecessors []peer.NodeID) {
	type point struct {
		hash uint64
		id   peer.NodeID
	}
	ring := make([]point, len(ids))
	for i, id := range ids {
		ring[i] = point{hashID(id), id}
	}
	slices.SortFunc(ring, func(a, b point) int {
		if c := cmp.Compare(a.hash, b.hash); c != 0 {
			return c
		}
		return cmp.Compare(a.id, b.id)
	})
	at := slices.IndexFunc(ring, func(p point) bool { return p.id == self })
	successors = []peer.NodeID{}
	for d := 1; at >= 0 && d < len(ring); d *= 2 {
		successors = append(successors, ring[(at+d)%len(ring)].id)
		predecessors = append(predecessors, ring[(at+len(ring)-d)%len(ring)].id)
	}
	return successors, predecessors
}
