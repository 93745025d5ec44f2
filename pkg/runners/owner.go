package runners

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cassiapin/pkg/lease"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/timeline"
)

var (
	permitsGranted = metrics.GetOrCreateCounter("cassiapin_runner_permits_granted_total")
	permitsExpired = metrics.GetOrCreateCounter("cassiapin_runner_permits_expired_total")
)

// subscriptionTTL is how long a subscription stays valid without renewal.
const subscriptionTTL = 30 * time.Second

// ownedShard is a shard whose lease this node holds, or held until it expired.
type ownedShard struct {
	lease lease.Lease
	// record is the record in effect; its bounds never exceed those written to
	// the lease. The predecessors' ages are as of recordedAt.
	record     Record
	recordedAt time.Time
	// superseded reports that another node has taken over or that this node is
	// releasing the lease; no more permits are granted.
	superseded bool
	// requestedBounds are bounds above the recorded ones that are to be written
	// to the lease, by runner.
	requestedBounds map[string]int
	// raisedAt and notifiedAt are the times of the last such actions;
	// notPreferredSince is when another node became the preferred owner.
	raisedAt, notifiedAt, notPreferredSince time.Time
}

// ownedState is the state of a node for the runners that it owns.
type ownedState struct {
	mu          sync.Mutex
	shards      map[string]*ownedShard
	nextAcquire map[string]time.Time
	permits     *permitSet
	subscribers map[string]map[peer.NodeID]time.Time
	sequence    map[string]uint64
	lastPushed  map[string]pushedReport
}

// pushedReport is the last report sent to the subscribers of a runner.
type pushedReport struct {
	report Report
	at     time.Time
}

func newOwnedState() ownedState {
	return ownedState{
		shards:      make(map[string]*ownedShard),
		nextAcquire: make(map[string]time.Time),
		permits:     newPermitSet(),
		subscribers: make(map[string]map[peer.NodeID]time.Time),
		sequence:    make(map[string]uint64),
		lastPushed:  make(map[string]pushedReport),
	}
}

// owns reports whether this node considers itself the runner's owner, and its
// epoch. A holder whose lease has expired remains the owner until it is notified
// of a successor.
func (t *Service) owns(r *runner) (epoch uint64, ok bool) {
	if t.standalone {
		return 0, true
	}
	t.owned.mu.Lock()
	defer t.owned.mu.Unlock()
	s := t.owned.shards[r.shard]
	if s == nil || s.superseded {
		return 0, false
	}
	return s.lease.Epoch(), true
}

// Owner implements Ownership.
func (t *Service) Owner(upstream string) (epoch uint64, ok bool) {
	r := t.view.Load().runners[upstream]
	if r == nil {
		return 0, false
	}
	if t.standalone {
		return 0, true
	}
	t.owned.mu.Lock()
	defer t.owned.mu.Unlock()
	s := t.owned.shards[r.shard]
	if s == nil || s.superseded || !s.lease.Held() {
		return 0, false
	}
	return s.lease.Epoch(), true
}

// bound returns the maximum number of open permits for the runner now. The
// caller must hold owned.mu.
func (t *Service) bound(r *runner, now time.Time) int {
	r.mu.Lock()
	limit := r.coldLimit(now)
	r.mu.Unlock()
	if t.standalone {
		return limit
	}
	s := t.owned.shards[r.shard]
	if s == nil || s.superseded {
		return 0
	}
	claims := s.record.Claims(r.name, now.Sub(s.recordedAt))
	recorded := s.record.Bounds[r.name]
	if s.lease.Held() {
		if limit-claims > recorded {
			s.requestedBounds[r.name] = limit - claims
		}
		return HolderBound(limit, recorded, claims)
	}
	if now.Sub(s.lease.RenewedAt()) >= leaseGracePeriod {
		return 0
	}
	return LapsedBound(limit, recorded, claims)
}

// grant decides on a permit request as the runner's owner.
func (t *Service) grant(r *runner, id string, ttl time.Duration) bool {
	now := t.clock.Now()
	ttl = min(ttl, maxPermitTTL)
	if ttl <= 0 {
		return false
	}
	t.owned.mu.Lock()
	t.expirePermits(now)
	granted := t.owned.permits.grant(id, r.name, t.bound(r, now), now, ttl)
	t.owned.mu.Unlock()
	if granted {
		permitsGranted.Inc()
		t.events.Record(timeline.Event{Kind: timeline.PermitGranted, Upstream: r.name, Detail: id})
	}
	return granted
}

// expirePermits removes expired permits. The caller must hold owned.mu.
func (t *Service) expirePermits(now time.Time) {
	for _, name := range t.owned.permits.expire(now) {
		permitsExpired.Inc()
		t.events.Record(timeline.Event{Kind: timeline.PermitExpired, Upstream: name})
	}
}

// endPermit removes a returned permit.
func (t *Service) endPermit(id, upstream string) {
	t.owned.mu.Lock()
	open := t.owned.permits.release(id)
	t.owned.mu.Unlock()
	if open {
		t.events.Record(timeline.Event{Kind: timeline.PermitReturned, Upstream: upstream, Detail: id})
	}
}

