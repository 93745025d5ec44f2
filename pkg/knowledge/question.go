package knowledge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/topology"
)

// Question asks for what a node knows of a kind beyond a revision.
type Question struct {
	Kind  Kind              `cbor:"1,keyasint"`
	After topology.Revision `cbor:"2,keyasint"`
}

// Reply is the answer to a Question.
type Reply struct {
	Notice Notice `cbor:"1,keyasint"`
	// AgeMS is how long ago the store confirmed it.
	AgeMS int64 `cbor:"2,keyasint"`
}

// peerQueryTimeout bounds a question to another node; an answer is a configuration of
// some hundred KB at most, from the same region.
const peerQueryTimeout = 800 * time.Millisecond

// ask takes a configuration that notices point to from another node, for a node
// that the store does not answer.
func (f *follower) queryPeer(ctx context.Context) bool {
	s := f.service
	if f.kind != Configurations || !f.listed || f.pending <= f.from || s.opts.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	r, err := s.opts.Peers.Query(ctx, Question{Kind: f.kind, After: f.from})
	if err != nil {
		s.log.Debug(eventlog.NoticeFailed, "kind", f.kind.String(), "revision", f.from, "error", err.Error())
		return false
	}
	n := r.Notice
	n.ageMS = r.AgeMS
	return n.Kind == f.kind && n.To > f.from && f.applyNotice(n)
}

var errNothingNewer = errors.New("nothing newer is known")

// answer answers the question of another node. A configuration is one object,
// so the newest one has all that came between.
func (s *Service) answer(q Question) (Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.reached[Configurations]
	if q.Kind != Configurations || known.from <= q.After || s.config.Revision == 0 {
		return Reply{}, errNothingNewer
	}
	return Reply{
		Notice: Notice{
			Kind: Configurations, From: q.After, To: known.from, Whole: true, Changes: noticeChanges([]Change{{Object: s.config}}),
		},
		AgeMS: s.clock.Since(known.verified).Milliseconds(),
	}, nil
}
