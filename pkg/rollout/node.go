package rollout

import (
	"context"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cassiapin/pkg/config"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/quality"
	"cassiapin/pkg/result"
)

const (
	// staleAfter is the age of the last view after which a running rollout gets
	// no new sessions: without a controller, a node does not learn that the new
	// version is bad.
	staleAfter = 60 * time.Second
	// reservationLifetime is the time after which the reservation of an answer
	// that was never reported expires: the longest deadline plus the rating.
	reservationLifetime = 150 * time.Second
	// rankInterval is the time between updates of the node's rank. Sorting 410
	// members for each request would cost more than the request.
	rankInterval = time.Second
	// maxPending bounds the observations queued for the controller.
	maxPending = 4096
)

// localState is this node's state of one rollout.
type localState struct {
	view view
	// reservedCount is the number of answers reserved since the controller's
	// resolved count was baseResolved. Both are reset whenever the cap on
	// unrated answers comes into force.
	reservedCount, baseResolved int
	reserved                    map[string]time.Time
	pending                     []observation
	rank                        rank
}

// apply replaces the view with a newer one.
func (l *localState) apply(v view) {
	if v.Capped && !l.view.Capped {
		l.reservedCount, l.baseResolved = 0, v.Resolved
		l.reserved = make(map[string]time.Time)
	}
	l.view = v
}

// expire releases the reservations of answers that were never reported.
func (l *localState) expire(now time.Time) {
	for id, at := range l.reserved {
		if now.Sub(at) > reservationLifetime {
			delete(l.reserved, id)
			l.reservedCount--
		}
	}
}

// rollouts calls f for every declared rollout until f returns false.
func (s *Service) rollouts(f func(r *config.Rollout) bool) {
	snapshot := s.source.Current()
	if snapshot == nil {
		return
	}
	for i := range snapshot.Declarations.Rollouts {
		if !f(&snapshot.Declarations.Rollouts[i]) {
			return
		}
	}
}

// withdrawn reports whether the version is withdrawn by the declarations or by
// a mark.
func (s *Service) withdrawn(ref config.VersionRef) bool {
	snapshot := s.source.Current()
	return s.source.Marks().Withdrawn(ref) || (snapshot != nil && snapshot.Withdrawn(ref))
}

// Assign implements plan.Rollouts.
func (s *Service) Assign(ref config.VersionRef, cohort float64) (config.VersionRef, string) {
	id := ""
	s.rollouts(func(r *config.Rollout) bool {
		from, to := refs(r)
		if ref != from && ref != to {
			return true
		}
		share, status := s.share(r.ID)
		if s.withdrawn(to) || cohortPosition(r.ID, cohort) >= share {
			// A later rollout may start from this version.
			ref, id = from, ""
			return true
		}
		ref, id = to, ""
		if status == Running {
			id = r.ID
		}
		return true
	})
	return ref, id
}

// share returns the share of cohorts on the new version.
func (s *Service) share(id string) (float64, Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.localStates[id]
	if !ok {
		return 0, ""
	}
	if l.view.Status == Running && s.clock.Since(s.viewAt) > staleAfter {
		return 0, l.view.Status
	}
	return l.view.Share, l.view.Status
}

// UnderRollout implements quality.Rollouts.
func (s *Service) UnderRollout(ref config.VersionRef) bool { return s.running(ref) != "" }

// running returns the running rollout whose new version is ref.
func (s *Service) running(ref config.VersionRef) (id string) {
	s.rollouts(func(r *config.Rollout) bool {
		if _, to := refs(r); to != ref {
			return true
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if l, ok := s.localStates[r.ID]; ok && l.view.Status == Running {
			id = r.ID
		}
		return id == ""
	})
	return id
}

// Reserve implements plan.Reserver.
func (s *Service) Reserve(id, requestID string, pinned bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.localStates[id]
	if !ok {
		return false
	}
	if _, reserved := l.reserved[requestID]; reserved || !l.view.Capped {
		return true // A request that is planned again keeps its reservation.
	}
	now := s.clock.Now()
	l.expire(now)
	if l.rank.at.IsZero() || now.Sub(l.rank.at) >= rankInterval {
		l.rank = s.rank(id, now)
	}
	allowance := l.rank.allotment(l.view.Cap+l.view.Resolved) - l.rank.allotment(l.baseResolved)
	if !pinned && l.reservedCount >= allowance {
		s.refused.Inc()
		return false
	}
	l.reservedCount++
	l.reserved[requestID] = now
	return true
}

// Release implements plan.Releaser.
func (s *Service) Release(requestID string, ref config.VersionRef) {
	id := s.running(ref)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.localStates[id]
	if !ok {
		return
	}
	if _, reserved := l.reserved[requestID]; reserved {
		delete(l.reserved, requestID)
		l.reservedCount--
	}
}

// Outcome implements quality.Rollouts.
func (s *Service) Outcome(o quality.Outcome) {
	id := s.running(o.Sample.Version)
	if id == "" {
		return
	}
	ms := min(max(o.Sample.FirstToken.Milliseconds(), 0), math.MaxUint32)
	observed := observation{
		Rated: o.Rated, Failed: o.Sample.Failed, FirstTokenMS: uint32(ms),
		Rating: uint16(math.Round(min(max(o.Rating, 0), 1) * ratingScale)),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.localStates[id]
	delete(l.reserved, o.Sample.RequestID)
	if len(l.pending) >= maxPending {
		s.dropped.Inc()
		return
	}
	l.pending = append(l.pending, observed)
}

// sendSamples sends the pending observations to the controller. An unacknowledged
// message is resent with the same sequence number.
func (s *Service) sendSamples(ctx context.Context) {
	s.mu.Lock()
	if s.unacked == nil {
		s.unacked = s.drainPending()
	}
	m, to := s.unacked, s.latest.Controller
	s.mu.Unlock()
	if m == nil {
		return
	}
	if s.isController() {
		s.ingest(*m)
	} else if !s.deliver(ctx, to, m) {
		return
	}
	s.mu.Lock()
	s.unacked = nil
	s.mu.Unlock()
}

func (s *Service) deliver(ctx context.Context, to peer.NodeID, m *samplesMessage) bool {
	if s.messenger == nil || to == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var answer samplesReply
	err := s.messenger.Request(ctx, to, samplesKind, m, &answer)
	return err == nil && answer.Accepted
}

// drainPending returns a message with all pending observations, or nil if there
// are none. The caller holds s.mu.
func (s *Service) drainPending() *samplesMessage {
	samples := make(map[string][]observation)
	for id, l := range s.localStates {
		if len(l.pending) > 0 {
			samples[id], l.pending = l.pending, nil
		}
	}
	if len(samples) == 0 {
		return nil
	}
	s.sequence++
	return &samplesMessage{Node: s.self, Sequence: s.sequence, Samples: samples}
}

func (s *Service) handleView(_ context.Context, _ peer.NodeID, body []byte) (any, error) {
	var m viewMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, result.Wrap(err, result.BadMessage, result.NotRun, "rollout view")
	}
	s.applyView(m)
	return nil, nil
}

// applyView applies a newer view. A controller with an older epoch steps down.
func (s *Service) applyView(m viewMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest.Controller != "" && !m.newer(s.latest) {
		return
	}
	s.latest, s.viewAt = m, s.clock.Now()
	if m.Controller != s.self && m.Epoch > s.epoch {
		s.active = false
	}
	for _, v := range m.Views {
		l, ok := s.localStates[v.ID]
		if !ok {
			l = &localState{}
			s.localStates[v.ID] = l
		}
		l.apply(v)
	}
}