// push sends the runner's report to its subscribers if it is urgent, differs
// significantly from the last one sent, or that one is pushPeriod old.
func (t *Service) push(r *runner, rep Report, now time.Time, urgent bool) {
	if t.messenger == nil {
		return
	}
	t.owned.mu.Lock()
	last, known := t.owned.lastPushed[r.name]
	due := urgent || !known || now.Sub(last.at) >= pushPeriod || significant(last.report, rep)
	full := !known || !slices.Equal(last.report.Versions, rep.Versions)
	var to []peer.NodeID
	if due {
		t.owned.lastPushed[r.name] = pushedReport{report: rep, at: now}
		to = t.liveSubscribers(r.name, now)
	}
	t.owned.mu.Unlock()
	for _, node := range to {
		// A lost report is superseded by the next within pushPeriod.
		_ = t.messenger.Notify(node, kindReport, reportMessage{Reports: []wireReport{toWire(rep, full)}})
	}
}

// liveSubscribers drops expired subscriptions and returns the remaining
// subscribers. The caller must hold owned.mu.
func (t *Service) liveSubscribers(name string, now time.Time) []peer.NodeID {
	var live []peer.NodeID
	for node, until := range t.owned.subscribers[name] {
		if now.After(until) {
			delete(t.owned.subscribers[name], node)
			continue
		}
		live = append(live, node)
	}
	return live
}

// significantDivisor is the divisor of the capacity that gives the smallest
// change of load to be reported at once.
const significantDivisor = 4

func significant(a, b Report) bool {
	if a.State != b.State || !slices.Equal(a.Versions, b.Versions) {
		return true
	}
	if b.State != Warm && a.MaxConcurrency != b.MaxConcurrency {
		return true
	}
	change := (a.Running + a.Queued) - (b.Running + b.Queued)
	return max(change, -change)*significantDivisor > max(b.Capacity, significantDivisor)
}

// nextReport returns the owner's current view of the runner, with the next
// sequence number.
func (t *Service) nextReport(r *runner, epoch uint64, now time.Time) Report {
	r.mu.Lock()
	rep := r.report
	rep.Upstream, rep.State = r.name, r.state(now)
	rep.MaxConcurrency, rep.AgeMS = r.coldLimit(now), 0
	if !r.receivedAt.IsZero() {
		rep.AgeMS = now.Sub(r.receivedAt).Milliseconds()
	}
	r.mu.Unlock()
	rep.Epoch = epoch
	t.owned.mu.Lock()
	defer t.owned.mu.Unlock()
	t.owned.sequence[r.name]++
	rep.Sequence = t.owned.sequence[r.name]
	return rep
}

// publish sends the owner's current view of the runner to its subscribers.
func (t *Service) publish(r *runner, epoch uint64, urgent bool) {
	now := t.clock.Now()
	t.push(r, t.nextReport(r, epoch, now), now, urgent)
}

// reportColdStart records a detected cold start and notifies the owner, or the
// subscribers if this node is the owner.
func (t *Service) reportColdStart(r *runner) {
	now := t.clock.Now()
	r.mu.Lock()
	changed := r.markCold(now)
	owner := r.owner
	r.mu.Unlock()
	if !changed {
		return
	}
	coldStartSignals.Inc()
	t.recordTransition(r)
	if epoch, ok := t.owns(r); ok {
		t.publish(r, epoch, true)
		return
	}
	if owner != "" && t.messenger != nil {
		// If the message is lost, the owner detects the cold start at its next poll.
		_ = t.messenger.Notify(owner, kindColdStart, coldStartMessage{Upstream: r.name})
	}
}

// checkSuperseded stops granting permits for the shard if the epoch of a report
// is later than that of this node's lease.
func (t *Service) checkSuperseded(r *runner, epoch uint64) {
	t.owned.mu.Lock()
	defer t.owned.mu.Unlock()
	if s := t.owned.shards[r.shard]; s != nil && s.lease.Epoch() < epoch {
		s.superseded = true
	}
}

// releaseTimeout bounds the release of all leases at shutdown.
const releaseTimeout = 2 * time.Second

// releaseAll releases all shards.
func (t *Service) releaseAll(ctx context.Context) {
	t.owned.mu.Lock()
	var names []string
	for name := range t.owned.shards {
		names = append(names, name)
	}
	t.owned.mu.Unlock()
	for _, name := range names {
		t.releaseShard(ctx, name)
	}
}

// releaseShard stops granting permits, records those still open as the bounds
// and releases the lease.
func (t *Service) releaseShard(ctx context.Context, name string) {
	t.owned.mu.Lock()
	s := t.owned.shards[name]
	if s == nil || s.superseded {
		t.owned.mu.Unlock()
		return
	}
	s.superseded = true
	now := t.clock.Now()
	t.expirePermits(now)
	last := s.record.aged(now.Sub(s.recordedAt))
	last.Bounds = make(map[string]int)
	for _, r := range t.view.Load().shards[name] {
		if n := t.owned.permits.open[r.name]; n > 0 {
			last.Bounds[r.name] = n
		}
	}
	held := s.lease.Held()
	t.owned.mu.Unlock()
	if !held {
		return
	}
	s.lease.SetData(last.encode())
	if s.lease.Sync(ctx) == nil {
		// If the release fails, the lease expires.
		_ = s.lease.Release(ctx)
		t.events.Record(timeline.Event{Kind: timeline.LeaseReleased, Detail: name, Epoch: s.lease.Epoch()})
	}
}
