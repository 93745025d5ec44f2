package clock

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Stamp is a hybrid logical clock (HLC) timestamp. Stamps of causally related
// events are in causal order; those of concurrent events closely follow the wall
// clocks.
type Stamp struct {
	// WallMS is the physical part, in milliseconds since the Unix epoch.
	WallMS int64 `json:"ms" cbor:"1,keyasint"`
	// Logical orders events with the same physical part.
	Logical uint32 `json:"l" cbor:"2,keyasint"`
}

// Compare returns -1, 0 or 1 as s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	switch {
	case s.WallMS != o.WallMS && s.WallMS < o.WallMS:
		return -1
	case s.WallMS != o.WallMS:
		return 1
	case s.Logical < o.Logical:
		return -1
	case s.Logical > o.Logical:
		return 1
	}
	return 0
}

// String formats the stamp as an RFC 3339 time followed by the logical part.
func (s Stamp) String() string {
	t := time.UnixMilli(s.WallMS).UTC()
	return fmt.Sprintf("%s.%04d", t.Format("2006-01-02T15:04:05.000Z"), s.Logical)
}

// Short formats the stamp as two decimal numbers separated by a dot, for logs.
func (s Stamp) Short() string {
	b := strconv.AppendInt(make([]byte, 0, 24), s.WallMS, 10)
	return string(strconv.AppendUint(append(b, '.'), uint64(s.Logical), 10))
}

// ParseStamp parses the format of Short.
func ParseStamp(text string) (Stamp, error) {
	wall, logical, _ := strings.Cut(text, ".")
	ms, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return Stamp{}, errors.Wrap(err, "parse physical part of stamp")
	}
	l, err := strconv.ParseUint(logical, 10, 32)
	if err != nil {
		return Stamp{}, errors.Wrap(err, "parse logical part of stamp")
	}
	return Stamp{WallMS: ms, Logical: uint32(l)}, nil
}

// maxAheadMS bounds how far ahead of the local wall clock a remote stamp may be.
// Without it, a host whose wall clock runs far ahead would advance every HLC, so
// that later operator decisions are ordered after its own.
const maxAheadMS = 60_000

// HLC is a hybrid logical clock. It is safe for concurrent use.
type HLC struct {
	clock Clock
	mu    sync.Mutex
	last  Stamp
}

// NewHLC returns a hybrid logical clock over c.
func NewHLC(c Clock) *HLC { return &HLC{clock: c} }

// Next returns a stamp later than every stamp returned or observed so far.
func (h *HLC) Next() Stamp {
	h.mu.Lock()
	defer h.mu.Unlock()
	wall := h.clock.Now().UnixMilli()
	if wall > h.last.WallMS {
		h.last = Stamp{WallMS: wall}
	} else {
		h.last.Logical++
	}
	return h.last
}

// Observe merges a remote stamp, so that subsequent local stamps are later. It
// ignores a stamp that is too far in the future and returns false.
func (h *HLC) Observe(s Stamp) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.WallMS > h.clock.Now().UnixMilli()+maxAheadMS {
		return false
	}
	if s.Compare(h.last) > 0 {
		h.last = s
	}
	return true
}
