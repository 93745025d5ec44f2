package placement

import (
	"sync"
	"time"
)

const (
	// defaultPrefillPerToken is the prefill time of one prompt token before any
	// sample: the documented speed of a mid-sized model.
	defaultPrefillPerToken = time.Second / 55_000
	// minSampleTokens is the smallest prompt that is sampled; for smaller ones
	// the fixed part of the time to the first event dominates.
	minSampleTokens = 1500
	// fasterWeight and slowerWeight are the EWMA weights of samples below and
	// above the estimate. Most samples include queueing time, so the estimate
	// follows the fast ones.
	fasterWeight = 0.3
	slowerWeight = 0.02
)

// PrefillEstimator estimates the prefill time of prompts per model. It is safe
// for concurrent use.
type PrefillEstimator struct {
	mu       sync.Mutex
	perToken map[string]float64 // Seconds per token by model.
}

// NewPrefillEstimator returns an estimator without samples.
func NewPrefillEstimator() *PrefillEstimator {
	return &PrefillEstimator{perToken: make(map[string]float64)}
}

// Estimate returns how long an idle model takes to process a number of prompt
// tokens.
func (e *PrefillEstimator) Estimate(model string, tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.rate(model) * float64(tokens) * float64(time.Second))
}

func (e *PrefillEstimator) rate(model string) float64 {
	if rate, ok := e.perToken[model]; ok {
		return rate
	}
	return defaultPrefillPerToken.Seconds()
}

// Observe adds a sample of the time from a send to its first event.
func (e *PrefillEstimator) Observe(model string, tokens int, took time.Duration) {
	if tokens < minSampleTokens {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	sample, old := took.Seconds()/float64(tokens), e.rate(model)
	weight := slowerWeight
	if sample < old {
		weight = fasterWeight
	}
	e.perToken[model] = old + weight*(sample-old)
}
