package cutover

import (
	"cmp"
	"slices"
	"time"

	"cassiapin/pkg/topology"
)

// Message tells what a node knows of one trial. Each node reports its own
// counts to the few nodes that sum them up; those tell the sums to all.
type Message struct {
	// Sum tells that the counts are those of all nodes.
	Sum     bool              `cbor:"12,keyasint,omitempty"`
	Service string            `cbor:"1,keyasint"`
	Created topology.Revision `cbor:"2,keyasint"`
	Target  string            `cbor:"14,keyasint"`
	// ElapsedMS is the time since the order by this node's knowledge.
	ElapsedMS uint64 `cbor:"3,keyasint"`
	Halted    string `cbor:"4,keyasint,omitempty"`
	// Evidence is in reports, Tried in sums: the good answers of the new
	// release.
	Evidence Evidence `cbor:"5,keyasint,omitempty"`
	Tried    uint64   `cbor:"13,keyasint,omitempty"`
	NewSent  uint64   `cbor:"6,keyasint,omitempty"`
	Sent     uint64   `cbor:"7,keyasint,omitempty"`
	// Moved tells that the node has nothing at the old release that has to end
	// there, and sends nothing to it.
	Moved bool `cbor:"8,keyasint,omitempty"`
	// OldSessions and NewSessions are bindings of sessions.
	OldSessions []uint64 `cbor:"9,keyasint,omitempty"`
	NewSessions []uint64 `cbor:"10,keyasint,omitempty"`
	// Node is the id of the node that the message is from; other nodes may
	// pass it on.
	Node string `cbor:"11,keyasint"`
}

// talk returns the regular messages of a trial: a report to the summing nodes,
// and the sums if this node is one of them. The first of them sends sums every
// time and the others every second time, in case the first is cut off.
func (s *Service) talk(t *trial, turn int, peers []string, now time.Time) []addressed {
	report := s.report(t, now)
	var out []addressed
	for _, node := range summing(t.order.Created, s.opts.Fleet.Self(), peers) {
		out = append(out, addressed{to: node, message: report})
	}
	if turn == 0 || turn < summingNodes && t.ticks%(2*talk) == 0 || t.halted != "" && !t.told {
		out = append(out, addressed{message: s.sum(t, report)})
	}
	return out
}

// addressed is a message to one node, or to all if to is empty.
type addressed struct {
	to      string
	message Message
}

func (a *addressed) send(f Fleet) error {
	if a.to == "" {
		return f.TellAll(a.message)
	}
	return f.Tell(a.to, a.message)
}

// report is the message with this node's own counts.
func (s *Service) report(t *trial, now time.Time) Message {
	m := Message{
		Node: s.opts.Fleet.Self(), Service: t.order.Service, Created: t.order.Created, Target: t.order.Target,
		ElapsedMS: uint64(now.Sub(t.started).Milliseconds()),
		Halted:    t.halted, NewSent: t.newSent, Sent: t.sent, Moved: t.moved(now),
		Evidence: make(Evidence, len(t.own)),
	}
	for key, cell := range t.own {
		m.Evidence[key] = cell
	}
	if t.progress(now) < firstHalf {
		m.OldSessions, m.NewSessions = s.sessions.take(now.Sub(t.started) < lead, now)
	}
	return m
}

// sum is the message with the counts of all nodes that report to this one.
func (s *Service) sum(t *trial, own Message) Message {
	m := own
	m.Sum, m.Evidence = true, nil
	m.Tried = t.goodAnswers()
	for _, p := range t.peers {
		m.NewSent += p.message.NewSent
		m.Sent += p.message.Sent
	}
	m.OldSessions = append(m.OldSessions, t.oldSessions...)
	m.NewSessions = append(m.NewSessions, t.newSessions...)
	t.oldSessions, t.newSessions = nil, nil
	return m
}

// summingNodes is the number of nodes that sum up the reports. They are in
// different places of a pseudo-random order for each trial, and when one dies
// the next in the order takes its place.
const summingNodes = 3

// summing returns the other nodes that sum up the reports of an order.
func summing(created topology.Revision, self string, peers []string) []string {
	all := append([]string{self}, peers...)
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Compare(turnOf(created, a), turnOf(created, b))
	})
	return slices.DeleteFunc(all[:min(summingNodes, len(all))], func(n string) bool { return n == self })
}

// receive takes a peer's message.
func (s *Service) receive(m Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, key := range m.OldSessions {
		s.sessions.learn(key, false, now)
	}
	for _, key := range m.NewSessions {
		s.sessions.learn(key, true, now)
	}
	t := s.trials[m.Service]
	if t == nil || t.order.Created != m.Created || t.order.Target != m.Target {
		return
	}
	if m.Sum {
		t.sum = m
	} else {
		t.peers[m.Node] = peerReport{message: m, at: now}
		t.oldSessions = keep(append(t.oldSessions, m.OldSessions...))
		t.newSessions = keep(append(t.newSessions, m.NewSessions...))
	}
	if start := now.Add(-time.Duration(m.ElapsedMS) * time.Millisecond); start.Before(t.started) {
		t.started = start
	}
	if m.Halted != "" {
		s.halt(t, m.Halted)
	}
}

// maxKept bounds the sessions to pass on at a node that does not sum up itself
// but is taken for one that does.
const maxKept = 16 * maxNews

// keep returns the latest sessions.
func keep(sessions []uint64) []uint64 {
	return sessions[max(len(sessions)-maxKept, 0):]
}
