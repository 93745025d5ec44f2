package storeview

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/topology"
)

const (
	// watchShare is the longest wait of a watch, as a fraction of the time in
	// which a change must take effect (Options.EffectiveIn). A watch can miss
	// changes silently until the next call; the rest of the time is for that
	// call and for a list.
	watchShare = 0.5
	// minSlack is the time allowed for an answer beyond the wait. For a slow
	// store it is slackFactor times the latency of a call without a wait.
	minSlack    = 600 * time.Millisecond
	slackFactor = 4
	// After a failure the next watch has no wait. Its timeout starts at
	// minCallTimeout and doubles with each failure up to maxCallTimeout, so
	// that a slow store can still answer and a recovered one is detected soon.
	minCallTimeout = 500 * time.Millisecond
	maxCallTimeout = 1500 * time.Millisecond
	// coalesceShare is the shortest time between two watches of one kind, as a
	// fraction of EffectiveIn, so that a series of changes does not cost one
	// call each.
	coalesceShare = 0.05
	// maxListedBytes is the size up to which a configuration is listed when it is not
	// known whether there is a later one.
	maxListedBytes = 64 << 10
	// rereadShare is the longest time between two lists of a kind by the first reader,
	// as a fraction of EffectiveIn. The rest of the time is for a notice and the calls
	// that follow it. A kind of more than rereadObjects is large: the time grows with the
	// square of the number of objects, so that a larger one takes fewer bytes per second.
	rereadShare   = 0.75
	rereadObjects = 100
)

// follower lists and watches one kind.
type follower struct {
	service *Service
	kind    Kind
	// from is the revision up to which answers have shown all changes; it is valid only
	// once listed is set. The revision of an answer may be later than what it shows:
	// see listAnswer.shown and watchAnswer.shown. The state may have later changes.
	from   topology.Revision
	listed bool
	// listedAt is the start of the latest list, and triedAt that of the latest attempt at
	// one, or the time of a copy.
	listedAt, triedAt time.Time
	// changed is a revision such that the kind did not change after it, up to
	// from; the store's revisions count the changes of all kinds.
	changed topology.Revision
	// pending is the latest revision announced by notices that did not include
	// the changes.
	pending topology.Revision
	// asked is the latest pending revision that the parent was asked for.
	asked topology.Revision
	// followed is set if a notice with the changes up to pending may still arrive.
	followed bool
	// queried is the time of the latest query to another node in place of the store.
	queried time.Time
	// latency is the duration of a call without a wait; zero requests such a
	// call, which measures it.
	latency     time.Duration
	callTimeout time.Duration
	failedSince time.Time
	// answered is the store revision of the latest list, which has shown some of the
	// changes after from, up to it.
	answered topology.Revision
	// reported is when the state was last said to be the newest. It decides when to
	// call the store. Delays of messages and calls don't count in it, so it is no
	// proof; see Service.Current.
	reported time.Time
	// differing is the latest digest of another node that was not this node's;
	// relistDue is set until the list that it requires.
	differing uint64
	relistDue bool
	// lagging is the digest in the latest notice from before from.
	lagging uint64
}

// follow lists and watches one kind until ctx ends.
func (s *Service) follow(ctx context.Context, kind Kind) {
	f := &follower{service: s, kind: kind, callTimeout: minCallTimeout}
	coalesce := s.coalesce(kind)
	f.copyFromParent(ctx)
	for ctx.Err() == nil {
		f.consumeNotices(ctx)
		if f.awaitChanges(ctx) || f.queryParent(ctx) || f.listed && f.copyFromParent(ctx) {
			continue
		}
		start := s.clock.Now()
		err := f.call(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			f.recordSuccess()
			if rest := coalesce - s.clock.Since(start); rest > 0 {
				_ = s.clock.Sleep(ctx, rest) // Ends early only with ctx, which the loop checks.
			}
		case errors.Is(err, errCallRequested):
			f.latency = 0
		case errors.Is(err, ErrHistoryLost):
			s.log.Info(eventlog.HistoryLost, "kind", kind.String(), "revision", f.from)
			f.listed = false
		case errors.Is(err, ErrTooManyChanges) && f.listed:
			s.log.Warn(eventlog.TooManyChanges, "kind", kind.String(), "revision", f.from)
			f.listed = false
		default:
			f.recordFailure(err, start)
			if !f.queryPeer(ctx) {
				f.waitForRetry(ctx)
			}
		}
	}
}

