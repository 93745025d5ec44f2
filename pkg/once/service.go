package once

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
	// DefaultRetention is the time for which an answer is given again.
	DefaultRetention = 24 * time.Hour
	// DefaultOverAge must exceed the longest deadline of a request.
	DefaultOverAge = 5 * time.Minute
	// DefaultResolveGrace is the time for which an upstream that cannot be
	// asked is asked again before the outcome counts as unknown.
	DefaultResolveGrace = 10 * time.Minute
	// DefaultSweepInterval is the mean time between two steps of the sweep; one
	// step reads one page of slots.
	DefaultSweepInterval = 2 * time.Second
	// DefaultRepeatInterval is the mean time between repetitions of failed
	// writes.
	DefaultRepeatInterval = 2 * time.Second
)

const (
	// beginTries bounds the rounds of read and write in Begin; other records of
	// the slot may change in between.
	beginTries = 4
	// inProgressRetry is the advice to callers whose request is still running.
	inProgressRetry = 2 * time.Second
	// awayRetry is the advice to callers while the platform is away.
	awayRetry = 5 * time.Second
)

var (
	startedTotal  = metrics.NewCounter(`cassiapin_once_claims_total`)
	replayedTotal = metrics.NewCounter(`cassiapin_once_replayed_answers_total`)
	refusedTotal  = metrics.NewCounter(`cassiapin_once_refusals_total`)
	markedTotal   = metrics.NewCounter(`cassiapin_once_marked_unknown_total`)
	deletedTotal  = metrics.NewCounter(`cassiapin_once_deleted_records_total`)
	droppedTotal  = metrics.NewCounter(`cassiapin_once_dropped_writes_total`)
)

// Resolver asks an upstream for the outcome of an attempt. It returns Done
// with the outcome, Started while the attempt still runs, or Unknown. NotRun is
// recorded as unknown: the node that owns the attempt may be paused and send it
// later, so a retry must not run.
type Resolver func(ctx context.Context, target, attemptID string) (*Outcome, State, error)

// Options configure a Service; zero durations have the defaults above.
type Options struct {
	// Node identifies this run of the process in records.
	Node          string
	Retention     time.Duration
	OverAge       time.Duration
	ResolveGrace  time.Duration
	SweepInterval time.Duration
	// RepeatInterval is the mean time between repetitions of failed writes.
	RepeatInterval time.Duration
	// Resolver may be nil.
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
	opts    Options
	repeats repeats
	// slotDigits is the constant but for tests, which share few slots.
	slotDigits int
	// sweepAfter is the key after which the next step of the sweep begins. Only
	// the reconciler's goroutine uses it.
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
	o.OverAge = orDefault(o.OverAge, DefaultOverAge)
	o.ResolveGrace = orDefault(o.ResolveGrace, DefaultResolveGrace)
	o.SweepInterval = orDefault(o.SweepInterval, DefaultSweepInterval)
	o.RepeatInterval = orDefault(o.RepeatInterval, DefaultRepeatInterval)
	if o.Rand == nil {
		o.Rand = mathrand.New(mathrand.NewSource(time.Now().UnixNano()))
	}
	// A random start gives all slots their turn when the lease moves often.
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

// Run starts the repetition of failed writes and the reconciler.
func (s *Service) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	t.Go(func() error { return s.repeatLoop(ctx) })
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
			s.event(timeline.OnceStarted, c.rec)
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

// tryBegin makes one round. claimed is false without an outcome or an error
// when the slot changed between the calls.
func (s *Service) tryBegin(ctx context.Context, c *claim) (claimed bool, o *Outcome, err error) {
	b, err := s.load(ctx, s.slotKey(c.id))
	if err != nil {
		return false, nil, s.refuse(c, err)
	}
	now := s.opts.Clock.Now()
	rec, exists := b.records[c.id]
	if exists && rec.Attempt == c.rec.Attempt && rec.State == Started {
		// An earlier round's write took effect although it was reported lost.
		c.slot = b
		return true, nil, nil
	}
	if exists && !rec.expired(now, s.opts.Retention) {
		if rec.BodyHash == c.rec.BodyHash {
			rec = s.resolveUnknown(ctx, b, c.id, rec)
		}
		if o, err := judge(rec, c.rec.BodyHash); o != nil || err != nil {
			return false, o, err
		}
	}
	// A new record, or one whose attempt did not run. The condition on the
	// slot's version admits one of several retries.
	written, err := s.put(ctx, b, c.id, c.rec)
	if result.CodeOf(err) == result.ObjectConflict {
		c.unclear = c.unclear || result.From(err).Run == result.Unknown
		return false, nil, nil
	}
	if err != nil {
		c.unclear = c.unclear || result.From(err).Run == result.Unknown
		return false, nil, s.refuse(c, err)
	}
	c.slot = written
	return true, nil, nil
}

// resolveTimeout bounds the question to the upstream while a caller waits.
const resolveTimeout = time.Second

// resolveUnknown asks the upstream for an outcome that is unknown or overdue when the
// caller retries, so that the caller need not wait for the sweep. It returns
// the record as it is then.
func (s *Service) resolveUnknown(ctx context.Context, b slot, id string, rec record) record {
	now := s.opts.Clock.Now()
	age := rec.age(now)
	overdue := rec.State == Started && age > s.opts.OverAge
	if !overdue && (rec.State != Unknown || s.opts.Resolver == nil) {
		return rec
	}
	asking, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	outcome, state := s.resolve(asking, rec, age)
	if state == Started || state == rec.State || state == Done && outcome == nil && rec.State == Unknown {
		return rec
	}
	rec = rec.with(state, outcome, now)
	s.mark(ctx, b, id, rec)
	return rec
}

// refuse returns the refusal of a request that is not sent because the
// platform failed.
func (s *Service) refuse(c *claim, err error) error {
	s.abandon(c)
	return result.Wrap(err, result.PlatformUnavailable, result.NotRun,
		"the request was not sent because its record could not be written").WithRetryAfter(awayRetry)
}

// abandon sets a record that may have been written all the same to not_run in
// the background, so that a retry can run.
func (s *Service) abandon(c *claim) {
	if !c.unclear {
		return
	}
	now := s.opts.Clock.Now()
	s.repeats.add(repeat{id: c.id, rec: c.rec.with(NotRun, nil, now), missingUntil: now.Add(abandonedFor)})
}

// judge decides by the present record: an outcome, a refusal, or neither when
// a retry may take the record over.
func judge(r record, bodyHash string) (*Outcome, error) {
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
		WithRun(result.Unknown).WithRetryAfter(inProgressRetry)
}

// attemptBytes is the length of a random attempt id.
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

func (s *Service) event(kind timeline.Kind, r record) {
	if s.opts.Recorder != nil {
		s.opts.Recorder.Record(timeline.Event{
			Kind: kind, Request: r.Request, AttemptID: r.Attempt, Upstream: r.Target, Detail: r.Node,
		})
	}
}
