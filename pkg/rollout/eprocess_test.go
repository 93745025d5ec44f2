package rollout

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"cassiapin/pkg/config"
)

// gamma samples the gamma distribution of shape a (Marsaglia and Tsang).
func gamma(rng *rand.Rand, a float64) float64 {
	if a < 1 {
		return gamma(rng, a+1) * math.Pow(rng.Float64(), 1/a)
	}
	d := a - 1.0/3
	c := 1 / math.Sqrt(9*d)
	for {
		x := rng.NormFloat64()
		v := math.Pow(1+c*x, 3)
		if v > 0 && math.Log(rng.Float64()) < x*x/2+d-d*v+d*math.Log(v) {
			return d * v
		}
	}
}

// rating samples a beta-distributed rating. Unlike that of a clipped normal
// distribution, its mean is exact also near 1.
func rating(rng *rand.Rand, mean, deviation float64) float64 {
	n := mean*(1-mean)/(deviation*deviation) - 1
	a, b := gamma(rng, mean*n), gamma(rng, (1-mean)*n)
	return a / (a + b)
}

var guardBounds = config.Rollout{
	MinQuality: 0.75, MaxErrorRate: 0.02, MaxFirstToken: config.Duration(time.Second),
}

// simulateGuards feeds n answers to the guards and reports whether one tripped,
// and after how many answers.
func simulateGuards(rng *rand.Rand, n int, quality, deviation, errors float64, firstToken time.Duration) (bool, int) {
	var g Guards
	for i := range n {
		g.observe(observation{
			Rated: true, Rating: uint16(math.Round(ratingScale * rating(rng, quality, deviation))),
			Failed: rng.Float64() < errors, FirstTokenMS: uint32(float64(firstToken.Milliseconds()) * rng.ExpFloat64()),
		}, &guardBounds)
		if g.Tripped != "" {
			return true, i + 1
		}
	}
	return false, n
}

// Guards against false alarms: at most 1 in 100 rollouts may be stopped, for a
// version at the quality target and for one exactly at all three guard bounds,
// the worst version that is still good. Seeds 1 and 2; 1,000 rollouts of 2,000
// answers each.
func TestGoodVersionIsRarelyStopped(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name            string
		seed            int64
		quality, errors float64
		firstToken      time.Duration
	}{
		{"at the target", 1, 0.8, 0.01, 500 * time.Millisecond},
		{"at the bounds", 2, 0.75, 0.02, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			rng, stops := rand.New(rand.NewSource(c.seed)), 0
			for range 1000 {
				if s, _ := simulateGuards(rng, 2000, c.quality, 0.15, c.errors, c.firstToken); s {
					stops++
				}
			}
			t.Logf("%d of 1,000 rollouts stopped", stops)
			if stops > 10 {
				t.Errorf("%d of 1,000 rollouts of a good version were stopped", stops)
			}
		})
	}
}

// Guards against a guard that does not trip: each of the three kinds of bad
// version is stopped when it degrades after 1,000 good answers. Seed 3.
func TestEachGuardTrips(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewSource(3))
	for _, c := range []struct {
		guard           string
		quality, errors float64
		firstToken      time.Duration
	}{
		{"quality", 0.64, 0.01, 500 * time.Millisecond},
		{"errors", 0.8, 0.3, 500 * time.Millisecond},
		{"first_token", 0.8, 0.01, 3 * time.Second},
	} {
		maxDelay := 0
		for range 100 {
			var g Guards
			answer := func(quality, errors float64, firstToken time.Duration) {
				g.observe(observation{
					Rated: true, Rating: uint16(ratingScale * rating(rng, quality, 0.15)), Failed: rng.Float64() < errors,
					FirstTokenMS: uint32(float64(firstToken.Milliseconds()) * rng.ExpFloat64()),
				}, &guardBounds)
			}
			for range 1000 {
				answer(0.8, 0.01, 500*time.Millisecond)
			}
			n := 0
			for ; g.Tripped == "" && n < 1000; n++ {
				answer(c.quality, c.errors, c.firstToken)
			}
			if g.Tripped != c.guard {
				t.Fatalf("%s: guard %q tripped after %d bad answers", c.guard, g.Tripped, n)
			}
			maxDelay = max(maxDelay, n)
		}
		t.Logf("%s: version that degraded after 1,000 answers was stopped after at most %d more", c.guard, maxDelay)
	}
}
