package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cassiapin/pkg/config"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

// managedRollout is a rollout managed by this controller.
type managedRollout struct {
	State
	// id and to are immutable and read without the lock.
	id      string
	to      config.VersionRef
	rollout config.Rollout
	// loaded reports whether the state was read under the current lease.
	loaded bool
	// idReused reports whether the stored state is for other versions, because
	// an earlier rollout had the same id. Such a rollout does not start.
	idReused      bool
	objectVersion uint64
	dirty         bool
	savedAt       time.Time
}

// maxSenders bounds the number of nodes whose last sequence number is kept.
const maxSenders = 4096

func stateKey(id string) string { return "rollout/" + id }

// isController reports whether this node evaluates the guards. It remains true
// after the lease expires, until a view of a successor arrives: a halt is
// idempotent, and no other node can take over while the object store is
// unreachable.
func (s *Service) isController() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// holdsLease reports whether the lease is valid, which steps and writes require.
func (s *Service) holdsLease() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active && s.held != nil && s.held.Held()
}

// loadedRollout returns the managed rollout with the given id, or nil if its state
// is not loaded or its id is reused.
func (s *Service) loadedRollout(id string) *managedRollout {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.managed[id]
	if !ok || !c.loaded || c.idReused {
		return nil
	}
	return c
}

// reconcile runs one round of the controller.
func (s *Service) reconcile(ctx context.Context) {
	now := s.clock.Now()
	elapsed := min(now.Sub(s.lastTick), 2*tickInterval)
	s.lastTick = now
	s.tryAcquireLease(ctx, now)
	if !s.isController() {
		return
	}
	s.rollouts(func(r *config.Rollout) bool {
		s.reconcileRollout(ctx, r, elapsed)
		return true
	})
	s.publish(now)
}

func (s *Service) tryAcquireLease(ctx context.Context, now time.Time) {
	if s.leases == nil || s.store == nil || s.holdsLease() || !s.isLeaseCandidate() || now.Sub(s.lastAcquire) < acquireInterval {
		return
	}
	s.lastAcquire = now
	l, err := s.leases.Acquire(ctx, leaseName, func(previous []byte, _ bool) []byte { return previous })
	if err != nil {
		return // Another node holds it, or the object store is unreachable.
	}
	s.mu.Lock()
	s.held, s.epoch, s.active = l, l.Epoch(), true
	for _, c := range s.managed {
		c.loaded = false
	}
	s.mu.Unlock()
	s.log.Info("rollout lease acquired", "epoch", l.Epoch())
}

func (s *Service) isLeaseCandidate() bool {
	if s.members == nil {
		return true
	}
	first := peer.Rendezvous(leaseName, s.members.Live(), leaseCandidates)
	return slices.ContainsFunc(first, func(m peer.Member) bool { return m.ID == s.self })
}

func (s *Service) reconcileRollout(ctx context.Context, r *config.Rollout, elapsed time.Duration) {
	c := s.loadedRollout(r.ID)
	if c == nil {
		if c = s.load(ctx, r); c == nil {
			return
		}
		elapsed = 0
	}
	s.mu.Lock()
	c.rollout = *r
	status, reason := c.Status, c.Reason
	tripped := c.Guards.Tripped
	s.mu.Unlock()
	switch withdrawn := s.withdrawn(c.to); {
	case status == Halted && !withdrawn:
		// The mark was lost, or the first attempt to set it failed.
		s.setMark(c, reason)
	case status != Halted && withdrawn, status == Running && tripped != "":
		s.halt(c)
	}
	s.step(ctx, c, elapsed)
	interval := saveInterval
	s.mu.Lock()
	if capped, _ := c.capped(&c.rollout); capped {
		interval = cappedSaveInterval
	}
	s.mu.Unlock()
	s.save(ctx, c, interval)
}

