package runners

import (
	"math"
	"time"
)

// Parameters of the adaptive concurrency limit.
const (
	// limitWindow is the number of responses between updates of the limit.
	limitWindow = 10
	// longTermWeight is the weight of one window in the EWMA of the latency.
	longTermWeight = 0.05
	// latencyTolerance is the factor by which the latency of a batching engine
	// rises under load without overload.
	latencyTolerance = 1.5
	minGradient      = 0.5
	limitSmoothing   = 0.3
	// limitPerCapacity is the maximum limit as a multiple of the runner's
	// declared capacity.
	limitPerCapacity = 2
)

// gradientLimit is the adaptive concurrency limit of one runner on this node:
// limit = limit × min(1, long-term latency / short-term latency) + headroom.
type gradientLimit struct {
	limit    float64
	ceiling  float64
	longTerm float64
	sum      float64
	count    int
	peakOpen int
}

func newGradientLimit(capacity int) gradientLimit {
	c := float64(max(1, capacity))
	return gradientLimit{limit: c, ceiling: limitPerCapacity * c}
}

// observe adds the latency of one response and the number of requests that were
// open when it arrived.
func (g *gradientLimit) observe(latency time.Duration, open int) {
	g.sum += latency.Seconds()
	g.count++
	g.peakOpen = max(g.peakOpen, open)
	if g.count < limitWindow {
		return
	}
	short := g.sum / float64(g.count)
	peak := g.peakOpen
	g.sum, g.count, g.peakOpen = 0, 0, 0
	if g.longTerm == 0 {
		g.longTerm = short
	}
	g.longTerm += longTermWeight * (short - g.longTerm)
	ratio := 1.0
	if short > 0 {
		ratio = min(1, max(minGradient, latencyTolerance*g.longTerm/short))
	}
	next := g.limit*ratio + math.Sqrt(g.limit)
	if next > g.limit && float64(peak) < g.limit/2 {
		return // Latency at low load is no evidence for a higher limit.
	}
	g.limit += limitSmoothing * (next - g.limit)
	g.limit = min(g.ceiling, max(1, g.limit))
}

// decrease lowers the limit by 10%, after a timeout or an overload refusal.
func (g *gradientLimit) decrease() { g.limit = max(1, g.limit*0.9) }

func (g *gradientLimit) value() int { return int(g.limit) }
