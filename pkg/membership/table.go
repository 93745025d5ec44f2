package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"cassiapin/pkg/peer"
	"cassiapin/pkg/timeline"
)

// buckets is the number of parts of the digest; a difference costs the
// exchange of the members of one part.
const buckets = 16

// record is the wire form of a member. The compact form, without addresses,
// spreads a state of a member that the receiver knows.
type record struct {
	ID            peer.NodeID `cbor:"1,keyasint"`
	State         peer.State  `cbor:"2,keyasint"`
	Incarnation   uint64      `cbor:"3,keyasint"`
	PeerAddress   string      `cbor:"4,keyasint,omitempty"`
	EntryAddress  string      `cbor:"5,keyasint,omitempty"`
	AdminAddress  string      `cbor:"6,keyasint,omitempty"`
	Region        string      `cbor:"7,keyasint,omitempty"`
	FailureDomain string      `cbor:"8,keyasint,omitempty"`
	Ready         bool        `cbor:"9,keyasint,omitempty"`
}

func fullRecord(m peer.Member) record {
	return record{
		ID: m.ID, State: m.State, Incarnation: m.Incarnation,
		PeerAddress: m.PeerAddress, EntryAddress: m.EntryAddress, AdminAddress: m.AdminAddress,
		Region: m.Region, FailureDomain: m.FailureDomain, Ready: m.Ready,
	}
}

func compactRecord(m peer.Member) record {
	return record{ID: m.ID, State: m.State, Incarnation: m.Incarnation}
}

func (r record) complete() bool { return r.PeerAddress != "" && r.Region != "" }

// Bounds of what is taken over from others.
const (
	maxMembers = 4096
	// maxIncarnation keeps a malformed record from driving a refutation into
	// an overflow.
	maxIncarnation = 1 << 40
	maxFieldBytes  = 256
)

func (r record) valid() bool {
	if r.Incarnation > maxIncarnation {
		return false
	}
	for _, text := range []string{string(r.ID), r.PeerAddress, r.EntryAddress, r.AdminAddress, r.Region, r.FailureDomain} {
		if len(text) > maxFieldBytes {
			return false
		}
	}
	switch r.State {
	case peer.Alive, peer.Leaving, peer.Suspect, peer.Dead:
		return r.ID != ""
	}
	return false
}

func (r record) member() peer.Member {
	return peer.Member{
		ID: r.ID, State: r.State, Incarnation: r.Incarnation,
		PeerAddress: r.PeerAddress, EntryAddress: r.EntryAddress, AdminAddress: r.AdminAddress,
		Region: r.Region, FailureDomain: r.FailureDomain, Ready: r.Ready,
	}
}

// entry is what this node knows of one member.
type entry struct {
	member peer.Member
	// since is when the member entered its state.
	since time.Time
	// left says that the member announced that it is leaving.
	left bool
	// reportedDeadAt is when another node claimed that this live member is dead;
	// zero when there is no claim against the present incarnation.
	reportedDeadAt time.Time
	digest         uint64
}

// liveState is the state of the member without suspicion.
func (e *entry) liveState() peer.State {
	if e.left {
		return peer.Leaving
	}
	return peer.Alive
}

func (e *entry) live() bool {
	return e.member.State == peer.Alive || e.member.State == peer.Leaving
}

// table holds the members, self included, and their digest.
type table struct {
	entries map[peer.NodeID]*entry
	// flagged holds the suspect, dead and claimed entries, so that a tick does
	// not visit every member.
	flagged map[peer.NodeID]*entry
	digest  [buckets]uint64
}

func newTable() table {
	return table{entries: make(map[peer.NodeID]*entry), flagged: make(map[peer.NodeID]*entry)}
}

func hashID(id peer.NodeID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return mix(h.Sum64())
}

// mix spreads the bits of a hash (the finaliser of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func bucketOf(id peer.NodeID) int { return int(hashID(id) % buckets) }

// digestOf leaves out suspicion, which ends within seconds, and dead members,
// which a node that joined later does not know.
func digestOf(m peer.Member) uint64 {
	if m.State == peer.Dead {
		return 0
	}
	return mix(hashID(m.ID) + m.Incarnation)
}

// put stores a member and keeps the digest.
func (t *table) put(m peer.Member, now time.Time) *entry {
	e := t.entries[m.ID]
	if e == nil {
		e = &entry{since: now}
		t.entries[m.ID] = e
	}
	if e.member.State != m.State {
		e.since = now
	}
	if e.member.Incarnation != m.Incarnation {
		e.reportedDeadAt = time.Time{}
	}
	switch m.State {
	case peer.Leaving:
		e.left = true
	case peer.Alive:
		e.left = false
	}
	d := digestOf(m)
	t.digest[bucketOf(m.ID)] ^= e.digest ^ d
	e.member, e.digest = m, d
	t.classify(e)
	return e
}

func (t *table) classify(e *entry) {
	if e.live() && e.reportedDeadAt.IsZero() {
		delete(t.flagged, e.member.ID)
	} else {
		t.flagged[e.member.ID] = e
	}
}

func (t *table) remove(id peer.NodeID) {
	if e := t.entries[id]; e != nil {
		t.digest[bucketOf(id)] ^= e.digest
		delete(t.entries, id)
		delete(t.flagged, id)
	}
}

