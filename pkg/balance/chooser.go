package balance

import (
	"fmt"
	"math"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
	"cassiapin/pkg/runners"
	"cassiapin/pkg/timeline"
)

const (
	// scratchBuffers is the number of concurrent choices that need no buffer
	// allocation; it is far above the number of cores of a host.
	scratchBuffers = 64
	// scratchCandidates is the initial size of a buffer: the number of runners of
	// a deployment at the design size.
	scratchCandidates = 600
	// sampleThreshold is the number of candidates from which sampling is cheaper
	// than filtering all of them.
	sampleThreshold = 64
	// sampleAttempts is the maximum number of samples; if too few of them are
	// usable, all candidates are filtered.
	sampleAttempts = 12
	// probeInterval is the minimum time between half-open probes of a runner, so
	// that concurrent requests do not all become probes.
	probeInterval = time.Second
)

const (
	// batchReserve is the reserve from which a request counts as batch work.
	// batchBorrowLoad is the load, as a share of the capacity open to batch work,
	// up to which a node exceeds its own share. Reports lag by up to 2 s: with 1,
	// all nodes borrow the same free capacity, and the median wait of urgent
	// lookup requests for a slot is 300 ms.
	batchReserve    = 0.2
	batchBorrowLoad = 0.5
)

// Options are the settings of a Service.
type Options struct {
	// Clock is the time source; nil means the kernel's clock.
	Clock clock.Clock
	// Rand seeds the sampling; nil means seed 1.
	Rand *rand.Rand
	// Strategy is the balancing strategy; empty means StrategyPolicy.
	Strategy Strategy
	// Region and FailureDomain are the node's own.
	Region        string
	FailureDomain string
	// PrefixEntries bounds the prefix table; 0 means DefaultPrefixEntries.
	PrefixEntries int
}

// Service implements Chooser over the runner table.
type Service struct {
	kernel.Base
	options    Options
	clock      clock.Clock
	table      runners.Table
	pick       picker
	prefix     *prefixTable
	links      *linkBudgets
	members    peer.Members
	random     atomic.Uint64
	roundRobin atomic.Uint64
	buffers    chan *scratch

	mu        sync.Mutex
	lastProbe map[string]time.Time

	choices, remote, probes *metrics.Counter
}

var _ Chooser = (*Service)(nil)

// scratch is the working memory of one choice.
type scratch struct {
	candidates []runners.Candidate
	// usable lists the indexes of the usable candidates.
	usable []int32
	// avoided is the index of the candidate to avoid, -1 for none.
	avoided int32
	// full and coldFull count the candidates at their limit, warm and not warm.
	full, coldFull int
}

// New returns a balancer. It fails for an unknown strategy.
func New(o Options) (*Service, error) {
	if o.Strategy == "" {
		o.Strategy = StrategyPolicy
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewSource(1))
	}
	pick, ok := pickers[o.Strategy]
	if !ok {
		return nil, result.New(result.SettingsError, "unknown balance strategy %q", o.Strategy)
	}
	s := &Service{
		options: o, clock: o.Clock, pick: pick,
		prefix:    newPrefixTable(o.PrefixEntries),
		buffers:   make(chan *scratch, scratchBuffers),
		lastProbe: make(map[string]time.Time),
		choices:   metrics.GetOrCreateCounter(fmt.Sprintf("cassiapin_balance_choices_total{strategy=%q}", o.Strategy)),
		remote:    metrics.GetOrCreateCounter("cassiapin_balance_other_region_choices_total"),
		probes:    metrics.GetOrCreateCounter("cassiapin_balance_probes_total"),
	}
	s.random.Store(o.Rand.Uint64())
	return s, nil
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision implements kernel.Service. Membership and the timeline are optional;
// without membership this node uses the whole link budget.
func (s *Service) Provision(k *kernel.Kernel) error {
	if s.clock == nil {
		s.clock = k.Clock
	}
	source, err := kernel.Lookup[config.Source](k, config.SourceServiceName)
	if err != nil {
		return err
	}
	if s.table, err = kernel.Lookup[runners.Table](k, runners.ServiceName); err != nil {
		return err
	}
	members, err := kernel.Lookup[peer.Members](k, peer.MembershipServiceName)
	if err != nil {
		members = nil
	}
	recorder, err := kernel.Lookup[timeline.Recorder](k, timeline.ServiceName)
	if err != nil {
		recorder = timeline.Discard{}
	}
	s.members = members
	s.links = newLinkBudgets(s.options.Region, s.clock, source, members, recorder)
	return nil
}

