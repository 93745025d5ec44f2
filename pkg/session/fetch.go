package session

import (
	"context"
	"time"

	"cassiapin/pkg/peer"
)

// kindHistory requests a member's history.
const kindHistory peer.Kind = "session.history"

// historyPeers is the number of members from which a starting node requests the
// history in one attempt.
const historyPeers = 3

// historyMessage is a history with ages instead of times, to avoid depending on
// synchronised clocks.
type historyMessage struct {
	Members []memberMessage `cbor:"1,keyasint"`
}

// memberMessage is the record of one member. Ages are in milliseconds; 0 means
// that the member did not join, or did not leave, within the TTL of names.
type memberMessage struct {
	ID            peer.NodeID `cbor:"1,keyasint"`
	FailureDomain string      `cbor:"2,keyasint"`
	JoinedAge     int64       `cbor:"3,keyasint,omitempty"`
	LeftAge       int64       `cbor:"4,keyasint,omitempty"`
}

func ageOf(t, now time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(now.Sub(t).Milliseconds(), 1)
}

func timeOf(age int64, now time.Time) time.Time {
	if age <= 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Millisecond)
}

// message returns the history in the form sent to starting nodes.
func (h *history) message(now time.Time) historyMessage {
	h.mu.Lock()
	defer h.mu.Unlock()
	var m historyMessage
	for id, record := range h.records {
		m.Members = append(m.Members, memberMessage{
			ID: id, FailureDomain: record.member.FailureDomain, JoinedAge: ageOf(record.joined, now), LeftAge: ageOf(record.left, now),
		})
	}
	return m
}

// merge adds the history of a member that started earlier: members that left
// before this node started, and when members joined.
func (h *history) merge(m historyMessage, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, remote := range m.Members {
		record, known := h.records[remote.ID]
		if !known {
			if remote.LeftAge == 0 {
				continue // This node will observe the join itself.
			}
			record.member = peer.Member{ID: remote.ID, FailureDomain: remote.FailureDomain}
			record.left = timeOf(remote.LeftAge, now)
		}
		record.joined = timeOf(remote.JoinedAge, now)
		h.records[remote.ID] = record
	}
}

// fetchHistory requests the history from some members and reports whether any of
// them replied.
func (s *Service) fetchHistory(ctx context.Context) bool {
	if s.opts.Messenger == nil {
		return true
	}
	var others []peer.Member
	for _, m := range s.opts.Members.Live() {
		if m.ID != s.opts.Members.Self().ID {
			others = append(others, m)
		}
	}
	// Each starting node selects different members, which balances the load.
	others = peer.Rendezvous(string(s.opts.Members.Self().ID), others, historyPeers)
	fetched := false
	for _, m := range others {
		reqCtx, cancel := context.WithTimeout(ctx, homeTimeout)
		var reply historyMessage
		err := s.opts.Messenger.Request(reqCtx, m.ID, kindHistory, struct{}{}, &reply)
		cancel()
		if err == nil {
			s.history.merge(reply, s.opts.Clock.Now())
			fetched = true
		}
	}
	return fetched
}
