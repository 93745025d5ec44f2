package billing

import (
	"context"
	"log/slog"
	"math/rand"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

// The defaults of Options.
const (
	DefaultFlushInterval = 10 * time.Second
	// DefaultFlushCount is the number of waiting bills that starts a flush.
	DefaultFlushCount = 500
	// DefaultCopyTimeout bounds the wait for the peer that holds the copy. The
	// caller's last byte waits for it.
	DefaultCopyTimeout = 50 * time.Millisecond
	// DefaultLimitBytes bounds own bills and copies: an hour without the
	// platform makes 4.6 MB of each at the design size.
	DefaultLimitBytes = 24 << 20
)

const (
	// maxBatchBytes bounds one batch, below the platform's limit for a value.
	maxBatchBytes = 512 << 10
	// roomNumerator and roomDenominator give the part of the limit at which no
	// new requests are accepted. The rest takes the bills of requests that run.
	roomNumerator, roomDenominator = 9, 10
	// peerTimeout bounds messages that no caller waits for.
	peerTimeout = time.Second
	// retryInterval is the shortest time between flushes after a failed one.
	retryInterval = 2 * time.Second
	// flushGap is the shortest time between flushes that failed copies start.
	// Without a second node every bill starts one, and the flushes would use up
	// the node's share of platform writes.
	flushGap = time.Second
	// absentFor is the time for which a peer may be missing from the member list
	// before its bills are replayed. A node that starts knows few members.
	absentFor = 30 * time.Second
	// messageBills bounds the bills in one message.
	messageBills = 200
	// drainLimit bounds Drain, because other services drain after this one.
	drainLimit = 20 * time.Second
	// handOverPeers is the number of peers that are asked to take bills over.
	handOverPeers = 3
)

var (
	recordedTotal   = metrics.NewCounter("cassiapin_billing_recorded_total")
	refusedTotal    = metrics.NewCounter("cassiapin_billing_refused_total")
	uncopiedTotal   = metrics.NewCounter("cassiapin_billing_uncopied_total")
	flushedTotal    = metrics.NewCounter("cassiapin_billing_flushed_bills_total")
	batchesTotal    = metrics.NewCounter("cassiapin_billing_batches_total")
	flushErrors     = metrics.NewCounter("cassiapin_billing_flush_failures_total")
	replayedTotal   = metrics.NewCounter("cassiapin_billing_replayed_total")
	handedOverTotal = metrics.NewCounter("cassiapin_billing_handed_over_total")
	pendingBytes    = metrics.NewHistogram("cassiapin_billing_pending_bytes")
)

// Options configure a Service; zero fields have the defaults above.
type Options struct {
	// Node and Boot are part of the keys of batches and together identify one
	// run of the process.
	Node          string
	Boot          string
	FlushInterval time.Duration
	FlushCount    int
	CopyTimeout   time.Duration
	LimitBytes    int
	// Store, Messenger, Members, Clock, Recorder and Log are taken from the
	// kernel when nil. Without a Messenger or Members no copies are made.
	Store     objectstore.Store
	Messenger peer.Messenger
	Members   peer.Members
	Clock     clock.Clock
	Recorder  timeline.Recorder
	Log       *slog.Logger
	// Rand is the source of the jitter; only the flush duty uses it.
	Rand *rand.Rand
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// Service is the Recorder of a node.
type Service struct {
	kernel.Base
	opts     Options
	queue    *queue
	flushNow chan struct{}

	flushMu sync.Mutex
	// sealed is the batch whose write is not confirmed; its key and bytes stay
	// the same until it is.
	sealed   *sealed
	batchSeq uint64
	nextTry  time.Time
	away     bool

	mu sync.Mutex
	// holders maps the peers that may hold copies to the last one sent.
	holders map[peer.NodeID]uint64
	// missing notes since when a peer with copies here is not in the member list.
	missing map[peer.NodeID]time.Time
}

var (
	_ Recorder       = (*Service)(nil)
	_ kernel.Drainer = (*Service)(nil)
)

// New returns the billing service.
func New(o Options) *Service {
	o.FlushInterval = orDefault(o.FlushInterval, DefaultFlushInterval)
	o.FlushCount = orDefault(o.FlushCount, DefaultFlushCount)
	o.CopyTimeout = orDefault(o.CopyTimeout, DefaultCopyTimeout)
	o.LimitBytes = orDefault(o.LimitBytes, DefaultLimitBytes)
	o.Boot = orDefault(o.Boot, strconv.FormatInt(time.Now().UnixNano(), 36))
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewSource(time.Now().UnixNano()))
	}
	return &Service{
		opts:     o,
		queue:    newQueue(o.LimitBytes),
		flushNow: make(chan struct{}, 1),
		holders:  make(map[peer.NodeID]uint64),
		missing:  make(map[peer.NodeID]time.Time),
	}
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision looks up the store, the recorder and, when they are registered,
// the services for messages between nodes.
func (s *Service) Provision(k *kernel.Kernel) error {
	f := kernel.Find(k)
	if s.opts.Node == "" {
		return result.New(result.SettingsError, "billing needs the id of the node")
	}
	if s.opts.Clock == nil {
		s.opts.Clock = k.Clock
	}
	if s.opts.Log == nil {
		s.opts.Log = k.Log
	}
	kernel.Require(f, objectstore.ServiceName, &s.opts.Store)
	kernel.Require(f, timeline.ServiceName, &s.opts.Recorder)
	if s.opts.Messenger == nil {
		kernel.Optional(f, peer.TransportServiceName, &s.opts.Messenger)
	}
	if s.opts.Members == nil {
		kernel.Optional(f, peer.MembershipServiceName, &s.opts.Members)
	}
	s.handle()
	return f.Err()
}

// Run starts the flush duty.
func (s *Service) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	t.Go(func() error { return s.flushLoop(ctx) })
	return nil
}

// Room implements Recorder.
func (s *Service) Room() bool {
	return s.queue.size() < s.opts.LimitBytes/roomDenominator*roomNumerator
}

// Record implements Recorder. The caller adds the event to the time line,
// because it knows the request.
func (s *Service) Record(ctx context.Context, b Bill) error {
	raw, err := encode(b)
	if err != nil {
		return err
	}
	seq, waiting, ok := s.queue.add(raw)
	if !ok {
		refusedTotal.Inc()
		return result.New(result.LedgerFull, "no room for the bill %s", b.ID).WithRun(result.Unknown)
	}
	recordedTotal.Inc()
	copied := s.copyTo(ctx, s.opts.CopyTimeout, []entry{{seq: seq, raw: raw}}, "")
	if !copied {
		uncopiedTotal.Inc()
	}
	if !copied || waiting >= s.opts.FlushCount {
		s.wake()
	}
	return nil
}

// wake asks the flush duty to write at once.
func (s *Service) wake() {
	select {
	case s.flushNow <- struct{}{}:
	default:
	}
}

func (s *Service) event(e timeline.Event) {
	if s.opts.Recorder != nil {
		s.opts.Recorder.Record(e)
	}
}
