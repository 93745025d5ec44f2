package quality

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
)

// The aggregator starts each cycle with a broadcast that carries its table. The
// broadcast spreads along a tree: each node receives a range of node IDs, splits
// it and forwards each part to one node in that part. Ranges have no gaps, so
// every member known to any forwarding node is covered even if membership views
// differ. Observations return along the same tree, leaves first, and are
// combined at each level. The inner nodes change with each cycle, which balances
// the load; the failure of one affects its subtree for one cycle.

const (
	// fanOut is the number of parts into which a range is split. A larger value
	// makes the tree flatter and increases the bandwidth of inner nodes.
	fanOut = 4
	// rowBytes is the size of a packed row including its share of names and
	// framing. shareBytesPerSecond is the part of a node's control traffic
	// budget of 9 KB/s that an inner node may use.
	rowBytes            = 44
	shareBytesPerSecond = 1500
	// minCycle is the shortest time between two broadcasts.
	minCycle = 5 * time.Second
	// levelDelay is the time that a node waits for each level below it. It
	// exceeds tickInterval, so that the level below has sent its deltas.
	levelDelay = 2 * tickInterval
	// broadcastTTL is the time after its latest broadcast during which a node
	// accepts deltas. Without a current parent it might not forward later
	// ones for a long time.
	broadcastTTL = 60 * time.Second
	// maxHeadAttempts is the number of nodes tried as the head of a part.
	maxHeadAttempts = 2
)

// broadcast starts a cycle and carries the table. A higher (Epoch, Cycle) is
// newer.
type broadcast struct {
	Region string      `cbor:"1,keyasint"`
	Root   peer.NodeID `cbor:"2,keyasint"`
	Epoch  uint64      `cbor:"3,keyasint"`
	Cycle  uint64      `cbor:"4,keyasint"`
	// Sequence is the cycle in which the table last changed.
	Sequence uint64 `cbor:"5,keyasint"`
	// Low and High are the range of IDs that the receiver covers: Low <= id <
	// High, without an upper bound if High is empty.
	Low  peer.NodeID `cbor:"6,keyasint,omitempty"`
	High peer.NodeID `cbor:"7,keyasint,omitempty"`
	// Path lists the nodes between the root and the receiver. Their IDs may lie
	// in the range, but they already have the broadcast.
	Path []peer.NodeID `cbor:"9,keyasint,omitempty"`
	// Table is nil if the table has not changed since the last broadcast.
	Table *packed `cbor:"8,keyasint,omitempty"`
}

func (b broadcast) newer(o broadcast) bool {
	return b.Epoch > o.Epoch || (b.Epoch == o.Epoch && b.Cycle > o.Cycle)
}

