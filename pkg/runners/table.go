package runners

import (
	"context"
	"log/slog"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"cassiapin/pkg/admission"
	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/lease"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

// Intervals of the table's periodic tasks.
const (
	pollPeriod       = 500 * time.Millisecond
	directPollPeriod = 2 * time.Second
	directPollTick   = 200 * time.Millisecond
	leaseTick        = 200 * time.Millisecond
	subscribeTick    = time.Second
	pushPeriod       = 2 * time.Second
	subscribePeriod  = 10 * time.Second
	// remoteUseTTL is how long runners of other regions are polled and subscribed
	// to after they were last requested.
	remoteUseTTL = time.Minute
)

// Fetcher fetches the load report of a runner.
type Fetcher func(ctx context.Context, u *config.Upstream) (Report, error)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure the table.
type Options struct {
	// Clock and Log default to the kernel's.
	Clock clock.Clock
	Log   *slog.Logger
	// Rand is the source of jitter; only the lease task uses it.
	Rand *rand.Rand
	// Node, Region and FailureDomain describe this node; empty fields are filled
	// in from the membership service if there is one.
	Node          peer.NodeID
	Region        string
	FailureDomain string
	// Fetch defaults to GET URL/load over connections from Dial, and Dial to the
	// dialer of the net package.
	Fetch Fetcher
	Dial  Dial
}

// Service implements Table and Ownership for a node.
type Service struct {
	kernel.Base
	options   Options
	clock     clock.Clock
	log       *slog.Logger
	source    config.Source
	events    timeline.Recorder
	messenger peer.Messenger
	members   peer.Members
	leases    lease.Manager
	admission concurrencySetter
	// standalone means that this node owns all runners, without leases.
	standalone bool

	view       atomic.Pointer[view]
	remoteUsed atomic.Int64
	permitID   atomic.Uint64
	ejectMu    sync.Mutex
	domainsOut map[string]bool

	changedMu sync.Mutex
	changed   chan struct{}

	rankCache rankCache
	owned     ownedState
}

// NewService returns the runner table of a node.
func NewService(o Options) *Service {
	t := &Service{
		options: o, clock: o.Clock, log: o.Log,
		events:     timeline.Discard{},
		changed:    make(chan struct{}),
		domainsOut: make(map[string]bool),
		rankCache:  newRankCache(),
		owned:      newOwnedState(),
	}
	if t.options.Fetch == nil {
		t.options.Fetch = newHTTPFetcher(t.options.Dial)
	}
	if t.options.Rand == nil {
		t.options.Rand = rand.New(rand.NewSource(1))
	}
	t.view.Store(&view{})
	return t
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision implements kernel.Service.
func (t *Service) Provision(k *kernel.Kernel) error {
	f := kernel.Find(k)
	if t.clock == nil {
		t.clock = k.Clock
	}
	if t.log == nil {
		t.log = k.Log
	}
	kernel.Require(f, config.SourceServiceName, &t.source)
	kernel.Optional(f, timeline.ServiceName, &t.events)
	kernel.Optional(f, peer.MembershipServiceName, &t.members)
	kernel.Optional(f, peer.TransportServiceName, &t.messenger)
	kernel.Optional(f, lease.ServiceName, &t.leases)
	kernel.Optional(f, admission.ServiceName, &t.admission)
	t.register()
	return f.Err()
}

// register completes the node's options and registers the message handlers.
func (t *Service) register() {
	t.standalone = t.leases == nil || t.messenger == nil || t.members == nil
	if t.members != nil {
		self := t.members.Self()
		t.options.Node = orElse(t.options.Node, self.ID)
		t.options.Region = orElse(t.options.Region, self.Region)
		t.options.FailureDomain = orElse(t.options.FailureDomain, self.FailureDomain)
	}
	if t.messenger != nil {
		t.options.Node = orElse(t.options.Node, t.messenger.Self())
		t.registerHandlers()
	}
	t.reload()
}

func orElse[T ~string](v, fallback T) T {
	if v == "" {
		return fallback
	}
	return v
}

// Run implements kernel.Service.
func (t *Service) Run(tm *tomb.Tomb) error {
	ctx := tm.Context(context.Background())
	changes := t.source.Subscribe()
	// No notification is sent for a configuration that took effect before the
	// subscription.
	t.reload()
	tm.Go(func() error {
		for {
			select {
			case <-changes:
				t.reload()
			case <-tm.Dying():
				return nil
			}
		}
	})
	t.runPeriodically(tm, ctx, pollPeriod, t.pollOwned)
	t.runPeriodically(tm, ctx, directPollTick, t.pollDirect)
	if t.admission != nil {
		t.runPeriodically(tm, ctx, pollPeriod, t.setConcurrency)
	}
	if !t.standalone {
		t.runPeriodically(tm, ctx, leaseTick, t.reconcileLeases)
		t.runPeriodically(tm, ctx, subscribeTick, t.subscribe)
	}
	return nil
}

// runPeriodically runs a task in its own goroutine, with a pause of period
// between runs.
func (t *Service) runPeriodically(tm *tomb.Tomb, ctx context.Context, period time.Duration, task func(context.Context)) {
	tm.Go(func() error {
		for {
			task(ctx)
			if t.clock.Sleep(ctx, period) != nil {
				return nil
			}
		}
	})
}

// Cleanup implements kernel.Service: it releases the shard leases.
func (t *Service) Cleanup() error {
	if t.standalone {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	t.releaseAll(ctx)
	return nil
}

// reload indexes the current configuration and marks. The load weight of a
// runner ramps up when its failure domain returns to service.
func (t *Service) reload() {
	s := t.source.Current()
	if s == nil {
		return
	}
	v := t.view.Load()
	if v.number != s.Number || v.runners == nil {
		v = buildView(v, s, string(t.options.Node), t.options.Region)
		t.view.Store(v)
	}
	t.rampRestoredDomains(v)
	t.notifyChanged()
}

// rampRestoredDomains starts the ramp of runners whose failure domain has
// returned to service. It must not be called concurrently.
func (t *Service) rampRestoredDomains(v *view) {
	marks, now := t.source.Marks(), t.clock.Now()
	for _, r := range v.ordered {
		out := marks[r.domainKey].State == config.MarkOut
		if t.domainsOut[r.name] && !out {
			r.mu.Lock()
			r.rampStartedAt = now
			r.mu.Unlock()
		}
		t.domainsOut[r.name] = out
	}
}

// Candidates implements Table.
func (t *Service) Candidates(dst []Candidate, ref config.VersionRef, otherRegions bool) []Candidate {
	subset := t.view.Load().subsets[ref]
	if subset == nil {
		return dst
	}
	now, marks := t.clock.Now(), t.source.Marks()
	dst = appendCandidates(dst, subset.local, ref, marks, now)
	if otherRegions {
		t.remoteUsed.Store(now.UnixNano())
		dst = appendCandidates(dst, subset.remote, ref, marks, now)
	}
	return dst
}

func appendCandidates(dst []Candidate, from []*runner, ref config.VersionRef, marks config.Marks, now time.Time) []Candidate {
	for _, r := range from {
		if marks[r.domainKey].State == config.MarkOut {
			continue
		}
		if c, ok := r.candidate(ref, now); ok {
			dst = append(dst, c)
		}
	}
	return dst
}

// UpstreamLeaving implements Table.
func (t *Service) UpstreamLeaving(name string) bool {
	r := t.view.Load().runners[name]
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hostLeaving || r.report.State == Leaving || !r.belief.LeavingSince().IsZero()
}

// SetHostLeaving sets the upstreams that the platform's host list marks as
// leaving. For runners that it owns, the node notifies the subscribers of changes.
func (t *Service) SetHostLeaving(leaving map[string]bool) {
	for _, r := range t.view.Load().ordered {
		r.mu.Lock()
		changed := r.hostLeaving != leaving[r.name]
		r.hostLeaving = leaving[r.name]
		r.mu.Unlock()
		if !changed {
			continue
		}
		t.recordTransition(r)
		if epoch, own := t.owns(r); own {
			t.publish(r, epoch, true)
		}
	}
}

// concurrencySetter is the part of admission whose concurrency follows the
// capacity of the runners.
type concurrencySetter interface{ SetConcurrency(n int) }

// setConcurrency sets the node's concurrency to the number of requests that it
// may have open at its runners. If that is 0, it leaves the limit unchanged; the
// initial limit is the declared one.
func (t *Service) setConcurrency(context.Context) {
	now, total := t.clock.Now(), 0
	for _, r := range t.view.Load().used(t.usesRemote(now)) {
		total += r.maxOpen(now)
	}
	if total > 0 {
		t.admission.SetConcurrency(total)
	}
}

// Status implements Table.
func (t *Service) Status() []RunnerStatus {
	now := t.clock.Now()
	var rows []RunnerStatus
	for _, r := range t.view.Load().ordered {
		r.mu.Lock()
		row := RunnerStatus{
			Report:      r.report,
			Owner:       string(r.owner),
			Outstanding: r.outstanding,
			Limit:       r.limit.value(),
			Ejected:     r.ejection.ejected,
		}
		row.Report.Upstream, row.Report.State = r.name, r.state(now)
		if !r.receivedAt.IsZero() {
			row.Age = now.Sub(r.receivedAt)
		}
		r.mu.Unlock()
		rows = append(rows, row)
	}
	return rows
}

// Changed implements Table.
func (t *Service) Changed() <-chan struct{} {
	t.changedMu.Lock()
	defer t.changedMu.Unlock()
	return t.changed
}

func (t *Service) notifyChanged() {
	t.changedMu.Lock()
	defer t.changedMu.Unlock()
	close(t.changed)
	t.changed = make(chan struct{})
}

// usesRemote reports whether candidates of other regions were requested within
// remoteUseTTL.
func (t *Service) usesRemote(now time.Time) bool {
	return now.Sub(time.Unix(0, t.remoteUsed.Load())) < remoteUseTTL
}

// recordTransition records a change of a runner's state and wakes waiters.
func (t *Service) recordTransition(r *runner) {
	r.mu.Lock()
	before, after := r.transition(t.clock.Now())
	domain := r.decl.FailureDomain
	r.mu.Unlock()
	if before == after {
		return
	}
	t.events.Record(timeline.Event{
		Kind: timeline.RunnerState, Upstream: r.name, Domain: domain,
		Detail: string(before) + " to " + string(after),
	})
	t.notifyChanged()
}

// noRunnerError returns the error for an upstream that accepts no requests.
func noRunnerError(name string) error {
	return result.New(result.NoRunner, "runner %s takes no requests", name)
}

var (
	_ Table     = (*Service)(nil)
	_ Ownership = (*Service)(nil)
)
