package session

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/config"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
)

// kindHandover transfers bindings to their new homes.
const kindHandover peer.Kind = "session.handover"

const (
	// handoverDelay batches membership changes that occur close together.
	handoverDelay = 100 * time.Millisecond
	// handoverBatch is the largest number of bindings in one message; a binding
	// takes about 100 bytes.
	handoverBatch = 200
	// handoverTimeout bounds the request for one batch.
	handoverTimeout = time.Second
)

var handedOverTotal = metrics.NewCounter("cassiapin_session_handed_over_names_total")

// handoverMessage carries bindings to a new home.
type handoverMessage struct {
	Bindings []homeMessage `cbor:"1,keyasint"`
}

// Run implements kernel.Service. It watches the membership, records its history,
// and transfers bindings whose homes change to the new homes, so that a name
// survives the successive replacement of both of its homes.
func (s *Service) Run(t *tomb.Tomb) error {
	if s.opts.Messenger == nil || s.opts.Members == nil {
		return nil
	}
	ctx := t.Context(context.Background())
	changes := s.opts.Members.Subscribe()
	t.Go(func() error {
		before, fetched := s.observe(), false
		for {
			fetched = fetched || s.fetchHistory(ctx)
			select {
			case <-t.Dying():
				return nil
			case <-changes:
				if s.opts.Clock.Sleep(ctx, handoverDelay) != nil {
					return nil
				}
			case <-s.opts.Clock.After(observeInterval):
			}
			after := s.observe()
			if !sameMembers(before, after) {
				s.handOver(ctx, before, after)
			}
			before = after
		}
	})
	return nil
}

// observe records the live members and returns those eligible as homes.
func (s *Service) observe() []peer.Member {
	live := s.opts.Members.Live()
	s.history.observe(live, s.opts.Clock.Now())
	return filterAlive(live)
}

func sameMembers(a, b []peer.Member) bool {
	return slices.EqualFunc(a, b, func(x, y peer.Member) bool { return x.ID == y.ID })
}

// Drain implements kernel.Drainer. It transfers all bindings of this node to
// their remaining homes.
func (s *Service) Drain(ctx context.Context) error {
	if s.opts.Messenger == nil || s.opts.Members == nil {
		return nil
	}
	self := s.opts.Members.Self().ID
	after := slices.DeleteFunc(s.aliveMembers(), func(m peer.Member) bool { return m.ID == self })
	s.handOver(ctx, nil, after)
	return nil
}

// handOver sends each binding to its homes under the membership after that are
// not its homes under before. A home that does not reply gets the binding from
// the other home or on the next bind.
func (s *Service) handOver(ctx context.Context, before, after []peer.Member) {
	self := s.opts.Members.Self().ID
	batches := make(map[peer.NodeID][]homeMessage)
	s.homeTable.each(func(key string, b binding) {
		organisation, name, _ := strings.Cut(key, "\x00")
		old := homesAmong(organisation, name, before)
		for _, home := range homesAmong(organisation, name, after) {
			if home == self || slices.Contains(old, home) {
				continue
			}
			batches[home] = append(batches[home], homeMessage{
				Organisation: organisation, Name: name, Mode: mirror,
				Version: versionMessage(b.ref), Revision: b.revision,
			})
		}
	})
	for home, list := range batches {
		for part := range slices.Chunk(list, handoverBatch) {
			s.sendHandover(ctx, home, part)
		}
	}
}

func (s *Service) sendHandover(ctx context.Context, home peer.NodeID, part []homeMessage) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var reply struct{}
	if s.opts.Messenger.Request(ctx, home, kindHandover, handoverMessage{Bindings: part}, &reply) == nil {
		handedOverTotal.Add(len(part))
	}
}

// onHandover stores bindings for which this node is a new home.
func (s *Service) onHandover(_ context.Context, _ peer.NodeID, body []byte) (any, error) {
	var m handoverMessage
	if err := peer.Decode(body, &m); err != nil {
		return nil, result.Wrap(err, result.BadMessage, result.NotRun, "the session message is malformed")
	}
	now := s.opts.Clock.Now()
	for _, b := range m.Bindings {
		s.homeTable.merge(tableKey(b.Organisation, b.Name), binding{ref: config.VersionRef(b.Version), revision: b.Revision}, now)
	}
	return struct{}{}, nil
}

// aliveMembers returns the members eligible as homes.
func (s *Service) aliveMembers() []peer.Member { return filterAlive(s.opts.Members.Live()) }

// filterAlive returns the members that are not leaving.
func filterAlive(live []peer.Member) []peer.Member {
	var alive []peer.Member
	for _, m := range live {
		if m.State == peer.Alive {
			alive = append(alive, m)
		}
	}
	return alive
}