// records returns the members of the buckets in mask, in id order. An isolated
// node leaves out its suspicion, which says nothing of the members.
func (t *table) records(mask uint32, isolated bool) []record {
	var out []record
	for id, e := range t.entries {
		if mask&(1<<bucketOf(id)) != 0 {
			r := fullRecord(e.member)
			if isolated && r.State == peer.Suspect {
				r.State = e.liveState()
			}
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b record) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// sorted returns all entries in id order, so that random choices among them
// depend on the seed only.
func (t *table) sorted(keep func(*entry) bool) []*entry { return sortedEntries(t.entries, keep) }

func sortedEntries(entries map[peer.NodeID]*entry, keep func(*entry) bool) []*entry {
	var out []*entry
	for _, e := range entries {
		if keep(e) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *entry) int { return cmp.Compare(a.member.ID, b.member.ID) })
	return out
}

// rank orders states of the same incarnation.
func rank(s peer.State) int {
	switch s {
	case peer.Suspect:
		return 1
	case peer.Dead:
		return 2
	}
	return 0
}

// merge takes over a record if it is newer than what is known, and reports
// whether it changed anything. A claim about this node is refuted.
func (s *Service) merge(r record, now time.Time) bool {
	if !r.valid() {
		return false
	}
	if r.ID == s.self.ID {
		s.refute(r, now)
		return false
	}
	e := s.table.entries[r.ID]
	if e == nil {
		if r.State == peer.Dead || !r.complete() || len(s.table.entries) >= maxMembers {
			return false
		}
		s.setMember(r.member(), now)
		return true
	}
	old := e.member
	if r.Incarnation < old.Incarnation ||
		r.Incarnation == old.Incarnation && rank(r.State) <= rank(old.State) {
		return false
	}
	if r.State == peer.Dead {
		return s.recordDeadReport(e, r, now)
	}
	m := old
	if r.complete() {
		m = r.member()
	}
	m.State, m.Incarnation = r.State, r.Incarnation
	s.setMember(m, now)
	return true
}

// recordDeadReport notes that another node believes a member dead. A member only dies
// by this node's own suspicion: after a partition each side claims that the
// other is dead, and the members get the time to refute that.
func (s *Service) recordDeadReport(e *entry, r record, now time.Time) bool {
	if !e.live() || !e.reportedDeadAt.IsZero() {
		return false
	}
	e.reportedDeadAt = now
	s.table.classify(e)
	return true
}

// refute answers a claim that this node is not alive.
func (s *Service) refute(r record, now time.Time) {
	claimed := r.State == peer.Suspect || r.State == peer.Dead
	if r.Incarnation < s.self.Incarnation || r.Incarnation == s.self.Incarnation && !claimed {
		return
	}
	s.self.Incarnation = r.Incarnation
	s.announce(now)
}

// setMember stores another node's member and records a change of state.
func (s *Service) setMember(m peer.Member, now time.Time) {
	var before peer.State
	if e := s.table.entries[m.ID]; e != nil {
		before = e.member.State
	}
	s.table.put(m, now)
	s.changed = true
	if before != m.State {
		s.events.Record(timeline.Event{
			Kind: timeline.MemberState, Domain: m.FailureDomain,
			Detail: string(m.ID) + " is " + string(m.State),
		})
	}
}

// expire turns suspects whose time is over into dead members, claims that were
// not refuted into suspicion, and forgets members that have been dead for long.
// Deaths are not flooded: every node that heard of the suspicion comes to the
// same end by itself, and digests repair the others.
func (s *Service) expire(now time.Time) {
	mayDeclareDead := s.mayDeclareDead(now)
	due := sortedEntries(s.table.flagged, func(e *entry) bool {
		age := now.Sub(e.since)
		switch e.member.State {
		case peer.Suspect:
			return mayDeclareDead && age >= suspicionTimeout
		case peer.Dead:
			return age >= deadRetention
		}
		return mayDeclareDead && !e.reportedDeadAt.IsZero() && now.Sub(e.reportedDeadAt) >= suspicionTimeout
	})
	for _, e := range due {
		m := e.member
		switch m.State {
		case peer.Suspect:
			m.State = peer.Dead
			s.setMember(m, now)
		case peer.Dead:
			s.table.remove(m.ID)
			s.changed = true
		default:
			s.suspect(m.ID, now)
		}
	}
}

// restartSuspicionTimers starts the time to refute anew after this process was paused: the
// refutations may still wait to be read.
func (s *Service) restartSuspicionTimers(now time.Time) {
	for _, e := range s.table.flagged {
		if e.member.State == peer.Suspect {
			e.since = now
		}
		if !e.reportedDeadAt.IsZero() {
			e.reportedDeadAt = now
		}
	}
}

// buildViews fills the cached slices.
func (s *Service) buildViews() {
	if s.views.all != nil {
		return
	}
	entries := s.table.sorted(func(*entry) bool { return true })
	v := views{all: make([]peer.Member, 0, len(entries)), live: make([]peer.Member, 0, len(entries))}
	for _, e := range entries {
		v.all = append(v.all, e.member)
		if e.live() {
			v.live = append(v.live, e.member)
		}
	}
	s.views = v
}
