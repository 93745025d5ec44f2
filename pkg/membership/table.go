package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"cassiapin/pkg/peer"
	"cassiapin/pkg/timeline"
)

// buckets is the number of buckets of the digest. A difference costs the
// exchange of all records of its bucket.
const buckets = 16

// record is the wire form of a member. The compact form, without addresses,
// is used for state changes of members that the receiver knows.
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
	Fingerprint   string      `cbor:"10,keyasint,omitempty"`
	Offers        bool        `cbor:"11,keyasint,omitempty"`
}

func fullRecord(m peer.Member) record {
	return record{
		ID: m.ID, State: m.State, Incarnation: m.Incarnation,
		PeerAddress: m.PeerAddress, EntryAddress: m.EntryAddress, AdminAddress: m.AdminAddress,
		Region: m.Region, FailureDomain: m.FailureDomain, Ready: m.Ready, Fingerprint: m.Fingerprint,
		Offers: m.Offers,
	}
}

func compactRecord(m peer.Member) record {
	return record{ID: m.ID, State: m.State, Incarnation: m.Incarnation}
}

func (r record) complete() bool { return r.PeerAddress != "" && r.Region != "" }

// Limits on data accepted from other nodes.
const (
	maxMembers = 4096
	// maxIncarnation prevents a malformed record from making a refutation
	// overflow the incarnation.
	maxIncarnation = 1 << 40
	maxFieldBytes  = 256
)

func (r record) valid() bool {
	if r.Incarnation > maxIncarnation {
		return false
	}
	for _, text := range []string{string(r.ID), r.PeerAddress, r.EntryAddress, r.AdminAddress, r.Region, r.FailureDomain, r.Fingerprint} {
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
		Region: r.Region, FailureDomain: r.FailureDomain, Ready: r.Ready, Fingerprint: r.Fingerprint,
		Offers: r.Offers,
	}
}

// entry is this node's state for one member.
type entry struct {
	member peer.Member
	// since is when the member entered its state, and learned when this node first
	// had a record of it.
	since, learned time.Time
	// left reports whether the member announced that it is leaving.
	left bool
	// reportedDeadAt is when another node first reported this live member dead;
	// zero if the current incarnation was not reported dead.
	reportedDeadAt time.Time
	// missed reports whether this node's latest probe of the member was not
	// acknowledged; sampledAt is the start of the latest sample with the member.
	missed    bool
	sampledAt time.Time
	// answeredAt is when the member's last ack arrived, in time or late. An isolated
	// node keeps lately up to date with it.
	answeredAt time.Time
	lately     bool
	digest     uint64
}

// liveState returns the state of the member without suspicion.
func (e *entry) liveState() peer.State {
	if e.left {
		return peer.Leaving
	}
	return peer.Alive
}

func (e *entry) live() bool {
	return e.member.State == peer.Alive || e.member.State == peer.Leaving
}

// presence orders the instances of a host by how likely they run.
func (e *entry) presence() int {
	switch {
	case e.live() && !e.missed:
		return 3
	case e.live():
		return 2
	case e.member.State == peer.Suspect:
		return 1
	}
	return 0
}

// gone reports whether the member announced that it leaves and then stopped
// answering: its end is no loss.
func (e *entry) gone() bool { return e.left && (e.missed || !e.live()) }

// table holds the members, self included, and their digest.
type table struct {
	entries map[peer.NodeID]*entry
	// flagged holds the entries that are suspect, dead or reported dead, so that a
	// tick does not visit every member.
	flagged map[peer.NodeID]*entry
	// hosts holds the members by peer address.
	hosts map[string]*host
	// changes holds the members by their contribution to the digest.
	changes map[uint64]*entry
	digest  [buckets]uint64
}

// host holds the members that use or used one peer address: a restarted node is
// another member on the address of the last one.
type host struct {
	instances []*entry
	// current is the instance that stands for the host.
	current *entry
}

