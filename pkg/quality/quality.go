// Package quality estimates the quality, cost and latency of an answer for each
// request class and model version, from ratings that are sampled, delayed and
// sometimes missing.
package quality

import (
	"time"

	"cassiapin/pkg/config"
)

// ServiceName is the name of the estimator service.
const ServiceName = "route.quality"

// Estimate is the estimate for one request class and model version.
type Estimate struct {
	// Mean and Lower are the expected rating and its lower confidence bound.
	Mean  float64 `json:"mean"`
	Lower float64 `json:"lower"`
	// Deviation is the standard deviation of single ratings.
	Deviation float64 `json:"deviation"`
	// Rated is the discounted number of ratings.
	Rated float64 `json:"rated"`
	// Cost is the expected price of one answer.
	Cost float64 `json:"cost"`
	// Time is the expected time to the complete answer, FirstToken the expected
	// time to its first token.
	Time       time.Duration `json:"time_ns"`
	FirstToken time.Duration `json:"first_token_ns"`
	// ErrorRate is the discounted share of failed answers.
	ErrorRate float64 `json:"error_rate"`
}

// Served is the quality of the answers returned to the callers of a class.
type Served struct {
	// Mean is the mean rating and Lower its lower confidence bound.
	Mean, Lower float64
	// Rated is the discounted number of ratings.
	Rated float64
}

// Feedback reports the served quality of a class. Service implements it.
type Feedback interface {
	Served(class string) Served
}

// Sample is one finished answer.
type Sample struct {
	RequestID    string
	Organisation string
	Class        string
	Version      config.VersionRef
	Prompt       string
	Answer       string
	Cost         float64
	Time         time.Duration
	FirstToken   time.Duration
	Failed       bool
}

// Estimator provides estimates and updates them from observed answers.
type Estimator interface {
	Estimate(class string, ref config.VersionRef) Estimate
	// Observe records a finished answer and may queue it for rating. It never
	// blocks.
	Observe(s Sample)
	// Rate requests the rating in [0,1] of one answer from the rating service,
	// for the check of a cascade. It fails with result.UpstreamTimeout or
	// result.UpstreamError.
	Rate(s Sample, timeout time.Duration) (float64, error)
}
