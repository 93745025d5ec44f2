package budget

import (
	"io"

	"github.com/cockroachdb/errors"
)

// firstBufferBytes is the initial size of a buffer of unknown length.
const firstBufferBytes = 2 << 10

var (
	// ErrTooLarge is returned for what exceeds the limit of a buffer.
	ErrTooLarge = errors.New("it is too large")
	// ErrNoMemory is returned when the account of a buffer has no memory left.
	ErrNoMemory = errors.New("there is no memory for it")
)

// Buffer collects bytes up to a limit. What exceeds Free is taken from the account
// until the buffer is released.
type Buffer struct {
	Account Account
	// Limit is the largest number of bytes, Free the number that is not counted.
	Limit, Free int
	// Bytes are the collected bytes. They must not be used after Release.
	Bytes []byte
	taken int
}

// grow makes room for n more bytes.
func (b *Buffer) grow(n int) error {
	need := len(b.Bytes) + n
	if need <= cap(b.Bytes) {
		return nil
	}
	return b.reserve(max(2*cap(b.Bytes), need, firstBufferBytes))
}

// reserve moves the bytes to a larger slice.
func (b *Buffer) reserve(size int) error {
	if taken := max(size-b.Free, 0); taken > b.taken {
		if !b.Account.Take(taken - b.taken) {
			return ErrNoMemory
		}
		b.taken = taken
	}
	grown := make([]byte, len(b.Bytes), size)
	copy(grown, b.Bytes)
	b.Bytes = grown
	return nil
}

// Append appends p. It returns ErrTooLarge or ErrNoMemory if p does not fit.
func (b *Buffer) Append(p []byte) error {
	if len(b.Bytes)+len(p) > b.Limit {
		return ErrTooLarge
	}
	if err := b.grow(len(p)); err != nil {
		return err
	}
	b.Bytes = append(b.Bytes, p...)
	return nil
}

// ReadAll reads r to its end. It returns ErrTooLarge or ErrNoMemory as soon as the
// limit or the account is exceeded.
func (b *Buffer) ReadAll(r io.Reader) error {
	for {
		if len(b.Bytes) == cap(b.Bytes) {
			if err := b.grow(1); err != nil {
				return err
			}
		}
		n, err := r.Read(b.Bytes[len(b.Bytes):min(cap(b.Bytes), b.Limit+1)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		switch {
		case len(b.Bytes) > b.Limit:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// ReadExactly reads r, which has n bytes, to its end. The memory is taken before the
// first byte is read.
func (b *Buffer) ReadExactly(r io.Reader, n int) error {
	if n > b.Limit {
		return ErrTooLarge
	}
	if err := b.reserve(n); err != nil {
		return err
	}
	if _, err := io.ReadFull(r, b.Bytes[:n]); err != nil {
		return err
	}
	b.Bytes = b.Bytes[:n]
	// The reader notices its end.
	if _, err := r.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return errors.CombineErrors(ErrTooLarge, err)
	}
	return nil
}

// Release returns the memory.
func (b *Buffer) Release() {
	if b.taken > 0 {
		b.Account.Release(b.taken)
	}
	b.Bytes, b.taken = nil, 0
}
