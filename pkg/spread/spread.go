// Package spread hashes names for choices on which all nodes have to agree
// without talking, such as rendezvous hashing.
package spread

// The parameters of FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hash returns a number for a sequence of names. It is the same in every
// process, and similar names give unlike numbers in all bits.
func Hash(names ...string) uint64 {
	h := uint64(fnvOffset)
	for _, name := range names {
		for i := 0; i < len(name); i++ {
			h = (h ^ uint64(name[i])) * fnvPrime
		}
		// A byte that no name contains ends each name.
		h = (h ^ 0xff) * fnvPrime
	}
	return Mix(h)
}

// Mix spreads the bits of a number over all 64 bits.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
