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
	// DefaultFlushCount is the number of pending bills that triggers a flush.
	DefaultFlushCount = 500
	// DefaultCopyTimeout bounds the wait for a peer to acknowledge the copy. It
	// delays the last byte of the client's response.
	DefaultCopyTimeout = 50 * time.Millisecond
	// DefaultLimitBytes bounds the memory of bills and copies. A one-hour object
	// store outage accumulates 4.6 MB of each at the design size.
	DefaultLimitBytes = 24 << 20
)

const (
	// maxBatchBytes bounds one batch, below the object store's size limit.
	maxBatchBytes = 512 << 10
	// capacityNumerator and capacityDenominator give the fraction of the memory
	// limit at which new requests are rejected. The rest is reserved for the bills
	// of running requests.
	capacityNumerator, capacityDenominator = 9, 10
	// peerTimeout bounds requests to peers that no client waits for.
	peerTimeout = time.Second
	// flushRetryInterval is the minimum time to the next flush after a failed one.
	flushRetryInterval = 2 * time.Second
	// minFlushInterval is the minimum time between flushes triggered by failed
	// copies. Without a second node every bill triggers one, and the flushes would
	// exhaust the node's share of object store writes.
	minFlushInterval = time.Second
	// missingTimeout is the time for which a peer may be absent from the member
	// list before its bills are replayed. A starting node has an incomplete member
	// list.
	missingTimeout = 30 * time.Second
	// maxMessageBills is the maximum number of bills in one message.
	maxMessageBills = 200
	// drainLimit bounds Drain, because other services drain after this one.
	drainLimit = 20 * time.Second
	// maxHandOverPeers is the maximum number of peers to which a stopping node
	// tries to hand over its bills.
	maxHandOverPeers = 3
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

// Options configures a Service; zero fields select the defaults above.
type Options struct {
	// Node and Boot are part of the batch keys and together identify one process
	// instance.
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
	// Rand is the source of the jitter, used by the flush loop only.
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
	// sealed is the batch whose write is not yet confirmed. Its key and bytes do
	// not change across retries.
	sealed      *sealedBatch
	batchSeq    uint64
	nextFlushAt time.Time
	failing     bool

	mu sync.Mutex
	// holders maps the peers that may have copies to the last sequence number
	// sent.
	holders map[peer.NodeID]uint64
	// missingSince maps the peers whose bills are copied on this node to the time
	// since which they are absent from the member list.
	missingSince map[peer.NodeID]time.Time
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
		opts:         o,
		queue:        newQueue(o.LimitBytes),
		flushNow:     make(chan struct{}, 1),
		holders:      make(map[peer.NodeID]uint64),
		missingSince: make(map[peer.NodeID]time.Time),
	}
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision looks up the store, the event recorder and, if registered, the
// messenger and the member list.
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
	s.registerHandlers()
	return f.Err()
}

// Run starts the flush loop.
func (s *Service) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	t.Go(func() error { return s.flushLoop(ctx) })
	return nil
}

// HasCapacity implements Recorder.
func (s *Service) HasCapacity() bool {
	return s.queue.size() < s.opts.LimitBytes/capacityDenominator*capacityNumerator
}

// Record implements Recorder. The caller records the timeline event, because the
// request's details are available there.
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
		s.requestFlush()
	}
	return nil
}

// requestFlush wakes the flush loop for an immediate flush.
func (s *Service) requestFlush() {
	select {
	case s.flushNow <- struct{}{}:
	default:
	}
}

func (s *Service) recordEvent(e timeline.Event) {
	if s.opts.Recorder != nil {
		s.opts.Recorder.Record(e)
	}
}
