package rollout

import (
	"math"
	"time"

	"cassiapin/pkg/config"
)

// The false-alarm rate of 1% for a whole rollout is split between the guards,
// because a rollout halts when any one of them trips. Most of it goes to
// quality, whose ratings are the noisiest.
const (
	alphaQuality    = 0.006
	alphaErrors     = 0.002
	alphaFirstToken = 0.002
)

const (
	// betLimit is the largest part of the wealth that one observation can
	// take. Below 1 the process can always recover.
	betLimit = 0.75
	// estimateDiscount gives the estimates behind the bets a window of about 100
	// observations, so that they follow a version that turns bad late.
	estimateDiscount = 0.99
	// priorObservations is the number of observations that the prior of the estimates
	// stands for, priorMean its mean as a part of the bound, and priorSpread
	// the part of the largest possible variance that it assumes. The prior
	// expects a version that is clearly worse than the bound, so that betting
	// starts at once: at bound 0.75 and deviation 0.15 a version of mean 0.64
	// was stopped after 24 ratings on average, and after 28 with a neutral
	// prior. It has no influence on the false-alarm rate.
	priorObservations    = 10
	priorMeanFactor      = 0.87
	priorVarianceDivisor = 8
	// firstTokenRange bounds times to the first token, as a multiple of the
	// guard bound. Cutting times off lowers their mean, so it can only make a
	// false alarm rarer.
	firstTokenRange = 4
)

// eProcess is a betting e-process against the hypothesis that the mean of
// observations in [0,1] is at least m. Under the hypothesis the wealth is a
// supermartingale that starts at 1, so the probability that it ever reaches
// 1/alpha is at most alpha, however often it is looked at (Ville's
// inequality). The bet is chosen before each observation from the earlier ones
// (approximate GRAPA), which keeps this true.
type eProcess struct {
	// LogWealth is the logarithm of the e-value.
	LogWealth float64 `json:"log_wealth"`
	// Weight, Sum and SumSquares are discounted sums for the bets.
	Weight     float64 `json:"weight"`
	Sum        float64 `json:"sum"`
	SumSquares float64 `json:"sum_squares"`
}

// add takes an observation x of a process for the bound m.
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

// Guards are the three processes of a rollout.
type Guards struct {
	Quality    eProcess `json:"quality"`
	Errors     eProcess `json:"errors"`
	FirstToken eProcess `json:"first_token"`
	// Tripped names the guard that reached its threshold. It stays set: the
	// test allows to stop at any time, and an e-value may fall again.
	Tripped string `json:"tripped,omitempty"`
}

// observation is what the guards learn of one answer.
type observation struct {
	_      struct{} `cbor:",toarray"`
	Rated  bool
	Failed bool
	// Rating is the rating in units of 1/ratingScale.
	Rating uint16
	// FirstTokenMS is the time to the first token in milliseconds.
	FirstTokenMS uint32
}

// ratingScale encodes ratings in two bytes.
const ratingScale = math.MaxUint16

// observe feeds one answer to the guards. A bound of 0 switches a guard off.
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

// evidence is the largest e-value of the guards.
func (g *Guards) evidence() float64 {
	return math.Exp(max(g.Quality.LogWealth, g.Errors.LogWealth, g.FirstToken.LogWealth))
}
