package billing

import (
	"sync"

	"cassiapin/pkg/peer"
)

// entryOverheadBytes is the memory of one entry in addition to its encoding.
const entryOverheadBytes = 64

// entry is a bill that is not durable yet.
type entry struct {
	seq uint64
	raw []byte
	// holder is the peer that acknowledged a copy, empty if none.
	holder peer.NodeID
}

func (e entry) bytes() int { return len(e.raw) + entryOverheadBytes }

// peerCopies is the set of copies of one peer's bills.
type peerCopies struct {
	entries map[uint64]entry
	bytes   int
}

// queue stores this node's bills in order and the copies of other nodes' bills,
// under a shared memory limit.
type queue struct {
	limitBytes int

	mu        sync.Mutex
	pending   []entry
	nextSeq   uint64
	durable   uint64
	ownBytes  int
	copies    map[peer.NodeID]*peerCopies
	copyBytes int
}

func newQueue(limit int) *queue {
	return &queue{limitBytes: limit, nextSeq: 1, copies: make(map[peer.NodeID]*peerCopies)}
}

// add appends bills. It returns the sequence number of the last one and the number
// of pending bills, or false without effect if the memory limit would be exceeded.
func (q *queue) add(raws ...[]byte) (last uint64, n int, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	size := 0
	for _, raw := range raws {
		size += entry{raw: raw}.bytes()
	}
	if q.ownBytes+q.copyBytes+size > q.limitBytes {
		return 0, len(q.pending), false
	}
	for _, raw := range raws {
		q.appendLocked(raw)
	}
	return q.nextSeq - 1, len(q.pending), true
}

func (q *queue) appendLocked(raw []byte) {
	e := entry{seq: q.nextSeq, raw: raw}
	q.nextSeq++
	q.ownBytes += e.bytes()
	q.pending = append(q.pending, e)
}

// size returns the memory in use.
func (q *queue) size() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ownBytes + q.copyBytes
}

func (q *queue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending)
}

// durableUpTo returns the sequence number up to which bills no longer need a copy.
func (q *queue) durableUpTo() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.durable
}

// head returns the oldest entries: at most n, with at most the given bytes of
// encoding, but at least one if the queue is not empty.
func (q *queue) head(n, bytes int) []entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	size, end := 0, 0
	for end < len(q.pending) && end < n {
		size += len(q.pending[end].raw)
		if size > bytes && end > 0 {
			break
		}
		end++
	}
	return append([]entry(nil), q.pending[:end]...)
}

// removeUpTo removes this node's entries up to a sequence number.
func (q *queue) removeUpTo(upTo uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	end := 0
	for end < len(q.pending) && q.pending[end].seq <= upTo {
		q.ownBytes -= q.pending[end].bytes()
		end++
	}
	q.pending = append([]entry(nil), q.pending[end:]...)
	q.durable = max(q.durable, upTo)
}

// setHolder records the peer that holds copies of the given entries.
func (q *queue) setHolder(holder peer.NodeID, entries []entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) == 0 {
		return
	}
	// Entries are only appended at the end and removed from the front, so their
	// sequence numbers are consecutive.
	first := q.pending[0].seq
	for _, e := range entries {
		if e.seq >= first && e.seq-first < uint64(len(q.pending)) {
			q.pending[e.seq-first].holder = holder
		}
	}
}

// withoutLiveCopy returns up to n entries whose holder is not alive.
func (q *queue) withoutLiveCopy(n int, alive map[peer.NodeID]bool) []entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []entry
	for _, e := range q.pending {
		if len(out) < n && !alive[e.holder] {
			out = append(out, e)
		}
	}
	return out
}

// addCopies stores copies of a peer's bills; it returns false without effect if a
// limit would be exceeded. Copies use at most half of the memory limit, which
// reserves the other half for this node's bills.
func (q *queue) addCopies(origin peer.NodeID, bills []copiedBill) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	size := 0
	for _, b := range bills {
		size += entry{raw: b.Raw}.bytes()
	}
	if q.copyBytes+size > q.limitBytes/2 || q.ownBytes+q.copyBytes+size > q.limitBytes {
		return false
	}
	c := q.copies[origin]
	if c == nil {
		c = &peerCopies{entries: make(map[uint64]entry)}
		q.copies[origin] = c
	}
	for _, b := range bills {
		if _, known := c.entries[b.Seq]; known {
			continue
		}
		e := entry{seq: b.Seq, raw: b.Raw}
		c.entries[b.Seq] = e
		c.bytes += e.bytes()
		q.copyBytes += e.bytes()
	}
	return true
}

// dropCopies removes the copies of a peer's bills up to a sequence number.
func (q *queue) dropCopies(origin peer.NodeID, upTo uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.copies[origin]
	if c == nil {
		return
	}
	for seq, e := range c.entries {
		if seq <= upTo {
			delete(c.entries, seq)
			c.bytes -= e.bytes()
			q.copyBytes -= e.bytes()
		}
	}
	if len(c.entries) == 0 {
		delete(q.copies, origin)
	}
}

// origins returns the peers whose bills are copied on this node.
func (q *queue) origins() []peer.NodeID {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]peer.NodeID, 0, len(q.copies))
	for id := range q.copies {
		out = append(out, id)
	}
	return out
}

// takeOver moves the copies of a peer's bills to this node's bills and returns
// their number.
func (q *queue) takeOver(origin peer.NodeID) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.copies[origin]
	if c == nil {
		return 0
	}
	delete(q.copies, origin)
	q.copyBytes -= c.bytes
	for _, e := range c.entries {
		q.appendLocked(e.raw)
	}
	return len(c.entries)
}
