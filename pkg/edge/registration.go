package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/result"
	"cassiapin/pkg/storeview"
	"cassiapin/pkg/topology"
)

const (
	// registerTimeout bounds the first attempt to register, and the wait for the list after
	// it, which delay the node's start: other nodes accept its messages only once it is
	// registered.
	registerTimeout = 500 * time.Millisecond
	// registerRetry is the pause between attempts to register, and between the first two
	// to remove the entry; later ones double up to maxLeaveRetry, with a random half more
	// or less, so that nodes that leave together do not keep a slow store busy.
	registerRetry = 500 * time.Millisecond
	maxLeaveRetry = 2 * time.Second
	// eraPoll is the pause between two looks at the era of the store, which cost no call.
	eraPoll = 100 * time.Millisecond
	// confirmSpread bounds the random time after which a node confirms its entry in a new
	// era, so that the nodes of a large fleet make about a hundred calls a second.
	confirmSpread = 4 * time.Second
	// maxConfirmRetry bounds the pause between attempts to confirm the entry.
	maxConfirmRetry = 8 * time.Second
)

// errSucceeded is logged by a process whose host has the entry of a later one.
var errSucceeded = errors.New("the host has the entry of a later process")

// Run registers the node, with retries until the store accepts its entry, and lists the
// nodes. A list that takes long goes on while the other services start.
func (r *registry) Run(t *tomb.Tomb) error {
	ctx, leave := context.WithCancel(t.Context(context.Background()))
	context.AfterFunc(r.staying, leave)
	first, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	written, listed := r.write(first), make(chan struct{})
	t.Go(func() error {
		defer leave()
		r.register(ctx, written)
		close(listed)
		r.keepRegistered(ctx)
		return nil
	})
	if written {
		select {
		case <-listed:
		case <-first.Done():
		}
	}
	return nil
}

// register writes the node's entry, unless it has been written, and lists the nodes.
func (r *registry) register(ctx context.Context, written bool) {
	for ; !written; written = r.write(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(registerRetry):
		}
	}
	r.list(ctx)
}

// write makes one attempt to write the node's entry.
func (r *registry) write(ctx context.Context) bool {
	r.writing.Lock()
	defer r.writing.Unlock()
	before := r.store.Revealed().Era
	if err := r.store.Put(ctx, storeview.Nodes, r.host, r.own); err != nil {
		r.log.Warn(eventlog.NotRegistered, "host", r.host, "error", err.Error())
		return false
	}
	r.noteConfirmed(before) // The answer may be of a later era.
	return true
}

// keepRegistered confirms the node's entry in each new era of the store until ctx ends.
func (r *registry) keepRegistered(ctx context.Context) {
	for sleep(ctx, eraPoll) {
		if r.unconfirmed() && (r.alone() || sleep(ctx, rand.N(confirmSpread))) {
			r.confirmEntry(ctx)
		}
	}
}

// alone reports whether this node has joined none of the others: those that don't know its
// certificate await its entry.
func (r *registry) alone() bool { return r.live != nil && len(r.live()) <= 1 && r.mayHaveOthers() }

// confirmEntry confirms the node's entry, unless a list has shown it since the era began,
// with retries until ctx ends.
func (r *registry) confirmEntry(ctx context.Context) {
	for pause := registerRetry; r.unconfirmed() && !r.confirm(ctx); pause = min(2*pause, maxConfirmRetry) {
		if !sleep(ctx, pause/2+rand.N(pause)) {
			return
		}
	}
}

// sleep returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// unconfirmed reports whether the store is in a later era than that in which the node's
// entry was confirmed: the copy may lack the entry, or have that of an earlier process.
func (r *registry) unconfirmed() bool {
	era := r.store.Revealed().Era
	r.mu.Lock()
	defer r.mu.Unlock()
	return era > r.confirmed
}

