// Package hashing provides hash functions for choices on which all nodes have to
// agree without communicating, such as rendezvous hashing.
package hashing

// Parameters of 64-bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hash returns a hash of a sequence of names. It is the same in every process,
// and similar names differ in all bits of their hashes.
func Hash(names ...string) uint64 {
	h := uint64(fnvOffset)
	for _, name := range names {
		for i := 0; i < len(name); i++ {
			h = (h ^ uint64(name[i])) * fnvPrime
		}
		// Terminate each name with a byte that no name contains.
		h = (h ^ 0xff) * fnvPrime
	}
	return Mix(h)
}

// Mix makes every bit of the result depend on every bit of x. It is the
// finalizer of MurmurHash3.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
