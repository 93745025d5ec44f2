package cutover

import (
	"math"
	"time"
)

// Count is what became of the requests of one route and model at one release.
type Count struct {
	// Good and Bad are answers of the application.
	Good uint64 `cbor:"1,keyasint,omitempty"`
	Bad  uint64 `cbor:"2,keyasint,omitempty"`
	// Log2Sum is the sum, over the good answers, of the logarithm to base 2
	// of the milliseconds to the first byte. Times are spread over orders of
	// magnitude, so their mean would be that of a few long prompts.
	Log2Sum float64 `cbor:"3,keyasint,omitempty"`
	// Abandoned are requests that were given up without an answer; LogFirst has the
	// time until then, which is less than the answer would have taken.
	Abandoned uint64 `cbor:"4,keyasint,omitempty"`
}

func (c *Count) add(o Count) {
	c.Good += o.Good
	c.Bad += o.Bad
	c.Log2Sum += o.Log2Sum
	c.Abandoned += o.Abandoned
}

func (c Count) total() uint64 { return c.Good + c.Bad }

func (c Count) failureRate() float64 {
	if c.total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.total())
}

// addGood counts a good answer.
func (c *Count) addGood(firstByte time.Duration) {
	c.Good++
	c.Log2Sum += math.Log2(max(float64(firstByte.Milliseconds()), 1))
}

// addAbandoned counts a request that was given up.
func (c *Count) addAbandoned(waited time.Duration) {
	c.addGood(waited)
	c.Good--
	c.Abandoned++
}

// timedCount is the number of times that LogFirst sums up.
func (c Count) timedCount() float64 { return float64(c.Good + c.Abandoned) }

// Comparison is the pair of counts that is compared.
type Comparison struct {
	Old Count `cbor:"1,keyasint,omitempty"`
	New Count `cbor:"2,keyasint,omitempty"`
	// OldInterval and NewPace count streams with the mean time between their
	// events, which a release may slow down without being late at first.
	OldInterval Count `cbor:"3,keyasint,omitempty"`
	NewInterval Count `cbor:"4,keyasint,omitempty"`
}

func (c *Comparison) add(o Comparison) {
	c.Old.add(o.Old)
	c.New.add(o.New)
	c.OldInterval.add(o.OldInterval)
	c.NewInterval.add(o.NewInterval)
}

// Stats is what one node has counted in one trial, by route and model.
type Stats map[string]Comparison

// The bounds of a verdict. A release that fails a few requests more often than
// the old one by a clear margin is bad; so is one that is several times slower.
const (
	// minFailures failures are needed, so that one faulty upstream of a good
	// release does not end its trial.
	minFailures = 4
	// failureRateMargin and badFactor are how much more often the new release must
	// fail than the old one.
	failureRateMargin = 0.12
	failureRateFactor = 3
	// minFirstByteSlowdown and paceSlower are how much slower the new release must be
	// to the first event and between events, as logarithms to base 2: three
	// times and 1.8 times. firstSpread and paceSpread are the usual standard
	// deviations of the logarithms; prompts differ more than the speed of
	// events. slowErrors is the number of standard errors by which a
	// difference must stand out; it is large because the counts are looked at
	// many times.
	minFirstByteSlowdown = 1.58
	firstByteStdDev      = 1.6
	minIntervalSlowdown  = 0.85
	intervalStdDev       = 0.8
	slowdownStdErrors    = 4.5
)

// Evaluate compares the releases over all evidence. reason is empty for a release
// with nothing against it.
func Evaluate(reports []Stats) (reason string) {
	sum, total := aggregate(reports)
	if failsMoreOften(total) {
		return "fails more often"
	}
	var first, pace slowdown
	for _, cell := range sum {
		if failsMoreOften(cell) {
			return "fails more often on one route"
		}
		var oneFirst, onePace slowdown
		oneFirst.add(cell.Old, cell.New)
		onePace.add(cell.OldInterval, cell.NewInterval)
		if oneFirst.significant(minFirstByteSlowdown, firstByteStdDev) || onePace.significant(minIntervalSlowdown, intervalStdDev) {
			return "slower on one route"
		}
		first.add(cell.Old, cell.New)
		pace.add(cell.OldInterval, cell.NewInterval)
	}
	if first.significant(minFirstByteSlowdown, firstByteStdDev) || pace.significant(minIntervalSlowdown, intervalStdDev) {
		return "slower"
	}
	return ""
}

// aggregate adds reports up, by route and model and over all.
func aggregate(reports []Stats) (sum Stats, total Comparison) {
	sum = make(Stats)
	for _, e := range reports {
		for key, cell := range e {
			c := sum[key]
			c.add(cell)
			sum[key] = c
			total.add(cell)
		}
	}
	return sum, total
}

func failsMoreOften(c Comparison) bool {
	before := c.Old.failureRate()
	return c.New.Bad >= minFailures && c.New.failureRate() > max(failureRateFactor*before, before+failureRateMargin)
}

// slowdown averages the logarithms of how much slower the new release is over
// routes and models, weighted by how certain they are.
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

// factor is how many times slower the new release is, 1 if nothing is known.
func (s *slowdown) factor() float64 {
	if s.weight == 0 {
		return 1
	}
	return math.Exp2(s.sum / s.weight)
}

// significant reports whether the difference is above least and stands out
// from the spread of the samples.
func (s *slowdown) significant(least, spread float64) bool {
	if s.weight == 0 {
		return false
	}
	difference := s.sum / s.weight
	return difference > least && difference > slowdownStdErrors*spread/math.Sqrt(s.weight)
}
