package placement

import (
	"slices"
	"sync"

	"cassiapin/pkg/hashing"
	"cassiapin/pkg/topology"
)

// subsetCover is the number of nodes of a failure domain that use one of its
// upstreams: enough for the loss of two, and so few that what an upstream reports to
// one of them is mostly caused by the node itself.
const subsetCover = 3

// Subset chooses the upstreams that a node uses while they are not more loaded than
// others. In a large fleet a node that uses all upstreams meets each so seldom that it
// knows nothing of their load, and opens a connection for most requests.
//
// Each upstream is in the subsets of the subsetCover nodes of its failure domain that
// come first by rendezvous hashing, so all upstreams are covered alike, and a node or
// an upstream that comes or goes moves only its own share. It is safe for concurrent
// use.
type Subset struct {
	domain, self string

	mu    sync.Mutex
	nodes []string
	// member has the upstreams that have been looked up since nodes changed.
	member map[string]bool
}

// NewSubset returns the subset of a node in a failure domain.
func NewSubset(domain, self string) *Subset { return &Subset{domain: domain, self: self} }

// maxLookups bounds the remembered look-ups; upstreams come and go.
const maxLookups = 8192

// Contains reports whether an upstream is in the subset while nodes are those of the
// failure domain. With few nodes each uses all upstreams.
func (s *Subset) Contains(u *topology.Upstream, nodes []string) bool {
	if len(nodes) <= subsetCover {
		return true
	}
	if u.FailureDomain != s.domain {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(s.nodes, nodes) || len(s.member) > maxLookups {
		s.nodes, s.member = slices.Clone(nodes), make(map[string]bool)
	}
	in, known := s.member[u.ID]
	if !known {
		in = s.ranksAmongFirst(u.ID)
		s.member[u.ID] = in
	}
	return in
}

func (s *Subset) ranksAmongFirst(upstream string) bool {
	own := hashing.Hash(upstream, s.self)
	before := 0
	for _, node := range s.nodes {
		if node != s.self && hashing.Hash(upstream, node) > own {
			before++
		}
	}
	return before < subsetCover
}
