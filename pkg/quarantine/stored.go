package quarantine

import (
	"context"
	"maps"
	"slices"
	"time"

	"cassiapin/pkg/eventlog"
)

// StoredPart is a part in quarantine as the platform's store keeps it, for nodes
// that start when no other node is left, or that no other node reaches. Times are
// Unix milliseconds, zero for what has not happened.
type StoredPart struct {
	Part        string `json:"part"`
	SinceMS     int64  `json:"since_ms"`
	TriedMS     int64  `json:"tried_ms,omitempty"`
	ConfirmedMS int64  `json:"confirmed_ms,omitempty"`
	// Crashes and SupportMS are as in Entry.
	Crashes   int   `json:"crashes,omitempty"`
	SupportMS int64 `json:"support_ms,omitempty"`
}

// Store keeps the parts in quarantine. Errors mean that the call may have failed.
type Store interface {
	List(ctx context.Context) ([]StoredPart, error)
	Put(ctx context.Context, p StoredPart) error
	Delete(ctx context.Context, part string) error
	// Era rises when the store has come back from an older copy, without what was written
	// since. It makes no call.
	Era() uint64
}

const (
	// storeWriters is the number of nodes that write the state of a part, so that
	// one of them may fail.
	storeWriters = 2
	// storePoll is the pause between two looks at the store by an isolated node, between
	// two attempts to write or to read, and between two looks at the store's era.
	storePoll = time.Second
	// lostBefore is the age from which a removal isn't lost with a return of the store,
	// whose copy is some seconds old.
	lostBefore = time.Minute
	// maxStoredAge is the age from which a stored part is ignored.
	maxStoredAge = time.Hour
)

// keep reads the stored parts at the start and while the node is isolated, and
// writes what has changed.
func (s *Service) keep(ctx context.Context) {
	written := make(map[string]StoredPart)
	era := s.opts.Store.Era()
	loaded := s.load(ctx, written)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.stateChanged:
		case <-s.clock.After(storePoll):
		}
		if latest := s.opts.Store.Era(); latest != era {
			era = latest
			s.writeAgain(written)
		}
		if !loaded || s.opts.Isolated() {
			loaded = s.load(ctx, written)
		}
		s.write(ctx, written)
	}
}

// load takes over the stored parts, and records in written those that this node
// keeps up to date.
func (s *Service) load(ctx context.Context, written map[string]StoredPart) bool {
	parts, err := s.opts.Store.List(ctx)
	if err != nil {
		s.log.Warn(eventlog.PartsNotStored, "call", "list", "error", err.Error())
		return false
	}
	rank := s.ranks()
	s.mu.Lock()
	now := s.clock.Now()
	var taken []string
	for _, p := range parts {
		e := &entry{since: timeSince(p.SinceMS, now), tried: timeSince(p.TriedMS, now), confirmed: timeSince(p.ConfirmedMS, now),
			crashes: max(p.Crashes, 0), support: timeSince(p.SupportMS, now)}
		if p.SinceMS <= 0 || len(p.Part) > maxPartBytes || now.Sub(e.since) > maxStoredAge {
			continue
		}
		if s.table.merge(p.Part, e) {
			taken = append(taken, p.Part)
		}
		if rank(p.Part) < storeWriters {
			written[p.Part] = p
		}
	}
	s.updateCounts()
	s.mu.Unlock()
	if len(taken) > 0 {
		s.wakeUp() // This node may know that one is void.
	}
	for _, part := range taken {
		s.log.Info(eventlog.PartStateRead, "part", part, "source", "store")
	}
	return true
}

// timeSince converts a stored time. Times ahead of the clock count as now.
func timeSince(unixMS int64, now time.Time) time.Time {
	if unixMS <= 0 {
		return time.Time{}
	}
	return now.Add(-max(time.Duration(now.UnixMilli()-unixMS)*time.Millisecond, time.Millisecond))
}

// desired returns the parts that this node keeps in the store: those that it has
// written, or ranks first for.
func (s *Service) desired(written map[string]StoredPart) map[string]StoredPart {
	rank := s.ranks()
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := make(map[string]StoredPart)
	for part, e := range s.table.entries {
		if _, mine := written[part]; e.active() && (mine || rank(part) < storeWriters) {
			parts[part] = StoredPart{Part: part, SinceMS: unixMS(e.since), TriedMS: unixMS(e.tried), ConfirmedMS: unixMS(e.confirmed),
				Crashes: e.crashes, SupportMS: unixMS(e.support)}
		}
	}
	return parts
}

func unixMS(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

// writeAgain marks what this node has written or removed as lost by the store.
func (s *Service) writeAgain(written map[string]StoredPart) {
	for part := range written {
		written[part] = StoredPart{}
	}
	rank := s.ranks()
	s.mu.Lock()
	defer s.mu.Unlock()
	for part, e := range s.table.entries {
		if !e.active() && s.clock.Since(e.released) < lostBefore && rank(part) < storeWriters {
			written[part] = StoredPart{}
		}
	}
}

// write stores what has changed since the last call and records it in written.
func (s *Service) write(ctx context.Context, written map[string]StoredPart) {
	desired := s.desired(written)
	for _, part := range slices.Sorted(maps.Keys(desired)) {
		if written[part] == desired[part] {
			continue
		}
		if err := s.opts.Store.Put(ctx, desired[part]); err != nil {
			written[part] = StoredPart{} // It may have taken effect.
			s.log.Warn(eventlog.PartsNotStored, "part", part, "error", err.Error())
			return
		}
		written[part] = desired[part]
	}
	for _, part := range slices.Sorted(maps.Keys(written)) {
		if _, ok := desired[part]; ok {
			continue
		}
		if err := s.opts.Store.Delete(ctx, part); err != nil {
			s.log.Warn(eventlog.PartsNotStored, "part", part, "error", err.Error())
			return
		}
		delete(written, part)
	}
}
