package topology

import "sync/atomic"

// LatestRevision is the latest of the revisions that it was given. Its methods may be
// called concurrently.
type LatestRevision struct{ latest atomic.Uint64 }

// Note records a revision.
func (l *LatestRevision) Note(r Revision) {
	for known := l.latest.Load(); uint64(r) > known && !l.latest.CompareAndSwap(known, uint64(r)); {
		known = l.latest.Load()
	}
}

// Get returns the latest revision, zero if there is none.
func (l *LatestRevision) Get() Revision { return Revision(l.latest.Load()) }
