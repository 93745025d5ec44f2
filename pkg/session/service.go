package session

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

// The defaults of Options.
const (
	// DefaultNameTTL is the TTL of a name after its last use.
	DefaultNameTTL = time.Hour
	// DefaultMaxNames bounds the names stored by a node as a session home. At
	// about 300 bytes each they take 15 MB.
	DefaultMaxNames = 50_000
)

const (
	// maxRecentNames bounds the names cached from a node's own requests.
	maxRecentNames = 10_000
	// refreshInterval is the time during which a node does not rewrite an
	// unchanged binding. It is much shorter than the TTL, so that the name does
	// not expire on the second home either.
	refreshInterval = time.Minute
	// observeInterval is the longest time between two membership observations.
	observeInterval = 10 * time.Second
)

var (
	tokensTotal      = metrics.NewCounter("cassiapin_session_tokens_issued_total")
	refusedTotal     = metrics.NewCounter("cassiapin_session_refusals_total")
	lostTotal        = metrics.NewCounter("cassiapin_session_lost_bindings_total")
	unreachableTotal = metrics.NewCounter("cassiapin_session_homes_unreachable_total")
)

// Options configure a Service; zero fields have the defaults above.
type Options struct {
	// Keys are the HMAC keys of tokens, at least 16 bytes each. The first one
	// signs and all verify. To rotate, append a new key on all nodes, then move
	// it to the front.
	Keys [][]byte
	// MaxAge is the age at which a token expires; 0 means never. Every answer
	// carries a newly issued token.
	MaxAge   time.Duration
	NameTTL  time.Duration
	MaxNames int
	// Messenger and Members default to those registered in the kernel. Without
	// them this node is the only session home.
	Messenger peer.Messenger
	Members   peer.Members
	// Clock and Recorder are taken from the kernel when nil.
	Clock    clock.Clock
	Recorder timeline.Recorder
}

// Service implements Manager.
type Service struct {
	kernel.Base
	opts Options
	keys atomic.Pointer[[][]byte]
	// homeTable contains the names for which this node is a session home.
	homeTable *table
	// recentNames caches the names of this node's own requests. It avoids
	// writes and is the fallback if no home is reachable.
	recentNames *table
	history     *history
}

var _ Manager = (*Service)(nil)

// New returns the session service.
func New(o Options) (*Service, error) {
	if o.NameTTL == 0 {
		o.NameTTL = DefaultNameTTL
	}
	if o.MaxNames == 0 {
		o.MaxNames = DefaultMaxNames
	}
	s := &Service{
		opts:        o,
		homeTable:   newTable(o.MaxNames, o.NameTTL),
		recentNames: newTable(min(maxRecentNames, o.MaxNames), o.NameTTL),

		history: newHistory(o.NameTTL),
	}
	if err := s.setKeys(o.Keys); err != nil {
		return nil, err
	}
	return s, nil
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision implements kernel.Service. It looks up the recorder and, if they are
// registered, the services for messages between nodes.
func (s *Service) Provision(k *kernel.Kernel) error {
	f := kernel.Find(k)
	if s.opts.Clock == nil {
		s.opts.Clock = k.Clock
	}
	kernel.Require(f, timeline.ServiceName, &s.opts.Recorder)
	if s.opts.Messenger == nil {
		kernel.Optional(f, peer.TransportServiceName, &s.opts.Messenger)
	}
	if s.opts.Members == nil {
		kernel.Optional(f, peer.MembershipServiceName, &s.opts.Members)
	}
	s.registerHandlers()
	return f.Err()
}

// SetKeys replaces the keys; the first one signs.
func (s *Service) SetKeys(keys [][]byte) error {
	if err := s.setKeys(keys); err != nil {
		return err
	}
	if s.opts.Recorder != nil {
		s.opts.Recorder.Record(timeline.Event{
			Kind: timeline.KeysRotated, Detail: strconv.Itoa(len(keys)) + " session keys",
		})
	}
	return nil
}

func (s *Service) setKeys(keys [][]byte) error {
	if len(keys) == 0 {
		return result.New(result.SettingsError, "no session key is set")
	}
	own := make([][]byte, len(keys))
	for i, k := range keys {
		if len(k) < minKeyBytes {
			return result.New(result.SettingsError, "session key %d has fewer than %d bytes", i, minKeyBytes)
		}
		own[i] = append([]byte(nil), k...)
	}
	s.keys.Store(&own)
	return nil
}

// Resolve implements Manager. A session has one version in all classes.
func (s *Service) Resolve(ctx context.Context, organisation, _ string, header string) (Session, error) {
	sess, err := s.resolve(ctx, organisation, header)
	if err != nil {
		refusedTotal.Inc()
	}
	return sess, err
}

func (s *Service) resolve(ctx context.Context, organisation, header string) (Session, error) {
	switch {
	case header == "":
		return Session{}, nil
	case header == newSession:
		id := newID()
		return Session{ID: id, Cohort: cohort(id)}, nil
	case len(header) >= len(tokenPrefix) && header[:len(tokenPrefix)] == tokenPrefix:
		return s.resolveToken(organisation, header)
	}
	if err := checkName(header); err != nil {
		return Session{}, err
	}
	id := nameID(organisation, header)
	b, lost := s.lookup(ctx, organisation, header)
	if lost {
		lostTotal.Inc()
	}
	return Session{ID: id, Pinned: b.ref, BindingLost: lost, Cohort: cohort(id), Name: header}, nil
}

func (s *Service) resolveToken(organisation, token string) (Session, error) {
	id, ref, issued, err := verify(*s.keys.Load(), organisation, token)
	if err != nil {
		return Session{}, err
	}
	if age := s.opts.Clock.Now().Sub(issued); s.opts.MaxAge > 0 && age > s.opts.MaxAge {
		return Session{}, badSession("the session token has expired")
	}
	return Session{ID: id, Pinned: ref, Cohort: cohort(id)}, nil
}

// Bind implements Manager. It issues a new token each time, so that tokens are
// signed with the current key.
func (s *Service) Bind(ctx context.Context, organisation, _ string, sess Session, ref config.VersionRef) (string, config.VersionRef, error) {
	switch {
	case sess.ID == "":
		return "", ref, nil
	case sess.Name != "":
		return sess.Name, s.bindName(ctx, organisation, sess, ref), nil
	}
	tokensTotal.Inc()
	return sign((*s.keys.Load())[0], organisation, sess.ID, ref, s.opts.Clock.Now()), ref, nil
}
