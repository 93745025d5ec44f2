package canary

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/hashing"
	"cassiapin/pkg/topology"
)

// Message carries a node's state of one rollout. Each node reports its own
// counts to a few aggregators, which broadcast the sums.
type Message struct {
	// Sum marks a message with the summed counts of all nodes.
	Sum     bool   `cbor:"12,keyasint,omitempty"`
	Service string `cbor:"1,keyasint"`
	// Created and Era are the number and the era of the rollout's id. Earlier releases
	// know no era.
	Created uint64 `cbor:"2,keyasint"`
	Era     uint64 `cbor:"24,keyasint,omitempty"`
	Target  string `cbor:"14,keyasint"`
	// ElapsedMS is the time since the rollout started, as seen by this node.
	ElapsedMS uint64 `cbor:"3,keyasint"`
	Halted    string `cbor:"4,keyasint,omitempty"`
	// Stats is set in reports, NewGood in sums: the good answers of the new
	// release.
	Stats   Stats  `cbor:"5,keyasint,omitempty"`
	NewGood uint64 `cbor:"13,keyasint,omitempty"`
	NewSent uint64 `cbor:"6,keyasint,omitempty"`
	Sent    uint64 `cbor:"7,keyasint,omitempty"`
	// Drained is set when the node sends nothing to the old release and has no
	// request open there that must end before completion.
	Drained bool `cbor:"8,keyasint,omitempty"`
	// OldSessions and NewSessions are bindings of sessions.
	OldSessions []uint64 `cbor:"9,keyasint,omitempty"`
	NewSessions []uint64 `cbor:"10,keyasint,omitempty"`
	// All is set in reports with all bindings, of a node that does not know those of
	// the others; Complete in sums with the bindings of all nodes.
	All      bool `cbor:"18,keyasint,omitempty"`
	Complete bool `cbor:"19,keyasint,omitempty"`
	// RampMS is the time from the start of the rollout to that of the ramp; zero
	// before the sender knows it.
	RampMS uint64 `cbor:"15,keyasint,omitempty"`
	// LongestPinnedMS is set in reports: the longest time of a request at the old
	// release that could not be resumed at another upstream.
	LongestPinnedMS uint64 `cbor:"16,keyasint,omitempty"`
	// Cells are set in reports: the counts in Stats by cell, those of the old release
	// every cellTicks.
	Cells []Cell `cbor:"17,keyasint,omitempty"`
	// Member is set in reports to the collector of a failure domain. Members is set in
	// the reports of collectors, which have the counts of these nodes: hashes of their
	// ids. Undrained are those of them that are not drained or report no more, AllFrom
	// those that have reported all their bindings.
	Member    bool     `cbor:"20,keyasint,omitempty"`
	Members   []uint64 `cbor:"21,keyasint,omitempty"`
	Undrained []uint64 `cbor:"22,keyasint,omitempty"`
	AllFrom   []uint64 `cbor:"23,keyasint,omitempty"`
	// Completed is set while the store lacks the state completed, which the sender knows.
	Completed bool `cbor:"25,keyasint,omitempty"`
	// Node is the id of the sender; other nodes may forward the message.
	Node string `cbor:"11,keyasint"`
}

// regularMessages returns the periodic messages of a rollout; position is this
// node's position in the order of the nodes. The messages are a report to the
// aggregators, or in a large fleet to the collector of the failure domain, and the
// sums if this node is an aggregator. The first aggregator sends sums every time and
// the others every second time, in case the first is unreachable.
func (s *Service) regularMessages(ro *rollout, position int, peers []string, now time.Time) []outgoing {
	report := s.report(ro, now)
	detailed := report
	withOld := ro.ticks%cellTicks == 0
	detailed.Cells = ro.sentCells(now, withOld)
	receivers, duty := s.receivers(ro, position, peers)
	switch duty {
	case reportsToCollector:
		detailed.Member = true
	case collects:
		detailed = ro.group(detailed, receivers, withOld, now)
		if position >= aggregatorCount {
			ro.forwardSessions(&detailed)
		}
	}
	var out []outgoing
	for _, node := range receivers {
		out = append(out, outgoing{to: node, message: detailed})
	}
	aggregates := position < aggregatorCount
	if (aggregates || duty == collects) && ro.progress(now) < canaryEnd {
		out = append(out, s.completeSums(ro, report, aggregates, peers, now)...)
	}
	if position == 0 || aggregates && ro.ticks%(2*messageTicks) == 0 || ro.halted != "" && !ro.haltSent {
		out = append(out, outgoing{message: s.sum(ro, report)})
	}
	return out
}

