package storeview

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/topology"
)

// Query requests the changes of a kind after a revision from another node.
type Query struct {
	Kind  Kind              `cbor:"1,keyasint"`
	After topology.Revision `cbor:"2,keyasint"`
	// All requests the whole state of a kind.
	All bool `cbor:"4,keyasint,omitempty"`
	// Packed is set by nodes that know Notice.Packed.
	Packed bool `cbor:"5,keyasint,omitempty"`
	// WaitMS is how long the receiver waits for a later revision if it knows
	// none yet.
	WaitMS int64 `cbor:"3,keyasint,omitempty"`
	// Prove requests a proof of the state with the digest; see Service.prove. Without
	// it, a receiver that has the same state answers that it knows nothing newer.
	Prove  bool   `cbor:"6,keyasint,omitempty"`
	Digest uint64 `cbor:"7,keyasint,omitempty"`
	// Contact requests Reply.ContactMS for the state with the digest, at a revision of
	// at least After.
	Contact bool `cbor:"8,keyasint,omitempty"`
	// Version is that of the querier's configuration. A receiver with a later one that the
	// store lacks answers with it.
	Version uint64 `cbor:"9,keyasint,omitempty"`
	// Compare is set by a node that starts: the receiver answers whether it has a later
	// configuration than the querier, which has read the store.
	Compare bool `cbor:"10,keyasint,omitempty"`
}

// Reply is the answer to a Query.
type Reply struct {
	Notice Notice `cbor:"1,keyasint"`
	// AgeMS is the time since the store confirmed the notice's state.
	AgeMS int64 `cbor:"2,keyasint"`
	// ProvenMS is the age of the sender's proof that the state is the newest, rounded
	// up to at least 1; zero is no proof.
	ProvenMS int64 `cbor:"3,keyasint,omitempty"`
	// ContactMS is how long the store has answered the sender without a gap in which
	// a renewed entry can expire; zero is unknown.
	ContactMS int64 `cbor:"4,keyasint,omitempty"`
}

// peerQueryTimeout bounds a query to another node; the answer is a configuration
// of a few hundred KB at most, from the same region.
const peerQueryTimeout = 800 * time.Millisecond

const (
	// parentWaitShare is how long a node's parent may wait until it has a
	// configuration itself, and parentTimeoutShare how long the node waits for
	// the answer, as fractions of Options.EffectiveIn. After parentsShare the node
	// reads the store.
	parentWaitShare    = 0.15
	parentTimeoutShare = 0.25
	parentsShare       = 0.5
)

// ErrNoParent is returned to the root of a tree.
var ErrNoParent = errors.New("this node has no parent")

// awaitChanges waits a moment for the notice with the changes of a configuration that
// another notice has announced: messages may overtake each other, and a difference is far
// shorter than the configuration. It returns false if the changes have to be fetched.
func (f *follower) awaitChanges(ctx context.Context) bool {
	s := f.service
	if f.kind != Configurations || !f.listed || !f.followed || s.rank() == 0 {
		return false
	}
	f.followed = false
	end := s.clock.After(s.coalesce(f.kind))
	for f.pending.After(f.from) {
		select {
		case <-ctx.Done():
			return false
		case <-end:
			return false
		case n := <-s.notices[f.kind]:
			f.applyNotice(n)
		}
	}
	return true
}

// queryParent fetches a configuration announced by notices from this node's
// parent, so that only the root of each failure domain reads it from the store.
// While the parent fetches it too, this node goes on asking: lists of a large
// configuration by all nodes would fill the link to the store, also for the roots.
// It returns false if the store has to be read.
func (f *follower) queryParent(ctx context.Context) bool {
	s := f.service
	if f.kind != Configurations || !f.listed || !f.pending.After(topology.Latest(f.from, f.asked)) || s.opts.Peers == nil || s.rank() < Readers {
		return false
	}
	f.asked = f.pending
	limit := float64(s.opts.EffectiveIn[f.kind])
	ctx, cancel := context.WithTimeout(ctx, time.Duration(parentsShare*limit))
	defer cancel()
	for ctx.Err() == nil {
		applied, err := f.askParent(ctx, limit)
		switch {
		case applied:
			f.asked = topology.Revision{} // The answer may be from before what was announced.
			return true
		case err == nil:
			return false // The store has to be called for what it says.
		case errors.Is(err, ErrNoParent) || s.rank() < Readers:
			return false
		}
		s.log.Debug(eventlog.NoticeFailed, "kind", f.kind.String(), "revision", f.from, "error", err.Error())
		if f.queryPeer(ctx) {
			f.asked = topology.Revision{}
			return true
		}
		_ = s.clock.Sleep(ctx, joinPoll) // Ends early with ctx, which the loop checks.
	}
	return false
}

// askParent asks the parent once, and gives it some time to fetch the configuration.
func (f *follower) askParent(ctx context.Context, limit float64) (applied bool, err error) {
	s := f.service
	ctx, cancel := context.WithTimeout(ctx, time.Duration(parentTimeoutShare*limit))
	defer cancel()
	wait := time.Duration(parentWaitShare * limit)
	asked := s.pauses.now()
	r, err := s.opts.Peers.QueryParent(ctx, Query{Kind: f.kind, After: f.from, Packed: true, WaitMS: wait.Milliseconds(), Version: s.configVersion()})
	return err == nil && f.applyReply(asked, r), err
}

