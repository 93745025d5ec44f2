// Package cutover moves a service's traffic from one release of its upstreams
// to another. Every node assigns sessions to a release by the same rule, counts
// what becomes of the requests, and floods the counts; each node judges the
// release on the counts of all. No node is in charge: the order's state in the
// store is written under a condition by whichever node comes first.
package cutover

import (
	"time"

	"cassiapin/pkg/topology"
)

// The schedule of a change, in parts of the time that the order allows. In the
// first half a small share of new sessions tries the release; then the share
// grows in steps, each of which is long enough to notice a release that fails
// under load. The rest is for old requests to end.
const (
	canaryEnd     = 0.5
	firstStepEnd  = 0.56
	secondStepEnd = 0.62
)

// Shares of the steps.
const (
	// canaryShare is the largest share in the first half. trialExposure is the
	// part of the exposure bound that the trial may use: half of the time at
	// this share leaves the rest for the growing steps.
	canaryShare     = 0.10
	canaryExposure  = 0.65
	firstStepShare  = 0.3
	secondStepShare = 0.65
)

// rollout is the state of one order at one node.
type rollout struct {
	object *topology.Rollout
	// started is the earliest start that any node saw.
	started time.Time
	// halted is the reason for which the release gets nothing more.
	halted   string
	share    float64
	ownStats Stats
	// peers are the reports to this node, which has all of them only if it
	// sums them up; sum is the latest sum by another node.
	peers map[string]peerReport
	sum   Message
	// oldSessions and newSessions are reported bindings to pass on.
	oldSessions, newSessions []uint64
	// ticks counts the steps of the schedule.
	ticks int
	// haltSent tells that this node has told all nodes of the halt.
	haltSent bool
	// newSent is the number of requests to the new release, sent the number
	// of all requests, at this node.
	newSent, sent uint64
	// openOld is the number of open requests at the old release; firmOld are
	// those of them that cannot go on elsewhere.
	openOld, pinnedOld int
	// written is when this node last wrote the state; haltedAt and drainedAt
	// are when the state to write became due.
	written, haltedAt, drainedAt time.Time
	// runningWritten tells that the order was shown as running.
	runningWritten bool
}

// peerReport is the latest message of a node.
type peerReport struct {
	message Message
	at      time.Time
}

// sameRollout reports whether two readings are of one order. An operator may
// write the next order into the object of the last one.
func sameRollout(a, b *topology.Rollout) bool { return a.Created == b.Created && a.Target == b.Target }

func newRollout(r *topology.Rollout, now time.Time) *rollout {
	return &rollout{object: r, started: now, ownStats: make(Stats), peers: make(map[string]peerReport)}
}

// progress is the part of the order's time that has passed.
func (t *rollout) progress(now time.Time) float64 {
	return float64(now.Sub(t.started)) / float64(t.object.Duration)
}

// sessionExchangeTime is the time before the first request to a new release, in which nodes
// tell each other which sessions are under way.
const sessionExchangeTime = 700 * time.Millisecond

// shareAt returns the share of sessions that may use the new release.
func (t *rollout) shareAt(now time.Time, exposure float64) float64 {
	p := t.progress(now)
	switch {
	case t.halted != "" || now.Sub(t.started) < sessionExchangeTime:
		return 0
	case p < canaryEnd:
		return min(canaryShare, canaryExposure*exposure)
	case !t.hasEnoughAnswers():
		// Nothing is known of the release; a larger share would expose
		// callers to it unseen.
		return min(canaryShare, canaryExposure*exposure)
	case p < firstStepEnd:
		return firstStepShare
	case p < secondStepEnd:
		return secondStepShare
	}
	return 1
}

// minCanaryAnswers is the number of good answers without which the share does not
// grow.
const minCanaryAnswers = 8

// hasEnoughAnswers reports whether the release has answered enough requests.
func (t *rollout) hasEnoughAnswers() bool {
	return max(t.goodAnswers(), t.sum.NewGood) >= minCanaryAnswers
}

// goodAnswers counts the good answers of the new release that this node knows.
func (t *rollout) goodAnswers() uint64 {
	good := uint64(0)
	for _, e := range t.allStats() {
		for _, cell := range e {
			good += cell.New.Good
		}
	}
	return good
}

// allStats returns the counts of all nodes.
func (t *rollout) allStats() []Stats {
	all := make([]Stats, 0, len(t.peers)+1)
	all = append(all, t.ownStats)
	for _, p := range t.peers {
		all = append(all, p.message.Stats)
	}
	return all
}

// exposureExceeded reports whether the new release has had its part of the
// requests. It counts in the first half only; later the share is meant to grow.
func (t *rollout) exposureExceeded(now time.Time, exposure, extra float64) bool {
	if t.progress(now) >= canaryEnd {
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
	return float64(tried) >= exposure*canaryExposure*float64(sent)+extra/2
}

// streamCutoff is the part of the order's time after which streams that may go on
// elsewhere no longer put off the end: the old upstreams stop and the streams
// are resumed at the new release.
const streamCutoff = 0.9

// earliestCompletion is the part of the order's time before which the old upstreams
// are not given up: a release that fails under the whole load shows it by then,
// and there is a way back.
const earliestCompletion = 0.82

// drainedLocally reports whether this node has nothing at the old release that has to
// end there, and sends nothing to it.
func (t *rollout) drainedLocally(now time.Time) bool {
	if t.share < 1 {
		return false
	}
	return t.openOld == 0 || t.pinnedOld == 0 && t.progress(now) >= streamCutoff
}

// drainedOnAll reports whether that holds for all nodes. silent is the age from
// which a node's report does not count.
func (t *rollout) drainedOnAll(now time.Time, live []string, silent time.Duration) bool {
	if !t.drainedLocally(now) || t.progress(now) < earliestCompletion {
		return false
	}
	for _, node := range live {
		report, ok := t.peers[node]
		if !ok || now.Sub(report.at) > silent || !report.message.Drained {
			return false
		}
	}
	return true
}

// attrs describes the evidence in a log line.
func (t *rollout) attrs() []any {
	sum, total := aggregate(t.allStats())
	var first, pace slowdown
	for _, cell := range sum {
		first.add(cell.Old, cell.New)
		pace.add(cell.OldInterval, cell.NewInterval)
	}
	return []any{
		"evidence_nodes", len(t.peers) + 1, "old_good", total.Old.Good, "old_bad", total.Old.Bad, "old_late", total.Old.Abandoned,
		"new_good", total.New.Good, "new_bad", total.New.Bad, "new_late", total.New.Abandoned,
		"times_slower", first.factor(), "times_slower_events", pace.factor(),
	}
}