// completeSums returns the sums with the bindings of all nodes: to all nodes once an
// aggregator has them, later to those that still ask.
func (s *Service) completeSums(ro *rollout, own Message, aggregates bool, peers []string, now time.Time) (out []outgoing) {
	to := []string{""}
	switch {
	case aggregates && ro.completedAt.IsZero() && ro.collected(peers, now):
		ro.complete, ro.completedAt = true, now
	case !ro.complete || len(ro.asking) == 0 || now.Sub(ro.completedAt) < maxReportAge/2:
		return nil
	default:
		to = slices.Sorted(maps.Keys(ro.asking))
	}
	clear(ro.asking)
	m := s.sum(ro, own)
	m.Complete = true
	m.OldSessions, m.NewSessions = s.sessions.all(now)
	for _, node := range to {
		out = append(out, outgoing{to: node, message: m})
	}
	return out
}

// outgoing is a message to one node, or to all if to is empty.
type outgoing struct {
	to      string
	message Message
}

func (a *outgoing) send(f Fleet) error {
	if a.to == "" {
		return f.Broadcast(a.message)
	}
	return f.Send(a.to, a.message)
}

// report returns the message with this node's own counts.
func (s *Service) report(ro *rollout, now time.Time) Message {
	m := Message{
		Node: s.opts.Fleet.Self(), Service: ro.object.Service, Created: ro.id.Number, Era: ro.id.Era, Target: ro.object.Target,
		ElapsedMS: uint64(now.Sub(ro.started).Milliseconds()),
		Halted:    ro.halted, NewSent: ro.newSent, Sent: ro.sent, Drained: ro.drainedLocally(now),
		RampMS: uint64(ro.ramp.Milliseconds()), LongestPinnedMS: uint64(ro.longestPinned.Milliseconds()),
		Stats: ro.currentStats(now), Completed: ro.state() == topology.RolloutCompleted,
	}
	if ro.progress(now) < canaryEnd {
		m.All = !ro.complete
		m.OldSessions, m.NewSessions = s.sessions.take(m.All, now)
	}
	return m
}

// sum returns the message with the counts of all nodes that report to this one.
func (s *Service) sum(ro *rollout, own Message) Message {
	m := own
	m.Sum, m.All, m.Stats = true, false, nil
	m.NewGood = ro.goodAnswers()
	for _, p := range ro.peers {
		m.NewSent += p.message.NewSent
		m.Sent += p.message.Sent
	}
	ro.forwardSessions(&m)
	return m
}

// forwardSessions adds the bindings that others have reported since the last call. An
// aggregator forwards them with its sums.
func (ro *rollout) forwardSessions(m *Message) {
	m.OldSessions = append(m.OldSessions, ro.oldSessions...)
	m.NewSessions = append(m.NewSessions, ro.newSessions...)
	ro.oldSessions, ro.newSessions = nil, nil
}

// aggregatorCount is the number of nodes that sum the reports. They are the
// first in a pseudo-random order that differs for each rollout; when one fails,
// the next in the order replaces it.
const aggregatorCount = 3

// aggregators returns the other nodes that sum the reports of a rollout.
func aggregators(id topology.Revision, self string, peers []string) []string {
	all := append([]string{self}, peers...)
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Compare(orderKey(id, a), orderKey(id, b))
	})
	return slices.DeleteFunc(all[:min(aggregatorCount, len(all))], func(n string) bool { return n == self })
}

