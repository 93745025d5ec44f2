package storeview

import (
	"time"

	"cassiapin/pkg/topology"
)

// source is what has confirmed a view, for logs.
type source string

const (
	sourceNone   source = "none"
	sourceList   source = "list"
	sourceWatch  source = "watch"
	sourceNotice source = "notice"
	sourceReply  source = "reply"
)

// Confirmation is what a node's view of a kind rests on.
type Confirmation struct {
	// Source is "list" or "watch" for an answer of the store, "notice" or "reply"
	// for a message of another node, "none" before the first.
	Source string
	// Age is the time for which changes may have been missed, -1 before the first
	// confirmation.
	Age time.Duration
	// Revision is the store's revision up to which all changes are known, and
	// Announced the latest one that another node has announced without its changes.
	Revision, Announced topology.Revision
	// Rank is this node's position among the readers of the store.
	Rank int
}

// Confirmation returns what the view of a kind rests on.
func (s *Service) Confirmation(kind Kind) Confirmation {
	s.mu.Lock()
	p := s.latestProgress[kind]
	s.mu.Unlock()
	c := Confirmation{
		Source: string(p.source), Age: -1, Revision: p.from,
		Announced: topology.Revision(s.announced[kind].Load()), Rank: s.rank(),
	}
	if p.verified.IsZero() {
		c.Source = string(sourceNone)
	} else {
		c.Age = s.clock.Since(p.verified)
	}
	return c
}
