package cascade

import (
	"math"
	"sync"
	"time"
)

const (
	// delayWeight is the weight of one sample.
	delayWeight = 0.1
	// delayHalfLife is the time in which the delay halves without samples.
	delayHalfLife = 2 * time.Second
)

// DelayEstimator follows how much later than on idle upstreams the first events of a
// service come. It is safe for concurrent use.
type DelayEstimator struct {
	mu      sync.Mutex
	seconds map[string]float64
	at      map[string]time.Time
}

// NewDelayEstimator returns an estimator without delays.
func NewDelayEstimator() *DelayEstimator {
	return &DelayEstimator{seconds: make(map[string]float64), at: make(map[string]time.Time)}
}

// Observe takes the delay of one first event.
func (d *DelayEstimator) Observe(service string, delay time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.current(service, now)
	d.seconds[service] = old + delayWeight*(max(delay.Seconds(), 0)-old)
	d.at[service] = now
}

// Current returns the present delay of a service.
func (d *DelayEstimator) Current(service string, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.current(service, now) * float64(time.Second))
}

func (d *DelayEstimator) current(service string, now time.Time) float64 {
	idle := now.Sub(d.at[service]).Seconds()
	return d.seconds[service] * math.Exp2(-idle/delayHalfLife.Seconds())
}
