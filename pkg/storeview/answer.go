package storeview

import "cassiapin/pkg/topology"

// listAnswer is the store's answer to a list.
type listAnswer struct {
	objects []Object
	// news are the changes since the state that this node knew, if any.
	news []Change
	// revision is that of the store when it answered.
	revision topology.Revision
}

// shown returns the revision up to which the answer has shown all changes, at least from.
// The answer's own revision may be later than the objects: other changes are made while
// it is on its way. Reads are linearizable, so it has shown all that was revealed before
// the call; and a configuration is a single object, which shows all changes up to its own.
func (a listAnswer) shown(kind Kind, from, revealed topology.Revision) topology.Revision {
	shown := topology.Latest(from, revealed, a.revision.Start())
	if kind == Configurations && len(a.objects) == 1 {
		shown = topology.Latest(shown, a.objects[0].Revision)
	}
	return topology.Earliest(shown, a.revision) // A store that has lost changes counts from there again.
}

// watchAnswer is the store's answer to a watch.
type watchAnswer struct {
	// changes are all events, and news those that this node did not know.
	changes, news []Change
	// revision is that of the store when it answered.
	revision topology.Revision
}

// shown returns the revision up to which the answer has shown all changes, at least from.
// An empty one has shown nothing: changes may have been missed, or be on their way.
func (a watchAnswer) shown(from, revealed topology.Revision) topology.Revision {
	shown := from
	for _, c := range a.changes {
		shown = topology.Latest(shown, c.Object.Revision)
	}
	if len(a.changes) > 0 && shown == from {
		// Deletions may have the revisions of the changes before them. Those that were
		// revealed before the call are among the changes.
		shown = topology.Latest(from, topology.Earliest(revealed, a.revision))
	}
	return shown
}

// revealedRevision returns the latest revision that the store has revealed to this node.
func (s *Service) revealedRevision() topology.Revision {
	if s.opts.Revealed == nil {
		return s.revealed.Get()
	}
	return topology.Latest(s.revealed.Get(), s.opts.Revealed())
}

// objectCount returns the number of known objects of a kind.
func (s *Service) objectCount(kind Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.digests[kind] == nil {
		return 0
	}
	return len(s.digests[kind].revisions)
}

// smallConfig reports whether the configuration in force is small enough to be listed
// where a watch would do.
func (s *Service) smallConfig() bool { return len(s.currentConfig().Spec) <= maxListedBytes }