// regionNodes returns the number of live nodes in this node's region.
func (s *Service) regionNodes() int {
	if s.members == nil {
		return 1
	}
	nodes := 0
	for _, m := range s.members.Live() {
		if m.Region == s.options.Region {
			nodes++
		}
	}
	return nodes
}

// RecordSent implements Chooser.
func (s *Service) RecordSent(prefix uint64, upstream string) { s.prefix.add(prefix, upstream) }

// ApplyCacheEvent applies a cache event of a runner: the prefix was added to or
// evicted from its cache. Events are hints; they may be late or lost.
func (s *Service) ApplyCacheEvent(upstream string, prefix uint64, added bool) {
	if added {
		s.prefix.add(prefix, upstream)
		return
	}
	s.prefix.remove(prefix, upstream)
}

// Choose implements Chooser. It does not allocate unless it fails.
func (s *Service) Choose(r Request) (runners.Candidate, error) {
	b := s.getBuffer()
	defer s.putBuffer(b)
	s.choices.Inc()
	if r.Reserve > 0 {
		r.nodes = s.regionNodes()
	}
	b.candidates = s.table.Candidates(b.candidates[:0], r.Version, false)
	if i := halfOpen(b, r); i >= 0 && s.claimProbe(b.candidates[i].Upstream.Name) {
		s.probes.Inc()
		return b.candidates[i], nil
	}
	if i := s.choose(b, r); i >= 0 {
		local := b.candidates[i]
		if s.options.Strategy != StrategyPolicy || !saturated(&local) || !allSaturated(b, r) {
			return local, nil
		}
		return s.overflow(b, r, local), nil
	}
	return s.chooseNonLocal(b, r)
}

// choose returns the index of the chosen candidate, or -1 if none is usable.
// With many candidates StrategyPolicy samples before filtering, because scanning
// all of them takes a third of the time of a choice at 600 runners.
func (s *Service) choose(b *scratch, r Request) int32 {
	if s.options.Strategy == StrategyPolicy && len(b.candidates) >= sampleThreshold {
		if i := s.pickSampled(b, r); i >= 0 {
			return i
		}
	}
	filter(b, r)
	if len(b.usable) == 0 {
		return -1
	}
	return s.pick(s, b, r)
}

// overflow returns the better of the local choice and one in another region. It
// is used when all local runners are saturated.
func (s *Service) overflow(b *scratch, r Request, local runners.Candidate) runners.Candidate {
	// The scores are compared without affinity, which has already been taken into
	// account in the local choice.
	localScore := s.score(&local)
	other, ok, _ := s.pickOtherRegion(b, r)
	if !ok || s.score(&other) >= localScore {
		return local
	}
	s.chargeLink(&other, r)
	return other
}

// chooseNonLocal chooses when no local runner is usable: a runner in another
// region, or else the one that the request should avoid.
func (s *Service) chooseNonLocal(b *scratch, r Request) (runners.Candidate, error) {
	full, coldFull := b.full, b.coldFull
	var avoided runners.Candidate
	hasAvoided := b.avoided >= 0
	if hasAvoided {
		avoided = b.candidates[b.avoided]
	}
	other, ok, exhausted := s.pickOtherRegion(b, r)
	if ok {
		s.chargeLink(&other, r)
		return other, nil
	}
	switch {
	case hasAvoided:
		return avoided, nil
	case full > 0 || b.full > 0:
		return runners.Candidate{}, result.New(result.TooManyRequests, "every runner of %s is at its limit", r.Version)
	case coldFull > 0 || b.coldFull > 0:
		return runners.Candidate{}, result.New(result.ColdStartLimited, "every runner of %s is in cold start at its limit", r.Version)
	case exhausted:
		return runners.Candidate{}, result.New(result.LinkBudgetExhausted, "the link budget is used up").WithRetryAfter(time.Second)
	}
	return runners.Candidate{}, result.New(result.NoRunner, "no runner of %s is usable", r.Version)
}

