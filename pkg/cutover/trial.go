// Package cutover moves a service's traffic from one release of its upstreams
// to another. Every node assigns sessions to a release by the same rule, counts
// what becomes of the requests, and floods the counts; each node judges the
// release on the counts of all. No node is in charge: the order's state in the
// store is written under a condition by whichever node comes first.
package cutover

import (
	"math"
	"time"

	"cassiapin/pkg/topology"
)

// Count is what became of the requests of one route and model at one release.
type Count struct {
	// Good and Bad are answers of the application.
	Good uint64 `cbor:"1,keyasint,omitempty"`
	Bad  uint64 `cbor:"2,keyasint,omitempty"`
	// LogFirst is the sum, over the good answers, of the logarithm to base 2
	// of the milliseconds to the first byte. Times are spread over orders of
	// magnitude, so their mean would be that of a few long prompts.
	LogFirst float64 `cbor:"3,keyasint,omitempty"`
	// Late are requests that were given up without an answer; LogFirst has the
	// time until then, which is less than the answer would have taken.
	Late uint64 `cbor:"4,keyasint,omitempty"`
}

func (c *Count) add(o Count) {
	c.Good += o.Good
	c.Bad += o.Bad
	c.LogFirst += o.LogFirst
	c.Late += o.Late
}

func (c Count) total() uint64 { return c.Good + c.Bad }

func (c Count) failureRate() float64 {
	if c.total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.total())
}

// answered counts a good answer.
func (c *Count) answered(firstByte time.Duration) {
	c.Good++
	c.LogFirst += math.Log2(max(float64(firstByte.Milliseconds()), 1))
}

// late counts a request that was given up.
func (c *Count) late(waited time.Duration) {
	c.answered(waited)
	c.Good--
	c.Late++
}

// timed is the number of times that LogFirst sums up.
func (c Count) timed() float64 { return float64(c.Good + c.Late) }

// Cell is the pair of counts that is compared.
type Cell struct {
	Old Count `cbor:"1,keyasint,omitempty"`
	New Count `cbor:"2,keyasint,omitempty"`
	// OldPace and NewPace count streams with the mean time between their
	// events, which a release may slow down without being late at first.
	OldPace Count `cbor:"3,keyasint,omitempty"`
	NewPace Count `cbor:"4,keyasint,omitempty"`
}

func (c *Cell) add(o Cell) {
	c.Old.add(o.Old)
	c.New.add(o.New)
	c.OldPace.add(o.OldPace)
	c.NewPace.add(o.NewPace)
}

// Evidence is what one node has counted in one trial, by route and model.
type Evidence map[string]Cell

// The bounds of a verdict. A release that fails a few requests more often than
// the old one by a clear margin is bad; so is one that is several times slower.
const (
	// minBad failures are needed, so that one faulty upstream of a good
	// release does not end its trial.
	minBad = 4
	// badMargin and badFactor are how much more often the new release must
	// fail than the old one.
	badMargin = 0.12
	badFactor = 3
	// firstSlower and paceSlower are how much slower the new release must be
	// to the first event and between events, as logarithms to base 2: three
	// times and 1.8 times. firstSpread and paceSpread are the usual standard
	// deviations of the logarithms; prompts differ more than the speed of
	// events. slowErrors is the number of standard errors by which a
	// difference must stand out; it is large because the counts are looked at
	// many times.
	firstSlower = 1.58
	firstSpread = 1.6
	paceSlower  = 0.85
	paceSpread  = 0.8
	slowErrors  = 4.5
)

