package storeview

import (
	"context"
	"math/rand/v2"
	"time"

	"cassiapin/pkg/eventlog"
)

// A configuration is in force at a node until it takes a later one. It is held if the store
// lacks it: the store came back from an older copy, and no operator has written it again.
// Nodes that hold one announce it, nodes that have heard of a later one than theirs fetch it
// and adopt it, and a node that starts compares its own with another node's.

// configVersionLocked returns the version of the configuration in force, zero without one.
// The caller holds the lock.
func (s *Service) configVersionLocked() uint64 {
	if s.tracker.config == nil {
		return 0
	}
	return s.tracker.config.Version
}

// configVersion is configVersionLocked for callers that don't hold the lock.
func (s *Service) configVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configVersionLocked()
}

// aheadLocked reports whether the configuration in force is newer than the store's: the
// store came back from a copy that lacks it, and no operator has written it again yet. What
// the store says then proves nothing. The caller holds the lock.
func (s *Service) aheadLocked() bool {
	d := s.digests[Configurations]
	return d != nil && s.inForce.Revision.Era < d.era && s.storeVersion < s.configVersionLocked()
}

// heldVersionLocked returns the version of the configuration in force if only nodes have
// it, else zero. The caller holds the lock.
func (s *Service) heldVersionLocked() uint64 {
	if !s.aheadLocked() {
		return 0
	}
	return s.configVersionLocked()
}

// digestLocked returns the digest of the view of a kind, by which nodes ask for proofs. It
// differs from that of the state in the store if the store lacks what is in force. The
// caller holds the lock.
func (s *Service) digestLocked(kind Kind) uint64 {
	sum := s.digests[kind].value()
	if kind == Configurations && sum != 0 && s.aheadLocked() {
		sum ^= objectHash("in force", s.inForce.Revision)
	}
	return sum
}

// viewDigest is digestLocked for callers that don't hold the lock.
func (s *Service) viewDigest(kind Kind) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digestLocked(kind)
}

// noteStoreVersion records the version of the store's configuration, zero if it has none.
// The caller holds the lock.
func (s *Service) noteStoreVersion(version uint64) {
	was := s.aheadLocked()
	s.storeVersion = version
	if is := s.aheadLocked(); is != was {
		s.log.Warn(eventlog.ConfigLacking, "lacking", is, "config", s.configVersionLocked(), "store_config", version)
	}
	if s.aheadLocked() {
		s.requestAnnouncement()
	}
}

const (
	// announceSpread bounds the random delay of an announcement, as a fraction of
	// Options.EffectiveIn: few of the nodes that hold a version announce it.
	announceSpread = 0.08
	// compareShare is how long a node that starts looks for a node to compare its
	// configuration with, as a fraction of Options.EffectiveIn; while it has joined none,
	// it looks for as long as a proof lasts.
	compareShare = 0.4
	// compareStep is the pause between two such attempts, also as a fraction of Options.EffectiveIn.
	compareStep = 0.04
)

// heardVersion is a configuration's version that another node holds and the store lacks.
type heardVersion struct {
	version uint64
	node    string
	at      time.Duration
}

func (s *Service) requestAnnouncement() {
	select {
	case s.announcements <- struct{}{}:
	default: // Requested already.
	}
}

// announceLoop tells the other nodes of a configuration that the store lacks, since those
// that have only read the store know an older one. The readers do it at once, any other node
// only for one that it has heard to lack the configuration.
func (s *Service) announceLoop(ctx context.Context) {
	spread := time.Duration(announceSpread * float64(s.opts.EffectiveIn[Configurations]))
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.announcements:
		}
		requested := s.pauses.now()
		if s.clock.Sleep(ctx, rand.N(spread+1)) != nil {
			return
		}
		s.mu.Lock()
		version := s.heldVersionLocked()
		told := s.heard.version >= version && s.heard.at > requested
		lacked := s.lacked
		s.lacked = false
		s.mu.Unlock()
		if version > 0 && !told && (lacked || s.rank() < Readers) {
			s.send(Notice{Kind: Configurations, Held: version})
		}
	}
}

// noteHeld records that another node holds a configuration that the store lacks, zero for
// none. If it is later than this node's, it is fetched; if it is earlier, this node has one
// to announce.
func (s *Service) noteHeld(node string, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.heldVersionLocked() {
		s.lacked = true
		s.requestAnnouncement()
	}
	if version == 0 || version < s.heard.version && s.heardLocked() {
		return
	}
	s.heard = heardVersion{version, node, s.pauses.now()}
	if s.missesHeldLocked() {
		select {
		case s.fetches <- struct{}{}:
		default: // Requested already.
		}
	}
}

// heardLocked reports whether what other nodes hold was heard of lately. The caller holds
// the lock.
func (s *Service) heardLocked() bool {
	return s.heard.version > 0 && s.pauses.now()-s.heard.at < s.opts.EffectiveIn[Configurations]
}

// missesHeldLocked reports whether another node holds a later configuration. The caller
// holds the lock.
func (s *Service) missesHeldLocked() bool {
	return s.heardLocked() && s.heard.version > s.configVersionLocked()
}

// fetchLoop fetches the configurations that other nodes hold and the store lacks.
func (s *Service) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.fetches:
		}
		for s.fetchHeld(ctx) {
			if s.clock.Sleep(ctx, joinPoll) != nil {
				return
			}
		}
	}
}

