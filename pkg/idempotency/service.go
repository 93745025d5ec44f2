package idempotency

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	mathrand "math/rand"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/lease"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

// The defaults of Options.
const (
	// DefaultRetention is the time for which a response is replayed.
	DefaultRetention = 24 * time.Hour
	// DefaultOverdueAfter is the age at which a started record is reconciled. It
	// must exceed the longest request deadline.
	DefaultOverdueAfter = 5 * time.Minute
	// DefaultResolveGrace is the time for which queries to an upstream are
	// retried before the outcome is recorded as unknown.
	DefaultResolveGrace = 10 * time.Minute
	// DefaultSweepInterval is the mean time between sweep steps, each of which
	// reads one page of slots.
	DefaultSweepInterval = 2 * time.Second
	// DefaultRetryInterval is the mean time between retries of failed writes.
	DefaultRetryInterval = 2 * time.Second
)

const (
	// beginTries bounds the read-modify-write attempts in Begin, which conflict
	// when other records of the slot change.
	beginTries = 4
	// inProgressRetryAfter is the Retry-After for a request that is still running.
	inProgressRetryAfter = 2 * time.Second
	// unavailableRetryAfter is the Retry-After while the object store is
	// unavailable.
	unavailableRetryAfter = 5 * time.Second
)

var (
	startedTotal  = metrics.NewCounter(`cassiapin_once_claims_total`)
	replayedTotal = metrics.NewCounter(`cassiapin_once_replayed_answers_total`)
	refusedTotal  = metrics.NewCounter(`cassiapin_once_refusals_total`)
	markedTotal   = metrics.NewCounter(`cassiapin_once_marked_unknown_total`)
	deletedTotal  = metrics.NewCounter(`cassiapin_once_deleted_records_total`)
	droppedTotal  = metrics.NewCounter(`cassiapin_once_dropped_writes_total`)
)

// Resolver queries an upstream for the outcome of an attempt. It returns Done with
// the outcome, Started while the attempt is running, or Unknown. NotRun is
// recorded as unknown: the node that owns the attempt may be paused and send it
// later, so a retry must not run.
type Resolver func(ctx context.Context, target, attemptID string) (*Outcome, State, error)

// Options configures a Service; zero durations select the defaults above.
type Options struct {
	// Node identifies this process instance in records.
	Node          string
	Retention     time.Duration
	OverdueAfter  time.Duration
	ResolveGrace  time.Duration
	SweepInterval time.Duration
	// RetryInterval is the mean time between retries of failed writes.
	RetryInterval time.Duration
	// Resolver may be nil; overdue records are then marked unknown.
	Resolver Resolver
	// Store, Leases, Clock, Recorder and Log are taken from the kernel when nil.
	Store    objectstore.Store
	Leases   lease.Manager
	Clock    clock.Clock
	Recorder timeline.Recorder
	Log      *slog.Logger
	// Rand is the source of the jitter.
	Rand *mathrand.Rand
}

func orDefault(v, def time.Duration) time.Duration {
	if v == 0 {
		return def
	}
	return v
}

// Service is the Ledger of a node.
type Service struct {
	kernel.Base
	opts       Options
	retryQueue retryQueue
	// slotDigits is the constant slotDigits except in tests, which use few slots.
	slotDigits int
	// sweepAfter is the key after which the next sweep step begins. It is used by
	// the reconciler goroutine only.
	sweepAfter string

	randMu sync.Mutex
}

var (
	_ Ledger         = (*Service)(nil)
	_ kernel.Drainer = (*Service)(nil)
)

// New returns the ledger service.
func New(o Options) *Service {
	o.Retention = orDefault(o.Retention, DefaultRetention)
	o.OverdueAfter = orDefault(o.OverdueAfter, DefaultOverdueAfter)
	o.ResolveGrace = orDefault(o.ResolveGrace, DefaultResolveGrace)
	o.SweepInterval = orDefault(o.SweepInterval, DefaultSweepInterval)
	o.RetryInterval = orDefault(o.RetryInterval, DefaultRetryInterval)
	if o.Rand == nil {
		o.Rand = mathrand.New(mathrand.NewSource(time.Now().UnixNano()))
	}
	// A random start lets every slot be swept even if the lease moves often.
	return &Service{opts: o, slotDigits: slotDigits, sweepAfter: randomSlotKey(o.Rand)}
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision looks up the store, the leases and the recorder.
func (s *Service) Provision(k *kernel.Kernel) error {
	f := kernel.Find(k)
	if s.opts.Clock == nil {
		s.opts.Clock = k.Clock
	}
	if s.opts.Log == nil {
		s.opts.Log = k.Log
	}
	kernel.Require(f, objectstore.ServiceName, &s.opts.Store)
	kernel.Require(f, lease.ServiceName, &s.opts.Leases)
	kernel.Require(f, timeline.ServiceName, &s.opts.Recorder)
	return f.Err()
}

// Run starts the retries of failed writes and the reconciler.
func (s *Service) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	t.Go(func() error { return s.retryLoop(ctx) })
	t.Go(func() error { return s.reconcileLoop(ctx) })
	return nil
}

// Begin implements Ledger.
func (s *Service) Begin(ctx context.Context, r Request) (Claim, *Outcome, error) {
	c := s.newClaim(r)
	for range beginTries {
		done, outcome, err := s.tryBegin(ctx, c)
		switch {
		case err != nil:
			refusedTotal.Inc()
			return nil, nil, err
		case outcome != nil:
			replayedTotal.Inc()
			return nil, outcome, nil
		case done:
			startedTotal.Inc()
			s.recordEvent(timeline.IdempotencyStarted, c.rec)
			return c, nil, nil
		}
	}
	s.abandon(c)
	refusedTotal.Inc()
	return nil, nil, inProgress()
}

