package peer

import (
	"sync"
	"time"
)

// Floods reach each node over several neighbours, which is what makes them reliable,
// and what makes a large message cost many times its size. So a node that gets a copy
// of a large message which it has already asks the sender for announcements instead:
// from then on that neighbour sends it only the ids of the same origin's messages. The
// copies that arrive first form a tree for each origin. A node that was announced a
// message and does not get it in time fetches it from the node that announced it,
// which is again sent whole messages; so the tree heals when a node or a link fails.
//
// The scheme is that of Plumtree (Leitão, Pereira, Rodrigues: Epidemic Broadcast
// Trees, SRDS 2007), with a tree for each origin.

// The messages of lazy pushing. Nodes of earlier releases do not know them, and never
// ask for announcements.
const (
	kindAnnounce Kind = "flood.announce"
	kindFetch    Kind = "flood.fetch"
	kindPrune    Kind = "flood.prune"
)

const (
	// lazyBytes is the size from which on messages are announced; smaller ones cost
	// little more than their announcement.
	lazyBytes = 384
	// pullBytes is the size from which on messages are always announced, and fetched
	// at once. Many nodes flood such messages, few of them often enough for a tree:
	// after a mass restart, for instance, each node that has learned of the new
	// members.
	pullBytes = 4 << 10
	// fetchDelay is how long a node waits for a message that was announced. It is
	// several times the way through a fleet, and a small part of the shortest time
	// in which news must take effect.
	fetchDelay = 120 * time.Millisecond
	// maxPruned bounds each of the two generations of pruned edges.
	maxPruned = 4096
	// maxKeptBytes bounds each of the two generations of messages kept for fetches.
	maxKeptBytes = 512 << 10
	// maxMissing bounds the announced messages that have not arrived, and
	// maxSources the nodes that announced one of them.
	maxMissing = 1024
	maxSources = 8
)

// floodRef is the body of the messages of lazy pushing. Seq is zero in a prune, which
// is about all messages of the origin.
type floodRef struct {
	Origin NodeID `cbor:"1,keyasint"`
	Seq    uint64 `cbor:"2,keyasint,omitempty"`
	// Now is set in announcements of messages that nobody is sent whole.
	Now bool `cbor:"3,keyasint,omitempty"`
}

// edge is a neighbour that wants announcements of an origin's messages.
type edge struct {
	origin, neighbour NodeID
}

// lazyPush is the state of lazy pushing. It is safe for concurrent use.
type lazyPush struct {
	send func(to NodeID, kind Kind, raw []byte) error
	// after runs a function after a delay.
	after func(d time.Duration, f func())

	mu sync.Mutex
	// Two generations each; the older one is discarded when the newer one is full.
	pruned, prunedBefore map[edge]struct{}
	kept, keptBefore     map[floodID]keptMessage
	keptBytes            int
	// capable are the nodes that have sent a message of lazy pushing.
	capable map[NodeID]struct{}
	// missing has the nodes that announced a message which has not arrived.
	missing map[floodID][]NodeID
}

type keptMessage struct {
	kind Kind
	raw  []byte
}

func newLazyPush(send func(to NodeID, kind Kind, raw []byte) error, after func(d time.Duration, f func())) *lazyPush {
	return &lazyPush{
		send: send, after: after, pruned: make(map[edge]struct{}),
		kept: make(map[floodID]keptMessage), missing: make(map[floodID][]NodeID),
		capable: make(map[NodeID]struct{}),
	}
}

// push sends a flooded message to a neighbour, or announces it.
func (l *lazyPush) push(to NodeID, id floodID, kind Kind, raw []byte) error {
	pull := len(raw) >= pullBytes && l.isCapable(to)
	if len(raw) < lazyBytes || !pull && !l.wantsAnnouncements(edge{id.origin, to}) {
		return l.send(to, kind, raw)
	}
	announcement, err := EncodeMessage(kindAnnounce, floodRef{id.origin, id.seq, pull})
	if err != nil {
		return err
	}
	return l.send(to, kindAnnounce, announcement)
}

func (l *lazyPush) isCapable(node NodeID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.capable[node]
	return ok
}

// heardFrom records that a node knows lazy pushing.
func (l *lazyPush) heardFrom(node NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.capable) >= maxPruned {
		clear(l.capable) // Nodes of long ago; the others are heard again.
	}
	l.capable[node] = struct{}{}
}

func (l *lazyPush) wantsAnnouncements(e edge) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, now := l.pruned[e]
	_, before := l.prunedBefore[e]
	return now || before
}

// arrived records that a message need not be fetched any more.
func (l *lazyPush) arrived(id floodID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.missing, id)
}

// keep keeps a message for nodes to which it is announced.
func (l *lazyPush) keep(id floodID, kind Kind, raw []byte) {
	if len(raw) < lazyBytes {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keptBytes += len(raw); l.keptBytes > maxKeptBytes {
		l.keptBefore, l.kept, l.keptBytes = l.kept, make(map[floodID]keptMessage), len(raw)
	}
	l.kept[id] = keptMessage{kind, raw}
}

// duplicate asks the sender of a message that this node had already for announcements.
func (l *lazyPush) duplicate(from, origin NodeID, size int) {
	if size < lazyBytes {
		return
	}
	if raw, err := EncodeMessage(kindPrune, floodRef{Origin: origin}); err == nil {
		_ = l.send(from, kindPrune, raw) // The next duplicate asks again.
	}
}

// prune records that a neighbour wants announcements of an origin's messages.
func (l *lazyPush) prune(neighbour, origin NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pruned) >= maxPruned {
		l.prunedBefore, l.pruned = l.pruned, make(map[edge]struct{})
	}
	l.pruned[edge{origin, neighbour}] = struct{}{}
}

// announced records that a node has a message which this one has not. With now set,
// nobody sends it unasked.
func (l *lazyPush) announced(from NodeID, id floodID, now bool) {
	l.mu.Lock()
	sources, waiting := l.missing[id]
	if len(sources) >= maxSources || !waiting && len(l.missing) >= maxMissing {
		l.mu.Unlock()
		return
	}
	l.missing[id] = append(sources, from)
	l.mu.Unlock()
	switch {
	case waiting:
	case now:
		l.fetch(id)
	default:
		l.after(fetchDelay, func() { l.fetch(id) })
	}
}

// fetch requests a missing message from the first node that announced it, and from
// the next one later.
func (l *lazyPush) fetch(id floodID) {
	l.mu.Lock()
	sources := l.missing[id]
	if len(sources) == 0 {
		delete(l.missing, id)
		l.mu.Unlock()
		return
	}
	l.missing[id] = sources[1:]
	l.mu.Unlock()
	if raw, err := EncodeMessage(kindFetch, floodRef{Origin: id.origin, Seq: id.seq}); err == nil {
		_ = l.send(sources[0], kindFetch, raw) // Another source is asked if this fails.
	}
	l.after(fetchDelay, func() { l.fetch(id) })
}

// fetched sends a message to a node that has fetched it, which from now on gets the
// origin's messages whole.
func (l *lazyPush) fetched(by NodeID, id floodID) {
	e := edge{id.origin, by}
	l.mu.Lock()
	delete(l.pruned, e)
	delete(l.prunedBefore, e)
	m, ok := l.kept[id]
	if !ok {
		m, ok = l.keptBefore[id]
	}
	l.mu.Unlock()
	if ok {
		_ = l.send(by, m.kind, m.raw) // The node asks another source if this fails.
	}
}
