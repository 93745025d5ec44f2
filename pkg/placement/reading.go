package placement

import (
	"sync"
	"time"
)

const (
	// defaultPrefillPerToken is the time to read one prompt token before anything has been
	// learnt: the speed that the users' pages state for a middle model.
	defaultPrefillPerToken = time.Second / 55_000
	// minSampleTokens is the smallest prompt that says something of the speed; for
	// smaller ones the fixed part of the time to the first event dominates.
	minSampleTokens = 1500
	// fasterWeight and slowerWeight are the weights of samples below and above
	// the estimate. Waiting adds to most samples, so the estimate follows the
	// fast ones.
	fasterWeight = 0.3
	slowerWeight = 0.02
)

// PrefillEstimator learns how fast models read prompts. It is safe for concurrent use.
type PrefillEstimator struct {
	mu       sync.Mutex
	perToken map[string]float64 // Seconds by model.
}

// NewPrefillEstimator returns an estimator that knows only the prior.
func NewPrefillEstimator() *PrefillEstimator {
	return &PrefillEstimator{perToken: make(map[string]float64)}
}

// Estimate returns how long a model reads a number of tokens when it does
// nothing else.
func (r *PrefillEstimator) Estimate(model string, tokens int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rate(model) * float64(tokens) * float64(time.Second))
}

func (r *PrefillEstimator) rate(model string) float64 {
	if rate, ok := r.perToken[model]; ok {
		return rate
	}
	return defaultPrefillPerToken.Seconds()
}

// Observe takes the time from a send to its first event.
func (r *PrefillEstimator) Observe(model string, tokens int, took time.Duration) {
	if tokens < minSampleTokens {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	sample, old := took.Seconds()/float64(tokens), r.rate(model)
	weight := slowerWeight
	if sample < old {
		weight = fasterWeight
	}
	r.perToken[model] = old + weight*(sample-old)
}