// fetchHeld makes one attempt to fetch a configuration that another node holds, and reports
// whether it has to be repeated. In a fleet with a tree the parent is asked first.
func (s *Service) fetchHeld(ctx context.Context) (again bool) {
	s.mu.Lock()
	misses, node := s.missesHeldLocked(), s.heard.node
	q := s.queryLocked(Configurations)
	s.mu.Unlock()
	if !misses {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	if _, registered := s.opts.Peers.Joined(); registered >= largeFleet && s.rank() >= Readers {
		if r, err := s.opts.Peers.QueryParent(ctx, q); err == nil && s.adopt(r.Notice) {
			return false
		}
	}
	asked := s.pauses.now()
	r, err := s.opts.Peers.QueryNode(ctx, node, q)
	if err != nil {
		return true
	}
	if n := r.Notice; !s.adopt(n) && n.Held == 0 { // The store has it again.
		n.stateAt = s.replyStateAt(asked, r)
		s.queue(n)
	}
	return false
}

// queryLocked returns a query for what this node lacks of a kind. The caller holds the lock.
func (s *Service) queryLocked(kind Kind) Query {
	q := Query{Kind: kind, After: s.latestProgress[kind].from, Packed: true}
	if kind == Configurations {
		q.Version = s.configVersionLocked()
	}
	return q
}

// adopt takes a configuration that another node holds and the store lacks. What is known of
// the store's state stays as it is.
func (s *Service) adopt(n Notice) (adopted bool) {
	if n.Kind != Configurations || n.Held == 0 {
		return false
	}
	n.unpack()
	for _, c := range n.changes() {
		s.update(func(time.Time) bool {
			config, ok, err := s.opts.Decoder.Config(c.Object)
			if err != nil || !ok {
				return false
			}
			if adopted = s.tracker.SetConfig(config); adopted {
				s.inForce = c.Object
				s.log.Info(eventlog.ConfigTaken, "config", config.Version, "revision", config.Revision, "store_config", s.storeVersion,
					"routes", len(config.Routes), "services", len(config.Services), "organisations", len(config.Organisations))
			}
			return adopted
		})
	}
	return adopted
}

// compareLoop compares the configuration of a node that starts with another node's: the
// store may have come back from an older copy a moment ago, and the other nodes know more.
// Until then the view proves nothing. A node that finds none relies on the store.
func (s *Service) compareLoop(ctx context.Context) {
	defer s.compared.Store(true)
	era, listed := s.configEra()
	for ; !listed; era, listed = s.configEra() {
		if s.clock.Sleep(ctx, joinPoll) != nil {
			return
		}
	}
	if era == 0 {
		return // The store has no eras.
	}
	bound := s.opts.EffectiveIn[Configurations]
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	var joinedAt time.Time
	for {
		joined, registered := s.opts.Peers.Joined()
		switch {
		case joined <= 1 && registered <= 1:
			return
		case joined > 1 && joinedAt.IsZero():
			joinedAt = s.clock.Now()
		}
		if s.compare(ctx) || !joinedAt.IsZero() && s.clock.Since(joinedAt) > time.Duration(compareShare*float64(bound)) {
			return
		}
		if s.clock.Sleep(ctx, time.Duration(compareStep*float64(bound))) != nil {
			return
		}
	}
}

// compare makes one attempt to compare the configuration with that of a nearby node.
func (s *Service) compare(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, proofQueryTimeout)
	defer cancel()
	s.mu.Lock()
	q := s.queryLocked(Configurations)
	q.Compare = true
	s.mu.Unlock()
	r, err := s.opts.Peers.Query(ctx, q)
	if err != nil || r.Notice.Kind != Configurations {
		return false
	}
	s.adopt(r.Notice)
	return true
}

// configEra returns the era of the store that the configuration is from, and whether it
// has been listed or copied.
func (s *Service) configEra() (era uint64, listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.digests[Configurations]
	if d == nil {
		return 0, false
	}
	return max(d.era, s.era), true
}

// compareFor answers a node that starts: with this node's configuration if the store lacks
// it, else with nothing. A node that has started itself a moment ago can't tell.
func (s *Service) compareFor(q Query) (Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Kind != Configurations || !s.compared.Load() || s.missesHeldLocked() {
		return Reply{}, errNotProven
	}
	if r, err := s.heldFor(q); err == nil {
		return r, nil
	}
	return Reply{Notice: Notice{Kind: Configurations, To: s.latestProgress[Configurations].from}}, nil
}

// heldFor returns the configuration in force if it is later than the query's and the store
// lacks it: by this node's state, or by that of a querier that has read a later era. The
// caller holds the lock.
func (s *Service) heldFor(q Query) (Reply, error) {
	known, held := s.latestProgress[Configurations], s.configVersionLocked()
	lacking := s.aheadLocked() || q.Compare || q.After.Era > known.from.Era
	if q.Kind != Configurations || q.Version == 0 || held <= q.Version || !lacking {
		return Reply{}, errNothingNewer
	}
	packed, err := packChanges(noticeChanges([]Change{{Object: s.inForce}}))
	if err != nil {
		return Reply{}, err
	}
	return Reply{
		Notice: Notice{Kind: Configurations, To: known.from, Held: held, Packed: packed},
		AgeMS:  s.clock.Since(known.reported).Milliseconds(),
	}, nil
}
