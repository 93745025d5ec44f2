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
	var got []time.Duration
	for _, begin := range []time.Time{p.Refuse, p.Close, p.Abort, p.Cut, p.Exit} {
		got = append(got, begin.Sub(requested))
	}
	want := []time.Duration{
		2500 * time.Millisecond, 2800 * time.Millisecond, 7300 * time.Millisecond, 7650 * time.Millisecond, 7800 * time.Millisecond,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestLateNoticeAcceptsNothingLate guards against requests that are accepted after
// the accept phase because the node noticed the stop late.
func TestLateNoticeAcceptsNothingLate(t *testing.T) {
	const grace = 8 * time.Second
	requested := time.Now()
	bound := requested.Add(3 * time.Second)
	for _, late := range []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond} {
		s := NewStop()
		s.Begin(NewPhases(requested.Add(late), grace))
		if s.Accepts(bound) || s.Accepts(bound.Add(time.Millisecond)) {
			t.Errorf("noticed %v late, the node accepts requests after %v", late, bound.Sub(requested))
		}
		if !s.Accepts(requested.Add(2 * time.Second)) {
			t.Errorf("noticed %v late, the node refuses requests after 2 s", late)
		}
	}
	if s := (*Stop)(nil); !s.Accepts(bound) {
		t.Error("a node that does not stop refuses requests")
	}
}

// TestPhasesKeepOrder guards against phases that begin before the one before them in a
// short grace period.
func TestPhasesKeepOrder(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, time.Second, 1400 * time.Millisecond, 2 * time.Second, time.Minute} {
		p := NewPhases(time.Now(), grace)
		last := p.Requested
		for i, begin := range []time.Time{p.Refuse, p.Close, p.Abort, p.Cut, p.Exit, p.Requested.Add(grace)} {
			if !begin.After(last) {
				t.Errorf("grace period %v: phase %d begins %v after the one before it", grace, i, begin.Sub(last))
			}
			last = begin
		}
	}
}
