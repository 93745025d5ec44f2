package topology

import (
	"cmp"
	"log/slog"
	"strconv"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Revision orders the changes in the platform's store. A store that comes back from an
// older copy begins a new era and gives out the numbers after the copy's again, so a number
// means nothing without its era. The zero value is before all changes.
type Revision struct {
	// Era counts the times that the store came back from an older copy.
	Era uint64
	// Number is the store's revision within the era.
	Number uint64
}

// Compare returns a negative number if r is before o, zero if they are equal and a
// positive number if r is after o.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// After reports whether r is later than o.
func (r Revision) After(o Revision) bool { return r.Compare(o) > 0 }

// Before reports whether r is earlier than o.
func (r Revision) Before(o Revision) bool { return r.Compare(o) < 0 }

// IsZero reports whether r is the zero value.
func (r Revision) IsZero() bool { return r == Revision{} }

// Start returns the beginning of the revision's era.
func (r Revision) Start() Revision { return Revision{Era: r.Era} }

// String returns the number, behind the era and a slash unless the era is zero.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number, 10)
	if r.Era == 0 {
		return number
	}
	return strconv.FormatUint(r.Era, 10) + "/" + number
}

// LogValue implements slog.LogValuer.
func (r Revision) LogValue() slog.Value {
	if r.Era == 0 {
		return slog.Uint64Value(r.Number)
	}
	return slog.StringValue(r.String())
}

// wireRevision is the form of a revision with an era in messages between nodes.
type wireRevision struct {
	_      struct{} `cbor:",toarray"`
	Era    uint64
	Number uint64
}

// MarshalCBOR implements cbor.Marshaler. Earlier releases know a number only, which is the
// form of a revision without an era.
func (r Revision) MarshalCBOR() ([]byte, error) {
	if r.Era == 0 {
		return cbor.Marshal(r.Number)
	}
	return cbor.Marshal(wireRevision{Era: r.Era, Number: r.Number})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (r *Revision) UnmarshalCBOR(raw []byte) error {
	var number uint64
	if err := cbor.Unmarshal(raw, &number); err == nil {
		*r = Revision{Number: number}
		return nil
	}
	var w wireRevision
	err := cbor.Unmarshal(raw, &w)
	*r = Revision{Era: w.Era, Number: w.Number}
	return err
}

// Latest returns the latest of some revisions, the zero value of none.
func Latest(revisions ...Revision) (latest Revision) {
	for _, r := range revisions {
		if r.After(latest) {
			latest = r
		}
	}
	return latest
}

// Earliest returns the earlier of two revisions.
func Earliest(a, b Revision) Revision {
	if b.Before(a) {
		return b
	}
	return a
}

// LatestRevision is the latest of the revisions that it was given. Its methods may be
// called concurrently.
type LatestRevision struct {
	mu     sync.Mutex
	latest Revision
}

// Note records a revision.
func (l *LatestRevision) Note(r Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latest = Latest(l.latest, r)
}

// Get returns the latest revision, the zero value if there is none.
func (l *LatestRevision) Get() Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest
}
