package runners

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"cassiapin/pkg/peer"
)

// Limits on messages to owners.
const (
	requestTimeout = 300 * time.Millisecond
	maxRequests    = 8
	// maxSubscribers bounds the memory used by the subscriptions to a runner.
	maxSubscribers = 1024
	// maxOwnerTries allows for the presumed owner and one redirect.
	maxOwnerTries = 2
)

// registerHandlers registers the message handlers.
func (t *Service) registerHandlers() {
	t.messenger.Handle(kindReport, t.onReport)
	t.messenger.Handle(kindSubscribe, t.onSubscribe)
	t.messenger.Handle(kindPermit, t.onPermit)
	t.messenger.Handle(kindReturn, t.onReturn)
	t.messenger.Handle(kindColdStart, t.onColdStart)
	t.messenger.Handle(kindRelease, t.onRelease)
}

func (t *Service) onReport(_ context.Context, from peer.NodeID, body []byte) (any, error) {
	var m reportMessage
	if err := decode(body, &m); err != nil {
		return nil, err
	}
	t.acceptReports(m.Reports, from)
	return nil, nil
}

func (t *Service) acceptReports(reports []wireReport, from peer.NodeID) {
	v := t.view.Load()
	for _, wire := range reports {
		r := v.runners[wire.Upstream]
		if r == nil {
			continue
		}
		t.checkSuperseded(r, wire.Epoch)
		rep := wire.report()
		r.mu.Lock()
		if rep.Versions == nil {
			rep.Versions = r.report.Versions
		}
		accepted := r.accept(rep, from, true, t.clock.Now())
		if accepted && versionsHash(rep.Versions) != wire.VersionsHash {
			// A full report was lost; renewing the subscription gets one.
			r.subscribedAt = time.Time{}
		}
		r.mu.Unlock()
		t.recordTransition(r)
	}
}

func (t *Service) onSubscribe(_ context.Context, from peer.NodeID, body []byte) (any, error) {
	var m subscribeRequest
	if err := decode(body, &m); err != nil {
		return nil, err
	}
	reply := subscribeReply{Owners: make(map[string]peer.NodeID)}
	v, now := t.view.Load(), t.clock.Now()
	for _, name := range m.Upstreams {
		r := v.runners[name]
		if r == nil {
			continue
		}
		epoch, own := t.owns(r)
		if !own {
			r.mu.Lock()
			if r.owner != "" && r.owner != t.options.Node {
				reply.Owners[name] = r.owner
			}
			r.mu.Unlock()
			continue
		}
		t.owned.mu.Lock()
		t.addSubscriber(name, from, now)
		t.owned.mu.Unlock()
		reply.Reports = append(reply.Reports, toWire(t.nextReport(r, epoch, now), true))
	}
	return reply, nil
}

func (t *Service) addSubscriber(name string, from peer.NodeID, now time.Time) {
	all := t.owned.subscribers[name]
	if all == nil {
		all = make(map[peer.NodeID]time.Time)
		t.owned.subscribers[name] = all
	}
	if _, known := all[from]; known || len(all) < maxSubscribers {
		all[from] = now.Add(subscriptionTTL)
	}
}

func (t *Service) onPermit(_ context.Context, _ peer.NodeID, body []byte) (any, error) {
	var m permitRequest
	if err := decode(body, &m); err != nil {
		return nil, err
	}
	r := t.view.Load().runners[m.Upstream]
	if r == nil {
		return permitReply{}, nil
	}
	if _, own := t.owns(r); !own {
		r.mu.Lock()
		defer r.mu.Unlock()
		return permitReply{Owner: r.owner}, nil
	}
	return permitReply{Granted: t.grant(r, m.ID, time.Duration(m.TTLMS)*time.Millisecond)}, nil
}

func (t *Service) onReturn(_ context.Context, _ peer.NodeID, body []byte) (any, error) {
	var m permitReturn
	if err := decode(body, &m); err != nil {
		return nil, err
	}
	t.endPermit(m.ID, m.Upstream)
	return nil, nil
}

func (t *Service) onColdStart(_ context.Context, _ peer.NodeID, body []byte) (any, error) {
	var m coldStartMessage
	if err := decode(body, &m); err != nil {
		return nil, err
	}
	if r := t.view.Load().runners[m.Upstream]; r != nil {
		t.reportColdStart(r)
	}
	return nil, nil
}

