// Package canary moves a service's traffic from one release of its upstreams
// to another. Every node assigns sessions to a release by the same rule, counts
// the outcomes of requests, and shares the counts; each node evaluates the
// release on the counts of all. There is no leader: any node may write the
// rollout's state to the store, with a conditional write.
package canary

import (
	"time"

	"cassiapin/pkg/topology"
)

// The schedule of a rollout, as fractions of its duration. In the canary phase
// a small share of new sessions uses the new release; then the share grows in
// steps, each long enough to notice a release that fails under load. The rest
// is for requests at the old release to end.
const (
	canaryEnd     = 0.5
	firstStepEnd  = 0.56
	secondStepEnd = 0.62
)

// Shares of the steps.
const (
	// canaryShare is the largest share in the canary phase. canaryExposure is
	// the fraction of the exposure bound that this phase, half of the duration,
	// may use; the rest is left for the steps.
	canaryShare     = 0.10
	canaryExposure  = 0.65
	firstStepShare  = 0.3
	secondStepShare = 0.65
)

// rollout is one node's state of a topology.Rollout.
type rollout struct {
	object *topology.Rollout
	// started is the earliest start reported by any node.
	started time.Time
	// halted is the reason why the new release gets no more requests; empty
	// while the rollout proceeds.
	halted   string
	share    float64
	ownStats Stats
	// peers are the reports received by this node, complete only on an
	// aggregator; sum is the latest sum from another node.
	peers map[string]peerReport
	sum   Message
	// oldSessions and newSessions are reported bindings to forward.
	oldSessions, newSessions []uint64
	// ticks counts the steps of the schedule.
	ticks int
	// haltSent is set once this node has broadcast the halt.
	haltSent bool
	// newSent is the number of requests to the new release, sent the number
	// of all requests, at this node.
	newSent, sent uint64
	// openOld is the number of open requests at the old release; pinnedOld is
	// the number of those that cannot be resumed at another upstream.
	openOld, pinnedOld int
	// written is when this node last wrote the state; haltedAt and drainedAt
	// are when the state to write became due.
	written, haltedAt, drainedAt time.Time
	// runningWritten is set once this node has written the state running.
	runningWritten bool
}

// peerReport is the latest message of a node.
type peerReport struct {
	message Message
	at      time.Time
}

// sameRollout reports whether two versions of an object describe one rollout.
// An operator may reuse the object of the last rollout for the next one.
func sameRollout(a, b *topology.Rollout) bool { return a.Created == b.Created && a.Target == b.Target }

func newRollout(r *topology.Rollout, now time.Time) *rollout {
	return &rollout{object: r, started: now, ownStats: make(Stats), peers: make(map[string]peerReport)}
}

// progress is the elapsed fraction of the rollout's duration.
func (ro *rollout) progress(now time.Time) float64 {
	return float64(now.Sub(ro.started)) / float64(ro.object.Duration)
}

// sessionExchangeTime is the time before the first request to a new release, in
// which nodes exchange their active sessions.
const sessionExchangeTime = 700 * time.Millisecond

// shareAt returns the share of sessions that may use the new release.
func (ro *rollout) shareAt(now time.Time, exposure float64) float64 {
	p := ro.progress(now)
	switch {
	case ro.halted != "" || now.Sub(ro.started) < sessionExchangeTime:
		return 0
	case p < canaryEnd:
		return min(canaryShare, canaryExposure*exposure)
	case !ro.hasEnoughAnswers():
		// Without enough answers a larger share would expose callers to a
		// release that has not been evaluated.
		return min(canaryShare, canaryExposure*exposure)
	case p < firstStepEnd:
		return firstStepShare
	case p < secondStepEnd:
		return secondStepShare
	}
	return 1
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
	good := uint64(0)
	for _, e := range ro.allStats() {
		for _, pair := range e {
			good += pair.New.Good
		}
	}
	return good
}

// allStats returns this node's counts and those reported by its peers.
func (ro *rollout) allStats() []Stats {
	all := make([]Stats, 0, len(ro.peers)+1)
	all = append(all, ro.ownStats)
	for _, p := range ro.peers {
		all = append(all, p.message.Stats)
	}
	return all
}

// exposureExceeded reports whether the new release has reached its exposure
// bound. The bound applies to the canary phase only; later the share grows.
func (ro *rollout) exposureExceeded(now time.Time, exposure, extra float64) bool {
	if ro.progress(now) >= canaryEnd {
		return false
	}
	exposed, sent := ro.newSent, ro.sent
	for _, p := range ro.peers {
		exposed += p.message.NewSent
		sent += p.message.Sent
	}
	if ro.sum.Sent > sent {
		exposed, sent = ro.sum.NewSent, ro.sum.Sent
	}
	return float64(exposed) >= exposure*canaryExposure*float64(sent)+extra/2
}

// streamCutoff is the fraction of the duration after which resumable streams no
// longer delay completion: the old upstreams stop and the streams are resumed
// at the new release.
const streamCutoff = 0.9

// earliestCompletion is the fraction of the duration before which a rollout is
// not completed: a release that fails under full load shows it by then, while
// a rollback is still possible.
const earliestCompletion = 0.82

// drainedLocally reports whether this node sends nothing to the old release and
// has no request open there that must end before completion.
func (ro *rollout) drainedLocally(now time.Time) bool {
	if ro.share < 1 {
		return false
	}
	return ro.openOld == 0 || ro.pinnedOld == 0 && ro.progress(now) >= streamCutoff
}

// drainedOnAll reports whether all live nodes are drained. A node whose report
// is older than maxAge counts as not drained.
func (ro *rollout) drainedOnAll(now time.Time, live []string, maxAge time.Duration) bool {
	if !ro.drainedLocally(now) || ro.progress(now) < earliestCompletion {
		return false
	}
	for _, node := range live {
		report, ok := ro.peers[node]
		if !ok || now.Sub(report.at) > maxAge || !report.message.Drained {
			return false
		}
	}
	return true
}

// attrs returns the aggregated counts as log attributes.
func (ro *rollout) attrs() []any {
	sum, total := aggregate(ro.allStats())
	var firstByte, interval slowdown
	for _, c := range sum {
		firstByte.add(c.Old, c.New)
		interval.add(c.OldInterval, c.NewInterval)
	}
	return []any{
		"evidence_nodes", len(ro.peers) + 1, "old_good", total.Old.Good, "old_bad", total.Old.Bad, "old_late", total.Old.Abandoned,
		"new_good", total.New.Good, "new_bad", total.New.Bad, "new_late", total.New.Abandoned,
		"times_slower", firstByte.factor(), "times_slower_events", interval.factor(),
	}
}
