package storeview

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/topology"
)

const (
	// largeFleet is the number of nodes from which on a node that starts copies the
	// upstreams from its parent. When all nodes of a large fleet start, their lists
	// would fill the links to the store for many seconds; in a small one, a list is
	// faster than joining the others.
	largeFleet = 100
	// copyShare is the longest time for such a copy, as a fraction of
	// Options.EffectiveIn; then the store is listed.
	copyShare = 0.4
	// joinedShare is the share of the nodes that a node has to know before it asks
	// the parent that it finds among them.
	joinedShare = 0.5
	// joinPoll is the pause between two looks at the members.
	joinPoll = 50 * time.Millisecond
)

// copyFromParent copies the upstreams from this node's parent when the node starts in
// a large fleet, or when the store has come back from an older copy. If that fails, it
// returns false and the follower lists them.
func (f *follower) copyFromParent(ctx context.Context) bool {
	s := f.service
	era := max(f.pending.Era, s.revealedRevision().Era)
	if f.kind != Upstreams || s.opts.Peers == nil || f.listed && era <= f.from.Era {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(copyShare*float64(s.opts.EffectiveIn[f.kind])))
	defer cancel()
	for {
		joined, registered := s.opts.Peers.Joined()
		if registered < largeFleet {
			return false
		}
		if float64(joined) >= joinedShare*float64(registered) {
			break
		}
		if s.clock.Sleep(ctx, joinPoll) != nil {
			return false
		}
	}
	began := s.pauses.now()
	r, ok := f.wholeFromParent(ctx, era)
	return ok && f.applyCopy(began, r)
}

// copyConfiguration copies the configuration from another node of the region when this
// node starts and its list has failed: when many nodes start at once, their lists of a
// large one fill the link to the store. A copy that isn't fresh could be followed by
// changes that no notice will tell.
func (f *follower) copyConfiguration(ctx context.Context) bool {
	s := f.service
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	f.queried = s.clock.Now()
	began := s.pauses.now()
	r, err := s.opts.Peers.Query(ctx, Query{Kind: f.kind, Packed: true})
	limit := time.Duration(copyShare * float64(s.opts.EffectiveIn[f.kind]))
	if err != nil || r.Notice.Kind != f.kind || s.clock.Since(s.replyStateAt(began, r)) > limit {
		return false
	}
	return f.applyCopy(began, r)
}

// applyCopy applies another node's copy of the whole kind, which was requested at a time
// of the clock of pauses.
func (f *follower) applyCopy(began time.Duration, r Reply) bool {
	s := f.service
	changes, err := unpackChanges(r.Notice.Packed)
	if err != nil {
		s.log.Warn(eventlog.ObjectRefused, "kind", f.kind.String(), "revision", r.Notice.To, "error", err.Error())
		return false
	}
	var objects []Object
	for _, c := range (&Notice{Changes: changes}).changes() {
		objects = append(objects, c.Object)
	}
	s.replaceAll(f.kind, objects, r.Notice.To.Era, time.Time{})
	f.from, f.changed, f.listed = r.Notice.To, topology.Latest(r.Notice.From, topology.Revision{Number: 1}), true
	f.relistDue = false
	f.announce(topology.Revision{})
	f.triedAt, f.reported = s.clock.Now(), s.replyStateAt(began, r)
	s.confirm(f.kind, began)
	f.recordLatestProgress()
	s.proveByReply(f.kind, began, r)
	return true
}

// wholeFromParent queries the parent until it knows the kind in an era of the store. ok is
// false at the root of the tree, and when ctx ends.
func (f *follower) wholeFromParent(ctx context.Context, era uint64) (r Reply, ok bool) {
	s := f.service
	for {
		r, err := s.opts.Peers.QueryParent(ctx, Query{Kind: f.kind, All: true, After: topology.Revision{Era: era}, WaitMS: peerQueryTimeout.Milliseconds()})
		if err == nil {
			return r, true
		}
		if errors.Is(err, ErrNoParent) || s.clock.Sleep(ctx, joinPoll) != nil {
			return Reply{}, false
		}
	}
}

// whole returns all objects of a kind, if this node knows them.
func (s *Service) whole(q Query) (Reply, error) {
	s.mu.Lock()
	known := s.latestProgress[Upstreams]
	changes := make([]Change, 0, len(s.upstreams))
	for _, o := range s.upstreams {
		changes = append(changes, Change{Object: o})
	}
	provenMS := s.provenMS(q.Kind)
	s.mu.Unlock()
	if q.Kind != Upstreams || known.reported.IsZero() || known.from.Era < q.After.Era {
		return Reply{}, errNothingNewer
	}
	packed, err := packChanges(noticeChanges(changes))
	if err != nil {
		return Reply{}, err
	}
	return Reply{
		Notice: Notice{Kind: q.Kind, From: known.changed, To: known.from, Packed: packed},
		AgeMS:  s.clock.Since(known.reported).Milliseconds(), ProvenMS: provenMS,
	}, nil
}