// load reads the stored state, or creates it for a new rollout. It returns nil if
// the rollout cannot be managed now.
func (s *Service) load(ctx context.Context, r *config.Rollout) *managedRollout {
	if !s.holdsLease() {
		return nil
	}
	object, err := s.store.Get(ctx, stateKey(r.ID))
	if result.CodeOf(err) == result.ObjectNotFound {
		return s.create(ctx, r)
	}
	if err != nil {
		return nil
	}
	var state State
	if err := json.Unmarshal(object.Value, &state); err != nil {
		s.log.Error("stored rollout state is malformed; rollout not run", "rollout", r.ID, "error", err)
		state = State{}
	}
	from, to := refs(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	c, known := s.managed[r.ID]
	if !known {
		c = &managedRollout{id: r.ID, to: to}
		s.managed[r.ID] = c
	}
	if !known || c.Epoch != state.Epoch {
		c.State = state
	}
	// If the stored epoch is unchanged, no other controller has written the
	// state, and the copy in memory is newer.
	c.rollout, c.objectVersion, c.loaded = *r, object.Version, true
	if c.idReused = state.From != from || state.To != to; c.idReused {
		s.log.Warn("rollout id already used for other versions; rollout not run", "rollout", r.ID)
		return nil
	}
	return c
}

func (s *Service) create(ctx context.Context, r *config.Rollout) *managedRollout {
	from, to := refs(r)
	if r.Paused || s.withdrawn(to) || len(r.Steps) == 0 {
		return nil
	}
	state := State{ID: r.ID, From: from, To: to, Status: Running, Epoch: s.epoch}
	c := &managedRollout{State: state, id: r.ID, to: to, rollout: *r, loaded: true, dirty: true}
	if !s.save(ctx, c, 0) {
		return nil
	}
	s.mu.Lock()
	s.managed[r.ID] = c
	s.mu.Unlock()
	s.event(timeline.RolloutStep, state, "started")
	return c
}

// step advances the rollout. The new step is written before it is published, so
// that a successor never starts from an older step than the nodes use.
func (s *Service) step(ctx context.Context, c *managedRollout, elapsed time.Duration) {
	if !s.holdsLease() {
		return
	}
	s.mu.Lock()
	before := c.State
	changed := c.advance(&c.rollout, elapsed)
	c.dirty = c.dirty || changed
	after := c.State
	s.mu.Unlock()
	switch {
	case !changed:
	case !s.save(ctx, c, 0):
		s.revertStep(c, before)
	case after.Status == Finished:
		s.event(timeline.RolloutFinished, after, "")
	default:
		s.event(timeline.RolloutStep, after, fmt.Sprintf("step %d", after.Step+1))
	}
}

// revertStep reverts a step that could not be written. It keeps observations and
// halts that arrived in the meantime.
func (s *Service) revertStep(c *managedRollout, before State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Status != Halted {
		c.Status = before.Status
	}
	c.Step, c.InStep = before.Step, before.InStep
	c.StepRated += before.StepRated
}

// save writes a changed state if the last write is at least interval ago or the
// rollout is halted. It reports whether the stored state is up to date.
func (s *Service) save(ctx context.Context, c *managedRollout, interval time.Duration) bool {
	now, holding := s.clock.Now(), s.holdsLease()
	s.mu.Lock()
	dirty, due := c.dirty, c.Status == Halted || now.Sub(c.savedAt) >= interval
	if !dirty || !holding || !due {
		s.mu.Unlock()
		return !dirty
	}
	c.Epoch, c.dirty, c.savedAt = s.epoch, false, now
	value, err := json.Marshal(c.State)
	s.mu.Unlock()
	var object objectstore.Object
	if err == nil && c.objectVersion == 0 {
		object, err = s.store.Create(ctx, stateKey(c.id), value)
	} else if err == nil {
		object, err = s.store.Update(ctx, stateKey(c.id), value, c.objectVersion)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		c.dirty = true
		// On a conflict another writer was first; its state is read in the
		// next round.
		c.loaded = c.loaded && result.CodeOf(err) != result.ObjectConflict
		return false
	}
	c.objectVersion = object.Version
	return true
}

// haltTripped halts every rollout whose guard has tripped.
func (s *Service) haltTripped() {
	var tripped []*managedRollout
	s.mu.Lock()
	for _, c := range s.managed {
		if s.active && c.Status == Running && c.Guards.Tripped != "" {
			tripped = append(tripped, c)
		}
	}
	s.mu.Unlock()
	for _, c := range tripped {
		s.halt(c)
	}
	if len(tripped) > 0 {
		s.publish(s.clock.Now())
	}
}

// halt withdraws the new version. The mark is set first: it does not depend on
// the object store, and a successor that finds the mark also halts the rollout.
func (s *Service) halt(c *managedRollout) {
	s.mu.Lock()
	reason := "the version is withdrawn"
	if c.Guards.Tripped != "" {
		reason = "guard tripped: " + c.Guards.Tripped
	}
	s.mu.Unlock()
	s.setMark(c, reason)
	s.mu.Lock()
	already := c.Status == Halted
	if !already {
		c.Status, c.Reason, c.dirty = Halted, reason, true
	}
	state := c.State
	s.mu.Unlock()
	if already {
		return
	}
	s.halts.Inc()
	s.event(timeline.RolloutHalted, state, reason)
	s.log.Warn("rollout halted", "rollout", c.id, "version", c.to.String(), "reason", reason)
}

// setMark sets the withdrawal mark. After a failure the next round retries,
// because the halted version has no mark.
func (s *Service) setMark(c *managedRollout, reason string) {
	if s.withdrawn(c.to) {
		return
	}
	if err := s.setter.SetMark(config.VersionKey(c.to), config.MarkWithdrawn, "rollout "+c.id+": "+reason); err != nil {
		s.log.Error("withdrawal mark not set", "rollout", c.id, "version", c.to.String(), "error", err)
	}
}

func (s *Service) event(kind timeline.Kind, state State, detail string) {
	s.recorder.Record(timeline.Event{
		Kind: kind, Model: state.To.Model, Version: state.To.Version, Epoch: state.Epoch, Detail: state.ID + ": " + detail,
	})
}

// publish floods the views when they change, and every viewInterval for nodes
// that joined or missed them.
func (s *Service) publish(now time.Time) {
	s.mu.Lock()
	m := viewMessage{Controller: s.self, Epoch: s.epoch, Sequence: s.published.Sequence + 1}
	for _, c := range s.managed {
		if !c.idReused && c.ID != "" {
			m.Views = append(m.Views, c.view(&c.rollout))
		}
	}
	slices.SortFunc(m.Views, func(a, b view) int { return compareIDs(a, b) })
	for i := range m.Views {
		if !m.Views[i].Capped {
			m.Views[i].Resolved = 0 // Unused without a cap; each change would be flooded.
		}
	}
	same := slices.Equal(m.Views, s.published.Views) && m.Epoch == s.published.Epoch
	if !s.active || len(m.Views) == 0 || (same && now.Sub(s.lastFlood) < viewInterval) {
		s.mu.Unlock()
		return
	}
	s.published, s.lastFlood = m, now
	s.mu.Unlock()
	s.applyView(m)
	if s.messenger == nil {
		return
	}
	if err := s.messenger.Flood(viewKind, m); err != nil {
		s.log.Warn("rollout view not flooded", "error", err)
	}
}

func compareIDs(a, b view) int {
	switch {
	case a.ID < b.ID:
		return -1
	case a.ID > b.ID:
		return 1
	}
	return 0
}

func (s *Service) handleSamples(_ context.Context, _ peer.NodeID, body []byte) (any, error) {
	var m samplesMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, result.Wrap(err, result.BadMessage, result.NotRun, "rollout samples")
	}
	if !s.isController() {
		return samplesReply{}, nil
	}
	s.ingest(m)
	return samplesReply{Accepted: true}, nil
}

// ingest passes a node's observations to the guards. Repeated messages are
// ignored.
func (s *Service) ingest(m samplesMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Sequence <= s.lastReceived[m.Node] {
		return
	}
	if len(s.lastReceived) >= maxSenders {
		clear(s.lastReceived) // Bounds memory as nodes are replaced; repeated messages are rare.
	}
	s.lastReceived[m.Node] = m.Sequence
	for id, observations := range m.Samples {
		c, ok := s.managed[id]
		if !ok || c.idReused || c.Status != Running {
			continue
		}
		for _, o := range observations {
			s.samples.Inc()
			c.observe(o, &c.rollout)
		}
		c.dirty = true
		if c.Guards.Tripped != "" {
			select {
			case s.guardTripped <- struct{}{}:
			default:
			}
		}
	}
}
