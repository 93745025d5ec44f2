package relay

import (
	"io"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/limits"
)

const (
	// freeBufferBytes is the part of each buffer that is not counted against
	// the node's memory, so that usual answers pass while some upstreams send
	// bytes without end.
	freeBufferBytes = 16 << 10
	// firstBufferBytes is the initial size of a buffer.
	firstBufferBytes = 2 << 10
)

// errTooLarge is returned for an answer or event that exceeds its limit or the
// memory left for answers.
var errTooLarge = errors.New("the answer is too large")

// buffer collects bytes up to a limit. What exceeds freeBufferBytes is taken
// from the node's memory for answers until it is released.
type buffer struct {
	memory *limits.Memory
	limit  int
	bytes  []byte
	taken  int
}

// grow makes room for n more bytes.
func (b *buffer) grow(n int) error {
	need := len(b.bytes) + n
	if need <= cap(b.bytes) {
		return nil
	}
	size := max(2*cap(b.bytes), need, firstBufferBytes)
	if taken := max(size-freeBufferBytes, 0); taken > b.taken {
		if !b.memory.Take(taken - b.taken) {
			return errTooLarge
		}
		b.taken = taken
	}
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.bytes = grown
	return nil
}

func (b *buffer) append(p []byte) error {
	if len(b.bytes)+len(p) > b.limit {
		return errTooLarge
	}
	if err := b.grow(len(p)); err != nil {
		return err
	}
	b.bytes = append(b.bytes, p...)
	return nil
}

// readAll reads r to its end. It returns errTooLarge as soon as the limit is
// exceeded.
func (b *buffer) readAll(r io.Reader) error {
	for {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(1); err != nil {
				return err
			}
		}
		n, err := r.Read(b.bytes[len(b.bytes):min(cap(b.bytes), b.limit+1)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case len(b.bytes) > b.limit:
			return errTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// release returns the memory; the bytes must not be used afterwards.
func (b *buffer) release() {
	b.memory.Release(b.taken)
	b.bytes, b.taken = nil, 0
}
