package billing

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

// registerHandlers registers the message handlers.
func (s *Service) registerHandlers() {
	if s.opts.Messenger == nil {
		return
	}
	s.opts.Messenger.Handle(kindCopy, s.onCopy)
	s.opts.Messenger.Handle(kindConfirm, s.onConfirm)
	s.opts.Messenger.Handle(kindHandOver, s.onHandOver)
}

func decodeMessage(body []byte, v any) error {
	if err := cbor.Unmarshal(body, v); err != nil {
		return result.Wrap(err, result.BadMessage, result.NotRun, "the billing message is malformed")
	}
	return nil
}

func (s *Service) onCopy(_ context.Context, from peer.NodeID, body []byte) (any, error) {
	var m copyMessage
	if err := decodeMessage(body, &m); err != nil {
		return nil, err
	}
	return ack{OK: s.queue.addCopies(from, m.Bills)}, nil
}

func (s *Service) onConfirm(_ context.Context, from peer.NodeID, body []byte) (any, error) {
	var m confirmMessage
	if err := decodeMessage(body, &m); err != nil {
		return nil, err
	}
	s.queue.dropCopies(from, m.UpTo)
	return ack{OK: true}, nil
}

// onHandOver takes over the bills of a stopping node. The sender's copy is about
// to be lost, so new copies are made before the reply.
func (s *Service) onHandOver(ctx context.Context, from peer.NodeID, body []byte) (any, error) {
	var m copyMessage
	if err := decodeMessage(body, &m); err != nil {
		return nil, err
	}
	raws := make([][]byte, len(m.Bills))
	for i, b := range m.Bills {
		raws[i] = b.Raw
	}
	last, _, ok := s.queue.add(raws...)
	if !ok {
		return ack{}, nil
	}
	entries := make([]entry, len(raws))
	for i, raw := range raws {
		entries[i] = entry{seq: last - uint64(len(raws)-1-i), raw: raw}
	}
	s.copyTo(ctx, s.opts.CopyTimeout, entries, from)
	s.requestFlush()
	return ack{OK: true}, nil
}

// peers returns the alive members in order of preference for copies: another
// failure domain of this region, another region, then this failure domain. Within
// each group, rendezvous hashing keeps the order stable, so that one peer gets all
// copies.
func (s *Service) peers() []peer.Member {
	if s.opts.Messenger == nil || s.opts.Members == nil {
		return nil
	}
	self := s.opts.Members.Self()
	var groups [3][]peer.Member
	for _, m := range s.opts.Members.Live() {
		switch {
		case m.ID == self.ID || m.State != peer.Alive:
		case m.FailureDomain == self.FailureDomain:
			groups[2] = append(groups[2], m)
		case m.Region == self.Region:
			groups[0] = append(groups[0], m)
		default:
			groups[1] = append(groups[1], m)
		}
	}
	var out []peer.Member
	for _, g := range groups {
		out = append(out, peer.Rendezvous("billing/"+string(self.ID), g, len(g))...)
	}
	return out
}

// copyTo copies entries to the most preferred peer other than except and reports
// whether the peer acknowledged them.
func (s *Service) copyTo(ctx context.Context, timeout time.Duration, entries []entry, except peer.NodeID) bool {
	peers := slices.DeleteFunc(s.peers(), func(m peer.Member) bool { return m.ID == except })
	if len(peers) == 0 || len(entries) == 0 {
		return false
	}
	to := peers[0].ID
	last := entries[len(entries)-1].seq
	// The peer may have stored the copy even if its reply is lost, so it is
	// recorded as a holder in either case and later gets the confirmation.
	s.mu.Lock()
	s.holders[to] = max(s.holders[to], last)
	s.mu.Unlock()
	if !s.requestAck(ctx, timeout, to, kindCopy, message(entries)) {
		return false
	}
	s.queue.setHolder(to, entries)
	return true
}

