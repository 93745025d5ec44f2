package distribution

import (
	"context"
	"encoding/json"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
)

const (
	// confirmInterval is the period of confirmations. A relay that receives
	// another relay's confirmation postpones its own, so the whole fleet sends
	// about one per period.
	confirmInterval = 5 * time.Second
	// confirmJitter spreads the confirmations of the relays.
	confirmJitter = time.Second
	// staleAfter is the age of the last confirmation at which a node reads the
	// object store itself.
	staleAfter = 10 * time.Second
	// pollInterval is the minimum time between reads by a node whose state is
	// stale.
	pollInterval = 5 * time.Second
	// bootstrapInterval is the minimum time between attempts to get a first
	// configuration.
	bootstrapInterval = time.Second
	// bootstrapMembers is the number of members from which a starting node
	// fetches while the object store is unavailable.
	bootstrapMembers = 5
	// relayCheckInterval is the period at which a node checks whether it is a
	// relay.
	relayCheckInterval = 500 * time.Millisecond
	// piggybackKey identifies this package's payload in probes.
	piggybackKey = "c"
)

// probePayload is this package's payload in membership probes.
type probePayload struct {
	Number uint64 `cbor:"1,keyasint,omitempty"`
	Marks  uint64 `cbor:"2,keyasint,omitempty"`
	// FreshMS is the age of the last confirmation, plus 1; 0 means none.
	FreshMS uint64 `cbor:"3,keyasint,omitempty"`
}

// confirmation is flooded by a relay that has just read the object store.
type confirmation struct {
	Number uint64 `cbor:"1,keyasint"`
}

// storeReadState is the state of reads from the object store.
type storeReadState struct {
	inFlight bool
	// startAt, confirmAt and pollAt are the times of the next read: for a first
	// configuration, for this relay's confirmation, and because the last
	// confirmation is stale.
	startAt, confirmAt, pollAt time.Time
	// storedMarks is the last observed value of marks/current, nil before the
	// first read.
	storedMarks config.Marks
	// marksVersion is the version of storedMarks. configVersion is the last
	// observed version of config/current, after which a watch starts.
	marksVersion, configVersion uint64
}

// confirmationAge returns the age of the last confirmation.
func (s *Service) confirmationAge(now time.Time) (time.Duration, bool) {
	at := s.confirmedAt.Load()
	if at == 0 {
		return 0, false
	}
	return now.Sub(time.UnixMilli(at)), true
}

func (s *Service) recordConfirmation(at time.Time) {
	if ms := at.UnixMilli(); ms > s.confirmedAt.Load() {
		s.confirmedAt.Store(ms)
	}
}

// ProbeData implements membership.Piggyback.
func (s *Service) ProbeData() []byte {
	payload := probePayload{Number: s.number(), Marks: s.marksHash.Load()}
	if age, ok := s.confirmationAge(s.clock.Now()); ok {
		payload.FreshMS = uint64(max(age.Milliseconds(), 0)) + 1
	}
	raw, err := peer.Encode(payload)
	if err != nil {
		return nil
	}
	return raw
}

// ObserveProbe implements membership.Piggyback. It repairs missed notices and
// floods.
func (s *Service) ObserveProbe(from peer.NodeID, data []byte) {
	var payload probePayload
	if err := peer.Decode(data, &payload); err != nil {
		return
	}
	if payload.FreshMS > 0 && payload.FreshMS < uint64(staleAfter.Milliseconds()) {
		s.recordConfirmation(s.clock.Now().Add(-time.Duration(payload.FreshMS-1) * time.Millisecond))
	}
	if payload.Number <= s.number() && payload.Marks == s.marksHash.Load() {
		return
	}
	s.locked(func(now time.Time) {
		s.fetchIfNewer(from, notice{Number: payload.Number})
		s.repairMarks(now, from, payload.Marks)
	})
}

// onConfirmation handles a relay's confirmation. The neighbour that forwarded it
// may not have the configuration yet; in that case the next notice or probe
// starts the fetch.
func (s *Service) onConfirmation(now time.Time, from peer.NodeID, m confirmation) {
	s.recordConfirmation(now)
	s.storeRead.confirmAt = now.Add(confirmInterval + time.Duration(s.rng.Int63n(int64(confirmJitter))))
	s.storeRead.pollAt = now.Add(staleAfter + time.Duration(s.rng.Int63n(int64(pollInterval))))
	s.fetchIfNewer(from, notice{Number: m.Number})
}