func (s *Service) newClaim(r Request) *claim {
	return &claim{
		svc: s,
		id:  recordID(r.Organisation, r.Key),
		rec: record{
			BodyHash: hashBody(r.Body), Attempt: newAttempt(), Request: r.RequestID,
			Node: s.opts.Node, Target: r.Target, State: Started,
			ChangedMS: s.opts.Clock.Now().UnixMilli(),
		},
	}
}

// tryBegin makes one read-modify-write attempt. If the slot changed in between,
// claimed is false and both o and err are nil.
func (s *Service) tryBegin(ctx context.Context, c *claim) (claimed bool, o *Outcome, err error) {
	sl, err := s.load(ctx, s.slotKey(c.id))
	if err != nil {
		return false, nil, s.refuse(c, err)
	}
	now := s.opts.Clock.Now()
	rec, exists := sl.records[c.id]
	if exists && rec.Attempt == c.rec.Attempt && rec.State == Started {
		// A previous write of this claim took effect although it was reported as
		// failed.
		c.slot = sl
		return true, nil, nil
	}
	if exists && !rec.expired(now, s.opts.Retention) {
		if rec.BodyHash == c.rec.BodyHash {
			rec = s.resolveUnknown(ctx, sl, c.id, rec)
		}
		if o, err := checkExisting(rec, c.rec.BodyHash); o != nil || err != nil {
			return false, o, err
		}
	}
	// The record is new, expired or not run. The conditional write on the slot's
	// version lets only one of several concurrent retries succeed.
	written, err := s.put(ctx, sl, c.id, c.rec)
	if result.CodeOf(err) == result.ObjectConflict {
		c.maybeWritten = c.maybeWritten || result.From(err).Run == result.Unknown
		return false, nil, nil
	}
	if err != nil {
		c.maybeWritten = c.maybeWritten || result.From(err).Run == result.Unknown
		return false, nil, s.refuse(c, err)
	}
	c.slot = written
	return true, nil, nil
}

// resolveTimeout bounds the query to the upstream while a client waits.
const resolveTimeout = time.Second

// resolveUnknown queries the upstream for an unknown or overdue outcome when a
// client retries, so that the client need not wait for the sweep. It returns the
// resulting record.
func (s *Service) resolveUnknown(ctx context.Context, sl slot, id string, rec record) record {
	now := s.opts.Clock.Now()
	age := rec.age(now)
	overdue := rec.State == Started && age > s.opts.OverdueAfter
	if !overdue && (rec.State != Unknown || s.opts.Resolver == nil) {
		return rec
	}
	resolveCtx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	outcome, state := s.resolve(resolveCtx, rec, age)
	if state == Started || state == rec.State || state == Done && outcome == nil && rec.State == Unknown {
		return rec
	}
	rec = rec.with(state, outcome, now)
	s.writeResolution(ctx, sl, id, rec)
	return rec
}

// refuse returns the error for a request that is not sent because the object store
// failed.
func (s *Service) refuse(c *claim, err error) error {
	s.abandon(c)
	return result.Wrap(err, result.PlatformUnavailable, result.NotRun,
		"the request was not sent because its record could not be written").WithRetryAfter(unavailableRetryAfter)
}

// abandon queues a background write that sets a possibly written record to
// not_run, so that a retry can run.
func (s *Service) abandon(c *claim) {
	if !c.maybeWritten {
		return
	}
	now := s.opts.Clock.Now()
	s.retryQueue.add(pendingWrite{id: c.id, rec: c.rec.with(NotRun, nil, now), missingUntil: now.Add(lateWriteWindow)})
}

// checkExisting evaluates an existing record. It returns the outcome to replay, an
// error, or neither if a retry may take over the record.
func checkExisting(r record, bodyHash string) (*Outcome, error) {
	if r.BodyHash != bodyHash {
		return nil, result.New(result.IdempotencyKeyReused, "the Idempotency-Key was used with another body")
	}
	switch {
	case r.State == NotRun:
		return nil, nil
	case r.State == Done && !r.BodyDropped && r.Outcome != nil:
		return r.Outcome, nil
	case r.State == Done:
		return nil, result.New(result.OutcomeUnknown,
			"the request ran; its answer was not kept").WithRun(result.Ran)
	case r.State == Started:
		return nil, inProgress()
	}
	return nil, result.New(result.OutcomeUnknown,
		"the request was sent and its outcome could not be learned").WithRun(result.Unknown)
}

func inProgress() error {
	return result.New(result.InProgress, "a request with the same Idempotency-Key is in progress").
		WithRun(result.Unknown).WithRetryAfter(inProgressRetryAfter)
}

// attemptBytes is the length of an attempt id before hex encoding.
const attemptBytes = 16

func newAttempt() string {
	var raw [attemptBytes]byte
	rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

func (s *Service) jitter(d time.Duration) time.Duration {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return d/2 + time.Duration(s.opts.Rand.Int63n(int64(d)+1))
}

func (s *Service) recordEvent(kind timeline.Kind, r record) {
	if s.opts.Recorder != nil {
		s.opts.Recorder.Record(timeline.Event{
			Kind: kind, Request: r.Request, AttemptID: r.Attempt, Upstream: r.Target, Detail: r.Node,
		})
	}
}