// onRelease handles the notification of a successor: this node stops granting
// permits for the shard, and replies whether all of its permits have ended.
func (t *Service) onRelease(_ context.Context, _ peer.NodeID, body []byte) (any, error) {
	var m releaseRequest
	if err := decode(body, &m); err != nil {
		return nil, err
	}
	t.owned.mu.Lock()
	defer t.owned.mu.Unlock()
	if s := t.owned.shards[m.Shard]; s != nil {
		if s.lease.Epoch() >= m.Epoch {
			return releaseReply{}, nil
		}
		s.superseded = true
	}
	t.expirePermits(t.clock.Now())
	for _, r := range t.view.Load().shards[m.Shard] {
		if t.owned.permits.open[r.name] > 0 {
			return releaseReply{}, nil
		}
	}
	return releaseReply{Released: true}, nil
}

// ownerOf returns the presumed owner of a runner: the owner that sent the last
// report if that is fresh, else the preferred owner of the shard. It is empty if
// there is neither.
func (t *Service) ownerOf(r *runner, now time.Time, ranking ownerRanking) peer.NodeID {
	r.mu.Lock()
	owner, region := r.owner, r.decl.Region
	stale := now.Sub(r.ownerReportedAt) >= reportTTL
	r.mu.Unlock()
	if owner != "" && !stale {
		return owner
	}
	return ranking.preferredOwner(r.shard, region)
}

// requestPermit requests a permit from the owner and returns the granting node.
func (t *Service) requestPermit(parent context.Context, r *runner, m permitRequest) (peer.NodeID, bool) {
	ttl := time.Duration(m.TTLMS) * time.Millisecond
	if _, own := t.owns(r); own {
		return t.options.Node, t.grant(r, m.ID, ttl)
	}
	ctx, cancel := context.WithTimeout(parent, requestTimeout)
	defer cancel()
	to, tried := t.ownerOf(r, t.clock.Now(), t.rankOwners()), peer.NodeID("")
	for try := 0; try < maxOwnerTries && to != "" && to != t.options.Node && to != tried; try++ {
		var reply permitReply
		if err := t.messenger.Request(ctx, to, kindPermit, m, &reply); err != nil {
			// The permit may have been granted and the reply lost.
			t.returnPermit(to, m.ID, r)
			return "", false
		}
		if reply.Granted {
			return to, true
		}
		tried, to = to, reply.Owner
	}
	return "", false
}

// returnPermit returns a permit to its owner. If the message is lost, the permit
// expires.
func (t *Service) returnPermit(owner peer.NodeID, id string, r *runner) {
	if owner == t.options.Node {
		t.endPermit(id, r.name)
		return
	}
	_ = t.messenger.Notify(owner, kindReturn, permitReturn{ID: id, Upstream: r.name})
}

// subscribe renews the subscriptions to the runners of this node's subset with
// their owners.
func (t *Service) subscribe(parent context.Context) {
	now := t.clock.Now()
	due, ranking := make(map[peer.NodeID][]string), t.rankOwners()
	for _, r := range t.view.Load().used(t.usesRemote(now)) {
		if _, own := t.owns(r); own {
			continue
		}
		r.mu.Lock()
		stale := now.Sub(r.ownerReportedAt) >= ownerReportTimeout
		wait := subscribePeriod
		if stale {
			wait = directPollPeriod
		}
		ready := now.Sub(r.subscribedAt) >= wait
		if ready {
			r.subscribedAt = now
		}
		r.mu.Unlock()
		if to := t.ownerOf(r, now, ranking); ready && to != "" && to != t.options.Node {
			due[to] = append(due[to], r.name)
		}
	}
	var group errgroup.Group
	group.SetLimit(maxRequests)
	for to, names := range due {
		group.Go(func() error {
			t.subscribeTo(parent, to, names)
			return nil
		})
	}
	_ = group.Wait() // the subscriptions never return an error
}

func (t *Service) subscribeTo(parent context.Context, to peer.NodeID, names []string) {
	ctx, cancel := context.WithTimeout(parent, requestTimeout)
	defer cancel()
	var reply subscribeReply
	if t.messenger.Request(ctx, to, kindSubscribe, subscribeRequest{Upstreams: names}, &reply) != nil {
		return // This node polls the runners directly until the next attempt.
	}
	t.acceptReports(reply.Reports, to)
	v := t.view.Load()
	for name, owner := range reply.Owners {
		if r := v.runners[name]; r != nil && owner != to {
			r.mu.Lock()
			if now := t.clock.Now(); now.Sub(r.ownerReportedAt) >= ownerReportTimeout {
				// Subscribed to at the next tick; its reports confirm the owner.
				r.owner, r.ownerReportedAt, r.subscribedAt = owner, now.Add(-ownerReportTimeout), time.Time{}
			}
			r.mu.Unlock()
		}
	}
}
