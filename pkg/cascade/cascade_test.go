package cascade

import (
	"testing"
	"time"
)

var models = []string{"small", "middle", "large"}

// TestShouldEscalate guards against accepting a low-confidence answer of the
// small model, and against escalating when the answer has a high confidence or
// the larger model would be too late.
func TestShouldEscalate(t *testing.T) {
	const target = 4 * time.Second
	for _, tc := range []struct {
		name string
		o    EscalationInput
		want bool
	}{
		{"low confidence", EscalationInput{Confidence: 20, Target: target}, true},
		{"high confidence", EscalationInput{Confidence: 80, Target: target}, false},
		{"unknown confidence", EscalationInput{Confidence: -1, Target: target}, false},
		{"no objective", EscalationInput{Confidence: 20}, true},
		{"larger model too late", EscalationInput{Confidence: 20, Target: target, Expected: 3900 * time.Millisecond}, false},
		{"full load", EscalationInput{Confidence: 1, Target: target, Delay: 2 * time.Second}, false},
		{"partial load, very low confidence", EscalationInput{Confidence: 10, Target: target, Delay: time.Second}, true},
		{"partial load, fairly low confidence", EscalationInput{Confidence: 45, Target: target, Delay: time.Second}, false},
	} {
		if got := New(models, true).ShouldEscalate(tc.o); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestEscalatesOnce guards against replacing the model that the caller named,
// and against a second escalation.
func TestEscalatesOnce(t *testing.T) {
	if s := New(models, false); s.Model() != "" || s.ShouldEscalate(EscalationInput{Confidence: 0, Target: time.Second}) {
		t.Error("the caller's model was replaced")
	}
	s := New(models, true)
	if s.Model() != "small" || s.Larger() != "large" {
		t.Errorf("Model() = %q, Larger() = %q", s.Model(), s.Larger())
	}
	s.Escalate()
	if s.Model() != "large" || s.ShouldEscalate(EscalationInput{Confidence: 0, Target: time.Second}) {
		t.Errorf("after Escalate: Model() = %q", s.Model())
	}
}

// TestDelayBoundedUnderOverload guards against a delay that grows without bound
// when escalating every low-confidence answer exceeds the capacity, as after the
// evacuation of a failure domain. Half of the small model's answers have a low
// confidence and the large model needs ten times the work. A fixed threshold
// fails here; the adaptive one has to keep the delay below the objective.
// Without escalation callers still get the small model's answer in time.
func TestDelayBoundedUnderOverload(t *testing.T) {
	const (
		target       = 4 * time.Second
		tickInterval = 10 * time.Millisecond
		small        = 0.03 // Seconds of work.
		large        = 0.30
	)
	simulate := func(adaptive bool) (worst time.Duration, escalations int) {
		delay := NewDelayEstimator()
		backlog := 0.0 // Seconds of queued work.
		now := time.Unix(0, 0)
		for tick := range 6000 {
			now = now.Add(tickInterval)
			backlog = max(backlog-tickInterval.Seconds(), 0)
			if tick%10 != 0 { // Ten requests per second: 0.3 s of small and up to 1.5 s of large work.
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
	t.Logf("worst delay: fixed threshold %s, adaptive threshold %s with %d escalations", fixed, adaptive, escalations)
	if adaptive >= target/2 {
		t.Errorf("delay reached %s, want less than half of the objective %s", adaptive, target)
	}
	if fixed < 2*target {
		t.Errorf("load is not an overload: delay %s with the fixed threshold", fixed)
	}
	if escalations == 0 {
		t.Error("no request was escalated")
	}
}
