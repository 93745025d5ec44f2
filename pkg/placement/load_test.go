package placement

import (
	"math"
	"testing"
	"time"
)

// TestUnknownIsNotIdle guards against an upstream that looks idle because it has not
// reported for long: it counts with what is usual.
func TestUnknownIsNotIdle(t *testing.T) {
	table := NewTable()
	known, unknown := newUpstream("known", "a", "r"), newUpstream("unknown", "a", "r")
	for range 50 {
		table.LoadReported(known, Report{Running: 5, Slots: 10}, "a", epoch)
	}
	if got := table.estimate(unknown, true, epoch).requests; math.Abs(got-5) > 0.1 {
		t.Errorf("%.2f requests at an upstream without a report, want the usual 5", got)
	}
	table.LoadReported(known, Report{Running: 1, Slots: 10}, "a", epoch)
	for after, want := range map[time.Duration]float64{0: 1, remainderTau: 1 + 4*(1-1/math.E), time.Minute: 5} {
		if got := table.estimate(known, true, epoch.Add(after)).requests; math.Abs(got-want) > 0.3 {
			t.Errorf("%.2f requests %s after a report of 1, want %.2f", got, after, want)
		}
	}
}

// TestOwnRequestsCountOnce guards against own requests that a report includes and that
// count a second time.
func TestOwnRequestsCountOnce(t *testing.T) {
	table := NewTable()
	u := newUpstream("u", "a", "r")
	for range 3 {
		table.Opened(u, 0, epoch)
	}
	table.LoadReported(u, Report{Running: 4, Waiting: 1, Slots: 10}, "a", epoch)
	if got := table.estimate(u, true, epoch).requests; got != 5 {
		t.Errorf("%.2f requests, want the 5 reported", got)
	}
	table.Closed(u, epoch)
	if got := table.estimate(u, true, epoch).requests; got != 4 {
		t.Errorf("%.2f requests after one has ended, want 4", got)
	}
}

// TestPace guards against an upstream on a slow machine that gets as much as others,
// and against a pace that holds for ever or is taken at any value.
func TestPace(t *testing.T) {
	table := NewTable()
	u := newUpstream("u", "a", "r")
	for range 100 {
		table.LoadReported(u, Report{Slots: 10, Pace: 3}, "a", epoch)
	}
	for after, want := range map[time.Duration]float64{0: 3, time.Minute: 1} {
		if got := table.estimate(u, true, epoch.Add(after)).pace; math.Abs(got-want) > 0.05 {
			t.Errorf("pace %.2f after %s, want %.2f", got, after, want)
		}
	}
	for range 100 {
		table.LoadReported(u, Report{Slots: 10, Pace: 1e9}, "a", epoch)
	}
	if got := table.estimate(u, true, epoch).pace; got > maxPace {
		t.Errorf("pace %.2f, want at most %.0f", got, maxPace)
	}
}
