package rollout

import (
	"math"
	"time"

	"cassiapin/pkg/config"
)

// The false-alarm probability of 1% per rollout is split between the guards,
// because a rollout halts when any of them trips. Most of it goes to quality,
// whose ratings have the most noise.
const (
	alphaQuality    = 0.006
	alphaErrors     = 0.002
	alphaFirstToken = 0.002
)

const (
	// betLimit is the largest fraction of the wealth that one observation can
	// cost. Below 1 the process can always recover.
	betLimit = 0.75
	// estimateDiscount gives the estimates behind the bets a window of about 100
	// observations, so that they follow a version that degrades late.
	estimateDiscount = 0.99
	// priorObservations is the weight of the prior in observations,
	// priorMeanFactor its mean as a fraction of the bound, and
	// priorVarianceDivisor the divisor of the largest possible variance that
	// gives its variance. The prior assumes a version clearly worse than the
	// bound, so that betting starts at once: at bound 0.75 and standard
	// deviation 0.15, a version of mean 0.64 is stopped after 24 ratings on
	// average, compared with 28 for a neutral prior. The prior does not affect
	// the false-alarm probability.
	priorObservations    = 10
	priorMeanFactor      = 0.87
	priorVarianceDivisor = 8
	// firstTokenRange is the multiple of the guard bound at which times to the
	// first token are clipped. Clipping lowers their mean, so it can only reduce
	// the false-alarm probability.
	firstTokenRange = 4
)

// eProcess is a betting e-process against the hypothesis that the mean of
// observations in [0,1] is at least m. Under the hypothesis the wealth is a
// supermartingale that starts at 1, so the probability that it ever reaches
// 1/alpha is at most alpha, however often it is checked (Ville's inequality).
// Each bet is computed only from earlier observations (approximate GRAPA), which
// preserves this property.
type eProcess struct {
	// LogWealth is the logarithm of the e-value.
	LogWealth float64 `json:"log_wealth"`
	// Weight, Sum and SumSquares are discounted sums for the bets.
	Weight     float64 `json:"weight"`
	Sum        float64 `json:"sum"`
	SumSquares float64 `json:"sum_squares"`
}

// add updates the process for the bound m with the observation x.
func (p *eProcess) add(x, m float64) {
	if m <= 0 || m >= 1 {
		return
	}
	n := p.Weight + priorObservations
	mean := (p.Sum + priorObservations*priorMeanFactor*m) / n
	squares := p.SumSquares - 2*mean*p.Sum + p.Weight*mean*mean
	variance := (max(squares, 0) + priorObservations*m*(1-m)/priorVarianceDivisor) / n
	gap := m - mean
	bet := min(max(gap/(variance+gap*gap), 0), betLimit/(1-m))
	p.LogWealth += math.Log1p(bet * (m - min(max(x, 0), 1)))
	p.Weight = p.Weight*estimateDiscount + 1
	p.Sum = p.Sum*estimateDiscount + x
	p.SumSquares = p.SumSquares*estimateDiscount + x*x
}

// Guards are the three sequential tests of a rollout.
type Guards struct {
	Quality    eProcess `json:"quality"`
	Errors     eProcess `json:"errors"`
	FirstToken eProcess `json:"first_token"`
	// Tripped is the name of the guard that reached its threshold. It stays set:
	// the test may be stopped at any time, and the e-value may fall again later.
	Tripped string `json:"tripped,omitempty"`
}

// observation is the guards' input for one answer.
type observation struct {
	_      struct{} `cbor:",toarray"`
	Rated  bool
	Failed bool
	// Rating is the rating in units of 1/ratingScale.
	Rating uint16
	// FirstTokenMS is the time to the first token in milliseconds.
	FirstTokenMS uint32
}

// ratingScale is the scale of ratings encoded in two bytes.
const ratingScale = math.MaxUint16

// observe updates the guards with one answer. A bound of 0 disables a guard.
func (g *Guards) observe(o observation, r *config.Rollout) {
	failed := 0.0
	if o.Failed {
		failed = 1
	}
	g.Errors.add(1-failed, 1-r.MaxErrorRate)
	if !o.Failed && r.MaxFirstToken > 0 {
		limit := float64(firstTokenRange * r.MaxFirstToken.Std() / time.Millisecond)
		g.FirstToken.add(1-min(float64(o.FirstTokenMS)/limit, 1), 1-1.0/firstTokenRange)
	}
	if o.Rated {
		g.Quality.add(float64(o.Rating)/ratingScale, r.MinQuality)
	}
	if g.Tripped == "" {
		g.Tripped = g.tripped()
	}
}

func (g *Guards) tripped() string {
	switch {
	case g.Quality.LogWealth >= -math.Log(alphaQuality):
		return "quality"
	case g.Errors.LogWealth >= -math.Log(alphaErrors):
		return "errors"
	case g.FirstToken.LogWealth >= -math.Log(alphaFirstToken):
		return "first_token"
	}
	return ""
}

// evidence returns the largest e-value of the guards.
func (g *Guards) evidence() float64 {
	return math.Exp(max(g.Quality.LogWealth, g.Errors.LogWealth, g.FirstToken.LogWealth))
}
