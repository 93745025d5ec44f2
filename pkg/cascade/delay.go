package cascade

import (
	"math"
	"sync"
	"time"
)

const (
	// delayWeight is the EWMA weight of one sample.
	delayWeight = 0.1
	// delayHalfLife is the time in which the delay halves without samples.
	delayHalfLife = 2 * time.Second
)

// DelayEstimator tracks the delay of a service's first events compared with idle
// upstreams. It is safe for concurrent use.
type DelayEstimator struct {
	mu      sync.Mutex
	seconds map[string]float64
	at      map[string]time.Time
}

// NewDelayEstimator returns an estimator without samples.
func NewDelayEstimator() *DelayEstimator {
	return &DelayEstimator{seconds: make(map[string]float64), at: make(map[string]time.Time)}
}

// Observe adds a sample of the delay of a first event. Negative delays count
// as 0.
func (d *DelayEstimator) Observe(service string, delay time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.current(service, now)
	d.seconds[service] = old + delayWeight*(max(delay.Seconds(), 0)-old)
	d.at[service] = now
}

// Current returns the current delay of a service.
func (d *DelayEstimator) Current(service string, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.current(service, now) * float64(time.Second))
}

func (d *DelayEstimator) current(service string, now time.Time) float64 {
	idle := now.Sub(d.at[service]).Seconds()
	return d.seconds[service] * math.Exp2(-idle/delayHalfLife.Seconds())
}
