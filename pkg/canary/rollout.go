// Package canary moves a service's traffic from one release of its upstreams
// to another. Every node assigns sessions to a release by the same rule, counts
// the outcomes of requests, and shares the counts; each node evaluates the
// release on the counts of all. There is no leader: any node may write the
// rollout's state to the store, with a conditional write.
package canary

import (
	"maps"
	"math"
	"slices"
	"time"

	"cassiapin/pkg/hashing"
	"cassiapin/pkg/topology"
)

// The schedule of a rollout, as fractions of its duration. In the canary phase
// a small share of the sessions uses the new release, and sessions that are
// already active stay at the old one for the first half. Then the share rises
// to 1 within rampLength. The ramp starts when all requests that are still to
// come fit into the exposure bound: a release may fail only at a load that the
// canary does not reach, and then the ramp is the first that shows it.
const (
	canaryEnd  = 0.5
	rampLength = 0.03
	// rampSteps is the number of steps of the ramp; each is logged.
	rampSteps = 4
	// earliestRamp and latestRamp bound the start of the ramp. A node that
	// hears of no start begins at latestRamp.
	earliestRamp = 0.6
	latestRamp   = 0.9
)

// Parts of the exposure bound.
const (
	// canaryShareOfBound is the canary's share of the sessions, at most
	// maxCanaryShare of all, and canaryExposure the highest share of its
	// requests, as fractions of the bound. What the canary uses up delays the
	// ramp.
	canaryShareOfBound = 0.33
	maxCanaryShare     = 0.1
	canaryExposure     = 0.4
	// rampExposure is the fraction of the bound that may be used up at the end
	// of the duration; the rest is for a rate that rises meanwhile.
	rampExposure = 0.95
	// extraExposure is the fraction of the bound's additional requests that may
	// be used up, and maxExtraShare limits them to a share of all requests,
	// because counts are low after nodes have restarted.
	extraExposure = 0.5
	maxExtraShare = 0.05
)

// rollout is one node's state of a topology.Rollout.
type rollout struct {
	object *topology.Rollout
	// id identifies the rollout between nodes and seeds their order: the revision at
	// which its object was created, in the earliest era that any node knows it from.
	id topology.Revision
	// repeated is set if the last rollout had the same target.
	repeated bool
	// since is when this node learnt of the rollout in the present era.
	since time.Time
	// started is the earliest start reported by any node.
	started time.Time
	// verdict is the final state of the rollout, which this node has read or heard of;
	// the store may have lost it.
	verdict topology.RolloutState
	// halted is the reason why the new release gets no more requests; empty
	// while the rollout proceeds.
	halted string
	share  float64
	// ramp is the time from the start to the start of the ramp; zero before any
	// node has decided it.
	ramp     time.Duration
	ownStats Stats
	// ownCells are the counts in ownStats by cell; tracked are the upstreams that
	// are counted one by one.
	ownCells map[cell]cellCounts
	// sound are the answers of sound upstreams as of soundAt; with hundreds of nodes
	// the sum takes milliseconds, and a step needs it several times.
	sound   Stats
	soundAt time.Time
	tracked map[topology.Incarnation]uint32
	// peers are the reports received by this node, complete only on an
	// aggregator; sum is the latest sum from another node.
	peers map[string]peerReport
	sum   Message
	// oldSessions and newSessions are reported bindings to forward.
	oldSessions, newSessions []uint64
	// complete is set once this node knows the bindings of all nodes, since
	// completedAt.
	complete    bool
	completedAt time.Time
	// reportedAll are hashes of the nodes that have reported all their bindings, asking
	// the nodes that have done so since the others were told.
	reportedAll map[uint64]bool
	asking      map[string]bool
	// ticks counts the steps of the schedule.
	ticks int
	// haltSent is set once this node has broadcast the halt.
	haltSent bool
	// newSent is the number of requests to the new release, sent the number
	// of all requests, at this node.
	newSent, sent uint64
	// samples are the latest numbers of requests of all nodes, on a node that receives
	// the counts of all nodes.
	samples []sample
	// openOld is the number of open requests at the old release; pinnedOld is
	// the number of those that cannot be resumed at another upstream, and
	// longestPinned the longest time that one of these took.
	openOld, pinnedOld int
	// openNew are the open requests at the new release.
	openNew       map[*Send]struct{}
	longestPinned time.Duration
	// written is when this node last wrote the state; runningAt, haltedAt and
	// drainedAt are when the state to write became due.
	written, runningAt, haltedAt, drainedAt time.Time
}

