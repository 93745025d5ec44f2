// Package rollout shifts the traffic of a model from one version to another in
// declared steps, and stops a new version that violates its guard bounds.
//
// Every node assigns cohorts to versions according to the view that the
// controller floods, limits the unrated answers of the new version, and reports
// the outcomes of its answers to the controller. The controller is the node that
// holds the lease "rollout". It updates sequential tests, sets the withdrawal
// mark when one trips, and advances the steps. Its state is stored as the object
// rollout/ID.
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

// Statuses of a rollout. Halted is final.
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
	// Epoch is the fencing token of the controller that wrote the state.
	Epoch uint64 `json:"epoch"`
	Step  int    `json:"step"`
	// InStep is the time spent in the current step while a controller was active.
	InStep config.Duration `json:"in_step"`
	// StepRated counts the rated answers of the current step, Rated those of
	// the rollout; Unrated counts answers that failed or received no rating.
	StepRated int    `json:"step_rated"`
	Rated     int    `json:"rated"`
	Unrated   int    `json:"unrated"`
	Guards    Guards `json:"guards"`
	Reason    string `json:"reason,omitempty"`
}

// resolved returns the number of answers that no longer count against the cap on
// unrated answers. Answers without a rating count only up to the number of rated
// ones, so that a bad version cannot serve unlimited answers while the rating
// service returns no ratings.
func (s *State) resolved() int { return s.Rated + min(s.Unrated, s.Rated) }

// view is the state of a rollout as published to the nodes.
type view struct {
	ID     string  `cbor:"1,keyasint"`
	Status Status  `cbor:"2,keyasint"`
	Share  float64 `cbor:"3,keyasint"`
	// Capped reports whether at most Cap unrated answers may be in flight.
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
// increases with each message of the node, so that retries are deduplicated.
type samplesMessage struct {
	Node     peer.NodeID              `cbor:"1,keyasint"`
	Sequence uint64                   `cbor:"2,keyasint"`
	Samples  map[string][]observation `cbor:"3,keyasint"`
}

type samplesReply struct {
	Accepted bool `cbor:"1,keyasint"`
}

// Message kinds.
const (
	viewKind    peer.Kind = "rollout.view"
	samplesKind peer.Kind = "rollout.samples"
)

const (
	// unratedCap is the largest number of unrated answers in flight over all
	// nodes.
	unratedCap = 20
	// recapEValue is the e-value from which unrated answers are capped again
	// after the minimum number of ratings. One good version in ten reaches it.
	recapEValue = 10
	// minCap is the smallest cap, so that a suspect version still gets ratings.
	minCap = 2
)

// capped reports whether unrated answers in flight are capped, and the cap. The
// cap falls as evidence against the version grows, so that few answers are in
// flight when the decisive rating arrives.
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

// view returns the view to publish.
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

// advance adds the elapsed time to the current step of a running rollout, moves
// on if the step is complete, and reports whether the step or status changed.
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

// observe records one answer of the new version.
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

// cohortPosition returns the cohort's position in [0,1) for one rollout. It hashes
// the rollout id and the cohort, so that the same sessions are not first in every
// rollout. A cohort within a share stays within it when the share grows. Cohorts
// 0 and 1 map to themselves: 0 is within every share, 1 within none.
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

// rank is the node's position among the live nodes, ordered by rendezvous hash
// of the rollout id. at is the time at which it was computed.
type rank struct {
	at       time.Time
	position int
	nodes    int
}

// allotment returns the node's part of total. The first nodes take the remainder;
// with more nodes than total, only the first total nodes get one each.
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
