package balance

import "sync"

const (
	// DefaultPrefixEntries limits the prefix table to about 1.6 MB.
	DefaultPrefixEntries = 32768
	// prefixWays is the number of entries per bucket, and thus the maximum number
	// of known runners per prefix.
	prefixWays = 4
)

// prefixTable maps prefix hashes to runners in a set-associative array of fixed
// size with LRU replacement within a bucket. Its entries are hints: a lost or
// stale one costs a prefill, but never affects correctness.
type prefixTable struct {
	mu      sync.Mutex
	buckets [][prefixWays]prefixEntry
	tick    uint64
}

type prefixEntry struct {
	holder
	prefix uint64
	used   uint64
}

// holder is a runner that has a prefix in its cache.
type holder struct {
	upstream string
	// position is the runner's last known index among the candidates.
	position int32
}

func newPrefixTable(entries int) *prefixTable {
	if entries <= 0 {
		entries = DefaultPrefixEntries
	}
	return &prefixTable{buckets: make([][prefixWays]prefixEntry, max(1, entries/prefixWays))}
}

func (t *prefixTable) bucket(prefix uint64) *[prefixWays]prefixEntry {
	return &t.buckets[mix(prefix)%uint64(len(t.buckets))]
}

func (t *prefixTable) add(prefix uint64, upstream string) {
	if prefix == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tick++
	b := t.bucket(prefix)
	oldest := 0
	for i := range b {
		if b[i].prefix == prefix && b[i].upstream == upstream {
			b[i].used = t.tick
			return
		}
		if b[i].used < b[oldest].used {
			oldest = i
		}
	}
	b[oldest] = prefixEntry{holder: holder{upstream: upstream}, prefix: prefix, used: t.tick}
}

func (t *prefixTable) remove(prefix uint64, upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.bucket(prefix)
	for i := range b {
		if b[i].prefix == prefix && b[i].upstream == upstream {
			b[i] = prefixEntry{}
		}
	}
}

// holders copies the runners with the prefix to out and returns their number.
func (t *prefixTable) holders(prefix uint64, out *[prefixWays]holder) int {
	if prefix == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.bucket(prefix) {
		if e.prefix == prefix {
			out[n] = e.holder
			n++
		}
	}
	return n
}

// setPosition records the runner's index among the candidates.
func (t *prefixTable) setPosition(prefix uint64, upstream string, position int32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.bucket(prefix)
	for i := range b {
		if b[i].prefix == prefix && b[i].upstream == upstream {
			b[i].position = position
		}
	}
}