// replyStateAt is when the state in a reply was the newest at the latest, for a query sent
// at a time of the clock of pauses: the reply may have been on its way all the time since.
func (s *Service) replyStateAt(asked time.Duration, r Reply) time.Time {
	return s.clock.Now().Add(asked - s.pauses.now() - messageAge(r.AgeMS))
}

// applyReply applies the answer of another node to a query sent at a time of the clock
// of pauses.
func (f *follower) applyReply(asked time.Duration, r Reply) bool {
	n := r.Notice
	if f.service.adopt(n) {
		return true
	}
	n.stateAt = f.service.replyStateAt(asked, r)
	if n.Kind != f.kind || n.Held > 0 || !n.To.After(f.from) || !f.applyNotice(n) {
		return false
	}
	f.service.proveByReply(f.kind, asked, r)
	return true
}

// unannouncedShare is the shortest time from a query to one for a configuration that no
// notice has announced, as a fraction of Options.EffectiveIn.
const unannouncedShare = 0.1

// queryPeer fetches a configuration from another node when the store does not answer
// this one: one that notices have announced, the first one or, once this node's state is
// stale, any later one, since the store may not answer the readers either. A reader passes
// on what no notice has announced.
func (f *follower) queryPeer(ctx context.Context) bool {
	s := f.service
	if f.kind != Configurations || s.opts.Peers == nil {
		return false
	}
	q := Query{Kind: f.kind, After: f.from, Packed: true, Version: s.configVersion()}
	if !f.listed || !f.pending.After(f.from) {
		rest := time.Duration(unannouncedShare * float64(s.opts.EffectiveIn[f.kind]))
		if f.freshFor() > 0 || s.clock.Since(f.queried) < rest {
			return false
		}
		if !f.listed {
			return f.from.IsZero() && f.copyConfiguration(ctx)
		}
		q.Digest = s.viewDigest(f.kind)
	}
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	f.queried = s.clock.Now()
	asked := s.pauses.now()
	r, err := s.opts.Peers.Query(ctx, q)
	if err != nil {
		s.log.Debug(eventlog.NoticeFailed, "kind", f.kind.String(), "revision", f.from, "error", err.Error())
		return false
	}
	before, base := f.changed, s.currentConfig()
	if !f.applyReply(asked, r) {
		return false
	}
	if config := s.currentConfig(); q.Digest != 0 && config.Revision.After(base.Revision) {
		f.passOn(before, base, config)
	}
	return true
}

// passOn sends a configuration that a reader has from another node. The notice names the
// configuration's own revision: nodes that have read it have none to fetch.
func (f *follower) passOn(before topology.Revision, base, config Object) {
	s := f.service
	if s.rank() >= Readers {
		return
	}
	n := Notice{Kind: f.kind, From: before, To: config.Revision, AgeMS: s.clock.Since(f.reported).Milliseconds()}
	n.pack(patchChanges(base, []Change{{Object: config}}))
	s.send(n)
}

var errNothingNewer = errors.New("no newer revision known")

// answerPollInterval is the longest pause between two checks for a newer
// revision.
const answerPollInterval = 20 * time.Millisecond

// answer replies to another node's query, and waits for a newer revision as long
// as the query allows.
func (s *Service) answer(ctx context.Context, q Query) (Reply, error) {
	until := s.clock.Now().Add(min(time.Duration(q.WaitMS)*time.Millisecond, peerQueryTimeout))
	newest := s.newest
	switch {
	case q.Compare:
		newest = s.compareFor
	case q.Prove:
		newest = s.proofFor
	case q.Contact:
		newest = s.contactFor
	case q.All:
		newest = s.whole
	}
	for {
		reply, err := newest(q)
		if err == nil || !s.clock.Now().Before(until) {
			return reply, err
		}
		if s.clock.Sleep(ctx, answerPollInterval) != nil {
			return Reply{}, err
		}
	}
}

// newest returns the newest configuration if it is later than the query's. A
// configuration is a single object, so it includes all changes in between.
func (s *Service) newest(q Query) (Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newestLocked(q)
}

// newestLocked is newest for callers that hold the lock.
func (s *Service) newestLocked(q Query) (Reply, error) {
	if r, err := s.heldFor(q); err == nil {
		return r, nil
	}
	known := s.latestProgress[Configurations]
	same := q.Digest != 0 && q.Digest == s.digestLocked(Configurations)
	if q.Kind != Configurations || !known.from.After(q.After) || s.config.Revision.IsZero() || same {
		return Reply{}, errNothingNewer
	}
	if !s.undecoded.IsZero() {
		return Reply{}, errNotProven // The configuration in force is not the one at this revision.
	}
	n := Notice{Kind: Configurations, From: q.After, To: known.from}
	changes := noticeChanges([]Change{{Object: s.config}})
	if packed, err := packChanges(changes); q.Packed && err == nil {
		n.Packed = packed
	} else {
		n.Changes, n.Complete = changes, true
	}
	return Reply{Notice: n, AgeMS: s.clock.Since(known.reported).Milliseconds(), ProvenMS: s.provenMS(q.Kind)}, nil
}