// tableVersion identifies a published table.
type tableVersion struct {
	Epoch    uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

func (b broadcast) tableVersion() tableVersion {
	return tableVersion{Epoch: b.Epoch, Sequence: b.Sequence}
}

// cycleInterval returns the time between broadcasts that keeps an inner node's
// traffic, one message per cycle in each direction with its parent and each
// child, within shareBytesPerSecond.
func cycleInterval(rows int) time.Duration {
	bytes := 2 * (fanOut + 1) * rows * rowBytes
	return max(minCycle, time.Duration(bytes)*time.Second/shareBytesPerSecond)
}

// recipients returns the members of the range that still need the broadcast.
func (h *sharing) recipients(b broadcast) []peer.Member {
	var members []peer.Member
	for _, m := range h.regionMembers() {
		inside := m.ID >= b.Low && (b.High == "" || m.ID < b.High)
		if inside && m.ID != h.messenger.Self() && m.ID != b.Root && !slices.Contains(b.Path, m.ID) {
			members = append(members, m)
		}
	}
	return members
}

// forward sends the broadcast to the members of the range and returns the number
// of tree levels below this node.
func (h *sharing) forward(b broadcast) (levels int) {
	members := h.recipients(b)
	for width := 1; width <= len(members); width = width*fanOut + 1 {
		levels++
	}
	if self := h.messenger.Self(); self != b.Root {
		b.Path = append(slices.Clone(b.Path), self)
	}
	parts := min(fanOut, len(members))
	for i := range parts {
		from, to := i*len(members)/parts, (i+1)*len(members)/parts
		part := b
		if i > 0 {
			part.Low = members[from].ID
		}
		if i < parts-1 {
			part.High = members[to].ID
		}
		heads := peer.Rendezvous(strconv.FormatUint(b.Cycle, 10), members[from:to], maxHeadAttempts)
		for _, head := range heads {
			if h.messenger.Notify(head.ID, broadcastKind, part) == nil {
				break
			}
		}
	}
	return levels
}

// startCycle broadcasts the aggregator's table when a cycle is due.
func (h *sharing) startCycle(now time.Time) {
	l := h.heldLease()
	if l == nil {
		return
	}
	h.service.mu.Lock()
	rows := len(h.service.cells)
	h.service.mu.Unlock()
	if !h.due(&h.lastBroadcast, now, cycleInterval(rows)) {
		return
	}
	h.mu.Lock()
	h.cycle++
	b := broadcast{Region: h.service.options.Region, Root: h.messenger.Self(), Epoch: l.Epoch(), Cycle: h.cycle}
	changed := h.changed
	if h.changed = false; changed {
		h.sequence = h.cycle
	}
	b.Sequence = h.sequence
	h.mu.Unlock()
	if changed {
		h.service.mu.Lock()
		table := pack(h.service.cells)
		// Packing loses precision. The aggregator uses the published values,
		// so that all nodes have the same table.
		h.service.cells = table.unpack()
		h.service.mu.Unlock()
		b.Table = &table
		h.setTable(b.tableVersion(), table)
	}
	h.forward(b)
}

// setTable stores the table for nodes that fetch it later.
func (h *sharing) setTable(version tableVersion, table packed) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tableVersion, h.table = version, table
}

// handleBroadcast forwards a new broadcast and applies its table.
func (h *sharing) handleBroadcast(_ context.Context, from peer.NodeID, body []byte) (any, error) {
	var b broadcast
	if err := cbor.Unmarshal(body, &b); err != nil {
		return nil, result.Wrap(err, result.BadMessage, result.NotRun, "quality pulse")
	}
	if b.Region != h.service.options.Region || b.Root == h.messenger.Self() {
		return nil, nil
	}
	h.mu.Lock()
	if !b.newer(h.latest) {
		h.mu.Unlock()
		return nil, nil
	}
	h.latest, h.parent = b, from
	h.latest.Table = nil
	h.broadcastAt = h.service.clock.Now()
	h.sendAt = time.Time{}
	h.mu.Unlock()
	levels := h.forward(b)
	h.mu.Lock()
	if h.latest.Cycle == b.Cycle {
		h.sendAt = h.broadcastAt.Add(time.Duration(levels) * levelDelay)
	}
	have := h.tableVersion
	h.mu.Unlock()
	switch {
	case b.Table != nil:
		h.apply(b.tableVersion(), *b.Table)
	case have != b.tableVersion():
		select {
		case h.fetchNeeded <- struct{}{}:
		default:
		}
	}
	return nil, nil
}

// apply replaces the table with a newer one and merges this node's pending
// observations into it.
func (h *sharing) apply(version tableVersion, table packed) {
	h.mu.Lock()
	older := h.held != nil || version.Epoch < h.tableVersion.Epoch || version.Epoch == h.tableVersion.Epoch && version.Sequence <= h.tableVersion.Sequence
	h.mu.Unlock()
	if older {
		return
	}
	cells := table.unpack()
	h.service.mu.Lock()
	mergeAll(cells, h.pending)
	h.service.cells = cells
	h.service.mu.Unlock()
	h.setTable(version, table)
}
