package distribution

import (
	"cmp"
	"context"
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

const (
	// maxMarks bounds the number of marks. With the longest usual keys the set
	// stays far below the object store's size limit.
	maxMarks = 2000
	// maxMarkTextBytes bounds each of a mark's key, reason and node name.
	maxMarkTextBytes = 512
	// repairInterval is the minimum time between mark exchanges that this node
	// initiates; most differences are resolved by a flood in progress.
	repairInterval = 250 * time.Millisecond
	// flushDelay is the delay before the first write, so that marks set together
	// are written together.
	flushDelay = 100 * time.Millisecond
	// flushRetryInterval is the minimum delay after a failed or conflicting
	// write.
	flushRetryInterval = 500 * time.Millisecond
	// relayFlushDelay is the time after which a relay writes marks that the
	// accepting node has not written, for example because it crashed.
	relayFlushDelay = 5 * time.Second
)

// marksMessage carries marks. If Reply is set, the receiver replies with its own
// marks when they differ.
type marksMessage struct {
	Marks config.Marks `cbor:"1,keyasint"`
	Reply bool         `cbor:"2,keyasint,omitempty"`
}

// flushState is the state of writing marks to the object store.
type flushState struct {
	// pending reports whether this node has marks to write.
	pending  bool
	inFlight bool
	nextAt   time.Time
	// unwrittenSince is when a relay found that the object store lacks marks,
	// plus a random delay that spreads the writes of the relays; zero if it
	// lacks none.
	unwrittenSince time.Time
}

// validMark reports whether a mark may be merged.
func validMark(key string, m config.Mark) bool {
	if len(key) > maxMarkTextBytes || len(m.Reason) > maxMarkTextBytes || len(m.Node) > maxMarkTextBytes {
		return false
	}
	if strings.HasPrefix(key, config.DomainKey("")) {
		return m.State == config.MarkOut || m.State == config.MarkIn
	}
	return strings.HasPrefix(key, "version/") && m.State == config.MarkWithdrawn
}

// SetMark implements config.MarkSetter. It returns once the mark is active on this
// node and flooded. The write to the object store follows asynchronously, after
// an outage if necessary. Errors carry result.BadRequest.
func (s *Service) SetMark(key string, state config.MarkState, reason string) error {
	mark := config.Mark{State: state, Stamp: s.hlc.Next(), Node: string(s.msgr.Self()), Reason: reason}
	if !validMark(key, mark) {
		return result.New(result.BadRequest, "mark %q cannot have state %q", key, state)
	}
	var err error
	s.locked(func(now time.Time) {
		marks := s.Marks()
		old, exists := marks[key]
		if !exists && len(marks) >= maxMarks {
			err = result.New(result.BadRequest, "there are %d marks already", len(marks))
			return
		}
		if exists && old.Stamp.Compare(mark.Stamp) >= 0 {
			// Another node's wall clock is ahead by more than the hybrid logical
			// clock follows. The later decision must still win.
			mark.Stamp = clock.Stamp{WallMS: old.Stamp.WallMS, Logical: old.Stamp.Logical + 1}
		}
		changed := s.mergeMarks(now, config.Marks{key: mark})
		s.flood(kindMarks, marksMessage{Marks: changed})
		s.flush.pending = true
		s.flush.nextAt = now.Add(flushDelay)
	})
	return err
}

// mergeMarks merges other into the active marks and returns those that changed.
func (s *Service) mergeMarks(_ time.Time, other config.Marks) config.Marks {
	old := s.Marks()
	valid := make(config.Marks, len(other))
	for key, m := range other {
		if _, exists := old[key]; validMark(key, m) && (exists || len(old)+len(valid) < maxMarks) {
			valid[key] = m
		}
	}
	joined, changed := old.Join(valid)
	if !changed {
		return nil
	}
	updated := make(config.Marks)
	for _, key := range slices.Sorted(maps.Keys(valid)) {
		if joined[key] != old[key] {
			updated[key] = joined[key]
			s.hlc.Observe(joined[key].Stamp)
			s.recordMark(key, joined[key])
		}
	}
	s.marks.Store(&joined)
	s.marksHash.Store(hashMarks(joined))
	s.notify = true
	return updated
}

func (s *Service) recordMark(key string, m config.Mark) {
	e := timeline.Event{Kind: timeline.MarkSet, Detail: key + " " + string(m.State)}
	if domain, ok := strings.CutPrefix(key, config.DomainKey("")); ok {
		e.Domain = domain
	} else if ref, err := config.ParseVersionRef(strings.TrimPrefix(key, "version/")); err == nil {
		e.Model, e.Version = ref.Model, ref.Version
	}
	s.events.Record(e)
	s.log.Info("mark in force", "key", key, "state", m.State, "reason", m.Reason)
}

// hashMarks returns the FNV-1a hash of the marks, 0 for an empty set.
func hashMarks(m config.Marks) uint64 {
	if len(m) == 0 {
		return 0
	}
	raw, err := peer.Encode(m) // Deterministic: the encoder sorts map keys.
	if err != nil {
		return 0
	}
	h := fnv.New64a()
	h.Write(raw)
	return cmp.Or(h.Sum64(), 1)
}

func (s *Service) onMarks(now time.Time, _ peer.NodeID, m marksMessage) { s.mergeMarks(now, m.Marks) }

// repairMarks exchanges marks with a node whose set differs.
func (s *Service) repairMarks(now time.Time, from peer.NodeID, hash uint64) {
	if hash == s.marksHash.Load() || now.Before(s.repairAt) {
		return
	}
	s.repairAt = now.Add(repairInterval)
	s.send(from, kindRepair, marksMessage{Marks: s.Marks(), Reply: true})
}

// onRepair merges a node's complete marks. Changed marks are flooded, so that one
// repair also reaches the nodes behind this one. A node without marks does not
// flood: it has usually just started and received nothing that others lack.
func (s *Service) onRepair(now time.Time, from peer.NodeID, m marksMessage) {
	starting := s.marksHash.Load() == 0
	if changed := s.mergeMarks(now, m.Marks); len(changed) > 0 && !starting {
		s.flood(kindMarks, marksMessage{Marks: changed})
	}
	if m.Reply && s.marksHash.Load() != hashMarks(m.Marks) {
		s.send(from, kindRepair, marksMessage{Marks: s.Marks()})
	}
}

// hasUnwrittenMarks reports whether the object store lacks marks of this node.
func (s *Service) hasUnwrittenMarks() bool {
	_, changed := s.storeRead.storedMarks.Join(s.Marks())
	return changed
}

// tickFlush writes marks to the object store if this node accepted some or, on a
// relay, if they have stayed unwritten for relayFlushDelay.
func (s *Service) tickFlush(now time.Time, relay bool) {
	f := &s.flush
	if relay && !f.pending && s.marksHash.Load() != 0 {
		switch {
		case !s.hasUnwrittenMarks():
			f.unwrittenSince = time.Time{}
		case f.unwrittenSince.IsZero():
			f.unwrittenSince = now.Add(time.Duration(s.rng.Int63n(int64(relayFlushDelay))))
		case now.Sub(f.unwrittenSince) >= relayFlushDelay:
			f.pending = true
		}
	}
	if !f.pending || f.inFlight || now.Before(f.nextAt) {
		return
	}
	f.inFlight = true
	s.actions = append(s.actions, func(ctx context.Context) {
		done := s.writeMarks(ctx)
		s.locked(func(now time.Time) {
			f.inFlight = false
			f.unwrittenSince = time.Time{}
			if done && !s.hasUnwrittenMarks() {
				f.pending = false
				return
			}
			f.nextAt = now.Add(s.jittered(flushRetryInterval))
		})
	})
}

// writeMarks merges this node's marks into marks/current with one conditional
// write and reports whether the object store has them all.
func (s *Service) writeMarks(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := s.store.Get(ctx, MarksKey)
	missing := result.CodeOf(err) == result.ObjectNotFound
	if err != nil && !missing {
		return false
	}
	var stored config.Marks
	if !missing {
		if err := json.Unmarshal(o.Value, &stored); err != nil {
			return false // Possibly written by a later release; do not overwrite it.
		}
	}
	joined, changed := stored.Join(s.Marks())
	if changed {
		if o, err = s.putMarks(ctx, joined, o.Version, missing); err != nil {
			return false
		}
	}
	if !missing || changed {
		s.handleObject(o)
	}
	return true
}

func (s *Service) putMarks(ctx context.Context, m config.Marks, version uint64, create bool) (objectstore.Object, error) {
	raw, err := json.Marshal(m)
	if err != nil {
		return objectstore.Object{}, result.Wrap(err, result.Internal, result.NotRun, "encode the marks")
	}
	if create {
		return s.store.Create(ctx, MarksKey, raw)
	}
	return s.store.Update(ctx, MarksKey, raw, version)
}
