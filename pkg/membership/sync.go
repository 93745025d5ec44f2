package membership

import (
	"context"
	"maps"
	"slices"
	"time"

	"cassiapin/pkg/peer"
)

// updateMessage floods member changes. It is also sent to a member that is
// considered suspect or dead, so that it can refute that.
type updateMessage struct {
	Records []record `cbor:"1,keyasint"`
}

// syncMessage is one step of a digest exchange. The receiver of a digest
// returns its records of the buckets that differ and requests (Want) those of
// the sender.
type syncMessage struct {
	Digest  []uint64 `cbor:"1,keyasint,omitempty"`
	Want    uint32   `cbor:"2,keyasint,omitempty"`
	Records []record `cbor:"3,keyasint,omitempty"`
}

// joinResponse carries the full view of the node that was joined.
type joinResponse struct {
	Records []record    `cbor:"1,keyasint"`
	ID      peer.NodeID `cbor:"2,keyasint"`
}

// maxUpdateDelay bounds the random delay before changes learned from a digest
// exchange are flooded. When a partition heals, many nodes learn the same
// changes; most of them receive another node's flood before their own is due.
const maxUpdateDelay = time.Second

// followUpDelay is the time after which two nodes that found differences
// compare digests again; by then the refutations have been flooded.
const followUpDelay = time.Second

// syncer is the state of joining and of digest exchange.
type syncer struct {
	joined        bool
	joining       bool
	nextJoin      time.Time
	nextSync      time.Time
	nextReconnect time.Time
	// reconnectBackoff is the current mean delay between attempts to reach the
	// other side of a partition.
	reconnectBackoff time.Duration
	discoveredSeeds  []string
	followUp         map[peer.NodeID]time.Time
	// queued holds changes that are flooded together at flushAt.
	queued  map[peer.NodeID]record
	flushAt time.Time
}

// jittered returns a random duration in [d/2, 3d/2).
func (s *Service) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rng.Int63n(int64(d)))
}

func (s *Service) tickSync(now time.Time) {
	if s.sync.nextSync.IsZero() {
		s.sync.nextSync = now.Add(s.jittered(syncInterval))
		s.resetReconnectBackoff(now)
	}
	if !s.sync.joined && !now.Before(s.sync.nextJoin) {
		s.sync.nextJoin = now.Add(s.jittered(joinRetry))
		seeds := s.unusedSeeds()
		// If every seed is a live member, others have joined through this node.
		s.sync.joined = len(seeds) == 0 && len(s.table.entries) > 1
		s.tryJoin(seeds)
	}
	if n := len(s.overlay.neighbours); n > 0 && !now.Before(s.sync.nextSync) {
		s.sync.nextSync = now.Add(s.jittered(syncInterval))
		s.sendDigest(s.overlay.neighbours[s.rng.Intn(n)])
	}
	if !now.Before(s.sync.nextReconnect) {
		s.sync.reconnectBackoff = min(2*s.sync.reconnectBackoff, reconnectInterval)
		s.sync.nextReconnect = now.Add(s.jittered(s.sync.reconnectBackoff))
		s.tryJoin(append(s.unusedSeeds(), s.deadAddresses()...))
	}
	for _, id := range slices.Sorted(maps.Keys(s.sync.followUp)) {
		if !now.Before(s.sync.followUp[id]) {
			delete(s.sync.followUp, id)
			s.sendDigest(id)
		}
	}
	s.flushUpdates(now)
}

// resetReconnectBackoff restarts the exponential backoff of attempts to reach
// members and seeds that are not live: nodes that started while others were
// unreachable may know only each other.
func (s *Service) resetReconnectBackoff(now time.Time) {
	s.sync.reconnectBackoff = joinRetry
	s.sync.nextReconnect = now.Add(s.jittered(s.sync.reconnectBackoff))
}

// unusedSeeds returns the seeds that are not addresses of live members.
func (s *Service) unusedSeeds() []string {
	used := map[string]bool{}
	for _, e := range s.table.entries {
		if e.live() {
			used[e.member.PeerAddress] = true
		}
	}
	var out []string
	for _, list := range [][]string{s.opts.Seeds, s.sync.discoveredSeeds} {
		for _, address := range list {
			if !used[address] {
				out = append(out, address)
			}
		}
	}
	return out
}

// deadAddresses returns the addresses of members that died without leaving.
func (s *Service) deadAddresses() []string {
	var out []string
	for _, e := range sortedEntries(s.table.flagged, func(e *entry) bool { return e.member.State == peer.Dead && !e.left }) {
		out = append(out, e.member.PeerAddress)
	}
	return out
}

// tryJoin sends this node's record to the node at a random one of the addresses
// and merges the full view that it returns.
func (s *Service) tryJoin(addresses []string) {
	if len(addresses) == 0 || s.sync.joining {
		return
	}
	s.sync.joining = true
	to := peer.AddressID(addresses[s.rng.Intn(len(addresses))])
	self := fullRecord(s.self)
	s.pendingSends = append(s.pendingSends, func() {
		s.caller.Call(to, kindJoin, self, joinTimeout, func(raw []byte, err error) {
			s.withLock(func(now time.Time) { s.onJoined(now, raw, err) })
		})
	})
}