// implausible counts messages that were ignored.
var implausible = metrics.GetOrCreateCounter("cassiapin_rollout_reports_refused_total")

// maxElapsedFactor times a rollout's duration is the longest time since its start
// that a message may state; a rollout that is late goes on for a while.
const maxElapsedFactor = 10

// plausible reports whether a message's times fit a rollout: the earliest start
// and the earliest ramp that any node states hold for all.
func (m *Message) plausible(duration time.Duration) bool {
	limit := uint64(duration.Milliseconds())
	return m.ElapsedMS <= maxElapsedFactor*limit && m.RampMS <= limit && m.NewSent <= m.Sent
}

// receive handles a peer's message.
func (s *Service) receive(m Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, key := range m.OldSessions {
		s.sessions.merge(key, false, now)
	}
	for _, key := range m.NewSessions {
		s.sessions.merge(key, true, now)
	}
	ro := s.rollouts[m.Service]
	if ro == nil {
		s.hear(&m, now)
	}
	if ro == nil || !ro.concerns(&m) {
		return
	}
	if !m.plausible(ro.object.Duration) {
		implausible.Inc()
		s.log.Warn(eventlog.ReportRefused, "service", m.Service, "from", m.Node, "elapsed_ms", m.ElapsedMS, "ramp_ms", m.RampMS)
		return
	}
	if ro.adoptID(&m) {
		ro.track(s.opts.Views.View().Upstreams[m.Service])
	}
	if m.Sum {
		ro.takeSum(m)
		if m.Complete && !ro.complete {
			ro.complete, ro.completedAt = true, now
		}
	} else {
		if m.All {
			ro.reportedAll[hashing.Hash(m.Node)], ro.asking[m.Node] = true, true
		}
		for _, node := range m.AllFrom {
			ro.reportedAll[node] = true
		}
		// Messages may overtake each other; a node's elapsed time never falls.
		if last := ro.peers[m.Node]; m.ElapsedMS >= last.message.ElapsedMS {
			ro.replaceReports(&m)
			ro.peers[m.Node] = peerReport{message: m, at: now, cells: mergeCells(m.Cells, last.cells)}
		}
		ro.oldSessions = latestSessions(append(ro.oldSessions, m.OldSessions...))
		ro.newSessions = latestSessions(append(ro.newSessions, m.NewSessions...))
	}
	if start := now.Add(-time.Duration(m.ElapsedMS) * time.Millisecond); start.Before(ro.started) {
		ro.started = start
	}
	// Senders differ by the delay of messages; the earliest start holds.
	if ramp := time.Duration(m.RampMS) * time.Millisecond; ramp > 0 && (ro.ramp == 0 || ramp < ro.ramp) {
		ro.ramp = ramp
	}
	if m.Completed && !ro.verdict.Final() {
		s.decided(m.Service, ro, topology.RolloutCompleted)
	}
	if m.Halted != "" {
		s.halt(ro, m.Halted)
		ro.haltSent = ro.haltSent || m.Sum // A sum has reached all nodes.
	}
}

// takeSum takes over the counts of a sum. Sums come from several aggregators, out of
// order, and one that has just started has few reports, so those with fewer requests
// have no effect.
func (ro *rollout) takeSum(m Message) {
	m.NewGood = max(m.NewGood, ro.sum.NewGood)
	if m.Sent >= ro.sum.Sent {
		ro.sum = m
	}
}

// maxForwardedSessions bounds the sessions to forward at a node that peers
// treat as an aggregator but that does not send sums.
const maxForwardedSessions = 16 * maxMessageSessions

// latestSessions drops all but the last maxForwardedSessions.
func latestSessions(sessions []uint64) []uint64 {
	return sessions[max(len(sessions)-maxForwardedSessions, 0):]
}
