package knowledge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/topology"
)

const (
	// watchShare is the part of the time in which a change has to take effect
	// for which the store may hold a watch. A watch can miss changes without a
	// sign of it until the next call; the rest of the time is for that call
	// and for a list.
	watchShare = 0.5
	// minSlack is how much longer than that an answer may take, and
	// slackFactor the same as a multiple of the time that the store took to
	// answer at once, for a store that is slow.
	minSlack    = 600 * time.Millisecond
	slackFactor = 4
	// After a failure the store is asked for changes without a wait. callMin
	// and callMax bound that call; the time doubles with each failure, so that
	// a store that is slow is heard and one that is back is found soon.
	minCallTimeout = 500 * time.Millisecond
	maxCallTimeout = 1500 * time.Millisecond
	// coalesceShare is the shortest time between two watches of one kind, as a
	// part of the time in which a change has to take effect, so that a series
	// of changes does not cost one call each.
	coalesceShare = 0.05
)

// follower is the state of one kind's duty.
type follower struct {
	service *Service
	kind    Kind
	// from is the revision up to which all changes are known; it counts only
	// once listed is set.
	from   topology.Revision
	listed bool
	// changed is a revision after which there was no change of the kind up to
	// from; the store's revisions count the changes of all kinds.
	changed topology.Revision
	// pending is the latest revision that notices point to without its
	// changes.
	pending topology.Revision
	// latency is how long the store took to answer at once; zero asks for a
	// call without a wait, which measures it.
	latency     time.Duration
	callTimeout time.Duration
	failedSince time.Time
	// verified is when the state was last known to be the newest.
	verified time.Time
}

// follow lists and watches one kind until ctx ends.
func (s *Service) follow(ctx context.Context, kind Kind) {
	f := &follower{service: s, kind: kind, callTimeout: minCallTimeout}
	coalesce := time.Duration(coalesceShare * float64(s.opts.EffectiveIn[kind]))
	for ctx.Err() == nil {
		f.consumeNotices(ctx)
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
		case errors.Is(err, ErrHistoryLost):
			s.log.Info(eventlog.HistoryLost, "kind", kind.String(), "revision", f.from)
			f.listed = false
		default:
			f.recordFailure(err, start)
			if !f.queryPeer(ctx) {
				f.waitForRetry(ctx)
			}
		}
	}
}

// call makes the next call of the duty.
func (f *follower) call(ctx context.Context) (err error) {
	s := f.service
	start, before := s.clock.Now(), f.changed
	var changes []Change
	switch {
	case !f.listed:
		if f.from, err = s.list(ctx, f.kind); err == nil {
			f.listed, f.latency, f.changed = true, max(s.clock.Since(start), 1), f.from
		}
	case f.latency == 0:
		if f.from, changes, err = s.watch(ctx, f.kind, f.from, time.Millisecond, f.callTimeout); err == nil {
			f.latency = max(s.clock.Since(start), 1)
		}
	default:
		f.from, changes, err = s.watch(ctx, f.kind, f.from, f.wait(), max(minSlack, slackFactor*f.latency))
	}
	if err == nil {
		// The store confirms the state of the moment at which it answers; a
		// watch that misses a change is found by the next call.
		f.verified = s.clock.Now()
		if len(changes) > 0 {
			f.changed = f.from
		}
		f.recordProgress()
		s.mu.Lock()
		s.progress[f.kind] = progress{f.from, f.changed, f.verified}
		s.mu.Unlock()
		f.publishChanges(before, changes)
	}
	return err
}

// recordProgress notes how far this node knows the kind.
func (f *follower) recordProgress() {
	s := f.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reached[f.kind] = progress{f.from, f.changed, f.verified}
}

// wait is how long the store may hold the watch of the kind.
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
	f.service.outage.recovered()
}

func (f *follower) recordFailure(err error, start time.Time) {
	s := f.service
	if f.failedSince.IsZero() {
		f.failedSince = start
		s.log.Warn(eventlog.StoreLost, "kind", f.kind.String(), "revision", f.from, "error", err.Error())
		s.update(func(time.Time) bool { s.tracker.StoreLost(f.kind, start); return false })
	}
	f.latency, f.callTimeout = 0, min(2*f.callTimeout, maxCallTimeout)
}

// waitForRetry waits until this duty may call the store again: for its turn, for an
// answer to another duty, or, unless this node reads for the others, until the
// notices of others are too old again.
func (f *follower) waitForRetry(ctx context.Context) {
	s := f.service
	s.outage.failed(s.clock.Now())
	for {
		wait, answered := s.outage.claim(s.clock.Now())
		if wait == 0 {
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
