package quality

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
)

// maxSenders bounds the number of senders whose last delivery number is kept.
// Parents change every cycle, so over time every node of the region delivers to
// this node.
const maxSenders = 4096

// deltaMessage carries the observations of a node and its descendants to its
// parent in the tree of the latest broadcast. Number increases with each
// delivery of the sender.
type deltaMessage struct {
	Region string `cbor:"1,keyasint"`
	Rows   packed `cbor:"2,keyasint"`
	Number uint64 `cbor:"3,keyasint"`
}

// deltaReply reports whether the receiver accepted the rows.
type deltaReply struct {
	Accepted bool `cbor:"1,keyasint"`
}

// delivery is a delta sent to one parent. It is retried with the same parent,
// which deduplicates by number, until a reply arrives or the parent is no longer
// a member; then its rows go to the next parent. Rows count twice only if the
// previous parent had forwarded them and its reply was lost.
type delivery struct {
	to    peer.NodeID
	cells map[key]cell
	body  deltaMessage
}

// sendDue sends pending observations to the parent once per cycle, after the
// children had time to send theirs, and retries an unacknowledged delivery.
func (h *sharing) sendDue(ctx context.Context, now time.Time) {
	h.redeliver(ctx)
	h.mu.Lock()
	due := h.inFlight == nil && !h.sendAt.IsZero() && !now.Before(h.sendAt)
	if due {
		h.sendAt = time.Time{}
	}
	h.mu.Unlock()
	if due {
		h.sendPending(ctx)
	}
}

// redeliver retries the unacknowledged delivery.
func (h *sharing) redeliver(ctx context.Context) {
	h.mu.Lock()
	d := h.inFlight
	h.mu.Unlock()
	if d == nil {
		return
	}
	isReceiver := func(m peer.Member) bool { return m.ID == d.to }
	if h.members != nil && !slices.ContainsFunc(h.regionMembers(), isReceiver) {
		h.requeue(d)
		return
	}
	// An error, even one before sending, does not tell whether the parent
	// processed an earlier attempt.
	if accepted, err := h.deliver(ctx, d); err == nil {
		h.complete(d, accepted)
	}
}

// sendPending sends the pending observations to the parent.
func (h *sharing) sendPending(ctx context.Context) {
	h.mu.Lock()
	parent, busy := h.parent, h.inFlight != nil
	h.mu.Unlock()
	h.service.mu.Lock()
	cells := h.pending
	if parent == "" || busy || len(cells) == 0 {
		h.service.mu.Unlock()
		return
	}
	h.pending = make(map[key]cell)
	h.service.mu.Unlock()
	h.mu.Lock()
	h.deliveries++
	d := &delivery{to: parent, cells: cells, body: deltaMessage{
		Region: h.service.options.Region, Rows: pack(cells), Number: h.deliveries,
	}}
	h.inFlight = d
	h.mu.Unlock()
	accepted, err := h.deliver(ctx, d)
	if err == nil || result.From(err).Run == result.NotRun {
		h.complete(d, accepted)
	}
}

func (h *sharing) deliver(ctx context.Context, d *delivery) (accepted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var answer deltaReply
	err = h.messenger.Request(ctx, d.to, deltaKind, d.body, &answer)
	return answer.Accepted, err
}

// complete finishes a delivery. The rows of a rejected one are requeued for the
// parent of the next cycle.
func (h *sharing) complete(d *delivery, accepted bool) {
	if !accepted {
		h.requeue(d)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight = nil
}

func (h *sharing) requeue(d *delivery) {
	h.service.mu.Lock()
	for k, c := range d.cells {
		h.addPending(k, c)
	}
	h.service.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight = nil
}

func (h *sharing) handleDelta(_ context.Context, from peer.NodeID, body []byte) (any, error) {
	var m deltaMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, result.Wrap(err, result.BadMessage, result.NotRun, "quality delta")
	}
	if m.Region != h.service.options.Region {
		return deltaReply{}, nil
	}
	root := h.heldLease() != nil
	repeated, accepted := h.accept(from, m.Number, root)
	if repeated || !accepted {
		return deltaReply{Accepted: repeated}, nil
	}
	delta := m.Rows.unpack()
	h.service.mu.Lock()
	// Like this node's own observations, they are visible here at once.
	mergeAll(h.service.cells, delta)
	if !root {
		for k, c := range delta {
			h.addPending(k, c)
		}
	}
	h.service.mu.Unlock()
	if root {
		h.markChanged()
	}
	return deltaReply{Accepted: true}, nil
}

// accept records the number of a delivery. A new delivery is accepted if this
// node is the root or has a parent from a recent broadcast to forward it to.
func (h *sharing) accept(from peer.NodeID, number uint64, root bool) (repeated, accepted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if number <= h.lastReceived[from] {
		return true, false
	}
	if !root && (h.parent == "" || h.service.clock.Since(h.broadcastAt) >= broadcastTTL) {
		return false, false
	}
	if len(h.lastReceived) >= maxSenders {
		clear(h.lastReceived)
	}
	h.lastReceived[from] = number
	return false, true
}