// tickStoreRead reads the object store when a read is due: at startup, for this
// relay's confirmation, or when the last confirmation is stale.
func (s *Service) tickStoreRead(now time.Time, relay bool) {
	read := &s.storeRead
	if read.inFlight {
		return
	}
	age, confirmed := s.confirmationAge(now)
	stale := !confirmed || age >= staleAfter
	// A node without a configuration polls at bootstrapInterval, unless a relay
	// confirms that none has been published.
	starting := s.number() == 0 && stale
	switch {
	case starting && !now.Before(read.startAt):
		read.startAt = now.Add(s.jittered(bootstrapInterval))
	case relay && !now.Before(read.confirmAt):
		read.confirmAt = now.Add(confirmInterval)
	case stale && !starting && !now.Before(read.pollAt):
		read.pollAt = now.Add(s.jittered(pollInterval))
	default:
		return
	}
	s.readStore(now, relay, starting)
}

// readStore reads both objects. A starting node fetches from members instead if
// the object store is unavailable.
func (s *Service) readStore(_ time.Time, relay, starting bool) {
	s.storeRead.inFlight = true
	s.polls.Inc()
	s.actions = append(s.actions, func(ctx context.Context) {
		err := s.readObjects(ctx)
		s.locked(func(now time.Time) {
			s.storeRead.inFlight = false
			if err == nil {
				s.recordConfirmation(now)
				if relay {
					s.flood(kindConfirmation, confirmation{Number: s.number()})
				}
			}
		})
		if err != nil && starting {
			s.fetchFromMembers()
		}
	})
}

func (s *Service) readObjects(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for _, key := range []string{ConfigKey, MarksKey} {
		o, err := s.store.Get(ctx, key)
		if result.CodeOf(err) == result.ObjectNotFound {
			continue
		}
		if err != nil {
			return err
		}
		s.handleObject(o)
	}
	return nil
}

// handleObject applies an object read from or watched in the object store.
func (s *Service) handleObject(o objectstore.Object) {
	if o.Deleted {
		return // The last configuration and the marks stay active.
	}
	s.locked(func(now time.Time) {
		switch o.Key {
		case ConfigKey:
			s.storeRead.configVersion = max(s.storeRead.configVersion, o.Version)
			s.accept(now, o.Value, true)
		case MarksKey:
			s.acceptMarks(now, o)
		}
	})
}

func (s *Service) acceptMarks(now time.Time, o objectstore.Object) {
	if o.Version < s.storeRead.marksVersion {
		return
	}
	var m config.Marks
	if err := json.Unmarshal(o.Value, &m); err != nil {
		s.refuse(now, Refusal{Hash: hashJSON(o.Value), Reason: "marks/current is no valid JSON"})
		return
	}
	first := s.storeRead.storedMarks == nil
	s.storeRead.storedMarks, s.storeRead.marksVersion = m, o.Version
	// The first read of a starting node is not flooded: others have the marks.
	if changed := s.mergeMarks(now, m); len(changed) > 0 && !first {
		s.flood(kindMarks, marksMessage{Marks: changed})
	}
}

// fetchFromMembers fetches the configuration and the marks of up to
// bootstrapMembers random members. Only a number above the active one is applied,
// so the highest wins.
func (s *Service) fetchFromMembers() {
	self := s.msgr.Self()
	var others []peer.NodeID
	for _, m := range s.overlay.Live() {
		if m.ID != self {
			others = append(others, m.ID)
		}
	}
	s.locked(func(now time.Time) {
		s.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		for _, id := range others[:min(len(others), bootstrapMembers)] {
			s.sends = append(s.sends, func() {
				s.caller.Call(id, kindFetch, fetchRequest{}, fetchTimeout, func(raw []byte, err error) {
					if err == nil {
						s.locked(func(now time.Time) { s.acceptFetched(now, raw) })
					}
				})
			})
			s.send(id, kindRepair, marksMessage{Marks: s.Marks(), Reply: true})
		}
	})
}

// watchWhileRelay watches one object as long as this node is a relay.
func (s *Service) watchWhileRelay(ctx context.Context, key string) error {
	for ctx.Err() == nil {
		if s.overlay.IsRelay() {
			s.watch(ctx, key)
		}
		if err := s.clock.Sleep(ctx, relayCheckInterval); err != nil {
			return nil
		}
	}
	return nil
}

// watch handles changes of one object until this node stops being a relay or the
// watch ends.
func (s *Service) watch(ctx context.Context, key string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	after := s.storeRead.configVersion
	if key == MarksKey {
		after = s.storeRead.marksVersion
	}
	s.mu.Unlock()
	objects, err := s.store.Watch(ctx, key, after)
	if err != nil {
		return // The caller retries; periodic reads continue meanwhile.
	}
	for {
		select {
		case o, open := <-objects:
			if !open {
				return
			}
			s.handleObject(o)
		case <-s.clock.After(relayCheckInterval):
			if !s.overlay.IsRelay() {
				return
			}
		}
	}
}