func (s *Service) onJoined(now time.Time, raw []byte, err error) {
	s.sync.joining = false
	var a joinResponse
	if err == nil {
		err = peer.Decode(raw, &a)
	}
	if err == nil && len(a.Records) == 0 {
		err = errNoMembers
	}
	if err != nil {
		return // Retried with another random seed.
	}
	if !s.sync.joined && len(s.table.entries) == 1 {
		// The other nodes already have these records, so nothing is flooded.
		for _, r := range a.Records {
			s.merge(r, now)
		}
	}
	if !s.sync.joined {
		s.resetReconnectBackoff(now)
	}
	s.sync.joined = true
	s.mergeRepaired(now, a.ID, a.Records)
	s.sendDigest(a.ID)
	// Nodes that join concurrently may have missed each other's floods.
	s.scheduleFollowUp(a.ID, now)
}

func (s *Service) scheduleFollowUp(id peer.NodeID, now time.Time) {
	if s.sync.followUp == nil {
		s.sync.followUp = make(map[peer.NodeID]time.Time)
	}
	s.sync.followUp[id] = now.Add(followUpDelay)
}

// onJoin returns the full view to a joining node and floods its record.
func (s *Service) onJoin(_ context.Context, _ peer.NodeID, body []byte) (any, error) {
	var r record
	if err := peer.Decode(body, &r); err != nil {
		return nil, err
	}
	var a joinResponse
	s.withLock(func(now time.Time) {
		if s.merge(r, now) {
			s.passOn([]record{r})
		}
		a = joinResponse{Records: s.table.records(^uint32(0), s.reach.isolated), ID: s.self.ID}
	})
	return a, nil
}

func (s *Service) sendDigest(to peer.NodeID) {
	if to == s.self.ID {
		return
	}
	d := s.table.digest
	s.notify(to, kindSync, syncMessage{Digest: d[:]})
}

func (s *Service) onSync(now time.Time, from peer.NodeID, m syncMessage) {
	if len(m.Digest) == buckets {
		var mask uint32
		for i, d := range m.Digest {
			if d != s.table.digest[i] {
				mask |= 1 << i
			}
		}
		if mask != 0 {
			s.notify(from, kindSync, syncMessage{Want: mask, Records: s.table.records(mask, s.reach.isolated)})
		}
		return
	}
	s.mergeRepaired(now, from, m.Records)
	if m.Want != 0 {
		s.notify(from, kindSync, syncMessage{Records: s.table.records(m.Want, s.reach.isolated)})
	}
}

// onUpdate merges flooded changes, which the router has already forwarded, and
// drops queued changes that they supersede.
func (s *Service) onUpdate(now time.Time, _ peer.NodeID, m updateMessage) {
	for _, r := range m.Records {
		s.dropQueued(r)
		s.merge(r, now)
	}
}

// dropQueued drops a queued change that r supersedes.
func (s *Service) dropQueued(r record) {
	if q, ok := s.sync.queued[r.ID]; ok && (r.Incarnation > q.Incarnation ||
		r.Incarnation == q.Incarnation && rank(r.State) >= rank(q.State)) {
		delete(s.sync.queued, r.ID)
	}
}

// mergeRepaired merges records of a digest exchange and queues the new ones to
// be flooded.
func (s *Service) mergeRepaired(now time.Time, from peer.NodeID, records []record) {
	var fresh []record
	for _, r := range records {
		if s.merge(r, now) {
			fresh = append(fresh, s.updateFor(r))
		}
	}
	if len(fresh) == 0 {
		return
	}
	s.queueUpdate(now, fresh)
	s.scheduleFollowUp(from, now)
}

// updateFor returns the record to flood for the member of a merged record.
func (s *Service) updateFor(r record) record {
	if r.State == peer.Dead {
		return compactRecord(r.member())
	}
	return fullRecord(s.table.entries[r.ID].member)
}

// queueUpdate schedules a flood of records after a random delay. Records that
// other nodes flood first are dropped from the queue.
func (s *Service) queueUpdate(now time.Time, records []record) {
	if s.sync.queued == nil {
		s.sync.queued = make(map[peer.NodeID]record)
	}
	if len(s.sync.queued) == 0 {
		s.sync.flushAt = now.Add(time.Duration(s.rng.Int63n(int64(maxUpdateDelay))))
	}
	for _, r := range records {
		s.sync.queued[r.ID] = r
	}
}

func (s *Service) flushUpdates(now time.Time) {
	if len(s.sync.queued) == 0 || now.Before(s.sync.flushAt) {
		return
	}
	var out []record
	for _, e := range s.table.sorted(func(e *entry) bool { _, ok := s.sync.queued[e.member.ID]; return ok }) {
		out = append(out, s.sync.queued[e.member.ID])
	}
	clear(s.sync.queued)
	s.passOn(out)
}
