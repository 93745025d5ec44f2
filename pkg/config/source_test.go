package config

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cassiapin/pkg/clock"
)

func drawMarks(t *rapid.T, label string) Marks {
	states := []MarkState{MarkOut, MarkIn, MarkWithdrawn}
	entry := rapid.Custom(func(t *rapid.T) Mark {
		return Mark{
			State: rapid.SampledFrom(states).Draw(t, "state"),
			Stamp: clock.Stamp{WallMS: rapid.Int64Range(0, 3).Draw(t, "ms")},
			Node:  rapid.SampledFrom([]string{"a", "b"}).Draw(t, "node"),
		}
	})
	keys := rapid.SampledFrom([]string{"domain/x", "domain/y", "version/m@1"})
	return rapid.MapOf(keys, entry).Draw(t, label)
}

// Guards against nodes that disagree after they have received the same marks in
// a different order, and against a withdrawal that is reverted.
func TestMarksJoinIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawMarks(t, "a"), drawMarks(t, "b"), drawMarks(t, "c")
		join := func(x, y Marks) Marks { j, _ := x.Join(y); return j }
		if d := cmp.Diff(join(a, b), join(b, a)); d != "" {
			t.Fatalf("join is not commutative: %s", d)
		}
		if d := cmp.Diff(join(join(a, b), c), join(a, join(b, c))); d != "" {
			t.Fatalf("join is not associative: %s", d)
		}
		if _, changed := join(a, b).Join(b); changed {
			t.Fatal("join is not idempotent")
		}
		for key, mark := range a {
			if mark.State == MarkWithdrawn && join(a, b)[key].State != MarkWithdrawn {
				t.Fatalf("withdrawal of %s was reverted", key)
			}
		}
	})
}
