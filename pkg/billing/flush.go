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

// sealedBatch is an encoded batch with a fixed key.
type sealedBatch struct {
	key   string
	raw   []byte
	upTo  uint64
	bills int
}

// flushLoop writes batches periodically, when FlushCount bills are pending, when a
// copy failed and on membership changes.
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
			s.waitForNextFlush(ctx)
			s.tick(ctx, true)
		case <-changed:
			s.waitForNextFlush(ctx)
			s.tick(ctx, s.holderLost())
		}
	}
}

// waitForNextFlush waits until a flush outside the regular interval may start.
func (s *Service) waitForNextFlush(ctx context.Context) {
	s.flushMu.Lock()
	wait := s.nextFlushAt.Sub(s.opts.Clock.Now())
	s.flushMu.Unlock()
	if wait > 0 {
		_ = s.opts.Clock.Sleep(ctx, wait) // If ctx has ended, the caller's next calls fail.
	}
}

// holderLost reports whether a peer with copies is no longer alive.
func (s *Service) holderLost() bool {
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

// tick replays the bills of dead nodes. It flushes if write is set or bills were
// replayed, and copies bills again if the flush fails.
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

// flush writes all pending bills.
func (s *Service) flush(ctx context.Context) error {
	s.flushMu.Lock()
	defer s.flushMu.Unlock()
	pendingBytes.Update(float64(s.queue.size()))
	for s.sealed != nil || s.queue.len() > 0 {
		if err := s.writeBatch(ctx); err != nil {
			flushErrors.Inc()
			s.nextFlushAt = s.opts.Clock.Now().Add(flushRetryInterval)
			s.setFlushFailing(true, err)
			return err
		}
	}
	s.nextFlushAt = s.opts.Clock.Now().Add(minFlushInterval)
	s.setFlushFailing(false, nil)
	return nil
}

// setFlushFailing logs when flushes start to fail and when they succeed again.
func (s *Service) setFlushFailing(failing bool, cause error) {
	if failing != s.failing && s.opts.Log != nil {
		s.opts.Log.Info("bill flush state changed", "failing", failing, "cause", cause)
	}
	s.failing = failing
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
		err = s.resolveConflict(ctx, b)
	}
	if err != nil {
		return err
	}
	if s.sealed == nil {
		return nil // The key is taken; flush seals the bills again with a new key.
	}
	s.sealed = nil
	s.queue.removeUpTo(b.upTo)
	flushedTotal.Add(b.bills)
	batchesTotal.Inc()
	s.recordEvent(timeline.Event{Kind: timeline.BillsFlushed, Detail: fmt.Sprintf("%s: %d bills", b.key, b.bills)})
	return nil
}

// resolveConflict handles a batch key that already exists. Equal bytes come from an
// earlier write whose response was lost. Different bytes mean that the key is taken
// and the bills need a new one.
func (s *Service) resolveConflict(ctx context.Context, b *sealedBatch) error {
	o, err := s.opts.Store.Get(ctx, b.key)
	if err != nil {
		return err
	}
	if !bytes.Equal(o.Value, b.raw) {
		s.sealed = nil
	}
	return nil
}

// seal encodes the next batch and assigns its key.
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
	s.sealed = &sealedBatch{
		key:   keyPrefix + hour + "/" + s.opts.Node + "-" + s.opts.Boot + "/" + strconv.FormatUint(s.batchSeq, 10),
		raw:   raw,
		upTo:  entries[len(entries)-1].seq,
		bills: len(entries),
	}
	return nil
}

// Drain writes all bills or, while the object store is unavailable, hands them over
// to a peer. It fails if ctx ends or drainLimit passes before either succeeds.
func (s *Service) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	for !s.drainOnce(ctx) {
		if err := s.opts.Clock.Sleep(ctx, flushRetryInterval); err != nil {
			return result.Wrap(err, result.PlatformUnavailable, result.Unknown, "%d bills are not written", s.queue.len())
		}
	}
	return nil
}

// drainOnce flushes or hands over all bills and reports whether none is left.
func (s *Service) drainOnce(ctx context.Context) bool {
	s.replay()
	if s.flush(ctx) == nil {
		s.confirm(ctx)
		return true
	}
	return s.handOverAll(ctx)
}

// handOverAll hands over all bills; flushMu excludes concurrent flushes.
func (s *Service) handOverAll(ctx context.Context) bool {
	s.flushMu.Lock()
	defer s.flushMu.Unlock()
	if !s.handOver(ctx) {
		return false
	}
	s.sealed = nil
	return true
}
