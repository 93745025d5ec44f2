package runners

import (
	"fmt"
	"hash/fnv"
)

// ShardLease returns the lease name of a runner's shard.
func ShardLease(region, runner string, shards int) string {
	h := fnv.New32a()
	h.Write([]byte(runner))
	return fmt.Sprintf("shard/%s/%03d", region, h.Sum32()%uint32(max(1, shards)))
}

// mix is the finaliser of MurmurHash3. Without it similar names have uneven
// rendezvous scores.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// subsetScore returns the rendezvous score of a runner for a node.
func subsetScore(node, runner string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(node))
	h.Write([]byte{0})
	h.Write([]byte(runner))
	return mix(h.Sum64())
}
