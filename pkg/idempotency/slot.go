package idempotency

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"time"

	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/result"
)

// Records are grouped into slots: one object stores all records whose hashes
// share a prefix, and every write of a slot drops its expired records. Objects
// are therefore reused and need no delete per request, which would be a third of
// all writes. With 8.6 million records (100 requests/s kept for 24 h) a slot has
// about 8.
const (
	// keyPrefix is the key prefix of the slots in the object store.
	keyPrefix = "once/"
	// slotDigits is the number of leading hex digits of a hash that select its
	// slot. It must not change while records are kept, because a retry locates
	// its record by the hash alone.
	slotDigits = 5
	// recordHashBytes is the length of the truncated hash that identifies a
	// request.
	recordHashBytes = 16
	// maxSlotBytes bounds a slot to which a response is added. The remainder up
	// to the object store's size limit fits about 300 started records.
	maxSlotBytes = 900 << 10
)

// slot is one object of records as last read or written.
type slot struct {
	key     string
	version uint64 // 0 while the object does not exist
	records map[string]record
}

// recordID returns the hash that identifies a request.
func recordID(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return hex.EncodeToString(sum[:recordHashBytes])
}

// slotKey returns the object key of the slot of a record.
func (s *Service) slotKey(id string) string { return keyPrefix + id[:s.slotDigits] }

// randomSlotKey returns the object key of a random slot, which may not exist.
func randomSlotKey(r *rand.Rand) string {
	return keyPrefix + fmt.Sprintf("%0*x", slotDigits, r.Intn(1<<(4*slotDigits)))
}

func decodeSlot(o objectstore.Object) (slot, error) {
	sl := slot{key: o.Key, version: o.Version}
	if err := json.Unmarshal(o.Value, &sl.records); err != nil {
		return slot{}, result.Wrap(err, result.Internal, result.NotRun, "the request records are malformed")
	}
	return sl, nil
}

// with returns a copy with the record set and expired records removed.
func (sl slot) with(id string, r record, now time.Time, retention time.Duration) slot {
	records := maps.Clone(sl.records)
	maps.DeleteFunc(records, func(_ string, r record) bool { return r.expired(now, retention) })
	if records == nil {
		records = make(map[string]record)
	}
	records[id] = r
	sl.records = records
	return sl
}

// load reads a slot; a missing object is an empty slot.
func (s *Service) load(ctx context.Context, key string) (slot, error) {
	o, err := s.opts.Store.Get(ctx, key)
	if result.CodeOf(err) == result.ObjectNotFound {
		return slot{key: key}, nil
	}
	if err != nil {
		return slot{}, err
	}
	return decodeSlot(o)
}

// put writes the record into its slot, conditional on the version that was read.
// A response that would exceed maxSlotBytes is dropped from the record. A
// concurrent change of the slot gives result.ObjectConflict.
func (s *Service) put(ctx context.Context, sl slot, id string, r record) (slot, error) {
	sl = sl.with(id, r, s.opts.Clock.Now(), s.opts.Retention)
	raw, err := json.Marshal(sl.records)
	if err == nil && len(raw) > maxSlotBytes && r.Outcome != nil {
		r.Outcome, r.BodyDropped = nil, true
		sl.records[id] = r
		raw, err = json.Marshal(sl.records)
	}
	if err != nil {
		return slot{}, result.Wrap(err, result.Internal, result.NotRun, "encode request records")
	}
	var o objectstore.Object
	if sl.version == 0 {
		o, err = s.opts.Store.Create(ctx, sl.key, raw)
	} else {
		o, err = s.opts.Store.Update(ctx, sl.key, raw, sl.version)
	}
	if result.CodeOf(err) == result.ObjectNotFound {
		// Another node deleted the slot because all of its records had expired.
		err = result.Wrap(err, result.ObjectConflict, result.From(err).Run, "the slot was deleted")
	}
	if err != nil {
		return slot{}, err
	}
	sl.version = o.Version
	return sl, nil
}
