package billing

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

const (
	keyPrefix  = "bills/"
	hourFormat = "2006010215"
)

// sealed is an encoded batch.
type sealed struct {
	key   string
	raw   []byte
	upTo  uint64
	bills int
}

// flushLoop writes batches by time, by number, on failed copies and on changes
// of the members.
func (s *Service) flushLoop(ctx context.Context) error {
	var changed <-chan struct{}
	if s.opts.Members != nil {
		changed = s.opts.Members.Subscribe()
	}
	for {
		wait := s.opts.FlushInterval/2 + time.Duration(s.opts.Rand.Int63n(int64(s.opts.FlushInterval/2)+1))
		select {
		case <-ctx.Done():
			return nil
		case <-s.opts.Clock.After(wait):
			s.tick(ctx, true)
		case <-s.flushNow:
			s.pause(ctx)
			s.tick(ctx, true)
		case <-changed:
			s.pause(ctx)
			s.tick(ctx, s.holderLeft())
		}
	}
}

// pause waits until the next flush outside of the interval may begin.
func (s *Service) pause(ctx context.Context) {
	s.flushMu.Lock()
	wait := s.nextTry.Sub(s.opts.Clock.Now())
	s.flushMu.Unlock()
	if wait > 0 {
		_ = s.opts.Clock.Sleep(ctx, wait) // The caller's calls fail when ctx has ended.
	}
}

// holderLeft reports whether a peer with copies is no longer alive.
func (s *Service) holderLeft() bool {
	alive := make(map[string]bool)
	for _, m := range s.peers() {
		alive[string(m.ID)] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.holders {
		if !alive[string(id)] {
			return true
		}
	}
	return false
}

// tick replays the bills of dead nodes, writes what waits when asked to or
// when bills were replayed, and keeps copies while writing fails.
func (s *Service) tick(ctx context.Context, write bool) {
	before := s.queue.len()
	s.replay()
	if !write && s.queue.len() == before {
		return
	}
	if err := s.flush(ctx); err != nil {
		s.recopy(ctx)
	}
	s.confirm(ctx)
}

// flush writes all waiting bills.
func (s *Service) flush(ctx context.Context) error {
	s.flushMu.Lock()
	defer s.flushMu.Unlock()
	pendingBytes.Update(float64(s.queue.size()))
	for s.sealed != nil || s.queue.len() > 0 {
		if err := s.writeBatch(ctx); err != nil {
			flushErrors.Inc()
			s.nextTry = s.opts.Clock.Now().Add(retryInterval)
			s.noteState(true, err)
			return err
		}
	}
	s.nextTry = s.opts.Clock.Now().Add(flushGap)
	s.noteState(false, nil)
	return nil
}

// noteState logs when flushes begin to fail and when they work again.
func (s *Service) noteState(away bool, cause error) {
	if away != s.away && s.opts.Log != nil {
		s.opts.Log.Info("bill flush state changed", "failing", away, "cause", cause)
	}
	s.away = away
}

// writeBatch writes one batch and removes its bills from the queue.
func (s *Service) writeBatch(ctx context.Context) error {
	if s.sealed == nil {
		if err := s.seal(); err != nil {
			return err
		}
	}
	b := s.sealed
	_, err := s.opts.Store.Create(ctx, b.key, b.raw)
	if result.CodeOf(err) == result.ObjectConflict {
		err = s.settleConflict(ctx, b)
	}
	if err != nil {
		return err
	}
	if s.sealed == nil {
		return nil // The key belongs to another batch; the next one is written.
	}
	s.sealed = nil
	s.queue.done(b.upTo)
	flushedTotal.Add(b.bills)
	batchesTotal.Inc()
	s.event(timeline.Event{Kind: timeline.BillsFlushed, Detail: fmt.Sprintf("%s: %d bills", b.key, b.bills)})
	return nil
}

// settleConflict looks at a batch key that exists. Equal bytes come from an
// earlier write whose answer was lost. Other bytes mean that the key is taken
// and the bills need a new one.
func (s *Service) settleConflict(ctx context.Context, b *sealed) error {
	o, err := s.opts.Store.Get(ctx, b.key)
	if err != nil {
		return err
	}
	if !bytes.Equal(o.Value, b.raw) {
		s.sealed = nil
	}
	return nil
}

// seal encodes the next batch and fixes its key.
func (s *Service) seal() error {
	entries := s.queue.head(s.opts.FlushCount, maxBatchBytes)
	s.batchSeq++
	b := batch{Node: s.opts.Node, Boot: s.opts.Boot, Seq: s.batchSeq}
	for _, e := range entries {
		b.Bills = append(b.Bills, cbor.RawMessage(e.raw))
	}
	raw, err := encode(b)
	if err != nil {
		return err
	}
	hour := s.opts.Clock.Now().UTC().Format(hourFormat)
	s.sealed = &sealed{
		key:   keyPrefix + hour + "/" + s.opts.Node + "-" + s.opts.Boot + "/" + strconv.FormatUint(s.batchSeq, 10),
		raw:   raw,
		upTo:  entries[len(entries)-1].seq,
		bills: len(entries),
	}
	return nil
}

// Drain writes all bills or, while the platform is away, hands them over to a
// peer. It fails when ctx ends or drainLimit passes before either succeeds.
func (s *Service) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	for !s.drainOnce(ctx) {
		if err := s.opts.Clock.Sleep(ctx, retryInterval); err != nil {
			return result.Wrap(err, result.PlatformUnavailable, result.Unknown, "%d bills are not written", s.queue.len())
		}
	}
	return nil
}

// drainOnce reports whether no bill is left here.
func (s *Service) drainOnce(ctx context.Context) bool {
	s.replay()
	if s.flush(ctx) == nil {
		s.confirm(ctx)
		return true
	}
	return s.handOverAll(ctx)
}

// handOverAll hands the bills over while no flush runs.
func (s *Service) handOverAll(ctx context.Context) bool {
	s.flushMu.Lock()
	defer s.flushMu.Unlock()
	if !s.handOver(ctx) {
		return false
	}
	s.sealed = nil
	return true
}
