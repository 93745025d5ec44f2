package storeview

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/topology"
)

// Query requests the changes of a kind after a revision from another node.
type Query struct {
	Kind  Kind              `cbor:"1,keyasint"`
	After topology.Revision `cbor:"2,keyasint"`
}

// Reply is the answer to a Query.
type Reply struct {
	Notice Notice `cbor:"1,keyasint"`
	// AgeMS is the time since the store confirmed the notice's state.
	AgeMS int64 `cbor:"2,keyasint"`
}

// peerQueryTimeout bounds a query to another node; the answer is a configuration
// of a few hundred KB at most, from the same region.
const peerQueryTimeout = 800 * time.Millisecond

// queryPeer fetches a configuration announced by notices from another node when
// the store does not answer this one.
func (f *follower) queryPeer(ctx context.Context) bool {
	s := f.service
	if f.kind != Configurations || !f.listed || f.pending <= f.from || s.opts.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	r, err := s.opts.Peers.Query(ctx, Query{Kind: f.kind, After: f.from})
	if err != nil {
		s.log.Debug(eventlog.NoticeFailed, "kind", f.kind.String(), "revision", f.from, "error", err.Error())
		return false
	}
	n := r.Notice
	n.ageMS = r.AgeMS
	return n.Kind == f.kind && n.To > f.from && f.applyNotice(n)
}

var errNothingNewer = errors.New("no newer revision known")

// answer replies to another node's query. A configuration is a single object, so
// the newest version includes all changes in between.
func (s *Service) answer(q Query) (Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.latestProgress[Configurations]
	if q.Kind != Configurations || known.from <= q.After || s.config.Revision == 0 {
		return Reply{}, errNothingNewer
	}
	return Reply{
		Notice: Notice{
			Kind: Configurations, From: q.After, To: known.from, Complete: true, Changes: noticeChanges([]Change{{Object: s.config}}),
		},
		AgeMS: s.clock.Since(known.verified).Milliseconds(),
	}, nil
}
