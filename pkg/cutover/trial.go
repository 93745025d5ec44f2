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
