package cascade

import (
	"testing"
	"time"
)

var models = []string{"small", "middle", "large"}

// TestShouldEscalate guards against answers of a small model that are taken
// although it is unsure, and against the work of a large model for answers
// that come too late or are sure.
func TestShouldEscalate(t *testing.T) {
	const target = 4 * time.Second
	for _, tc := range []struct {
		name string
		o    EscalationInput
		want bool
	}{
		{"unsure", EscalationInput{Confidence: 20, Target: target}, true},
		{"sure", EscalationInput{Confidence: 80, Target: target}, false},
		{"unknown", EscalationInput{Confidence: -1, Target: target}, false},
		{"without an objective", EscalationInput{Confidence: 20}, true},
		{"too late", EscalationInput{Confidence: 20, Target: target, Expected: 3900 * time.Millisecond}, false},
		{"fully loaded", EscalationInput{Confidence: 1, Target: target, Delay: 2 * time.Second}, false},
		{"loaded, quite unsure", EscalationInput{Confidence: 10, Target: target, Delay: time.Second}, true},
		{"loaded, a little unsure", EscalationInput{Confidence: 45, Target: target, Delay: time.Second}, false},
	} {
		if got := New(models, true).ShouldEscalate(tc.o); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestEscalatesOnce guards against a model that the caller chose being replaced, and
// against a second escalation.
func TestEscalatesOnce(t *testing.T) {
	if l := New(models, false); l.Model() != "" || l.ShouldEscalate(EscalationInput{Confidence: 0, Target: time.Second}) {
		t.Error("the caller's model is replaced")
	}
	l := New(models, true)
	if l.Model() != "small" || l.Better() != "large" {
		t.Errorf("first %q, better %q", l.Model(), l.Better())
	}
	l.Escalate()
	if l.Model() != "large" || l.ShouldEscalate(EscalationInput{Confidence: 0, Target: time.Second}) {
		t.Errorf("after the escalation: %q", l.Model())
	}
}

// TestDelayBoundedUnderOverload plays a group of upstreams that is offered more work
// than it can do if every unsure answer is asked again: half of the answers of
// the small model are unsure and the large model takes ten times the work. The
// delay has to settle below the objective, where a fixed bound lets it grow
// without end. Callers get an answer in time either way: this is the load of
// an evacuated failure domain.
func TestDelayBoundedUnderOverload(t *testing.T) {
	const (
		target       = 4 * time.Second
		tickInterval = 10 * time.Millisecond
		small        = 0.03 // Seconds of work.
		large        = 0.30
	)
	simulate := func(adaptive bool) (worst time.Duration, escalations int) {
		delay := NewDelayEstimator()
		backlog := 0.0 // Seconds of work that waits.
		now := time.Unix(0, 0)
		for tick := range 6000 {
			now = now.Add(tickInterval)
			backlog = max(backlog-tickInterval.Seconds(), 0)
			if tick%10 != 0 { // Ten requests a second: 0.3 s of small work, 1.5 s with all escalations.
				continue
			}
			backlog += small
			late := time.Duration(backlog * float64(time.Second))
			delay.Observe("pool", late, now)
			o := EscalationInput{Confidence: tick / 10 * 37 % 100, Target: target, Expected: late}
			if adaptive {
				o.Delay = delay.Current("pool", now)
			} else {
				o.Expected = 0
			}
			if New(models, true).ShouldEscalate(o) {
				backlog += large
				escalations++
			}
			if tick > 3000 {
				worst = max(worst, late)
			}
		}
		return worst, escalations
	}
	fixed, _ := simulate(false)
	adaptive, escalations := simulate(true)
	t.Logf("worst delay: fixed bound %s, falling bound %s with %d answers of the large model", fixed, adaptive, escalations)
	if adaptive >= target/2 {
		t.Errorf("the delay reaches %s, want less than half of the objective %s", adaptive, target)
	}
	if fixed < 2*target {
		t.Errorf("the load is no overload: %s with the fixed bound", fixed)
	}
	if escalations == 0 {
		t.Error("no unsure answer is asked again")
	}
}