// coalesce is the shortest time between two watches of a kind.
func (s *Service) coalesce(kind Kind) time.Duration {
	return time.Duration(coalesceShare * float64(s.opts.EffectiveIn[kind]))
}

// call makes the follower's next call to the store.
func (f *follower) call(ctx context.Context) (err error) {
	s := f.service
	start, before, base, began := s.clock.Now(), f.changed, s.currentConfig(), s.pauses.now()
	revealed := s.revealedRevision()
	lists := f.mustList()
	if lists || f.latency == 0 {
		s.dropCallRequest(f.kind) // This call is the one that was requested.
	}
	var changes []Change
	switch {
	case lists:
		f.triedAt = start
		var a listAnswer
		if a, err = s.list(ctx, f.kind, f.changedBetween(start)); err == nil {
			f.noteList(a, revealed, start)
			changes = a.news
		}
	case f.latency == 0:
		var a watchAnswer
		if a, err = s.watch(ctx, f.kind, f.from, time.Millisecond, f.callTimeout, f.changedBetween(start)); err == nil {
			f.from, changes = a.shown(f.from, revealed), a.news
			f.latency = max(s.clock.Since(start), 1)
		}
	default:
		if s.unconfirmed(f.kind) {
			f.latency = 0
			return f.call(ctx)
		}
		changes, err = f.waitForChanges(ctx, revealed)
	}
	if err != nil {
		return err
	}
	s.confirm(f.kind, began)
	f.reported = s.clock.Now()
	if len(changes) > 0 {
		f.changed = f.from
	}
	if f.pending.After(f.from) {
		f.relistDue = true // The watch has not shown what was announced.
	}
	f.recordLatestProgress()
	if lists {
		// The answer may be late, so the proof is of the start. It is recorded after the
		// state, or others would get it for the state before.
		s.prove(f.kind, began, sourceList)
	}
	// A notice of the new state must not go out before its changes, nor one of the old
	// state after them: receivers would take the sender for one with other objects.
	s.publishing.Lock()
	defer s.publishing.Unlock()
	s.mu.Lock()
	s.storeProgress[f.kind] = progress{f.from, f.changed, f.reported, s.digests[f.kind].value()}
	s.mu.Unlock()
	f.publishChanges(before, base, changes)
	return nil
}

// mustList reports whether the next call has to be a list.
func (f *follower) mustList() bool {
	s := f.service
	if s.listRequested[f.kind].Swap(false) || s.revealedRevision().Era > f.from.Era {
		f.relistDue = true
	}
	return !f.listed || f.relistDue || f.missesSeveral() || f.rereadDue()
}

// rereadDue reports whether this node has to list a kind again. A watch may end without a
// change of its time, or with a later one only, and no call of a node that relies on this
// one finds it then. A small kind is listed by the first reader before the bound has passed,
// and by any other node when it has no notice to rely on; a large one by readers only.
func (f *follower) rereadDue() bool {
	s, rank := f.service, f.service.rank()
	objects := s.objectCount(f.kind)
	large := objects > rereadObjects
	switch {
	case f.kind == Configurations && !s.smallConfig(), large && rank >= Readers:
		return false
	case rank > 0 && f.freshFor() > 0:
		return false
	case rank > 0 && !large:
		return true
	}
	pause, last := time.Duration(rereadShare*float64(s.opts.EffectiveIn[f.kind])), f.listedAt
	if large {
		// A list that fails is not repeated at once: watches have to go on.
		pause, last = pause*time.Duration(objects*objects)/(rereadObjects*rereadObjects), f.triedAt
	}
	return s.clock.Since(last)+f.wait() > pause
}

// noteList records a list that began at a time, when the store had revealed a revision.
func (f *follower) noteList(a listAnswer, revealed topology.Revision, start time.Time) {
	s := f.service
	first := !f.listed
	f.from, f.answered = a.shown(f.kind, f.from, revealed), a.revision
	if first {
		f.changed = f.from
	}
	f.listed, f.listedAt, f.latency = true, start, max(s.clock.Since(start), 1)
	// Before anything was revealed, only a second list shows up to where the first was.
	f.relistDue = f.from.Number == 0 && !a.revision.IsZero()
	f.announce(topology.Revision{})
}

// announce records the latest revision that notices have announced without its changes,
// zero for none.
func (f *follower) announce(r topology.Revision) {
	s := f.service
	s.mu.Lock()
	defer s.mu.Unlock()
	f.pending, s.announced[f.kind] = r, r
}

