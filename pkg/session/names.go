package session

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cassiapin/pkg/config"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
)

// Message kinds sent to session homes.
const (
	kindLookup peer.Kind = "session.lookup"
	kindBind   peer.Kind = "session.bind"
)

// homeTimeout bounds one request to a session home. The round trip to the other
// region takes several milliseconds; with 200 ms, requests timed out on an
// overloaded host and one session got two versions.
const homeTimeout = 500 * time.Millisecond

// bindMode selects how a home handles a bind request if it already has a binding.
type bindMode uint8

const (
	// bindIfUnchanged sets the version if the name is unbound or bound to
	// Previous.
	bindIfUnchanged bindMode = iota
	// mirror stores the binding decided by the other home unless an equal or
	// later revision is present.
	mirror
)

// homeMessage requests the lookup or binding of a name from a home.
type homeMessage struct {
	Organisation string         `cbor:"1,keyasint"`
	Name         string         `cbor:"2,keyasint"`
	Mode         bindMode       `cbor:"3,keyasint"`
	Previous     versionMessage `cbor:"4,keyasint"`
	Version      versionMessage `cbor:"5,keyasint"`
	Revision     uint64         `cbor:"6,keyasint"`
}

// homeReply is the home's binding after the request was processed.
type homeReply struct {
	Found    bool           `cbor:"1,keyasint"`
	Version  versionMessage `cbor:"2,keyasint"`
	Revision uint64         `cbor:"3,keyasint"`
	// Lost reports that there is no binding and that former homes, which may
	// have had one, have left.
	Lost bool `cbor:"4,keyasint,omitempty"`
}

// versionMessage is the wire form of config.VersionRef.
type versionMessage struct {
	Model   string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
}

func (r homeReply) binding() binding {
	return binding{ref: config.VersionRef(r.Version), revision: r.Revision}
}

func replyOf(b binding) homeReply {
	return homeReply{Found: true, Version: versionMessage(b.ref), Revision: b.revision}
}

func tableKey(organisation, name string) string { return organisation + "\x00" + name }

// registerHandlers registers the message handlers.
func (s *Service) registerHandlers() {
	if s.opts.Messenger == nil {
		return
	}
	s.opts.Messenger.Handle(kindHandover, s.onHandover)
	s.opts.Messenger.Handle(kindHistory, s.serveHistory)
	for _, kind := range []peer.Kind{kindLookup, kindBind} {
		s.opts.Messenger.Handle(kind, func(_ context.Context, _ peer.NodeID, body []byte) (any, error) {
			var m homeMessage
			if err := cbor.Unmarshal(body, &m); err != nil {
				return nil, result.Wrap(err, result.BadMessage, result.NotRun, "the session message is malformed")
			}
			return s.serve(kind, m), nil
		})
	}
}

// serveHistory replies with the history to a starting node.
func (s *Service) serveHistory(context.Context, peer.NodeID, []byte) (any, error) {
	return s.history.message(s.opts.Clock.Now()), nil
}

// serve processes a request as a session home.
func (s *Service) serve(kind peer.Kind, m homeMessage) homeReply {
	key, now := tableKey(m.Organisation, m.Name), s.opts.Clock.Now()
	switch {
	case kind == kindLookup:
		b, ok := s.homeTable.get(key, now)
		if !ok {
			if s.opts.Members != nil {
				s.history.observe(s.opts.Members.Live(), now)
			}
			return homeReply{Lost: mayBeLost(s.history.formerHomes(m.Organisation, m.Name, now), nil)}
		}
		return replyOf(b)
	case m.Mode == mirror:
		return replyOf(s.homeTable.merge(key, binding{ref: config.VersionRef(m.Version), revision: m.Revision}, now))
	}
	return replyOf(s.homeTable.compareAndSet(key, config.VersionRef(m.Previous), config.VersionRef(m.Version), now))
}

// homes returns the session homes of a name. Without a messenger or membership it
// returns an empty id, which stands for this node.
func (s *Service) homes(organisation, name string) []peer.NodeID {
	if s.opts.Messenger == nil || s.opts.Members == nil {
		return []peer.NodeID{""}
	}
	live := s.opts.Members.Live()
	s.history.observe(live, s.opts.Clock.Now())
	homes := homesAmong(organisation, name, filterAlive(live))
	if len(homes) == 0 {
		return []peer.NodeID{s.opts.Members.Self().ID}
	}
	return homes
}

// homesAmong returns the session homes among the members, the deciding one first:
// the member with the highest rendezvous score, then the next one in the other
// region, or else in another failure domain. So each region has a home during a
// partition between the regions, and nodes with different views of the other
// region still agree on the home in their own.
func homesAmong(organisation, name string, members []peer.Member) []peer.NodeID {
	if len(members) == 0 {
		return nil
	}
	ranked := peer.Rendezvous("session/"+tableKey(organisation, name), members, len(members))
	first := ranked[0]
	for _, differs := range []func(m peer.Member) bool{
		func(m peer.Member) bool { return m.Region != first.Region },
		func(m peer.Member) bool { return m.FailureDomain != first.FailureDomain },
		func(m peer.Member) bool { return m.ID != first.ID },
	} {
		if i := slices.IndexFunc(ranked, differs); i >= 0 {
			return []peer.NodeID{first.ID, ranked[i].ID}
		}
	}
	return []peer.NodeID{first.ID}
}

