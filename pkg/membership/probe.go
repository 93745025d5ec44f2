package membership

import (
	"maps"
	"slices"
	"time"

	"cassiapin/pkg/peer"
)

// Message kinds.
const (
	kindProbe        peer.Kind = "member.probe"
	kindAck          peer.Kind = "member.ack"
	kindProbeRequest peer.Kind = "member.ask"
	kindUpdate       peer.Kind = "member.update"
	kindSync         peer.Kind = "member.sync"
	kindJoin         peer.Kind = "member.join"
	kindOffer        peer.Kind = "member.offer"
	kindWant         peer.Kind = "member.want"
	kindChanges      peer.Kind = "member.changes"
)

// probe requests an ack with the same sequence number. Extra carries the
// piggybacked data.
type probe struct {
	Seq   uint64            `cbor:"1,keyasint"`
	Extra map[string][]byte `cbor:"2,keyasint,omitempty"`
	// Isolated is set by a sender that considers itself isolated.
	Isolated bool `cbor:"3,keyasint,omitempty"`
}

// ack acknowledges a probe, or a probeRequest whose target has acknowledged.
type ack struct {
	Seq   uint64            `cbor:"1,keyasint"`
	Extra map[string][]byte `cbor:"2,keyasint,omitempty"`
}

// probeRequest asks the receiver to probe another node (an indirect probe).
type probeRequest struct {
	Seq    uint64      `cbor:"1,keyasint"`
	Target peer.NodeID `cbor:"2,keyasint"`
}

// purpose is the reason for a probe in flight.
type purpose int

const (
	// direct probes go to neighbours; a missed one triggers indirect probes.
	direct purpose = iota
	// indirect is a missed probe that other neighbours now repeat.
	indirect
	// delegated probes are made for a probeRequest of another node.
	delegated
	// sample probes measure which members are reachable.
	sample
)

// inFlight is an unacknowledged probe.
type inFlight struct {
	target   peer.NodeID
	purpose  purpose
	sent     time.Time
	deadline time.Time
	// sampled is set for indirect probes of a member that missed a sample probe.
	sampled bool
	// requester and requestSeq are set for delegated probes.
	requester  peer.NodeID
	requestSeq uint64
}

// prober is the probing state: the last sequence number, the probes in flight by
// sequence number, and the time of the next direct probe of each neighbour.
type prober struct {
	seq      uint64
	inFlight map[uint64]*inFlight
	next     map[peer.NodeID]time.Time
}

func newProber() prober {
	return prober{inFlight: make(map[uint64]*inFlight), next: make(map[peer.NodeID]time.Time)}
}

// cancelAll drops the probes in flight without recording a result.
func (p *prober) cancelAll() { clear(p.inFlight) }

// maxInFlight bounds the probes in flight, including those made for probe
// requests of other nodes.
const maxInFlight = 1024

func (s *Service) sendProbe(now time.Time, f *inFlight) {
	if len(s.probes.inFlight) >= maxInFlight {
		return
	}
	s.probes.seq++
	seq := s.probes.seq
	f.sent, f.deadline = now, now.Add(probeTimeout)
	s.probes.inFlight[seq] = f
	s.notify(f.target, kindProbe, probe{Seq: seq, Extra: s.piggybackData(), Isolated: s.reach.isolated})
}

func (s *Service) piggybackData() map[string][]byte {
	if len(s.piggybacks) == 0 {
		return nil
	}
	out := make(map[string][]byte, len(s.piggybacks))
	for key, p := range s.piggybacks {
		if data := p.ProbeData(); data != nil {
			out[key] = data
		}
	}
	return out
}

// deliverPiggyback queues the calls that pass the piggybacked data to its owners;
// they are made after the lock is released.
func (s *Service) deliverPiggyback(from peer.NodeID, extra map[string][]byte) {
	for _, key := range slices.Sorted(maps.Keys(extra)) {
		data := extra[key]
		if p := s.piggybacks[key]; p != nil {
			s.pendingSends = append(s.pendingSends, func() { p.ObserveProbe(from, data) })
		}
	}
}

// tickProbes sends the probes that are due and handles those that timed out.
func (s *Service) tickProbes(now time.Time) {
	for id := range s.probes.next {
		if !slices.Contains(s.overlay.neighbours, id) {
			delete(s.probes.next, id)
		}
	}
	for _, id := range s.overlay.neighbours {
		due, known := s.probes.next[id]
		if !known {
			// Spread first probes over one interval.
			due = now.Add(time.Duration(s.rng.Int63n(int64(probeInterval))))
			s.probes.next[id] = due
		}
		if !now.Before(due) {
			s.probes.next[id] = due.Add(probeInterval)
			if late := now.Sub(due); late > probeInterval {
				s.probes.next[id] = now.Add(probeInterval)
			}
			s.sendProbe(now, &inFlight{target: id, purpose: direct})
		}
	}
	var missed []uint64
	for seq, f := range s.probes.inFlight {
		if !now.Before(f.deadline) {
			missed = append(missed, seq)
		}
	}
	slices.Sort(missed)
	for _, seq := range missed {
		s.onMiss(now, seq, s.probes.inFlight[seq])
	}
}

