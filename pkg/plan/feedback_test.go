package plan

import (
	"math"
	"testing"

	"cassiapin/pkg/config"
	"cassiapin/pkg/quality"
)

type fakeFeedback struct{ served quality.Served }

func (f *fakeFeedback) Served(string) quality.Served { return f.served }

// Guards against a class that stays below its target because its estimates are
// too high, and against paying for quality far above the target.
func TestServedQualityAdjustsPlan(t *testing.T) {
	f := newFixture(t, StrategyPolicy)
	feedback := &fakeFeedback{}
	f.feedback = feedback
	for i, c := range []struct {
		served quality.Served
		target float64
		want   string
	}{
		{quality.Served{}, 0.68, "cheap@1"},
		{quality.Served{Mean: 0.66, Lower: 0.65, Rated: 50}, 0.67, "best@1"},
		{quality.Served{Mean: 0.66, Lower: 0.65, Rated: 4}, 0.67, "cheap@1"},
		{quality.Served{Mean: 0.75, Lower: 0.74, Rated: 50}, 0.70, "cheap@1"},
		{quality.Served{Mean: 0.75, Lower: 0.69, Rated: 50}, 0.70, "best@1"},
		{quality.Served{Mean: 0.95, Lower: 0.94, Rated: 500}, 0.80, "best@1"}, // Relaxed by at most maxRelax.
	} {
		feedback.served = c.served
		if p, err := f.Plan(request(c.target, config.CheckNone)); err != nil || steps(p) != c.want {
			t.Errorf("case %d: planned %q, %v, want %q", i, steps(p), err, c.want)
		}
	}
}

// Guards against counting the selection gain of a rating check for sessions,
// whose later requests are not checked. With the gain counted, class draft
// reached 0.693 at a target of 0.700.
func TestSessionCascadeHasNoSelectionGain(t *testing.T) {
	f := newFixture(t, StrategyPolicy)
	r := request(0.8, config.CheckRating)
	r.Session = true
	p, err := f.Plan(r)
	if err != nil || len(p.Steps) != 2 {
		t.Fatalf("got %+v, %v, want a cascade", p, err)
	}
	accepted, _ := acceptedByRating(0.7, 0.1, p.Steps[0].Accept)
	if want := mixture(accepted, 0.7, 0.9); math.Abs(p.Quality-want) > 1e-9 {
		t.Fatalf("expected quality %.3f, want %.3f", p.Quality, want)
	}
}