// nearestFirst returns the homes with the one in this node's region first, so
// that a known name is found without a request to the other region.
func (s *Service) nearestFirst(homes []peer.NodeID) []peer.NodeID {
	if len(homes) < 2 {
		return homes
	}
	region := s.opts.Members.Self().Region
	near := slices.ContainsFunc(s.aliveMembers(), func(m peer.Member) bool {
		return m.ID == homes[0] && m.Region == region
	})
	if near {
		return homes
	}
	return []peer.NodeID{homes[1], homes[0]}
}

// request sends a message to a home, which may be this node.
func (s *Service) request(ctx context.Context, to peer.NodeID, kind peer.Kind, m homeMessage) (homeReply, bool) {
	if to == "" || to == s.opts.Members.Self().ID {
		return s.serve(kind, m), true
	}
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	var reply homeReply
	err := s.opts.Messenger.Request(ctx, to, kind, m, &reply)
	return reply, err == nil
}

// lookup returns the binding of a name. If only the farther home or a former home
// has it, for example because the nearer home is new, the nearer home is
// repaired. lost reports that there is no binding although one may have existed.
func (s *Service) lookup(ctx context.Context, organisation, name string) (b binding, lost bool) {
	m := homeMessage{Organisation: organisation, Name: name}
	homes := s.nearestFirst(s.homes(organisation, name))
	answered := []peer.NodeID{}
	// try queries one home and reports whether it has the binding.
	try := func(home peer.NodeID) bool {
		reply, ok := s.request(ctx, home, kindLookup, m)
		if !ok {
			return false
		}
		answered = append(answered, home)
		lost = lost || reply.Lost
		if !reply.Found {
			return false
		}
		if home != homes[0] {
			m.Mode, m.Version, m.Revision = mirror, reply.Version, reply.Revision
			if repaired, ok := s.request(ctx, homes[0], kindBind, m); ok {
				reply = repaired
			}
		}
		b = reply.binding()
		return true
	}
	if slices.ContainsFunc(homes, try) {
		return b, false
	}
	if len(answered) == 0 {
		unreachableTotal.Inc()
		if b, ok := s.recentNames.get(tableKey(organisation, name), s.opts.Clock.Now()); ok {
			return b, false
		}
	}
	queried := slices.Clone(homes)
	former := s.history.formerHomes(organisation, name, s.opts.Clock.Now())
	for _, f := range former {
		for _, home := range f.live {
			if slices.Contains(queried, home) {
				continue
			}
			if queried = append(queried, home); try(home) {
				return b, false
			}
		}
	}
	return binding{}, lost || mayBeLost(former, answered)
}

// bindName binds a name and returns its resulting version. The first home that
// replies decides, and the other home mirrors the decision.
func (s *Service) bindName(ctx context.Context, organisation string, sess Session, ref config.VersionRef) config.VersionRef {
	key, now := tableKey(organisation, sess.Name), s.opts.Clock.Now()
	homes := s.homes(organisation, sess.Name)
	var homeIDs [2]string
	for i, h := range homes {
		homeIDs[i] = string(h)
	}
	known, ok := s.recentNames.get(key, now)
	if ok && sess.Pinned == ref && known.ref == ref && known.homes == homeIDs && now.Sub(known.writtenAt) < refreshInterval {
		return ref
	}
	m := homeMessage{
		Organisation: organisation, Name: sess.Name, Mode: bindIfUnchanged,
		Previous: versionMessage(sess.Pinned), Version: versionMessage(ref),
	}
	decided, mirrored := s.decide(ctx, homes, m)
	if !decided.Found {
		unreachableTotal.Inc()
		return s.recentNames.compareAndSet(key, sess.Pinned, ref, now).ref
	}
	b := decided.binding()
	if mirrored {
		b.writtenAt, b.homes = now, homeIDs
	}
	s.recentNames.put(key, b, now)
	return b.ref
}

// decide queries the homes in order until one decides, then mirrors the decision
// to the next one. mirrored reports whether all homes have it.
func (s *Service) decide(ctx context.Context, homes []peer.NodeID, m homeMessage) (decided homeReply, mirrored bool) {
	mirrored = true
	for _, home := range homes {
		reply, ok := s.request(ctx, home, kindBind, m)
		switch {
		case !ok:
			mirrored = false
		case !decided.Found:
			decided = reply
			m.Mode, m.Version, m.Revision = mirror, reply.Version, reply.Revision
		case reply.Version != decided.Version:
			return s.reconcile(ctx, homes, m, decided, reply)
		}
	}
	return decided, mirrored
}

// reconcile resolves a conflict between two homes with different versions. The
// first home lost the name and the second one kept it, so the second one's
// version wins, unless the session is moving away from that version.
func (s *Service) reconcile(ctx context.Context, homes []peer.NodeID, m homeMessage, first, second homeReply) (homeReply, bool) {
	m.Version = second.Version
	if second.Version == m.Previous {
		m.Version = first.Version
	}
	m.Revision = max(first.Revision, second.Revision) + 1
	agreed := true
	for _, home := range homes {
		_, ok := s.request(ctx, home, kindBind, m)
		agreed = agreed && ok
	}
	return homeReply{Found: true, Version: m.Version, Revision: m.Revision}, agreed
}
