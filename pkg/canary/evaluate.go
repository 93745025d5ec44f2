package canary

import (
	"math"
	"time"
)

// Count holds the request outcomes of one route and model at one release.
type Count struct {
	// Good and Bad count answers of the application.
	Good uint64 `cbor:"1,keyasint,omitempty"`
	Bad  uint64 `cbor:"2,keyasint,omitempty"`
	// Log2Sum is the sum, over the good answers, of log2 of the milliseconds to
	// the first byte. Times span orders of magnitude, so a few long prompts
	// would dominate a plain mean.
	Log2Sum float64 `cbor:"3,keyasint,omitempty"`
	// Abandoned counts requests given up without an answer; Log2Sum includes
	// the time until then, a lower bound of the answer's time.
	Abandoned uint64 `cbor:"4,keyasint,omitempty"`
	// Times are the times in Log2Sum.
	Times Times `cbor:"5,keyasint,omitzero"`
	// Missed counts the good answers and abandoned requests that took longer than
	// the route's latency objective.
	Missed uint64 `cbor:"6,keyasint,omitempty"`
}

func (c *Count) add(o Count) {
	c.Good += o.Good
	c.Bad += o.Bad
	c.Log2Sum += o.Log2Sum
	c.Abandoned += o.Abandoned
	c.Times.add(&o.Times)
	c.Missed += o.Missed
}

// subtract removes the counts of o, which c includes.
func (c *Count) subtract(o Count) {
	c.Good -= min(o.Good, c.Good)
	c.Bad -= min(o.Bad, c.Bad)
	c.Abandoned -= min(o.Abandoned, c.Abandoned)
	c.Log2Sum -= o.Log2Sum
	c.Times.subtract(&o.Times)
	c.Missed -= min(o.Missed, c.Missed)
	if c.timedCount() == 0 {
		c.Log2Sum = 0
	}
}

func (c Count) total() uint64 { return c.Good + c.Bad }

func (c Count) failureRate() float64 {
	if c.total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.total())
}

// unsatisfactoryShare estimates the share of the requests that fail or miss their
// latency objective, with its standard error; both are large with few requests.
func (c Count) unsatisfactoryShare() (share, stdError float64) {
	n := float64(c.total() + c.Abandoned + 2)
	share = float64(c.Bad+c.Missed+1) / n
	return share, math.Sqrt(share * (1 - share) / n)
}

// addGood counts a good answer.
func (c *Count) addGood(firstByte time.Duration) {
	c.Good++
	c.Log2Sum += log2Milliseconds(firstByte)
	c.Times[timeBucket(firstByte)]++
}

// addAbandoned counts a request given up after waited.
func (c *Count) addAbandoned(waited time.Duration) {
	c.addGood(waited)
	c.Good--
	c.Abandoned++
}

// slowerBy returns log2 of how many times longer a time is than the usual one, 0
// without samples.
func (c Count) slowerBy(took time.Duration) float64 {
	if c.timedCount() == 0 {
		return 0
	}
	return log2Milliseconds(took) - c.Log2Sum/c.timedCount()
}

// timedCount is the number of samples in Log2Sum.
func (c Count) timedCount() float64 { return float64(c.Good + c.Abandoned) }

// Comparison holds the counts of the old and the new release.
type Comparison struct {
	Old Count `cbor:"1,keyasint,omitempty"`
	New Count `cbor:"2,keyasint,omitempty"`
	// OldInterval and NewInterval count streams with the mean time between their
	// events: a release may slow down events but not the first byte.
	OldInterval Count `cbor:"3,keyasint,omitempty"`
	NewInterval Count `cbor:"4,keyasint,omitempty"`
}

func (c *Comparison) add(o Comparison) {
	c.Old.add(o.Old)
	c.New.add(o.New)
	c.OldInterval.add(o.OldInterval)
	c.NewInterval.add(o.NewInterval)
}

// side returns the counts of the new or the old release.
func (c *Comparison) side(new bool) (firstByte, interval *Count) {
	if new {
		return &c.New, &c.NewInterval
	}
	return &c.Old, &c.OldInterval
}

// Stats holds one node's counts for one rollout, by route and model.
type Stats map[string]Comparison

// newGood is the number of good answers of the new release.
func (s Stats) newGood() (good uint64) {
	for _, pair := range s {
		good += pair.New.Good
	}
	return good
}