// peerReport is the latest message of a node.
type peerReport struct {
	message Message
	at      time.Time
	// cells are the latest that the node sent.
	cells []Cell
}

func newRollout(r *topology.Rollout, now time.Time) *rollout {
	since := now
	if !r.Appeared.IsZero() {
		now = r.Appeared
	}
	return &rollout{
		object: r, id: r.Created, since: since, started: now, ownStats: make(Stats), ownCells: make(map[cell]cellCounts),
		peers: make(map[string]peerReport), openNew: make(map[*Send]struct{}),
		reportedAll: make(map[uint64]bool), asking: make(map[string]bool),
	}
}

// progress is the elapsed fraction of the rollout's duration.
func (ro *rollout) progress(now time.Time) float64 {
	return float64(now.Sub(ro.started)) / float64(ro.object.Duration)
}

// The exchange of active sessions. A session that a node does not know may use the
// new release, so no node chooses it before it knows the sessions of all others.
const (
	// sessionExchangeTime is the shortest time before the first request to a new
	// release.
	sessionExchangeTime = 700 * time.Millisecond
	// collectShare and exchangeShare bound how long an aggregator waits for the
	// sessions of nodes that do not report, and a node for the aggregators, as
	// fractions of the duration.
	collectShare  = 0.1
	exchangeShare = 0.13
	// promptTime is the time after the exchange in which bindings are still sent with
	// each tick: those of requests that were sent meanwhile are not known yet.
	promptTime = 2 * time.Second
)

// sessionsKnown reports whether this node knows the sessions of all nodes, or has
// waited for them long enough.
func (ro *rollout) sessionsKnown(now time.Time) bool {
	return ro.complete || now.Sub(ro.started) >= ro.fractionOf(exchangeShare)
}

// collected reports whether an aggregator has the sessions of all live nodes, or has
// waited for them long enough.
func (ro *rollout) collected(peers []string, now time.Time) bool {
	if now.Sub(ro.started) >= ro.fractionOf(collectShare) {
		return true
	}
	return !slices.ContainsFunc(peers, func(node string) bool { return !ro.reportedAll[hashing.Hash(node)] })
}

// prompt reports whether bindings are sent with each tick.
func (ro *rollout) prompt(now time.Time) bool {
	return ro.progress(now) < canaryEnd && (!ro.complete || now.Sub(ro.completedAt) < promptTime)
}

// shareAt returns the share of sessions that may use the new release.
func (ro *rollout) shareAt(now time.Time, exposure float64) float64 {
	elapsed := now.Sub(ro.started)
	if ro.halted != "" || elapsed < sessionExchangeTime || !ro.sessionsKnown(now) {
		return 0
	}
	canary := min(canaryShareOfBound*exposure, maxCanaryShare)
	start := ro.fractionOf(latestRamp)
	if ro.ramp > 0 {
		start = min(start, ro.ramp)
	}
	// Without enough answers a larger share would expose callers to a release
	// that has not been evaluated.
	if elapsed < start || !ro.hasEnoughAnswers() {
		return canary
	}
	risen := float64(elapsed-start) / float64(ro.fractionOf(rampLength))
	step := math.Floor(risen*rampSteps) + 1
	return min(1, canary+(1-canary)*step/rampSteps)
}

// fractionOf returns a fraction of the rollout's duration.
func (ro *rollout) fractionOf(fraction float64) time.Duration {
	return time.Duration(fraction * float64(ro.object.Duration))
}

// rampLead is the time between the decision to start the ramp and its start, in
// which all nodes hear of it: a session must not return to the old release at a
// node that lags.
const rampLead = 4 * tick

// drainMargin is the time for the reports of the last ended requests and the
// write of the final state.
const drainMargin = 3 * tick

