package cutover

import (
	"hash/fnv"
	"math/rand/v2"
)

// hash spreads names evenly over all 64-bit numbers.
func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // A hash does not fail.
	return mix(h.Sum64())
}

func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// cohort orders nodes differently for each order.
func cohort(order uint64, node string) uint64 { return mix(hash(node) ^ order) }

func randomFloat() float64 { return rand.Float64() }
