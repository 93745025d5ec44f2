package storeview

import (
	"context"
	"slices"
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/topology"
)

// Notice is sent by nodes that read the store to all others. It carries the
// changes of one kind, or the revisions up to which the sender knows all kinds.
type Notice struct {
	// Known is set in notices about all kinds.
	Known []KnownRevision `cbor:"7,keyasint,omitempty"`

	Kind Kind `cbor:"1,keyasint"`
	// From and To are the revisions before and after the changes: a receiver
	// that knows the kind up to From misses no other change.
	From topology.Revision `cbor:"2,keyasint"`
	To   topology.Revision `cbor:"3,keyasint"`
	// Complete is set if Changes has everything between From and To.
	Complete bool           `cbor:"4,keyasint,omitempty"`
	Changes  []NoticeChange `cbor:"5,keyasint,omitempty"`
	// GraceMS is the remaining grace period for entries that expired in a store
	// outage.
	GraceMS int64 `cbor:"6,keyasint,omitempty"`
	// OutageMS is the time since that outage began; earlier releases send none.
	OutageMS int64 `cbor:"12,keyasint,omitempty"`

	// Packed replaces Changes by a compressed form that has everything between From
	// and To, or the whole state in the reply to Query.All. Complete is not set then:
	// nodes of earlier releases take the notice for one without changes.
	Packed []byte `cbor:"9,keyasint,omitempty"`

	// Sender is the node that has published the notice; earlier releases name none.
	Sender string `cbor:"10,keyasint,omitempty"`

	// AgeMS is the time since the store confirmed the sender's state; it is set if the
	// sender has the changes from another node.
	AgeMS int64 `cbor:"11,keyasint,omitempty"`

	// Held is the version of the sender's configuration if the store lacks it. Without
	// changes the notice only announces it.
	Held uint64 `cbor:"13,keyasint,omitempty"`

	// Stamp orders the log lines of the sender and the receiver.
	Stamp clock.Stamp `cbor:"8,keyasint"`

	// stateAt is when the sender's state was the newest, and digest its digest, zero if
	// unknown; the receiver sets them.
	stateAt time.Time
	digest  uint64
}

// Readers is the number of nodes that read the store for all: one can fail and
// one be rejected by the store without an effect on the others.
const Readers = 3

// rank is this node's position among the readers; a node without peers is the
// first.
func (s *Service) rank() int {
	if s.opts.Peers == nil {
		return 0
	}
	return s.opts.Peers.Rank()
}

// KnownRevision is the revision up to which a reader knows a kind, and the time
// since the store confirmed that there was nothing newer.
type KnownRevision struct {
	Kind     Kind              `cbor:"1,keyasint"`
	Revision topology.Revision `cbor:"2,keyasint"`
	AgeMS    int64             `cbor:"3,keyasint"`
	// Changed is a revision such that the kind did not change after it, up to
	// Revision.
	Changed topology.Revision `cbor:"4,keyasint,omitzero"`
	// Digest identifies the objects of the kind at Revision; zero is unknown.
	Digest uint64 `cbor:"5,keyasint,omitempty"`
	// Held is as in Notice.
	Held uint64 `cbor:"6,keyasint,omitempty"`
}

// NoticeChange is one change in a notice.
type NoticeChange struct {
	Name     string            `cbor:"1,keyasint"`
	Revision topology.Revision `cbor:"2,keyasint"`
	Created  topology.Revision `cbor:"3,keyasint"`
	Deleting bool              `cbor:"4,keyasint,omitempty"`
	Deleted  bool              `cbor:"5,keyasint,omitempty"`
	Spec     []byte            `cbor:"6,keyasint,omitempty"`
	Status   []byte            `cbor:"7,keyasint,omitempty"`
	// Patch replaces Spec: the difference from that of the object's revision Base.
	Patch []byte            `cbor:"8,keyasint,omitempty"`
	Base  topology.Revision `cbor:"9,keyasint,omitzero"`
}

