package engine

import (
	"container/list"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"cassiapin/pkg/standin"
)

// blockTokens is the number of tokens of one block of the prefix cache.
const blockTokens = 16

// maxEvents bounds the number of retained cache events.
const maxEvents = 4096

// CacheEvent reports that a prefix was stored or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Type is "stored" or "evicted".
	Type string `json:"type"`
	// Prefix is the hash of the prompt's first block in hex.
	Prefix string `json:"prefix"`
	// Tokens is the length of the stored prompt.
	Tokens int `json:"tokens,omitempty"`
	// Attempt is the attempt whose prompt was stored.
	Attempt string `json:"attempt,omitempty"`

	at time.Time
}

// block is an entry of the cache; root is set on first blocks.
type block struct {
	hash uint64
	root bool
}

// prefixCache is an LRU cache of the block hashes of prompts.
type prefixCache struct {
	limit    int
	byHash   map[uint64]*list.Element
	lru      *list.List
	events   []CacheEvent
	sequence uint64
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: max(limit, 1), byHash: make(map[uint64]*list.Element), lru: list.New()}
}

// blockHashes returns the chained hashes of the full blocks of a prompt.
func blockHashes(model string, words []string) []uint64 {
	hashes := make([]uint64, 0, len(words)/blockTokens)
	chain := standin.Hash64(model)
	for len(words) >= blockTokens {
		chain ^= standin.Hash64(words[:blockTokens]...) + chain<<7 + chain>>9
		hashes = append(hashes, chain)
		words = words[blockTokens:]
	}
	return hashes
}

// matchAndStore returns the number of leading blocks that were cached and stores
// all blocks. Blocks are touched from the last to the first, so that shared
// prefixes of prompts are evicted last. drop is called for each event and reports
// whether the event is lost.
func (c *prefixCache) matchAndStore(hashes []uint64, attempt string, now time.Time, drop func() bool) (hit int) {
	for hit < len(hashes) && c.byHash[hashes[hit]] != nil {
		hit++
	}
	for i := len(hashes) - 1; i >= 0; i-- {
		if el := c.byHash[hashes[i]]; el != nil {
			c.lru.MoveToFront(el)
			continue
		}
		c.byHash[hashes[i]] = c.lru.PushFront(block{hash: hashes[i], root: i == 0})
	}
	if hit < len(hashes) {
		c.emit(CacheEvent{
			Type: "stored", Prefix: hex(hashes[0]), Tokens: len(hashes) * blockTokens,
			Attempt: attempt, at: now,
		}, drop)
	}
	for c.lru.Len() > c.limit {
		c.evict(now, drop)
	}
	return hit
}

func (c *prefixCache) evict(now time.Time, drop func() bool) {
	b := c.lru.Remove(c.lru.Back()).(block)
	delete(c.byHash, b.hash)
	if b.root {
		c.emit(CacheEvent{Type: "evicted", Prefix: hex(b.hash), at: now}, drop)
	}
}

func (c *prefixCache) clear(now time.Time, drop func() bool) {
	for c.lru.Len() > 0 {
		c.evict(now, drop)
	}
}

func (c *prefixCache) emit(ev CacheEvent, drop func() bool) {
	c.sequence++
	if drop() {
		return
	}
	ev.Sequence = c.sequence
	if len(c.events) >= maxEvents {
		c.events = append(c.events[:0], c.events[maxEvents/2:]...)
	}
	c.events = append(c.events, ev)
}

func hex(h uint64) string { return fmt.Sprintf("%016x", h) }

// dropEvent decides at random whether an event is lost. The caller must hold
// the lock.
func (e *Engine) dropEvent() bool {
	return e.options.CacheEventLoss > 0 && e.rng.Float64() < e.options.CacheEventLoss
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Get("after") != "" {
		standin.WriteError(w, http.StatusBadRequest, "bad_after", "after is an integer")
		return
	}
	answer := struct {
		Events []CacheEvent `json:"events"`
		Last   uint64       `json:"last"`
	}{Events: []CacheEvent{}, Last: after}
	e.mu.Lock()
	visible := e.options.Clock.Now().Add(-e.options.CacheLag)
	for _, ev := range e.cache.events {
		if ev.Sequence > after && !ev.at.After(visible) {
			answer.Events = append(answer.Events, ev)
			answer.Last = ev.Sequence
		}
	}
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, answer)
}
