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

// The kinds of messages to session homes.
const (
	kindLookup peer.Kind = "session.lookup"
	kindBind   peer.Kind = "session.bind"
)

// homeTimeout bounds one message to a session home. The other region is several
// milliseconds away; with 200 ms a busy machine gave two versions to one session.
const homeTimeout = 500 * time.Millisecond

// bindMode says how a home treats a binding that it has.
type bindMode uint8

const (
	// bindIfUnchanged sets the version if the name is not bound or bound to Previous.
	bindIfUnchanged bindMode = iota
	// mirror stores what the other home decided unless a later one is present.
	mirror
)

// homeMessage asks a home for a name or to bind it.
type homeMessage struct {
	Organisation string         `cbor:"1,keyasint"`
	Name         string         `cbor:"2,keyasint"`
	Mode         bindMode       `cbor:"3,keyasint"`
	Previous     versionMessage `cbor:"4,keyasint"`
	Version      versionMessage `cbor:"5,keyasint"`
	Revision     uint64         `cbor:"6,keyasint"`
}

// homeReply is the binding that a home has after the message.
type homeReply struct {
	Found    bool           `cbor:"1,keyasint"`
	Version  versionMessage `cbor:"2,keyasint"`
	Revision uint64         `cbor:"3,keyasint"`
	// Lost says that there is no binding and that the former homes, which may
	// have had one, have left.
	Lost bool `cbor:"4,keyasint,omitempty"`
}

// versionMessage is a config.VersionRef in a message.
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

// registerHandlers registers the handlers of messages.
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

// serveHistory answers a starting node.
func (s *Service) serveHistory(context.Context, peer.NodeID, []byte) (any, error) {
	return s.history.message(s.opts.Clock.Now()), nil
}

// serve answers a message as a session home.
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

// homes returns the session homes of a name. An empty id is this node when it
// runs alone.
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

// homesAmong returns the session homes among the members, the first one
// decides: the one with the highest score, and the next one in the other region,
// else in another failure domain. So each region has a home while the regions
// are apart, and nodes that disagree about the other region still agree on the
// home of their own.
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

// nearestFirst returns the homes with one of this node's region in front, so that
// a known name is found without the link between the regions.
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

// ask sends a message to a home, which may be this node.
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

// lookup returns the binding of a name. When only the farther home or a
// former one has it, for example because the nearer one is new, the nearer one
// is given it. lost says that there is none and that there may have been one.
func (s *Service) lookup(ctx context.Context, organisation, name string) (b binding, lost bool) {
	m := homeMessage{Organisation: organisation, Name: name}
	homes := s.nearestFirst(s.homes(organisation, name))
	answered := []peer.NodeID{}
	// try asks one home that was not asked before.
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
	asked := slices.Clone(homes)
	former := s.history.formerHomes(organisation, name, s.opts.Clock.Now())
	for _, f := range former {
		for _, home := range f.live {
			if slices.Contains(asked, home) {
				continue
			}
			if asked = append(asked, home); try(home) {
				return b, false
			}
		}
	}
	return binding{}, lost || mayBeLost(former, answered)
}

// bindName binds a name and returns the version that it has. The first home
// that answers decides and the other one mirrors it.
func (s *Service) bindName(ctx context.Context, organisation string, sess Session, ref config.VersionRef) config.VersionRef {
	key, now := tableKey(organisation, sess.Name), s.opts.Clock.Now()
	homes := s.homes(organisation, sess.Name)
	var at [2]string
	for i, h := range homes {
		at[i] = string(h)
	}
	known, ok := s.recentNames.get(key, now)
	if ok && sess.Pinned == ref && known.ref == ref && known.homes == at && now.Sub(known.writtenAt) < refreshInterval {
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
		b.writtenAt, b.homes = now, at
	}
	s.recentNames.put(key, b, now)
	return b.ref
}

// decide asks the homes in order until one decides, then mirrors the decision
// to the one after it. mirrored tells whether all homes have it.
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

// reconcile joins two homes that have different versions. The first home has
// lost the name and the second one kept it, so the second one's version wins,
// unless it is the one that the session moves from.
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
