package budget

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestSharedMemoryProperties guards against more memory in use than the bound,
// against an owner that keeps others out, and against memory that is never given
// back.
func TestSharedMemoryProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		m := NewSharedMemory(limit)
		var held []func()
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				account := m.Of(fmt.Sprint("owner-", rapid.IntRange(0, 3).Draw(t, "owner")))
				n := rapid.IntRange(0, limit+1).Draw(t, "bytes")
				if account.Take(n) {
					held = append(held, func() { account.Release(n) })
				}
			},
			"release": func(t *rapid.T) {
				if len(held) > 0 {
					i := rapid.IntRange(0, len(held)-1).Draw(t, "held")
					held[i]()
					held = append(held[:i], held[i+1:]...)
				}
			},
			"": func(t *rapid.T) {
				if used := m.Used(); used < 0 || used > limit {
					t.Fatalf("%d of %d bytes are in use", used, limit)
				}
			},
		})
		for _, release := range held {
			release()
		}
		if m.Used() != 0 || len(m.owners) != 0 {
			t.Fatalf("%d bytes of %d owners are in use after all were given back", m.Used(), len(m.owners))
		}
	})
}

// TestSharedMemoryIsFair guards against an owner of many large bodies that leaves
// no room for the bodies of others.
func TestSharedMemoryIsFair(t *testing.T) {
	const limit, piece = 64 << 20, 4 << 20
	m := NewSharedMemory(limit)
	hot := 0
	for m.Of("hot").Take(piece) {
		hot++
	}
	if hot < limit/piece/2 {
		t.Errorf("a single owner gets %d of %d pieces", hot, limit/piece)
	}
	for i := range 10 {
		if !m.Of(fmt.Sprint("other-", i)).Take(16 << 10) {
			t.Errorf("owner %d has no room beside the hot one", i)
		}
	}
	if !m.Of("large").Take(piece) {
		t.Error("another owner has no room for one large body")
	}
}

// TestSharedMemoryTakesOneLargeBody guards against a body that never fits.
func TestSharedMemoryTakesOneLargeBody(t *testing.T) {
	m := NewSharedMemory(100)
	b := Buffer{Account: m.Of("one"), Limit: 100}
	if err := b.ReadExactly(strings.NewReader(strings.Repeat("x", 100)), 100); err != nil {
		t.Errorf("a body of the whole memory: %v", err)
	}
	if m.Of("two").Take(1) {
		t.Error("memory beyond the bound")
	}
}

// BenchmarkSharedMemory measures taking and giving back beside other owners.
func BenchmarkSharedMemory(b *testing.B) {
	m := NewSharedMemory(1 << 20)
	m.Of("other").Take(1)
	account := m.Of("one")
	b.ReportAllocs()
	for b.Loop() {
		account.Take(600)
		account.Release(600)
	}
}