// startRamp starts the ramp if the new release would stay within its exposure
// bound with all requests that are still expected before the end of the
// duration. If requests that cannot be resumed elsewhere take longer than what
// is left then, they decide the start: otherwise a good release could not be
// completed in time. It is called on a node that receives the counts of all
// nodes and reports whether it has started the ramp.
func (ro *rollout) startRamp(now time.Time, exposure, extra float64) bool {
	rate := ro.rate(now)
	if ro.ramp > 0 || ro.halted != "" || !ro.hasEnoughAnswers() || ro.soundStats(now).unproved() {
		return false
	}
	longest := ro.longestPinned
	for _, p := range ro.peers {
		longest = max(longest, time.Duration(p.message.LongestPinnedMS)*time.Millisecond)
	}
	exposed, sent := ro.counted()
	start := now.Sub(ro.started) + rampLead
	fits := rampFits(ro.progress(now), float64(start)/float64(ro.object.Duration), float64(exposed), float64(sent), rate, exposure, extra)
	if fits || longest > 0 && start >= max(ro.fractionOf(earliestRamp), ro.fractionOf(1-rampLength)-longest-drainMargin) {
		ro.ramp = start
		return true
	}
	return false
}

// heldTooLong reports whether the new release is still not proved good when the
// ramp would have to start at the latest. It is called on a node that receives the
// counts of all nodes.
func (ro *rollout) heldTooLong(now time.Time) bool {
	return ro.ramp == 0 && now.Sub(ro.started) >= ro.fractionOf(latestRamp)-rampLead && ro.soundStats(now).unproved()
}

// sample is the number of requests of all nodes until a time.
type sample struct {
	at   time.Time
	sent uint64
}

// The present rate of requests is the highest since any time from maxRateWindow to
// minRateWindow ago: over a shorter time it depends on when the nodes report, and on
// reports that are lost, and over a longer one a rise shows late.
const (
	minRateWindow = 2 * messageTicks * tick
	maxRateWindow = 2 * minRateWindow
)

// rate returns the requests of all nodes in a whole duration at the present rate, at
// least at the mean rate until now: a lull may end.
func (ro *rollout) rate(now time.Time) float64 {
	_, sent := ro.counted()
	ro.samples = slices.DeleteFunc(append(ro.samples, sample{now, sent}), func(s sample) bool { return now.Sub(s.at) > maxRateWindow })
	rate := float64(sent) / ro.progress(now)
	for _, s := range ro.samples {
		if span := now.Sub(s.at); span >= minRateWindow && sent > s.sent {
			rate = max(rate, float64(sent-s.sent)*float64(ro.object.Duration)/float64(span))
		}
	}
	return rate
}

// rampFits reports whether the exposure bound allows a ramp that starts at
// start. Both times are fractions of the duration; exposed and sent are the
// requests at the new release and at all until now, rate those expected in a
// duration from now on.
func rampFits(now, start, exposed, sent, rate, exposure, extra float64) bool {
	if start < earliestRamp {
		return false
	}
	expected := sent + rate*(1-now)
	bound := rampExposure*exposure*expected + min(extraExposure*extra, maxExtraShare*expected)
	return exposed+(1-start-rampLength/2)*rate <= bound
}

// minCanaryAnswers is the number of good answers required before the share
// grows.
const minCanaryAnswers = 8

// hasEnoughAnswers reports whether the new release has minCanaryAnswers.
func (ro *rollout) hasEnoughAnswers() bool {
	return max(ro.goodAnswers(), ro.sum.NewGood) >= minCanaryAnswers
}

// goodAnswers counts the good answers of the new release reported to this node.
func (ro *rollout) goodAnswers() uint64 {
	good := ro.ownStats.newGood()
	for _, p := range ro.peers {
		good += p.message.Stats.newGood()
	}
	return good
}

// minOpenEvents is the number of events that the old release would have sent,
// from which on an open stream of the new one is judged.
const minOpenEvents = 3

// currentStats returns this node's counts, with the open requests at the new
// release: under the whole load, the first requests of a slow release to end are
// those that it answers fast. A request that already waits several times longer
// than usual counts as abandoned now, and an open stream with its events so far.
func (ro *rollout) currentStats(now time.Time) Stats {
	stats := make(Stats, len(ro.ownStats))
	maps.Copy(stats, ro.ownStats)
	for d := range ro.openNew {
		pair := stats[d.key]
		firstByte, interval := ro.openCounts(d, now)
		pair.New.add(firstByte)
		pair.NewInterval.add(interval)
		stats[d.key] = pair
	}
	return stats
}

