package peer

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// score hashes a key and a node id. Without the MurmurHash3 finaliser, FNV's
// weak high bits give similar ids uneven shares.
func score(key string, id NodeID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(id))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// Rendezvous returns up to n members in descending order of their rendezvous
// (highest random weight) score for key. Nodes with the same view choose the
// same members, and adding or removing a member moves only that member's share.
func Rendezvous(key string, members []Member, n int) []Member {
	type scored struct {
		score  uint64
		member Member
	}
	ranked := make([]scored, len(members))
	for i, m := range members {
		ranked[i] = scored{score(key, m.ID), m}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.member.ID, b.member.ID)
	})
	chosen := make([]Member, min(n, len(ranked)))
	for i := range chosen {
		chosen[i] = ranked[i].member
	}
	return chosen
}