func newTable() table {
	return table{entries: make(map[peer.NodeID]*entry), flagged: make(map[peer.NodeID]*entry), hosts: make(map[string]*host), changes: make(map[uint64]*entry)}
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

// digestOf returns a member's contribution to the digest. It excludes
// suspicion, which ends within seconds, and dead members, which nodes that
// joined later do not know.
func digestOf(m peer.Member) uint64 {
	if m.State == peer.Dead {
		return 0
	}
	return mix(hashID(m.ID) + m.Incarnation)
}

// put stores a member and updates the digest.
func (t *table) put(m peer.Member, now time.Time) *entry {
	e := t.entries[m.ID]
	if e == nil {
		e = &entry{since: now, learned: now}
		t.entries[m.ID] = e
	}
	if e.member.PeerAddress != m.PeerAddress {
		t.leaveHost(e)
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
	delete(t.changes, e.digest)
	if d != 0 {
		t.changes[d] = e
	}
	e.member, e.digest = m, d
	t.classify(e)
	t.chooseCurrent(e)
	return e
}

// chooseCurrent chooses the current instance of the host of e: one that is live and
// answers, if any, or else the one learned last.
func (t *table) chooseCurrent(e *entry) {
	h := t.hosts[e.member.PeerAddress]
	if h == nil {
		h = &host{}
		t.hosts[e.member.PeerAddress] = h
	}
	if !slices.Contains(h.instances, e) {
		h.instances = append(h.instances, e)
	}
	h.current = slices.MaxFunc(h.instances, compareInstances)
}

func compareInstances(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.presence(), b.presence()), a.learned.Compare(b.learned), cmp.Compare(a.member.ID, b.member.ID))
}

// leaveHost removes e from its host.
func (t *table) leaveHost(e *entry) {
	h := t.hosts[e.member.PeerAddress]
	if h == nil {
		return
	}
	h.instances = slices.DeleteFunc(h.instances, func(other *entry) bool { return other == e })
	if len(h.instances) == 0 {
		delete(t.hosts, e.member.PeerAddress)
		return
	}
	h.current = slices.MaxFunc(h.instances, compareInstances)
}

// replaced reports whether another instance stands for the host of e.
func (t *table) replaced(e *entry) bool { return t.hosts[e.member.PeerAddress].current != e }

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
		delete(t.changes, e.digest)
		delete(t.entries, id)
		delete(t.flagged, id)
		t.leaveHost(e)
	}
}

// record returns the full record of a member. An isolated node omits its suspicions,
// which are likely caused by its own fault.
func (e *entry) record(isolated bool) record {
	r := fullRecord(e.member)
	if isolated && r.State == peer.Suspect {
		r.State = e.liveState()
	}
	return r
}

// records returns the members of the buckets in mask, in id order.
func (t *table) records(mask uint32, isolated bool) []record {
	var out []record
	for id, e := range t.entries {
		if mask&(1<<bucketOf(id)) != 0 {
			out = append(out, e.record(isolated))
		}
	}
	slices.SortFunc(out, func(a, b record) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// sorted returns the entries that keep selects, in id order, so that random
// choices among them depend only on the seed.
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

// rank is the precedence of a state among records of the same incarnation.
func rank(s peer.State) int {
	switch s {
	case peer.Suspect:
		return 1
	case peer.Dead:
		return 2
	}
	return 0
}

// merge applies a record if it is newer than the known one, and reports whether
// it changed anything. Records about this node are passed to refute.
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

// recordDeadReport notes that another node reported a member dead. Only this
// node's own suspicion makes a member dead: after a partition each side reports
// the other dead, and the members need time to refute that.
func (s *Service) recordDeadReport(e *entry, r record, now time.Time) bool {
	if !e.live() || !e.reportedDeadAt.IsZero() {
		return false
	}
	e.reportedDeadAt = now
	s.table.classify(e)
	return true
}

// refute announces a new incarnation of this node if a record has a higher one
// or marks the current one as suspect or dead.
func (s *Service) refute(r record, now time.Time) {
	reportedDown := r.State == peer.Suspect || r.State == peer.Dead
	if r.Incarnation < s.self.Incarnation || r.Incarnation == s.self.Incarnation && !reportedDown {
		return
	}
	s.self.Incarnation = r.Incarnation
	s.announce(now)
}

// setMember stores the record of another node and records a state change as a
// timeline event.
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

// expire declares suspects dead after suspicionTimeout, suspects members whose
// reported death was not refuted, and removes dead members after deadRetention.
// Deaths are not flooded: every node that received the suspicion reaches the
// same result by itself, and digests repair the others.
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

// restartSuspicionTimers restarts the timeouts for refutations after this process
// was paused: refutations may still be waiting in the receive buffers.
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

// buildViews fills the caches of All, Live and Reachable if they are empty.
func (s *Service) buildViews() {
	if s.views.all != nil {
		return
	}
	entries := s.table.sorted(func(*entry) bool { return true })
	v := views{all: make([]peer.Member, 0, len(entries)), live: make([]peer.Member, 0, len(entries))}
	v.reachable = make([]peer.Member, 0, len(entries))
	for _, e := range entries {
		v.all = append(v.all, e.member)
		if e.live() {
			v.live = append(v.live, e.member)
			if !s.outOfReach(e) {
				v.reachable = append(v.reachable, e.member)
			}
		}
	}
	s.views = v
}
