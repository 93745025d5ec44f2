// Package rollout moves the traffic of a model from one version to another in
// declared steps, and stops a new version that is worse than its guard bounds.
//
// Every node assigns cohorts by the view that the controller floods, bounds
// the unrated answers of the new version, and sends what became of them to the
// controller. The controller is the node that holds the lease "rollout". It
// feeds sequential tests, sets the withdrawal mark when one trips, and advances
// the steps. Its state is the platform object rollout/ID.
package rollout

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/peer"
)

// ServiceName is the name of the rollout service.
const ServiceName = "route.rollout"

// leaseName is the name of the controller's lease.
const leaseName = "rollout"

// Status is the status of a rollout.
type Status string

// The statuses. Halted is final.
const (
	Running  Status = "running"
	Halted   Status = "halted"
	Finished Status = "finished"
)

// State is the controller's state of one rollout, stored as rollout/ID.
type State struct {
	ID     string            `json:"id"`
	From   config.VersionRef `json:"from"`
	To     config.VersionRef `json:"to"`
	Status Status            `json:"status"`
	// Epoch is the fencing number of the controller that wrote the state.
	Epoch uint64 `json:"epoch"`
	Step  int    `json:"step"`
	// InStep is the time spent in the step under a controller.
	InStep config.Duration `json:"in_step"`
	// StepRated counts the rated answers of the step, Rated those of the
	// rollout; Unrated counts answers that failed or stayed without a rating.
	StepRated int    `json:"step_rated"`
	Rated     int    `json:"rated"`
	Unrated   int    `json:"unrated"`
	Guards    Guards `json:"guards"`
	Reason    string `json:"reason,omitempty"`
}

// resolved is the number of answers that free a place for a new unrated one.
// Answers without a rating count only up to the number of rated ones, so that
// a silent rating service does not let a bad version answer without limit.
func (s *State) resolved() int { return s.Rated + min(s.Unrated, s.Rated) }

// view is what the nodes know of a rollout.
type view struct {
	ID     string  `cbor:"1,keyasint"`
	Status Status  `cbor:"2,keyasint"`
	Share  float64 `cbor:"3,keyasint"`
	// Capped says that unrated answers are bounded to Cap in flight.
	Capped   bool `cbor:"4,keyasint"`
	Cap      int  `cbor:"5,keyasint"`
	Resolved int  `cbor:"6,keyasint"`
}

// viewMessage carries the views of all rollouts to all nodes. A higher
// (Epoch, Sequence) is newer.
type viewMessage struct {
	Controller peer.NodeID `cbor:"1,keyasint"`
	Epoch      uint64      `cbor:"2,keyasint"`
	Sequence   uint64      `cbor:"3,keyasint"`
	Views      []view      `cbor:"4,keyasint"`
}

func (m viewMessage) newer(o viewMessage) bool {
	return cmp.Or(cmp.Compare(m.Epoch, o.Epoch), cmp.Compare(m.Sequence, o.Sequence)) > 0
}

// samplesMessage carries observations of a node to the controller. Sequence
// grows with each message of the node, so that a repeated one is ignored.
type samplesMessage struct {
	Node     peer.NodeID              `cbor:"1,keyasint"`
	Sequence uint64                   `cbor:"2,keyasint"`
	Samples  map[string][]observation `cbor:"3,keyasint"`
}

type samplesReply struct {
	Accepted bool `cbor:"1,keyasint"`
}

// The kinds of messages.
const (
	viewKind    peer.Kind = "rollout.view"
	samplesKind peer.Kind = "rollout.samples"
)

const (
	// unratedCap is the number of unrated answers in flight over all nodes.
	unratedCap = 20
	// recapEValue is the e-value from which the number in flight is bounded
	// again after the minimum is rated. One good version in ten reaches it.
	recapEValue = 10
	// minCap keeps ratings coming for a suspicious version.
	minCap = 2
)

// capped returns whether unrated answers are bounded, and the bound. It falls
// with the evidence against the version, so that few more answers are given
// between the last rating that the stop needs and the stop.
func (s *State) capped(r *config.Rollout) (bool, int) {
	minRated := 0
	if len(r.Steps) > 0 {
		minRated = r.Steps[0].MinRated
	}
	e := s.Guards.evidence()
	if s.Rated >= minRated && e < recapEValue {
		return false, 0
	}
	return true, max(minCap, int(unratedCap/max(1, e)))
}

// view returns what the nodes need to know.
func (s *State) view(r *config.Rollout) view {
	v := view{ID: s.ID, Status: s.Status, Resolved: s.resolved()}
	if s.Status != Halted && len(r.Steps) > 0 {
		v.Share = r.Steps[min(s.Step, len(r.Steps)-1)].Share
	}
	if s.Status == Running {
		v.Capped, v.Cap = s.capped(r)
	}
	return v
}

// advance moves a running rollout that has been in its step for another
// elapsed time, and reports whether the step or the status has changed.
func (s *State) advance(r *config.Rollout, elapsed time.Duration) bool {
	if s.Status != Running || r.Paused || s.Step >= len(r.Steps) {
		return false
	}
	s.InStep += config.Duration(elapsed)
	step := r.Steps[s.Step]
	if s.StepRated < step.MinRated || s.InStep < step.MinTime {
		return false
	}
	s.InStep, s.StepRated = 0, 0
	if s.Step == len(r.Steps)-1 {
		s.Status = Finished
		return true
	}
	s.Step++
	return true
}

// observe takes one answer of the new version.
func (s *State) observe(o observation, r *config.Rollout) {
	s.Guards.observe(o, r)
	if o.Rated {
		s.Rated++
		s.StepRated++
		return
	}
	s.Unrated++
}

func refs(r *config.Rollout) (from, to config.VersionRef) {
	return config.VersionRef{Model: r.Model, Version: r.From}, config.VersionRef{Model: r.Model, Version: r.To}
}

// cohortPosition returns the cohort's place in [0,1) in one rollout. It is a hash of
// both, so that the same sessions are not first in every rollout; a cohort
// that is in a share stays in it when the share grows. Cohorts 0 and 1 keep
// their places, in every share and in none.
func cohortPosition(id string, cohort float64) float64 {
	if cohort <= 0 || cohort >= 1 {
		return min(max(cohort, 0), 1)
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	var raw [8]byte
	binary.LittleEndian.PutUint64(raw[:], math.Float64bits(cohort))
	_, _ = h.Write(raw[:])
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

// rank is the node's place among the live nodes, by rendezvous hash of a
// rollout's id.
type rank struct {
	at       time.Time
	position int
	nodes    int
}

// allotment is the part of total that belongs to the node. The first nodes take the
// remainder; with more nodes than total, only the first total have a part.
func (r rank) allotment(total int) int {
	if r.nodes == 0 {
		return total
	}
	n := total / r.nodes
	if r.position < total%r.nodes {
		n++
	}
	return n
}

func (s *Service) rank(id string, now time.Time) rank {
	if s.members == nil {
		return rank{at: now}
	}
	members := s.members.Live()
	ranked := peer.Rendezvous("rollout/"+id, members, len(members))
	position := slices.IndexFunc(ranked, func(m peer.Member) bool { return m.ID == s.self })
	if position < 0 {
		position = len(members)
	}
	return rank{at: now, position: position, nodes: len(members)}
}
