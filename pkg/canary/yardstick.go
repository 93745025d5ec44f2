package canary

import (
	"math"
)

// The thresholds of impairedUpstreams.
const (
	// minCellAnswers is the number of answers from which on a group of requests is
	// compared with the others.
	minCellAnswers = 5
	// impairedSlowdown is log2 of how many times slower than the fastest group an
	// impaired one is; impairedFailures is how much higher its failure rate is.
	impairedSlowdown = 1.5
	impairedFailures = 0.12
	// impairedStdErrors is the number of standard errors that the difference must
	// exceed.
	impairedStdErrors = 4
	// minTimeVariance is the lower bound of the variance of log2 of the times on one
	// route and model: the buckets of Times hide smaller ones.
	minTimeVariance = 0.1
	// minYardstickAnswers is the number of answers below which the old release is
	// judged by all of its upstreams.
	minYardstickAnswers = 16
	// minHealthyShare is the share of the answers below which the new release is
	// judged by all of its upstreams: one that is bad at most of them is bad.
	minHealthyShare = 0.4
)

// source is where answers come from: one upstream, or all that are not tracked, in
// one period.
type source struct {
	upstream uint32
	period   uint8
}

// sourceStats compare one source with the others of its release.
type sourceStats struct {
	// timed and answers are the numbers of samples of the two values.
	timed, answers float64
	// slowdown is the mean log2 slowdown against the release's mean of the same
	// route and model; variance is that of one sample.
	slowdown, variance float64
	// failures is the failure rate above the release's of the same route.
	failures float64
}

// withoutImpaired returns the sum of reports without the answers of impaired
// upstreams: those that are clearly slower, or fail more often, than others of
// their release. A disruption that spoils some upstreams of the old release would
// otherwise hide a bad new one, and one at the new release would look like a bad
// release. impaired is the number of answers left out at the old release.
func withoutImpaired(sum Stats, cells map[cell]cellCounts) (judged Stats, impaired uint64) {
	judged = make(Stats, len(sum))
	for key, c := range sum {
		judged[key] = c
	}
	for _, new := range []bool{false, true} {
		bad := impairedSources(cells, new)
		excluded, all := uint64(0), uint64(0)
		for id, c := range cells {
			if id.new == new {
				all += c.total()
				if bad[id.source()] {
					excluded += c.total()
				}
			}
		}
		healthy := all - excluded
		if excluded == 0 || !new && healthy < minYardstickAnswers || new && float64(healthy) < minHealthyShare*float64(all) {
			continue
		}
		if !new {
			impaired = excluded
		}
		for id, c := range cells {
			if id.new == new && bad[id.source()] {
				pair := judged[id.key]
				firstByte, interval := pair.side(new)
				firstByte.subtract(c.FirstByte)
				interval.subtract(c.Interval)
				judged[id.key] = pair
			}
		}
	}
	return judged, impaired
}

func (id cell) source() source { return source{id.upstream, id.period} }

// routeTimes are the answers of a release on one route and model.
type routeTimes struct {
	all Count
	// squares is the sum of the squared deviations of log2 of the times from the
	// mean of their own source, freedom its degrees of freedom.
	squares, freedom float64
}

func (r *routeTimes) add(c Count) {
	r.all.add(c)
	if timed := c.timedCount(); timed > 0 {
		r.squares += timed * c.Times.variance()
		r.freedom += timed - 1
	}
}

// variance is that of log2 of the times at one source: between sources they differ
// more, if some are impaired.
func (r *routeTimes) variance() float64 {
	if r.freedom == 0 {
		return firstByteStdDev * firstByteStdDev
	}
	return max(r.squares/r.freedom, minTimeVariance)
}

// impairedSources returns the sources of a release that are impaired.
func impairedSources(cells map[cell]cellCounts, new bool) map[source]bool {
	release := make(map[string]*routeTimes)
	for id, c := range cells {
		if id.new == new {
			if release[id.key] == nil {
				release[id.key] = &routeTimes{}
			}
			release[id.key].add(c.FirstByte)
		}
	}
	sources := make(map[source]*sourceStats)
	var all Count
	for id, c := range cells {
		if id.new != new {
			continue
		}
		s := sources[id.source()]
		if s == nil {
			s = &sourceStats{}
			sources[id.source()] = s
		}
		all.add(c.FirstByte)
		s.add(c.FirstByte, release[id.key])
	}
	failureRate := all.failureRate()
	fastest, soundest := math.Inf(1), math.Inf(1)
	var fast, sound *sourceStats
	for _, s := range sources {
		s.finish()
		if s.timed >= minCellAnswers {
			if bound := s.slowdown + 2*math.Sqrt(s.variance/s.timed); bound < fastest {
				fastest, fast = bound, s
			}
		}
		if s.answers >= minCellAnswers {
			if bound := s.failures + 2*math.Sqrt(failureRate*(1-failureRate)/s.answers); bound < soundest {
				soundest, sound = bound, s
			}
		}
	}
	bad := make(map[source]bool)
	for id, s := range sources {
		if fast != nil && s.timed > 0 {
			difference := s.slowdown - fast.slowdown
			stdError := math.Sqrt(s.variance/s.timed + fast.variance/fast.timed)
			bad[id] = difference > impairedSlowdown && difference > impairedStdErrors*stdError
		}
		if sound != nil && s.answers > 0 {
			difference := s.failures - sound.failures
			stdError := math.Sqrt(failureRate * (1 - failureRate) * (1/s.answers + 1/sound.answers))
			bad[id] = bad[id] || difference > impairedFailures && difference > impairedStdErrors*stdError
		}
	}
	return bad
}

// add adds the counts of one route and model; release are those of all sources.
func (s *sourceStats) add(c Count, release *routeTimes) {
	if timed := c.timedCount(); timed > 0 {
		s.timed += timed
		s.slowdown += c.Log2Sum - timed*release.all.Log2Sum/release.all.timedCount()
		s.variance += timed * release.variance()
	}
	if answers := float64(c.total()); answers > 0 {
		s.answers += answers
		s.failures += float64(c.Bad) - answers*release.all.failureRate()
	}
}

// finish turns sums into means.
func (s *sourceStats) finish() {
	if s.timed > 0 {
		s.slowdown /= s.timed
		s.variance /= s.timed
	}
	if s.answers > 0 {
		s.failures /= s.answers
	}
}
