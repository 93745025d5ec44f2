package runners

import (
	"context"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

// Intervals and limits of lease management.
const (
	acquireTimeout = 2 * time.Second
	acquireRetry   = 3 * time.Second
	acquireJitter  = 2 * time.Second
	raisePeriod    = time.Second
	notifyPeriod   = 2 * time.Second
	// handoverDelay is how long another node must be the preferred owner before
	// the holder releases the shard, so that a flapping member causes no handover.
	handoverDelay = 5 * time.Second
	maxLeaseCalls = 8
)

// reconcileLeases acquires the shards that this node should own, maintains the
// leases it holds and releases those whose preferred owner is another node.
func (t *Service) reconcileLeases(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxLeaseCalls)
	shards, ranking := t.view.Load().shards, t.rankOwners()
	for _, name := range slices.Sorted(maps.Keys(shards)) {
		preferred := ranking.preferredOwner(name, t.options.Region) == t.options.Node
		if act := t.leaseAction(name, preferred); act != nil {
			group.Go(func() error {
				act(ctx, name)
				return nil
			})
		}
	}
	_ = group.Wait() // the actions never return an error
}

// leaseAction returns the action that is due for a shard, or nil.
func (t *Service) leaseAction(name string, preferred bool) func(context.Context, string) {
	now := t.clock.Now()
	t.owned.mu.Lock()
	defer t.owned.mu.Unlock()
	s := t.owned.shards[name]
	held := s != nil && !s.superseded && s.lease.Held()
	switch {
	case !held && preferred && !now.Before(t.owned.nextAcquire[name]):
		jitter := time.Duration(t.options.Rand.Int63n(int64(acquireJitter)))
		t.owned.nextAcquire[name] = now.Add(acquireRetry + jitter)
		return t.acquireShard
	case !held:
		return nil
	case preferred:
		s.notPreferredSince = time.Time{}
	case s.notPreferredSince.IsZero():
		s.notPreferredSince = now
	case now.Sub(s.notPreferredSince) >= handoverDelay:
		return t.releaseShard
	}
	t.adjustBounds(name, s, now)
	if len(s.requestedBounds) > 0 && now.Sub(s.raisedAt) >= raisePeriod {
		s.raisedAt = now
		return t.raiseBounds
	}
	if len(s.record.Predecessors) > 0 && now.Sub(s.notifiedAt) >= notifyPeriod {
		s.notifiedAt = now
		return t.notifyPredecessors
	}
	return nil
}

// adjustBounds requests higher bounds for runners in cold start when the claims
// of predecessors have expired, so that the next request is not refused. It
// lowers bounds that are higher than needed, because a successor has to reserve
// half of the recorded bound; lower bounds take effect at once and are written
// with the next renewal. The caller must hold owned.mu.
func (t *Service) adjustBounds(name string, s *ownedShard, now time.Time) {
	elapsed := now.Sub(s.recordedAt)
	lower := make(map[string]int)
	for _, r := range t.view.Load().shards[name] {
		r.mu.Lock()
		limit, warm := r.coldLimit(now), r.state(now) == Warm
		if warm {
			limit = r.decl.ColdLimit
		}
		r.mu.Unlock()
		if !warm {
			t.bound(r, now)
		}
		need := max(0, limit-s.record.Claims(r.name, elapsed), t.owned.permits.open[r.name])
		if s.record.Bounds[r.name] > need {
			lower[r.name] = need
		}
	}
	if len(lower) == 0 {
		return
	}
	next := s.record.aged(elapsed)
	next.Bounds = maps.Clone(s.record.Bounds)
	maps.Copy(next.Bounds, lower)
	s.record, s.recordedAt = next, now
	s.lease.SetData(next.encode())
}

// acquireShard makes one attempt to acquire the lease of a shard.
func (t *Service) acquireShard(parent context.Context, name string) {
	ctx, cancel := context.WithTimeout(parent, acquireTimeout)
	defer cancel()
	limits := make(map[string]int)
	for _, r := range t.view.Load().shards[name] {
		r.mu.Lock()
		limits[r.name] = r.decl.ColdLimit
		r.mu.Unlock()
	}
	l, err := t.leases.Acquire(ctx, name, func(previous []byte, released bool) []byte {
		next := NextRecord(decodeRecord(previous), released, string(t.options.Node), limits)
		return next.encode()
	})
	if err != nil {
		return // Held by another node, or the object store is unavailable; retried later.
	}
	record := decodeRecord(l.Data())
	if record == nil {
		t.log.Warn("shard lease has a malformed record", "lease", name, "code", int(result.Internal))
		return
	}
	record.Epoch = l.Epoch()
	l.SetData(record.encode())
	t.owned.mu.Lock()
	t.owned.shards[name] = &ownedShard{
		lease: l, record: *record, recordedAt: t.clock.Now(), requestedBounds: make(map[string]int),
	}
	t.owned.mu.Unlock()
	t.events.Record(timeline.Event{Kind: timeline.LeaseAcquired, Detail: name, Epoch: l.Epoch()})
	t.notifyChanged()
}

// raiseBounds writes the requested bounds to the lease and applies them only
// after the write succeeds, so that a successor never counts less than this
// node may grant.
func (t *Service) raiseBounds(parent context.Context, name string) {
	ctx, cancel := context.WithTimeout(parent, acquireTimeout)
	defer cancel()
	now := t.clock.Now()
	t.owned.mu.Lock()
	s := t.owned.shards[name]
	if s == nil || s.superseded {
		t.owned.mu.Unlock()
		return
	}
	next := s.record.aged(now.Sub(s.recordedAt))
	next.Bounds = maps.Clone(s.record.Bounds)
	if next.Bounds == nil {
		next.Bounds = make(map[string]int)
	}
	for runner, bound := range s.requestedBounds {
		next.Bounds[runner] = bound
	}
	clear(s.requestedBounds)
	t.owned.mu.Unlock()
	s.lease.SetData(next.encode())
	if s.lease.Sync(ctx) != nil {
		return // The old bounds stay in effect.
	}
	t.owned.mu.Lock()
	s.record, s.recordedAt = next, now
	t.owned.mu.Unlock()
	t.notifyChanged()
}

// notifyPredecessors informs the predecessors that this node has taken over the
// shard, and drops the claims of each one whose permits have all ended.
func (t *Service) notifyPredecessors(parent context.Context, name string) {
	ctx, cancel := context.WithTimeout(parent, requestTimeout)
	defer cancel()
	t.owned.mu.Lock()
	s := t.owned.shards[name]
	predecessors := slices.Clone(s.record.Predecessors)
	epoch := s.lease.Epoch()
	t.owned.mu.Unlock()
	for _, p := range predecessors {
		var reply releaseReply
		request := releaseRequest{Shard: name, Epoch: epoch}
		err := t.messenger.Request(ctx, peer.NodeID(p.Holder), kindRelease, request, &reply)
		if err == nil && reply.Released {
			t.dropPredecessor(s, p.Holder)
		}
	}
}

func (t *Service) dropPredecessor(s *ownedShard, holder string) {
	t.owned.mu.Lock()
	defer t.owned.mu.Unlock()
	s.record.Predecessors = slices.DeleteFunc(slices.Clone(s.record.Predecessors), func(p Predecessor) bool {
		return p.Holder == holder
	})
	// The next renewal writes the shorter list.
	s.lease.SetData(s.record.encode())
}