// pickOtherRegion picks a runner of another region whose link has budget left.
// If no runner is usable, exhausted reports whether some were skipped because
// their link has no budget left.
func (s *Service) pickOtherRegion(b *scratch, r Request) (c runners.Candidate, ok, exhausted bool) {
	b.candidates = s.table.Candidates(b.candidates[:0], r.Version, true)
	kept := b.candidates[:0]
	for i := range b.candidates {
		region := b.candidates[i].Upstream.Region
		if region == s.options.Region {
			continue
		}
		if !s.links.available(region) {
			exhausted = true
			continue
		}
		kept = append(kept, b.candidates[i])
	}
	b.candidates = kept
	filter(b, r)
	if len(b.usable) == 0 {
		return c, false, exhausted
	}
	return b.candidates[s.pick(s, b, r)], true, false
}

func (s *Service) chargeLink(c *runners.Candidate, r Request) {
	s.remote.Inc()
	s.links.charge(c.Upstream.Region, r.Bytes)
}

// eligibility tells whether a candidate is usable, or why not.
type eligibility int

const (
	usable eligibility = iota
	unusable
	atLimit
	atColdLimit
	toAvoid
)

func classify(c *runners.Candidate, r *Request) eligibility {
	switch {
	case c.HalfOpen || c.State == runners.Leaving:
		return unusable
	case c.State != runners.Warm && c.Outstanding >= coldCapacity(c):
		return atColdLimit
	case c.State == runners.Warm && c.Limit > 0 && c.Outstanding >= c.Limit:
		return atLimit
	case c.State == runners.Warm && reserved(c, r):
		return atLimit
	case r.Avoid != "" && c.Upstream.Name == r.Avoid:
		return toAvoid
	}
	return usable
}

// reserved reports whether the request would use capacity reserved for more
// urgent ones, at the runner or within this node's limit for it. Each node may
// always use its own share of the unreserved capacity: reports lag, and if the
// decision depended on them alone, all nodes would fill a runner at the same time
// whenever its report shows free capacity.
func reserved(c *runners.Candidate, r *Request) bool {
	if r.Reserve <= 0 {
		return false
	}
	if c.Limit > 1 && float64(c.Outstanding) >= max(1, math.Floor((1-r.Reserve)*float64(c.Limit))) {
		return true
	}
	nodes := float64(max(1, r.nodes))
	unreserved := (1 - r.Reserve) * capacity(c)
	share := max(1, math.Floor(unreserved/nodes))
	// The report includes some of this node's own requests, so the other nodes'
	// part of it is estimated as proportional to their number. The plain sum
	// counts own requests twice and keeps requests with a small reserve (class
	// suggestion) out of runners with free capacity.
	reported, open := float64(c.Reported), float64(c.Outstanding)
	total := max(reported, reported*(nodes-1)/nodes+open)
	if r.Reserve >= batchReserve {
		unreserved *= batchBorrowLoad
	}
	return open >= share && total >= unreserved
}

// filter classifies the candidates of b and sets its other fields.
func filter(b *scratch, r Request) {
	b.usable, b.avoided, b.full, b.coldFull = b.usable[:0], -1, 0, 0
	for i := range b.candidates {
		switch classify(&b.candidates[i], &r) {
		case usable:
			b.usable = append(b.usable, int32(i))
		case atLimit:
			b.full++
		case atColdLimit:
			b.coldFull++
		case toAvoid:
			b.avoided = int32(i)
		}
	}
}

// halfOpen returns the index of an ejected runner that may receive a probe, or
// -1 if there is none.
func halfOpen(b *scratch, r Request) int32 {
	for i := range b.candidates {
		c := &b.candidates[i]
		if c.HalfOpen && c.Outstanding == 0 && c.Upstream.Name != r.Avoid {
			return int32(i)
		}
	}
	return -1
}

// claimProbe reports whether the half-open runner may receive a probe now, and if
// so records the probe.
func (s *Service) claimProbe(upstream string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if last, ok := s.lastProbe[upstream]; ok && now.Sub(last) < probeInterval {
		return false
	}
	for name, last := range s.lastProbe {
		if now.Sub(last) >= probeInterval {
			delete(s.lastProbe, name)
		}
	}
	s.lastProbe[upstream] = now
	return true
}

// getBuffer returns a free buffer. The free list is a channel and not a
// sync.Pool, because garbage collections empty a pool.
func (s *Service) getBuffer() *scratch {
	select {
	case b := <-s.buffers:
		return b
	default:
		return &scratch{
			candidates: make([]runners.Candidate, 0, scratchCandidates),
			usable:     make([]int32, 0, scratchCandidates),
		}
	}
}

func (s *Service) putBuffer(b *scratch) {
	select {
	case s.buffers <- b:
	default:
	}
}