// openCounts returns what an open request at the new release counts for.
func (ro *rollout) openCounts(d *Send, now time.Time) (firstByte, interval Count) {
	old := ro.ownStats[d.key]
	if d.answeredAt.IsZero() {
		if waited := now.Sub(d.started); old.Old.slowerBy(waited) > minFirstByteSlowdown {
			firstByte.addAbandoned(waited)
			d.countMissed(&firstByte, waited)
		}
	} else if elapsed := now.Sub(d.answeredAt); old.OldInterval.slowerBy(elapsed) > log2MinOpenEvents {
		interval.addGood(elapsed / time.Duration(d.events.Load()+1))
	}
	return firstByte, interval
}

// log2MinOpenEvents is log2 of minOpenEvents.
var log2MinOpenEvents = math.Log2(minOpenEvents)

// allStats returns this node's counts and those reported by its peers.
func (ro *rollout) allStats(now time.Time) []Stats {
	all := make([]Stats, 0, len(ro.peers)+1)
	all = append(all, ro.currentStats(now))
	for _, p := range ro.peers {
		all = append(all, p.message.Stats)
	}
	return all
}

// soundStats returns the answers of sound upstreams that are known to this node.
func (ro *rollout) soundStats(now time.Time) Stats {
	if ro.sound == nil || !now.Equal(ro.soundAt) {
		ro.sound, ro.soundAt = soundStats(ro.allStats(now), ro.allCells(now)), now
	}
	return ro.sound
}

// counted returns the requests at the new release and at all, of all nodes
// known to this one.
func (ro *rollout) counted() (exposed, sent uint64) {
	exposed, sent = ro.newSent, ro.sent
	for _, p := range ro.peers {
		exposed += p.message.NewSent
		sent += p.message.Sent
	}
	if ro.sum.Sent > sent {
		exposed, sent = ro.sum.NewSent, ro.sum.Sent
	}
	return exposed, sent
}

// exposureExceeded reports whether the new release has reached the canary's part
// of its exposure bound. It applies to the first half only; later, sessions do
// not return to the old release.
func (ro *rollout) exposureExceeded(now time.Time, exposure, extra float64) bool {
	if ro.progress(now) >= canaryEnd {
		return false
	}
	exposed, sent := ro.counted()
	return float64(exposed) >= exposure*canaryExposure*float64(sent)+extra/2
}

// earliestCompletion is the fraction of the duration before which a rollout is
// not completed: a release that fails under the whole load shows it by then,
// while a rollback is still possible. From then on resumable streams no longer
// delay completion: the old upstreams stop and the streams are resumed at the
// new release.
const earliestCompletion = 0.95

// drainedLocally reports whether this node sends nothing to the old release and
// has no request open there that must end before completion.
func (ro *rollout) drainedLocally(now time.Time) bool {
	if ro.share < 1 {
		return false
	}
	return ro.openOld == 0 || ro.pinnedOld == 0 && ro.progress(now) >= earliestCompletion
}

// drainedOnAll reports whether all live nodes are drained. A node whose report
// is older than maxAge counts as not drained.
func (ro *rollout) drainedOnAll(now time.Time, live []string, maxAge time.Duration) bool {
	if !ro.drainedLocally(now) || ro.progress(now) < earliestCompletion {
		return false
	}
	drained := ro.drainedNodes(now, maxAge)
	return !slices.ContainsFunc(live, func(node string) bool { return !drained[hashing.Hash(node)] })
}

// attrs returns the aggregated counts as log attributes.
func (ro *rollout) attrs(now time.Time) []any {
	sum, total := aggregate(ro.allStats(now))
	cells := ro.allCells(now)
	_, impaired := withoutImpaired(sum, cells)
	var firstByte, interval slowdown
	for _, c := range sum {
		firstByte.add(c.Old, c.New)
		interval.add(c.OldInterval, c.NewInterval)
	}
	return []any{
		"evidence_nodes", ro.reporters() + 1, "old_good", total.Old.Good, "old_bad", total.Old.Bad, "old_late", total.Old.Abandoned,
		"new_good", total.New.Good, "new_bad", total.New.Bad, "new_late", total.New.Abandoned,
		"times_slower", firstByte.factor(), "times_slower_events", interval.factor(),
		"old_impaired", impaired, "old_upstreams", describeUpstreams(cells, false), "new_upstreams", describeUpstreams(cells, true),
	}
}
