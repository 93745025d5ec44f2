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

// The periods of the table's duties.
const (
	pollPeriod       = 500 * time.Millisecond
	directPollPeriod = 2 * time.Second
	directPollTick   = 200 * time.Millisecond
	leaseTick        = 200 * time.Millisecond
	subscribeTick    = time.Second
	pushPeriod       = 2 * time.Second
	subscribePeriod  = 10 * time.Second
	// remoteUseTTL is how long a use of the other region keeps its reports.
	remoteUseTTL = time.Minute
)

// Fetcher asks a runner for its load.
type Fetcher func(ctx context.Context, u *config.Upstream) (Report, error)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure the table.
type Options struct {
	// Clock and Log default to the kernel's.
	Clock clock.Clock
	Log   *slog.Logger
	// Rand is the source of jitter; it is used by the lease duty only.
	Rand *rand.Rand
	// Node, Region and FailureDomain describe this node; with a membership
	// service its own entry replaces empty fields.
	Node          peer.NodeID
	Region        string
	FailureDomain string
	// Fetch defaults to GET URL/load, Dial to the operating system's.
	Fetch Fetcher
	Dial  Dial
}

// Service is the Table of a node.
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
	// standalone says that this node owns all runners without leases.
	standalone bool

	view       atomic.Pointer[view]
	remoteUsed atomic.Int64
	permitID   atomic.Uint64
	ejectMu    sync.Mutex
	domainsOut map[string]bool

	changedMu sync.Mutex
	changed   chan struct{}

	rankCache rankCache
	own       ownership
}

// NewService returns the runner table of a node.
func NewService(o Options) *Service {
	t := &Service{
		options: o, clock: o.Clock, log: o.Log,
		events:     timeline.Discard{},
		changed:    make(chan struct{}),
		domainsOut: make(map[string]bool),
		rankCache:  newRankCache(),
		own:        newOwnership(),
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
	kernel.Need(f, config.SourceServiceName, &t.source)
	kernel.Want(f, timeline.ServiceName, &t.events)
	kernel.Want(f, peer.MembershipServiceName, &t.members)
	kernel.Want(f, peer.TransportServiceName, &t.messenger)
	kernel.Want(f, lease.ServiceName, &t.leases)
	kernel.Want(f, admission.ServiceName, &t.admission)
	t.register()
	return f.Err()
}

// register completes the node's description and registers the handlers.
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
	// A configuration that came into force before the subscription is not
	// announced again.
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

// runPeriodically runs one duty in its own goroutine.
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

// reload indexes the configuration and marks in force. A runner whose failure
// domain is taken in again returns with a ramp.
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

// rampRestoredDomains is called by one goroutine at a time.
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
	set := t.view.Load().sets[ref]
	if set == nil {
		return dst
	}
	now, marks := t.clock.Now(), t.source.Marks()
	dst = appendCandidates(dst, set.local, ref, marks, now)
	if otherRegions {
		t.remoteUsed.Store(now.UnixNano())
		dst = appendCandidates(dst, set.remote, ref, marks, now)
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
	return r.hostLeaving || r.report.State == Leaving
}

// SetHostLeaving takes the upstreams that the platform's host list names as
// leaving. As owner the node tells the subscribers.
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

// concurrencySetter is the part of admission that follows the capacity.
type concurrencySetter interface{ SetConcurrency(n int) }

// setConcurrency sets the node's concurrency to what its runners take from it.
// Until a runner is known, the declared limit stays in force.
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

// usesRemote reports whether the other region's runners were asked for lately.
func (t *Service) usesRemote(now time.Time) bool {
	return now.Sub(time.Unix(0, t.remoteUsed.Load())) < remoteUseTTL
}

// recordTransition records a change of a runner's state.
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

// noRunnerError is the refusal for an upstream that takes no request.
func noRunnerError(name string) error {
	return result.New(result.NoRunner, "runner %s takes no requests", name)
}

var (
	_ Table     = (*Service)(nil)
	_ Ownership = (*Service)(nil)
)
