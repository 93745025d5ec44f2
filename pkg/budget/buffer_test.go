package budget

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// testFree is the uncounted part of the buffers of these tests.
const testFree = 16 << 10

// TestBuffer guards against bytes that are cut silently at the limit, and against
// ones of exactly the limit that are refused.
func TestBuffer(t *testing.T) {
	memory := NewMemory(64 << 10)
	for _, tc := range []struct {
		size int
		err  error
	}{{0, nil}, {1, nil}, {32 << 10, nil}, {32<<10 + 1, ErrTooLarge}, {1 << 20, ErrTooLarge}} {
		b := Buffer{Account: memory, Limit: 32 << 10, Free: testFree}
		err := b.ReadAll(strings.NewReader(strings.Repeat("x", tc.size)))
		if !errors.Is(err, tc.err) || err == nil && len(b.Bytes) != tc.size {
			t.Errorf("%d bytes: %v, %d read", tc.size, err, len(b.Bytes))
		}
		b.Release()
	}
	if used := memory.Used(); used != 0 {
		t.Errorf("%d bytes are still reserved", used)
	}
	full := NewMemory(0)
	small := Buffer{Account: full, Limit: 1 << 20, Free: testFree}
	if err := small.ReadAll(strings.NewReader(strings.Repeat("x", testFree/2))); err != nil {
		t.Errorf("a small answer without memory left: %v", err)
	}
	large := Buffer{Account: full, Limit: 1 << 20, Free: testFree}
	if err := large.ReadAll(strings.NewReader(strings.Repeat("x", 2*testFree))); !errors.Is(err, ErrNoMemory) {
		t.Errorf("a large answer without memory left: %v", err)
	}
}

// TestReadExactly guards against a body of declared length that is cut, that
// exceeds its length, or that takes more memory than its length.
func TestReadExactly(t *testing.T) {
	for _, tc := range []struct {
		declared, sent int
		ok             bool
	}{{1, 1, true}, {1000, 1000, true}, {1000, 999, false}, {1000, 1001, false}, {2000, 2000, false}} {
		memory := NewMemory(1000)
		b := Buffer{Account: memory, Limit: 1 << 20}
		err := b.ReadExactly(strings.NewReader(strings.Repeat("x", tc.sent)), tc.declared)
		if (err == nil) != tc.ok || tc.ok && (len(b.Bytes) != tc.sent || memory.Used() != int64(tc.declared)) {
			t.Errorf("%d of %d bytes: %v, %d read, %d reserved", tc.sent, tc.declared, err, len(b.Bytes), memory.Used())
		}
		b.Release()
		if used := memory.Used(); used != 0 {
			t.Errorf("%d of %d bytes: %d are still reserved", tc.sent, tc.declared, used)
		}
	}
}