// waitForChanges watches the kind until it changes or the wait has passed. It fails
// with errCallRequested if a call without a wait is requested meanwhile.
func (f *follower) waitForChanges(ctx context.Context, revealed topology.Revision) ([]Change, error) {
	s := f.service
	ctx, cancel := s.cancelOnRequest(ctx, f.kind)
	defer cancel()
	a, err := s.watch(ctx, f.kind, f.from, f.wait(), max(minSlack, slackFactor*f.latency), time.Time{})
	switch {
	case errors.Is(context.Cause(ctx), errCallRequested) && err != nil:
		return nil, errCallRequested
	case err != nil:
		return nil, err
	}
	f.from = a.shown(f.from, revealed)
	return a.news, nil
}

// missesSeveral reports whether the store may have several configurations that
// this node does not know. A watch returns each of them whole, a list only the
// last: after a series of changes, many nodes that watch from the revision before
// it would fill the link between two regions.
func (f *follower) missesSeveral() bool {
	rank := f.service.rank()
	if f.kind != Configurations || rank == 0 {
		return false
	}
	if f.pending.After(f.from) {
		return true
	}
	// Nothing was announced, so the configuration may be unchanged, which a watch
	// tells without sending it.
	return f.service.smallConfig() && rank >= Readers && f.failedSince.IsZero() && f.freshFor() <= 0
}

// maxAppearedLead bounds how far back changedBetween estimates: a node that was
// cut off for longer knows less than the others.
const maxAppearedLead = 1250 * time.Millisecond

// changedBetween estimates when a change happened that a call without a wait
// finds: half-way between the last confirmation and now. A watch that waits
// returns changes at once. It returns zero if nothing is known.
func (f *follower) changedBetween(now time.Time) time.Time {
	if f.reported.IsZero() {
		return time.Time{}
	}
	return now.Add(-min(now.Sub(f.reported)/2, maxAppearedLead))
}

// recordLatestProgress records the revision up to which this node knows the
// kind, from the store or from other nodes.
func (f *follower) recordLatestProgress() {
	s := f.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latestProgress[f.kind] = progress{f.from, f.changed, f.reported, s.digests[f.kind].value()}
}

// digest returns the digest of the kind's current state in the store.
func (f *follower) digest() uint64 {
	s := f.service
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digests[f.kind].value()
}

// wait is the longest wait of a watch of the kind.
func (f *follower) wait() time.Duration {
	share := watchShare
	if f.service.opts.Peers != nil && f.service.rank() < Readers {
		share = readShare
	}
	return time.Duration(share * float64(f.service.opts.EffectiveIn[f.kind]))
}

func (f *follower) recordSuccess() {
	if !f.failedSince.IsZero() {
		f.service.log.Info(eventlog.StoreRegained, "kind", f.kind.String(), "away_ms", f.service.clock.Since(f.failedSince).Milliseconds())
	}
	f.failedSince, f.callTimeout = time.Time{}, minCallTimeout
	f.service.backoff.recovered()
}

func (f *follower) recordFailure(err error, start time.Time) {
	s := f.service
	if f.failedSince.IsZero() {
		f.failedSince = start
		s.log.Warn(eventlog.StoreLost, "kind", f.kind.String(), "revision", f.from, "error", err.Error())
		s.update(func(time.Time) bool { s.tracker.StoreLost(f.kind, start); return false })
	}
	f.latency, f.callTimeout = 0, min(2*f.callTimeout, maxCallTimeout)
	f.asked = topology.Revision{} // The parent may have got what was announced meanwhile.
}

// waitForRetry waits until this follower may call the store again: until its
// backoff ends, until the store answers another follower, or, unless this node
// is the first reader, until a notice or another node's reply makes its state fresh.
func (f *follower) waitForRetry(ctx context.Context) {
	s := f.service
	s.backoff.failed(s.clock.Now())
	for {
		wait, answered := s.backoff.claim(s.clock.Now())
		if wait == 0 || f.queryPeer(ctx) && f.freshFor() > 0 && s.rank() > 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-answered:
			return
		case <-s.clock.After(wait):
		case n := <-s.notices[f.kind]:
			if f.listed && (f.applyNotice(n) || f.queryPeer(ctx)) && f.freshFor() > 0 && s.rank() > 0 {
				return
			}
		}
	}
}
