package drain

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestStopPhases guards against a phase of a planned stop that moves with what
// happened before it: all of them count from the request.
func TestStopPhases(t *testing.T) {
	requested := time.Now()
	p := NewPhases(requested, 8*time.Second)
	got := []time.Duration{p.Refuse.Sub(requested), p.Close.Sub(requested), p.Abort.Sub(requested), p.Exit.Sub(requested)}
	want := []time.Duration{3 * time.Second, 3300 * time.Millisecond, 7300 * time.Millisecond, 7800 * time.Millisecond}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