// onMiss handles a probe that timed out.
func (s *Service) onMiss(now time.Time, seq uint64, f *inFlight) {
	switch f.purpose {
	case direct:
		s.recordResult(f.target, false, f.sent)
		s.probeIndirectly(now, seq, f)
		return
	case sample:
		s.recordResult(f.target, false, f.sent)
		if s.mayBeDownUnnoticed(f.target, now) {
			f.sampled = true
			s.probeIndirectly(now, seq, f)
			return
		}
	case indirect:
		if !f.sampled || s.mayBeDownUnnoticed(f.target, now) {
			s.suspect(f.target, now)
		}
	}
	delete(s.probes.inFlight, seq)
}

// mayBeDownUnnoticed reports whether a member that missed a sample probe may be
// down without another node noticing: all members that probe it may be down too.
// An isolated node leaves that open until it may declare members dead.
func (s *Service) mayBeDownUnnoticed(id peer.NodeID, now time.Time) bool {
	e := s.table.entries[id]
	return e != nil && e.live() && s.mayDeclareDead(now)
}

// probeIndirectly lets other nodes repeat a missed probe.
func (s *Service) probeIndirectly(now time.Time, seq uint64, f *inFlight) {
	f.purpose = indirect
	f.deadline = now.Add(probeTimeout)
	for _, helper := range s.indirectProbers(f.target) {
		s.notify(helper, kindProbeRequest, probeRequest{Seq: seq, Target: f.target})
	}
}

// indirectProbers picks random neighbours to probe a target indirectly, first
// those that acknowledged their latest probe.
func (s *Service) indirectProbers(target peer.NodeID) []peer.NodeID {
	var reached, missed []peer.NodeID
	for _, id := range s.overlay.neighbours {
		switch e := s.table.entries[id]; {
		case id == target:
		case e != nil && e.missed:
			missed = append(missed, id)
		default:
			reached = append(reached, id)
		}
	}
	for _, ids := range [][]peer.NodeID{reached, missed} {
		s.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	}
	helpers := append(reached, missed...)
	return helpers[:min(len(helpers), indirectProbes)]
}

// suspect marks a member suspect, floods the suspicion and also sends it to the
// suspect directly, because floods may no longer reach it.
func (s *Service) suspect(id peer.NodeID, now time.Time) {
	e := s.table.entries[id]
	if e == nil || !e.live() {
		return
	}
	m := e.member
	m.State = peer.Suspect
	s.setMember(m, now)
	if s.reach.isolated {
		return // The fault is likely local, so the suspicion is not spread.
	}
	s.flood(compactRecord(m))
	s.notify(id, kindUpdate, updateMessage{Records: []record{compactRecord(m)}})
}

func (s *Service) onProbe(now time.Time, from peer.NodeID, m probe) {
	s.notify(from, kindAck, ack{Seq: m.Seq, Extra: s.piggybackData()})
	s.deliverPiggyback(from, m.Extra)
	if slices.Contains(s.overlay.probers, from) {
		s.reach.recordProber(from, m.Isolated, now)
	}
	e := s.table.entries[from]
	switch {
	case e == nil:
		// Unknown prober: sending a digest starts a record exchange.
		s.sendDigest(from)
	case e.member.State == peer.Dead:
		s.notify(from, kindUpdate, updateMessage{Records: []record{compactRecord(e.member)}})
	}
}

func (s *Service) onAck(now time.Time, from peer.NodeID, m ack) {
	s.deliverPiggyback(from, m.Extra)
	s.recordAnswer(from, now)
	f := s.probes.inFlight[m.Seq]
	if f == nil {
		return
	}
	delete(s.probes.inFlight, m.Seq)
	switch f.purpose {
	case direct, sample:
		s.recordResult(f.target, true, f.sent)
	case indirect:
		if from == f.target {
			s.recordResult(f.target, true, f.sent)
		}
	case delegated:
		s.notify(f.requester, kindAck, ack{Seq: f.requestSeq})
	}
}

func (s *Service) onProbeRequest(now time.Time, from peer.NodeID, m probeRequest) {
	s.sendProbe(now, &inFlight{target: m.Target, purpose: delegated, requester: from, requestSeq: m.Seq})
}