// add adds the counts of o.
func (s Stats) add(o Stats) {
	for key, pair := range o {
		c := s[key]
		c.add(pair)
		s[key] = c
	}
}

// The thresholds of Evaluate. A release is bad if it fails clearly more often
// than the old one, or if it is several times slower.
const (
	// minFailures is required so that one faulty upstream of a good release
	// does not halt the rollout.
	minFailures = 4
	// The new release's failure rate must exceed the old one's by
	// failureRateMargin, and either failureRateFactor times or significantly.
	failureRateMargin = 0.12
	failureRateFactor = 3
	// minFirstByteSlowdown and minIntervalSlowdown are log2 of the slowdown to
	// the first event and between events: three times and 1.8 times.
	// firstByteStdDev and intervalStdDev are the usual standard deviations of
	// these logarithms; prompts vary more than event rates. slowdownStdErrors
	// is the number of standard errors that a difference must exceed; it is
	// large because the counts are evaluated repeatedly as they grow. Before a
	// step that gives the release most of the traffic they are evaluated once
	// more, with decisionStdErrors.
	minFirstByteSlowdown = 1.58
	firstByteStdDev      = 1.6
	minIntervalSlowdown  = 0.85
	intervalStdDev       = 0.8
	slowdownStdErrors    = 4.5
	decisionStdErrors    = 3
	// lateQuantile of the old release's times on a route and model, and half an
	// octave more, is the time from which on an answer counts as late, at least
	// minFirstByteSlowdown above their mean. A release is bad if the share of its
	// late answers exceeds the old one's by lateShareMargin: one that slows down
	// only some of its requests hardly moves the mean. minLateAnswers late ones and
	// minLateSamples samples of each release are required.
	lateQuantile    = 0.95
	lateShareMargin = 0.15
	minLateAnswers  = 4
	minLateSamples  = 20
	// A yardstick above maxOldUnsatisfactory, the old release's share of failed and
	// late requests, proves nothing: a disruption may spoil all of its upstreams.
	// Then the new release gets the whole traffic only if its own share is below
	// maxNewUnsatisfactory by provedStdErrors standard errors.
	maxOldUnsatisfactory = 0.15
	maxNewUnsatisfactory = 0.25
	provedStdErrors      = 2
	// minProvedRequests is the number of requests of the new release required for
	// that.
	minProvedRequests = 10
	// alwaysFails is the failure rate of the old release from which on a route says
	// nothing about releases.
	alwaysFails = 0.9
)

// Evaluate compares the releases over all reports, by the answers of sound
// upstreams: cells are the counts of single upstreams. It returns the reason why
// the new release is bad, or an empty string. A difference counts if it exceeds
// stdErrors standard errors.
func Evaluate(reports []Stats, cells map[cell]cellCounts, stdErrors float64) (reason string) {
	return soundStats(reports, cells).verdict(stdErrors)
}

// soundStats sums the answers of sound upstreams over all reports.
func soundStats(reports []Stats, cells map[cell]cellCounts) Stats {
	sum, _ := aggregate(reports)
	sound, _ := withoutImpaired(sum, cells)
	return sound
}

// unproved reports whether the old release does too badly for a comparison and the
// new one is not shown to do well.
func (s Stats) unproved() bool {
	var total Comparison
	for _, c := range s {
		if c.Old.failureRate() < alwaysFails {
			total.add(c)
		}
	}
	if share, _ := total.Old.unsatisfactoryShare(); share <= maxOldUnsatisfactory {
		return false
	}
	share, stdError := total.New.unsatisfactoryShare()
	return total.New.total()+total.New.Abandoned < minProvedRequests || share+provedStdErrors*stdError > maxNewUnsatisfactory
}

// verdict returns the reason why the new release is bad, or an empty string.
func (s Stats) verdict(stdErrors float64) (reason string) {
	var total Comparison
	for _, c := range s {
		total.add(c)
	}
	if total.failsMoreOften(stdErrors) {
		return "fails more often"
	}
	var firstByte, interval slowdown
	var late lateAnswers
	for _, c := range s {
		if c.failsMoreOften(stdErrors) {
			return "fails more often on one route"
		}
		routeLate := lateAnswersOf(c)
		if routeLate.significant(stdErrors) {
			return "more late answers on one route"
		}
		late.add(routeLate)
		var routeFirstByte, routeInterval slowdown
		routeFirstByte.add(c.Old, c.New)
		routeInterval.add(c.OldInterval, c.NewInterval)
		if routeFirstByte.significant(minFirstByteSlowdown, firstByteStdDev, stdErrors) ||
			routeInterval.significant(minIntervalSlowdown, intervalStdDev, stdErrors) {
			return "slower on one route"
		}
		firstByte.add(c.Old, c.New)
		interval.add(c.OldInterval, c.NewInterval)
	}
	if firstByte.significant(minFirstByteSlowdown, firstByteStdDev, stdErrors) ||
		interval.significant(minIntervalSlowdown, intervalStdDev, stdErrors) {
		return "slower"
	}
	if late.significant(stdErrors) {
		return "more late answers"
	}
	return ""
}

