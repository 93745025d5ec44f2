package runners

import (
	"hash/maphash"
	"sync"

	"cassiapin/pkg/peer"
)

// rankCache caches the preferred owner of each shard until the set of live
// members changes. Ranking 200 members for each of 180 shards five times a
// second would exceed the control CPU budget of 3.1% of a core.
type rankCache struct {
	mu          sync.Mutex
	seed        maphash.Seed
	membersHash uint64
	preferred   map[string]peer.NodeID
}

func newRankCache() rankCache {
	return rankCache{seed: maphash.MakeSeed(), preferred: make(map[string]peer.NodeID)}
}

// fingerprint returns a hash of the alive members.
func (c *rankCache) fingerprint(members []peer.Member) uint64 {
	var h maphash.Hash
	h.SetSeed(c.seed)
	for _, m := range members {
		if m.State == peer.Alive {
			h.WriteString(string(m.ID))
			h.WriteByte(0)
		}
	}
	return h.Sum64()
}

// ownerRanking determines the preferred owners of shards under one membership
// view.
type ownerRanking struct {
	cache       *rankCache
	live        []peer.Member
	membersHash uint64
}

// rankOwners takes a membership view for any number of look-ups, and invalidates
// the cache if the members have changed.
func (t *Service) rankOwners() ownerRanking {
	r := ownerRanking{cache: &t.rankCache, live: t.members.Live()}
	r.membersHash = r.cache.fingerprint(r.live)
	r.cache.mu.Lock()
	defer r.cache.mu.Unlock()
	if r.membersHash != r.cache.membersHash {
		r.cache.membersHash = r.membersHash
		clear(r.cache.preferred)
	}
	return r
}

// preferredOwner returns the node that should own a shard of the region. It is
// empty if the region has no alive member.
func (r ownerRanking) preferredOwner(shard, region string) peer.NodeID {
	r.cache.mu.Lock()
	defer r.cache.mu.Unlock()
	current := r.membersHash == r.cache.membersHash
	if id, known := r.cache.preferred[shard]; known && current {
		return id
	}
	var alive []peer.Member
	for _, m := range r.live {
		if m.State == peer.Alive && m.Region == region {
			alive = append(alive, m)
		}
	}
	var id peer.NodeID
	if first := peer.Rendezvous(shard, alive, 1); len(first) == 1 {
		id = first[0].ID
	}
	if current {
		r.cache.preferred[shard] = id
	}
	return id
}