func message(entries []entry) copyMessage {
	m := copyMessage{Bills: make([]copiedBill, len(entries))}
	for i, e := range entries {
		m.Bills[i] = copiedBill{Seq: e.seq, Raw: e.raw}
	}
	return m
}

// requestAck sends a request and reports whether the peer acknowledged it.
func (s *Service) requestAck(ctx context.Context, timeout time.Duration, to peer.NodeID, kind peer.Kind, body any) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	var reply ack
	return s.opts.Messenger.Request(ctx, to, kind, body, &reply) == nil && reply.OK
}

// confirm informs the peers with copies which bills are durable. A peer that does
// not reply is informed again after the next flush.
func (s *Service) confirm(ctx context.Context) {
	durable := s.queue.durableUpTo()
	s.mu.Lock()
	holders := make([]peer.NodeID, 0, len(s.holders))
	for id := range s.holders {
		holders = append(holders, id)
	}
	s.mu.Unlock()
	for _, id := range holders {
		state := s.stateOf(id)
		// A peer falsely detected as dead still has its copies when it reconnects,
		// so its entry is kept until the member list no longer contains it.
		unknown := state == ""
		if !unknown && (state == peer.Dead ||
			!s.requestAck(ctx, peerTimeout, id, kindConfirm, confirmMessage{UpTo: durable})) {
			continue
		}
		s.mu.Lock()
		if unknown || s.holders[id] <= durable {
			delete(s.holders, id)
		}
		s.mu.Unlock()
	}
}

// stateOf returns the state of a member, empty if it is not in the member list.
func (s *Service) stateOf(id peer.NodeID) peer.State {
	if s.opts.Members == nil {
		return ""
	}
	for _, m := range s.opts.Members.All() {
		if m.ID == id {
			return m.State
		}
	}
	return ""
}

// replay takes over the copied bills of dead nodes. A node falsely detected as dead
// writes them as well; Reconcile counts equal ids once.
func (s *Service) replay() {
	if s.opts.Members == nil {
		return
	}
	for _, origin := range s.queue.origins() {
		if !s.isDead(origin) {
			continue
		}
		n := s.queue.takeOver(origin)
		replayedTotal.Add(n)
		s.recordEvent(timeline.Event{
			Kind: timeline.BillsReplayed, Detail: strconv.Itoa(n) + " bills of " + string(origin),
		})
	}
}

// isDead reports whether a peer is dead or has been absent from the member list for
// missingTimeout.
func (s *Service) isDead(id peer.NodeID) bool {
	state := s.stateOf(id)
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if state != "" {
		delete(s.missingSince, id)
		return state == peer.Dead
	}
	since, ok := s.missingSince[id]
	if !ok {
		s.missingSince[id] = now
		return false
	}
	if now.Sub(since) < missingTimeout {
		return false
	}
	delete(s.missingSince, id)
	return true
}

// recopy copies the bills again whose holder is no longer alive.
func (s *Service) recopy(ctx context.Context) {
	for ctx.Err() == nil {
		alive := make(map[peer.NodeID]bool)
		for _, m := range s.peers() {
			alive[m.ID] = true
		}
		entries := s.queue.withoutLiveCopy(maxMessageBills, alive)
		if len(entries) == 0 || !s.copyTo(ctx, peerTimeout, entries, "") {
			return
		}
	}
}

// handOver transfers the pending bills to peers, which write them as their own, and
// reports whether none is left.
func (s *Service) handOver(ctx context.Context) bool {
	peers := s.peers()
	for _, p := range peers[:min(len(peers), maxHandOverPeers)] {
		for s.queue.len() > 0 {
			entries := s.queue.head(maxMessageBills, maxBatchBytes)
			if !s.requestAck(ctx, peerTimeout, p.ID, kindHandOver, message(entries)) {
				break
			}
			handedOverTotal.Add(len(entries))
			s.queue.removeUpTo(entries[len(entries)-1].seq)
		}
		if s.queue.len() == 0 {
			s.confirm(ctx)
			return true
		}
	}
	return false
}