// aggregate sums reports, by route and model and in total.
func aggregate(reports []Stats) (sum Stats, total Comparison) {
	sum = make(Stats)
	for _, e := range reports {
		sum.add(e)
	}
	for _, pair := range sum {
		total.add(pair)
	}
	return sum, total
}

// failsMoreOften compares the failure rates. The margin does not grow with the old
// release's rate: a disruption that raises it must not hide a bad release.
func (c Comparison) failsMoreOften(stdErrors float64) bool {
	before, after := c.Old.failureRate(), c.New.failureRate()
	if c.New.Bad < minFailures || after <= before+failureRateMargin {
		return false
	}
	return after > failureRateFactor*before ||
		exceeds(c.New.Bad, c.New.total(), c.Old.Bad, c.Old.total(), failureRateMargin, stdErrors)
}

// exceeds reports whether a of n is a larger share than b of m by more than margin
// and by more than stdErrors standard errors of shares that are equal.
func exceeds(a, n, b, m uint64, margin, stdErrors float64) bool {
	if n == 0 || m == 0 {
		return false
	}
	difference := float64(a)/float64(n) - float64(b)/float64(m)
	share := float64(a+b) / float64(n+m)
	stdError := math.Sqrt(share * (1 - share) * (1/float64(n) + 1/float64(m)))
	return difference > margin && difference > stdErrors*stdError
}

// lateAnswers are the answers that took clearly longer than most of the old
// release, and the samples.
type lateAnswers struct{ new, newSamples, old, oldSamples uint64 }

// lateAnswersOf counts the late answers on one route and model, none without enough
// samples of the old release.
func lateAnswersOf(c Comparison) (l lateAnswers) {
	samples := c.Old.Times.count()
	if samples < minLateSamples {
		return l
	}
	bucket := 0
	for float64(c.Old.Times.above(bucket)) > (1-lateQuantile)*float64(samples) {
		bucket++
	}
	// A slowdown of all answers counts only from minFirstByteSlowdown on.
	bucket = max(bucket+1, int(2*(c.Old.Log2Sum/c.Old.timedCount()+minFirstByteSlowdown)))
	return lateAnswers{
		new: c.New.Times.above(bucket), newSamples: c.New.Times.count(),
		old: c.Old.Times.above(bucket), oldSamples: samples,
	}
}

func (l *lateAnswers) add(o lateAnswers) {
	l.new += o.new
	l.newSamples += o.newSamples
	l.old += o.old
	l.oldSamples += o.oldSamples
}

func (l lateAnswers) significant(stdErrors float64) bool {
	return l.new >= minLateAnswers && l.newSamples >= minLateSamples &&
		exceeds(l.new, l.newSamples, l.old, l.oldSamples, lateShareMargin, stdErrors)
}

// slowdown averages the log2 slowdown of the new release over routes and
// models, weighted by inverse variance.
type slowdown struct {
	weight, sum float64
}

func (s *slowdown) add(old, new Count) {
	n, o := new.timedCount(), old.timedCount()
	if n == 0 || o == 0 {
		return
	}
	weight := 1 / (1/n + 1/o)
	s.weight += weight
	s.sum += weight * (new.Log2Sum/n - old.Log2Sum/o)
}

// factor is how many times slower the new release is, 1 without samples.
func (s *slowdown) factor() float64 {
	if s.weight == 0 {
		return 1
	}
	return math.Exp2(s.sum / s.weight)
}

// significant reports whether the mean log2 slowdown exceeds threshold and is
// statistically significant for samples with the standard deviation stdDev.
func (s *slowdown) significant(threshold, stdDev, stdErrors float64) bool {
	if s.weight == 0 {
		return false
	}
	mean := s.sum / s.weight
	return mean > threshold && mean > stdErrors*stdDev/math.Sqrt(s.weight)
}