// confirm makes one attempt to read the host's entry and to write it again if it is not
// that of this process or a later one. The write fails if another one has come first.
func (r *registry) confirm(ctx context.Context) bool {
	r.writing.Lock()
	defer r.writing.Unlock()
	object, e, err := r.hostEntry(ctx)
	revision, written := object.Revision, true
	switch {
	case result.CodeOf(err) == result.ObjectNotFound:
		revision, err = r.store.Create(ctx, storeview.Nodes, r.host, r.own)
	case err != nil:
	case e.Fingerprint == r.own.Fingerprint:
		written = false
	case e.StartedMS > r.own.StartedMS:
		r.log.Warn(eventlog.NotRegistered, "host", r.host, "revision", revision, "error", errSucceeded.Error())
		r.noteConfirmed(revision.Era)
		return true
	default:
		revision, err = r.store.Replace(ctx, storeview.Nodes, r.host, revision, r.own)
	}
	if err != nil {
		r.log.Warn(eventlog.NotRegistered, "host", r.host, "error", err.Error())
		return false
	}
	r.mu.Lock()
	r.noteOwnLocked(revision)
	r.mu.Unlock()
	if written {
		r.log.Info(eventlog.Registered, "host", r.host, "fingerprint", r.own.Fingerprint, "nodes", r.nodeCount(), "revision", revision)
	}
	return true
}

// noteConfirmed records that the host's entry is this node's or a later one in an era.
func (r *registry) noteConfirmed(era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed = max(r.confirmed, era)
}

// noteOwnLocked records a revision of this node's entry. The caller holds mu.
func (r *registry) noteOwnLocked(revision topology.Revision) {
	r.ownRevision = topology.Latest(r.ownRevision, revision)
	r.confirmed = max(r.confirmed, revision.Era)
}

// hostEntry reads the host's entry. One that can't be decoded is empty.
func (r *registry) hostEntry(ctx context.Context) (storeview.Object, entry, error) {
	object, err := r.store.Get(ctx, storeview.Nodes, r.host)
	var e entry
	if err != nil || json.Unmarshal(object.Spec, &e) != nil {
		return object, entry{}, err
	}
	return object, e, nil
}

// list lists the nodes for one that has just written its entry.
func (r *registry) list(ctx context.Context) {
	r.refresh(ctx, time.Now())
	r.log.Info(eventlog.Registered, "host", r.host, "fingerprint", r.own.Fingerprint, "nodes", r.nodeCount())
}

// leave removes the node's entry, with retries until the store confirms it or ctx
// ends. It returns at once; the channel is closed at the end. Until ctx ends it removes
// the entry again if the store comes back from a copy with it.
func (r *registry) leave(ctx context.Context) (ended <-chan struct{}) {
	done := make(chan struct{})
	r.depart()
	go func() {
		era := r.removeEntries(ctx)
		close(done)
		for sleep(ctx, eraPoll) {
			if r.store.Revealed().Era > era && sleep(ctx, rand.N(registerRetry)) {
				era = r.removeEntries(ctx)
			}
		}
	}()
	return done
}

// removeEntries removes the node's entry, with retries until the store confirms it or ctx
// ends. It returns the era of the store before the last attempt.
func (r *registry) removeEntries(ctx context.Context) (era uint64) {
	for pause := registerRetry; ; pause = min(2*pause, maxLeaveRetry) {
		era = r.store.Revealed().Era
		if r.removeEntry(ctx) || !sleep(ctx, pause/2+rand.N(pause)) {
			return era
		}
	}
}

// removeEntry makes one attempt to remove the node's entry and reports whether it
// is gone. A removal that the store carries out late must not remove the entry of
// the next process on this host, so it is bound to the entry's revision.
func (r *registry) removeEntry(ctx context.Context) bool {
	r.writing.Lock()
	defer r.writing.Unlock()
	revision, err := r.entryRevision(ctx)
	if err == nil && !revision.IsZero() {
		err = r.store.Delete(ctx, storeview.Nodes, r.host, revision)
	}
	switch {
	case result.CodeOf(err) == result.ObjectNotFound:
		return true
	case result.CodeOf(err) == result.ObjectConflict:
		// A write of this process that was carried out late, or another process.
		r.mu.Lock()
		r.ownRevision = topology.Revision{}
		r.mu.Unlock()
	case err != nil:
		r.log.Warn(eventlog.NotRegistered, "host", r.host, "leaving", true, "error", err.Error())
	}
	return err == nil
}

// entryRevision returns the revision of this node's entry, zero if the host has
// that of another process.
func (r *registry) entryRevision(ctx context.Context) (topology.Revision, error) {
	r.mu.Lock()
	revision := r.ownRevision
	r.mu.Unlock()
	if !revision.IsZero() && revision.Era == r.store.Revealed().Era {
		return revision, nil
	}
	object, e, err := r.hostEntry(ctx)
	if err != nil || e.Fingerprint != r.own.Fingerprint {
		return topology.Revision{}, err
	}
	return object.Revision, nil
}