// Peers are the other nodes.
type Peers interface {
	// Rank is the position of this node among the readers. The first reader
	// reads the store continuously; the others are standbys that read it when
	// they get no notices from those before them. All other nodes have the rank
	// Readers or more and read the store themselves when they get no notices.
	Rank() int
	// Publish names this node as the sender of a notice and sends it to all nodes; it
	// does not block.
	Publish(n Notice) error
	// Receive registers the handler of notices.
	Receive(handle func(n Notice))
	// Joined returns the number of nodes that this node has joined, and of those that
	// have an entry in the store, itself included.
	Joined() (joined, registered int)
	// Query sends a query to a nearby node.
	Query(ctx context.Context, q Query) (Reply, error)
	// QueryNode sends a query to the sender of a notice.
	QueryNode(ctx context.Context, sender string, q Query) (Reply, error)
	// QueryParent sends a query to this node's parent in the tree of its failure
	// domain, over which a configuration spreads. It returns ErrNoParent at the
	// root, which reads the store.
	QueryParent(ctx context.Context, q Query) (Reply, error)
	// HandleQueries registers the handler of queries from other nodes.
	HandleQueries(handle func(ctx context.Context, q Query) (Reply, error))
}

const (
	// readShare is the longest wait of a reader's watch, as a fraction of
	// EffectiveIn.
	readShare = 0.3
	// publishShare is the period of the notices about all kinds, as a fraction
	// of the shortest EffectiveIn.
	publishShare = 0.2
	// maxNoticeAgeShare is the time without a notice, as a fraction of
	// EffectiveIn, after which a node calls the store itself; the rest is for
	// that call. standbyShare is that of the second reader, longer than a watch
	// plus a notice period of the first; standbyStep is added for each further
	// reader, so that they call in turn and before the other nodes.
	maxNoticeAgeShare = 0.72
	standbyShare      = 0.54
	standbyStep       = 0.06
	// noticeBytes bounds the changes in a notice, since gossip sends a copy over
	// many links, and those between regions are billed by volume. A configuration
	// is included as its difference from the one before.
	noticeBytes = 16 << 10
	// noticeQueue bounds the queued notices per kind.
	noticeQueue = 64
)

// publishChanges sends the changes that a reader has found, by a watch or by a list.
// base is the configuration before the changes.
func (f *follower) publishChanges(before topology.Revision, base Object, changes []Change) {
	s := f.service
	if s.opts.Peers == nil || s.rank() >= Readers {
		return
	}
	if len(changes) == 0 {
		if s.rank() > 0 {
			s.publishKnown() // The readers before this one send no notices.
		}
		return
	}
	n := Notice{Kind: f.kind, From: before, To: f.from}
	s.setGrace(&n)
	encoded := noticeChanges(changes)
	if f.kind == Configurations {
		encoded = patchChanges(base, changes)
	}
	n.pack(encoded)
	s.send(n)
}

// pack includes changes in the notice unless they are too large.
func (n *Notice) pack(changes []NoticeChange) {
	if packed, err := packChanges(changes); err == nil && len(changes) > 0 && len(packed) <= noticeBytes {
		n.Packed = packed
	}
}

func (s *Service) send(n Notice) {
	n.Stamp = s.hlc.Next()
	if err := s.opts.Peers.Publish(n); err != nil {
		s.log.Debug(eventlog.NoticeFailed, "kind", n.Kind.String(), "revision", n.To, "error", err.Error())
	}
}

// publishLoop sends this node's known revisions periodically while it is the
// first reader.
func (s *Service) publishLoop(ctx context.Context) {
	period := s.opts.EffectiveIn[Configurations]
	for _, d := range s.opts.EffectiveIn {
		period = min(period, d)
	}
	for s.clock.Sleep(ctx, time.Duration(publishShare*float64(period))) == nil {
		if s.rank() == 0 {
			s.publishing.Lock()
			s.publishKnown()
			s.publishing.Unlock()
		}
	}
}

// publishKnown sends the revisions that this node knows from its own calls. The caller
// holds the publishing lock.
func (s *Service) publishKnown() {
	var n Notice
	for kind := Configurations; kind <= Evacuations; kind++ {
		if k, ok := s.known(kind); ok {
			n.Known = append(n.Known, k)
		}
	}
	if len(n.Known) > 0 {
		s.send(n)
	}
}

