package drain

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// durationSamples is the number of latest requests of a route that count, and
	// minDurationSamples that from which on they say how long one is likely to take.
	durationSamples    = 32
	minDurationSamples = 4
	// likelyQuantile is the quantile of the durations that a request is likely not to
	// exceed.
	likelyQuantile = 0.75
	// maxDurationRoutes bounds the routes whose durations are kept, about 300 bytes
	// each. Beyond it all are learned anew.
	maxDurationRoutes = 4096
)

// Durations learns how long the requests of each route take. It is safe for
// concurrent use.
type Durations struct {
	mu     sync.Mutex
	routes map[string]*durations
}

// durations are the latest of one route.
type durations struct {
	latest [durationSamples]time.Duration
	count  int
}

// NewDurations returns an estimator without samples.
func NewDurations() *Durations { return &Durations{routes: map[string]*durations{}} }

// Record adds the duration of a request that has been answered.
func (d *Durations) Record(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routes[route]
	if r == nil {
		if len(d.routes) >= maxDurationRoutes {
			clear(d.routes)
		}
		r = &durations{}
		d.routes[route] = r
	}
	r.latest[r.count%durationSamples] = took
	r.count++
}

// Likely returns how long a request of the route is likely to take at most; zero if
// that is not known.
func (d *Durations) Likely(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routes[route]
	if r == nil || r.count < minDurationSamples {
		return 0
	}
	sorted := slices.Clone(r.latest[:min(r.count, durationSamples)])
	slices.Sort(sorted)
	return sorted[int(math.Ceil(likelyQuantile*float64(len(sorted))))-1]
}
