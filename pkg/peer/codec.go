package peer

import (
	"context"
	"github.com/fxamacker/cbor/v2"
	"time"

	"cassiapin/pkg/result"
)

// Limits on messages between nodes.
const (
	// MaxMessageBytes bounds one encoded message. It fits a configuration at
	// the platform's limit of 1 MB plus its envelope.
	MaxMessageBytes = 1<<20 + 64<<10
	// maxElements bounds arrays and maps. The member list of the design size
	// (410 nodes) including dead members fits with a wide margin.
	maxElements = 4096
	// maxNesting bounds the depth of nested arrays and maps.
	maxNesting = 16
)

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

func newEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // Unreachable: the options are constant and covered by tests.
	}
	return m
}

func newDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode()
	if err != nil {
		panic(err) // Unreachable: the options are constant and covered by tests.
	}
	return m
}

// Encode returns the deterministic CBOR encoding of v.
func Encode(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, result.Wrap(err, result.BadMessage, result.NotRun, "encode a peer message")
	}
	if len(b) > MaxMessageBytes {
		return nil, result.New(result.BadMessage, "a peer message of %d bytes exceeds %d", len(b), MaxMessageBytes)
	}
	return b, nil
}

// Decode decodes a message within the limits of this package. Unknown fields
// are ignored, so that different releases can interoperate.
func Decode(b []byte, v any) error {
	if len(b) > MaxMessageBytes {
		return result.New(result.BadMessage, "a peer message of %d bytes exceeds %d", len(b), MaxMessageBytes)
	}
	if err := decMode.Unmarshal(b, v); err != nil {
		return result.Wrap(err, result.BadMessage, result.NotRun, "decode a peer message")
	}
	return nil
}

// LockedHandler adapts a typed handler of a notification or flood. locked must
// call its argument with the current time while holding the receiver's lock.
func LockedHandler[T any](
	locked func(fn func(now time.Time)), f func(now time.Time, from NodeID, m T),
) Handler {
	return func(_ context.Context, from NodeID, body []byte) (any, error) {
		var m T
		if err := Decode(body, &m); err != nil {
			return nil, err
		}
		locked(func(now time.Time) { f(now, from, m) })
		return nil, nil
	}
}