// known returns the revision that this node has read of a kind, and whether it
// was confirmed recently enough to publish, and since the latest pause.
func (s *Service) known(kind Kind) (KnownRevision, bool) {
	if s.unconfirmed(kind) {
		return KnownRevision{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.storeProgress[kind]
	age := s.clock.Since(p.reported)
	k := KnownRevision{Kind: kind, Revision: p.from, Changed: p.changed, Digest: p.digest, AgeMS: age.Milliseconds()}
	if kind == Configurations {
		k.Held = s.heldVersionLocked()
	}
	return k, p.from.Era >= s.era && !p.reported.IsZero() && age < s.opts.EffectiveIn[kind]
}

// progress is the revision up to which a follower knows its kind.
type progress struct {
	from, changed topology.Revision
	reported      time.Time
	digest        uint64
}

func noticeChanges(changes []Change) []NoticeChange {
	out := make([]NoticeChange, 0, len(changes))
	for _, c := range changes {
		o := c.Object
		out = append(out, NoticeChange{
			Name: o.Name, Revision: o.Revision, Created: o.Created, Deleting: o.Deleting, Deleted: c.Deleted,
			Spec: o.Spec, Status: o.Status,
		})
	}
	return out
}

func (n *Notice) changes() []Change {
	out := make([]Change, 0, len(n.Changes))
	for _, c := range n.Changes {
		out = append(out, Change{Deleted: c.Deleted, Object: Object{
			Name: c.Name, Revision: c.Revision, Created: c.Created, Deleting: c.Deleting, Spec: c.Spec, Status: c.Status,
		}})
	}
	return out
}

// receive queues a notice for the followers of its kinds.
func (s *Service) receive(n Notice) {
	if !s.hlc.Observe(n.Stamp) {
		s.log.Debug(eventlog.NoticeFailed, "reason", "sender's clock is too far ahead", "stamp_of_sender", n.Stamp.Short())
	}
	now := s.clock.Now()
	for _, k := range n.Known {
		from := k.Changed
		if from.IsZero() {
			from = k.Revision // Sent by a release without this field.
		}
		s.noteReporter(n.Sender, k)
		if k.Kind == Configurations {
			s.noteHeld(n.Sender, k.Held)
		}
		s.queue(Notice{Kind: k.Kind, From: from, To: k.Revision, Complete: true, Held: k.Held, stateAt: now.Add(-messageAge(k.AgeMS)), digest: k.Digest})
	}
	switch {
	case n.Held > 0:
		s.noteHeld(n.Sender, n.Held)
	case len(n.Known) == 0:
		n.stateAt = now.Add(-messageAge(n.AgeMS))
		s.queue(n)
	}
}

// maxMessageAge is the oldest that a state in a message counts as.
const maxMessageAge = time.Hour

// messageAge converts the age of a state in a message. One that no node sends counts as
// the oldest: a state that seems new for ever would keep this node from calling the store.
func messageAge(ms int64) time.Duration {
	if ms < 0 || ms > maxMessageAge.Milliseconds() {
		return maxMessageAge
	}
	return time.Duration(ms) * time.Millisecond
}

func (s *Service) queue(n Notice) {
	if n.Kind < Configurations || n.Kind > Evacuations {
		return
	}
	select {
	case s.notices[n.Kind] <- n:
	default:
		// The queue is full; the next notice reveals the missed changes.
	}
}

// consumeNotices applies notices until the store must be called: for changes
// that a notice does not include, or because no notice arrived in time.
func (f *follower) consumeNotices(ctx context.Context) {
	s := f.service
	for f.listed && s.rank() > 0 && !f.relistDue && !s.listRequested[f.kind].Load() {
		paused := s.pauses.nextEnd()
		if s.unconfirmed(f.kind) {
			f.latency = 0 // Notices that arrived during a pause are as old as the view.
			return
		}
		left := f.freshFor()
		if left <= 0 && f.applyQueued() {
			continue // This process was delayed while notices arrived.
		}
		if left <= 0 {
			if s.rank() < Readers {
				f.latency = 0 // Calls once without a wait, and publishes the result.
			}
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-paused:
		case <-s.callRequests[f.kind]:
			f.latency = 0
			return
		case <-s.clock.After(left):
		case n := <-s.notices[f.kind]:
			if !s.unconfirmed(f.kind) && !f.applyNotice(n) {
				return
			}
		}
	}
}

// applyQueued applies one queued notice. It returns false if there is none, or if
// the store must be called for it.
func (f *follower) applyQueued() bool {
	select {
	case n := <-f.service.notices[f.kind]:
		return f.applyNotice(n)
	default:
		return false
	}
}

// relist makes the next call a list because another node has other objects. It returns
// false if that was done for the same digest before: then the other node is wrong.
func (f *follower) relist(digest uint64) bool {
	if f.differing == digest {
		return false
	}
	f.service.log.Warn(eventlog.StatesDiffer, "kind", f.kind.String(), "revision", f.from)
	f.differing, f.relistDue = digest, true
	return true
}

// freshFor is the time until the state is stale and the store must be called.
func (f *follower) freshFor() time.Duration {
	share := maxNoticeAgeShare
	if rank := f.service.rank(); rank < Readers {
		share = standbyShare + standbyStep*float64(rank-1)
	}
	limit := time.Duration(share * float64(f.service.opts.EffectiveIn[f.kind]))
	return limit - f.service.clock.Since(f.reported)
}

// applyNotice applies a notice. It returns false when the store must be called.
func (f *follower) applyNotice(n Notice) bool {
	s := f.service
	n.unpack()
	switch {
	case n.digest != 0 && n.digest == f.digest():
		// This node has the same objects, also if it has not read up to n.From.
		n.To = topology.Latest(n.To, f.from)
	case n.To.Era < f.from.Era:
		return true // From a node that has not noticed that the store came back.
	case n.To.Before(f.from):
		// From a reader that lags, or another notice has overtaken it. A reader that has
		// read the store later and stays with other objects knows what this node doesn't.
		if n.digest == 0 {
			f.applyLater(n)
			return true
		}
		again := n.digest == f.lagging && n.stateAt.After(f.reported)
		f.lagging = n.digest
		return !again || !f.relist(n.digest)
	case n.digest != 0 && n.Held > s.configVersion():
		return true // The configuration that the other node holds is being fetched.
	case n.digest != 0 && !n.From.After(f.from):
		// Nothing has changed since this node's revision, yet the objects differ.
		return !f.relist(n.digest)
	case n.To.After(f.from) && (!n.Complete || n.From.After(f.from) || len(n.Changes) > 0 && !n.To.After(f.answered) || !f.expand(&n)):
		// The notice lacks changes, or a list may have shown later ones.
		if f.kind != Configurations { // One object, which the parent or a list gives whole.
			f.relistDue = f.relistDue || n.To.Era > f.from.Era
		}
		f.latency = 0                                       // Makes the next call without a wait.
		f.followed = n.digest != 0 && n.To.After(f.pending) // Not a notice of changes that lacks them.
		f.announce(topology.Latest(f.pending, n.To))
		return false
	}
	s.lastAnswer[f.kind].Store(int64(s.pauses.now()))
	if n.stateAt.After(f.reported) {
		f.reported = n.stateAt
	}
	defer f.recordLatestProgress()
	if n.To == f.from {
		f.applyLater(n)
		if f.failedSince.IsZero() {
			return true
		}
		n.Changes = nil // They are known, and differences have lost their base.
	}
	f.from = n.To
	if f.changed = topology.Latest(f.changed, n.From); len(n.Changes) > 0 {
		f.changed = n.To
	}
	s.update(func(now time.Time) bool {
		s.enterEra(f.kind, n.To.Era, now)
		s.acceptGrace(n, now)
		s.tracker.ConfirmedByPeer(f.kind)
		changed := false
		for _, c := range s.digests[f.kind].news(n.changes()) {
			changed = s.apply(f.kind, c, now, time.Time{}) || changed
		}
		return changed
	})
	return true
}

// applyLater applies the part of a notice that holds whatever revisions it names: objects
// from after the revision up to which this node knows the kind, and deletions of objects
// that were not created again. It doesn't move the node's revision.
func (f *follower) applyLater(n Notice) {
	later := slices.DeleteFunc(slices.Clone(n.Changes), func(c NoticeChange) bool {
		return !c.Deleted && (!c.Revision.After(f.from) || len(c.Patch) > 0)
	})
	if len(later) == 0 {
		return
	}
	s := f.service
	s.update(func(now time.Time) bool {
		changed := false
		for _, c := range s.digests[f.kind].news((&Notice{Changes: later}).changes()) {
			changed = s.apply(f.kind, c, now, time.Time{}) || changed
		}
		return changed
	})
	f.recordLatestProgress()
}
