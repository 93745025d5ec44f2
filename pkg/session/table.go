package session

import (
	"container/list"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cassiapin/pkg/config"
)

var evictedTotal = metrics.NewCounter("cassiapin_session_evicted_names_total")

// binding is the version that a session name is bound to.
type binding struct {
	ref config.VersionRef
	// revision increases with each change of the version, so that delayed copies
	// of earlier changes are ignored.
	revision uint64
	// writtenAt and homes are the time and destinations of this node's last
	// write of the binding. They are set only in Service.recentNames.
	writtenAt time.Time
	homes     [2]string
}

type entry struct {
	key     string
	binding binding
	expires time.Time
}

// table is a bounded LRU map of bindings with a TTL after the last use.
type table struct {
	size int
	ttl  time.Duration

	mu      sync.Mutex
	entries map[string]*list.Element
	order   *list.List
}

func newTable(size int, ttl time.Duration) *table {
	return &table{size: size, ttl: ttl, entries: make(map[string]*list.Element), order: list.New()}
}

// get returns a binding and renews its TTL.
func (t *table) get(key string, now time.Time) (binding, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.getLocked(key, now)
}

func (t *table) getLocked(key string, now time.Time) (binding, bool) {
	e, ok := t.entries[key]
	if !ok {
		return binding{}, false
	}
	r := e.Value.(*entry)
	if !now.Before(r.expires) {
		t.order.Remove(e)
		delete(t.entries, key)
		return binding{}, false
	}
	r.expires = now.Add(t.ttl)
	t.order.MoveToFront(e)
	return r.binding, true
}

// compareAndSet binds key to ref if it is unbound or bound to previous, and
// returns the resulting binding.
func (t *table) compareAndSet(key string, previous, ref config.VersionRef, now time.Time) binding {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, ok := t.getLocked(key, now)
	if ok && (current.ref != previous || current.ref == ref) {
		return current
	}
	next := binding{ref: ref, revision: current.revision + 1}
	t.setLocked(key, next, now)
	return next
}

// merge stores a binding unless an equal or later revision is present, and
// returns the resulting binding.
func (t *table) merge(key string, b binding, now time.Time) binding {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current, ok := t.getLocked(key, now); ok && current.revision >= b.revision {
		return current
	}
	t.setLocked(key, b, now)
	return b
}

// put stores a binding regardless of its revision.
func (t *table) put(key string, b binding, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setLocked(key, b, now)
}

func (t *table) setLocked(key string, b binding, now time.Time) {
	r := &entry{key: key, binding: b, expires: now.Add(t.ttl)}
	if e, ok := t.entries[key]; ok {
		e.Value = r
		t.order.MoveToFront(e)
		return
	}
	t.entries[key] = t.order.PushFront(r)
	if t.order.Len() > t.size {
		oldest := t.order.Back()
		t.order.Remove(oldest)
		delete(t.entries, oldest.Value.(*entry).key)
		evictedTotal.Inc()
	}
}

// each calls fn for every binding; fn must not access the table.
func (t *table) each(fn func(key string, b binding)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, e := range t.entries {
		fn(key, e.Value.(*entry).binding)
	}
}

func (t *table) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.order.Len()
}