// Judge compares the releases over all evidence. reason is empty for a release
// with nothing against it.
func Judge(reports []Evidence) (reason string) {
	sum, total := sumUp(reports)
	if failsMore(total) {
		return "fails more often"
	}
	var first, pace slowness
	for _, cell := range sum {
		if failsMore(cell) {
			return "fails more often on one route"
		}
		var oneFirst, onePace slowness
		oneFirst.add(cell.Old, cell.New)
		onePace.add(cell.OldPace, cell.NewPace)
		if oneFirst.significant(firstSlower, firstSpread) || onePace.significant(paceSlower, paceSpread) {
			return "slower on one route"
		}
		first.add(cell.Old, cell.New)
		pace.add(cell.OldPace, cell.NewPace)
	}
	if first.significant(firstSlower, firstSpread) || pace.significant(paceSlower, paceSpread) {
		return "slower"
	}
	return ""
}

// sumUp adds reports up, by route and model and over all.
func sumUp(reports []Evidence) (sum Evidence, total Cell) {
	sum = make(Evidence)
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

// attrs describes the evidence in a log line.
func (t *trial) attrs() []any {
	sum, total := sumUp(t.evidence())
	var first, pace slowness
	for _, cell := range sum {
		first.add(cell.Old, cell.New)
		pace.add(cell.OldPace, cell.NewPace)
	}
	return []any{
		"evidence_nodes", len(t.peers) + 1, "old_good", total.Old.Good, "old_bad", total.Old.Bad, "old_late", total.Old.Late,
		"new_good", total.New.Good, "new_bad", total.New.Bad, "new_late", total.New.Late,
		"times_slower", first.times(), "times_slower_events", pace.times(),
	}
}

func failsMore(c Cell) bool {
	before := c.Old.failureRate()
	return c.New.Bad >= minBad && c.New.failureRate() > max(badFactor*before, before+badMargin)
}

// slowness averages the logarithms of how much slower the new release is over
// routes and models, weighted by how certain they are.
type slowness struct {
	weight, sum float64
}

func (s *slowness) add(old, new Count) {
	n, o := new.timed(), old.timed()
	if n == 0 || o == 0 {
		return
	}
	weight := 1 / (1/n + 1/o)
	s.weight += weight
	s.sum += weight * (new.LogFirst/n - old.LogFirst/o)
}

// times is how many times slower the new release is, 1 if nothing is known.
func (s *slowness) times() float64 {
	if s.weight == 0 {
		return 1
	}
	return math.Exp2(s.sum / s.weight)
}

// significant reports whether the difference is above least and stands out
// from the spread of the samples.
func (s *slowness) significant(least, spread float64) bool {
	if s.weight == 0 {
		return false
	}
	difference := s.sum / s.weight
	return difference > least && difference > slowErrors*spread/math.Sqrt(s.weight)
}

// The schedule of a change, in parts of the time that the order allows. In the
// first half a small share of new sessions tries the release; then the share
// grows in steps, each of which is long enough to notice a release that fails
// under load. The rest is for old requests to end.
const (
	firstHalf  = 0.5
	secondStep = 0.56
	lastStep   = 0.62
)

// Shares of the steps.
const (
	// trialShare is the largest share in the first half. trialExposure is the
	// part of the exposure bound that the trial may use: half of the time at
	// this share leaves the rest for the growing steps.
	trialShare    = 0.10
	trialExposure = 0.65
	firstShare    = 0.3
	secondShare   = 0.65
)

// trial is the state of one order at one node.
type trial struct {
	order *topology.Rollout
	// started is the earliest start that any node saw.
	started time.Time
	// halted is the reason for which the release gets nothing more.
	halted string
	share  float64
	own    Evidence
	// peers are the reports to this node, which has all of them only if it
	// sums them up; sum is the latest sum by another node.
	peers map[string]peerReport
	sum   Message
	// oldSessions and newSessions are reported bindings to pass on.
	oldSessions, newSessions []uint64
	// ticks counts the steps of the schedule.
	ticks int
	// told tells that this node has told all nodes of the halt.
	told bool
	// newSent is the number of requests to the new release, sent the number
	// of all requests, at this node.
	newSent, sent uint64
	// openOld is the number of open requests at the old release; firmOld are
	// those of them that cannot go on elsewhere.
	openOld, firmOld int
	// written is when this node last wrote the state; haltedAt and drainedAt
	// are when the state to write became due.
	written, haltedAt, drainedAt time.Time
	// announced tells that the order was shown as running.
	announced bool
}

// peerReport is the latest message of a node.
type peerReport struct {
	message Message
	at      time.Time
}

// sameOrder reports whether two readings are of one order. An operator may
// write the next order into the object of the last one.
func sameOrder(a, b *topology.Rollout) bool { return a.Created == b.Created && a.Target == b.Target }

func newTrial(r *topology.Rollout, now time.Time) *trial {
	return &trial{order: r, started: now, own: make(Evidence), peers: make(map[string]peerReport)}
}

// progress is the part of the order's time that has passed.
func (t *trial) progress(now time.Time) float64 {
	return float64(now.Sub(t.started)) / float64(t.order.Duration)
}

// lead is the time before the first request to a new release, in which nodes
// tell each other which sessions are under way.
const lead = 700 * time.Millisecond

// shareAt returns the share of sessions that may use the new release.
func (t *trial) shareAt(now time.Time, exposure float64) float64 {
	p := t.progress(now)
	switch {
	case t.halted != "" || now.Sub(t.started) < lead:
		return 0
	case p < firstHalf:
		return min(trialShare, trialExposure*exposure)
	case !t.tried():
		// Nothing is known of the release; a larger share would expose
		// callers to it unseen.
		return min(trialShare, trialExposure*exposure)
	case p < secondStep:
		return firstShare
	case p < lastStep:
		return secondShare
	}
	return 1
}

// minTrial is the number of good answers without which the share does not
// grow.
const minTrial = 8

// tried reports whether the release has answered enough requests.
func (t *trial) tried() bool { return max(t.goodAnswers(), t.sum.Tried) >= minTrial }

// goodAnswers counts the good answers of the new release that this node knows.
func (t *trial) goodAnswers() uint64 {
	good := uint64(0)
	for _, e := range t.evidence() {
		for _, cell := range e {
			good += cell.New.Good
		}
	}
	return good
}

// evidence returns the counts of all nodes.
func (t *trial) evidence() []Evidence {
	all := make([]Evidence, 0, len(t.peers)+1)
	all = append(all, t.own)
	for _, p := range t.peers {
		all = append(all, p.message.Evidence)
	}
	return all
}

// overExposed reports whether the new release has had its part of the
// requests. It counts in the first half only; later the share is meant to grow.
func (t *trial) overExposed(now time.Time, exposure, extra float64) bool {
	if t.progress(now) >= firstHalf {
		return false
	}
	tried, sent := t.newSent, t.sent
	for _, p := range t.peers {
		tried += p.message.NewSent
		sent += p.message.Sent
	}
	if t.sum.Sent > sent {
		tried, sent = t.sum.NewSent, t.sum.Sent
	}
	return float64(tried) >= exposure*trialExposure*float64(sent)+extra/2
}

// lastCall is the part of the order's time after which streams that may go on
// elsewhere no longer put off the end: the old upstreams stop and the streams
// are resumed at the new release.
const lastCall = 0.9

// earliestEnd is the part of the order's time before which the old upstreams
// are not given up: a release that fails under the whole load shows it by then,
// and there is a way back.
const earliestEnd = 0.82

// moved reports whether this node has nothing at the old release that has to
// end there, and sends nothing to it.
func (t *trial) moved(now time.Time) bool {
	if t.share < 1 {
		return false
	}
	return t.openOld == 0 || t.firmOld == 0 && t.progress(now) >= lastCall
}

// drained reports whether that holds for all nodes. silent is the age from
// which a node's report does not count.
func (t *trial) drained(now time.Time, live []string, silent time.Duration) bool {
	if !t.moved(now) || t.progress(now) < earliestEnd {
		return false
	}
	for _, node := range live {
		report, ok := t.peers[node]
		if !ok || now.Sub(report.at) > silent || !report.message.Moved {
			return false
		}
	}
	return true
}
