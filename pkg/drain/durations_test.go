package drain

import (
	"fmt"
	"testing"
	"time"
)

// TestLikelyDuration guards against an estimate that one long request, a short history
// or an old load decides.
func TestLikelyDuration(t *testing.T) {
	second := func(n int) time.Duration { return time.Duration(n) * time.Second }
	for _, tc := range []struct {
		name string
		took []time.Duration
		want time.Duration
	}{
		{"none", nil, 0},
		{"too few", []time.Duration{second(9), second(9), second(9)}, 0},
		{"one long of four", []time.Duration{second(1), second(9), second(1), second(1)}, second(1)},
		{"one long", []time.Duration{second(1), second(1), second(1), second(1), second(9)}, second(1)},
		{"a third long", []time.Duration{second(1), second(9), second(1), second(9), second(1), second(1)}, second(9)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := NewDurations()
			for _, took := range tc.took {
				d.Record("r", took)
			}
			if got := d.Likely("r"); got != tc.want {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
	d := NewDurations()
	for range durationSamples {
		d.Record("r", second(9))
	}
	for range durationSamples {
		d.Record("r", second(1))
	}
	if got := d.Likely("r"); got != second(1) {
		t.Errorf("after a change of the load %v, want 1 s", got)
	}
	for i := range 2 * maxDurationRoutes {
		d.Record(fmt.Sprint(i), time.Second)
	}
	if len(d.routes) > maxDurationRoutes {
		t.Errorf("%d routes kept", len(d.routes))
	}
}
