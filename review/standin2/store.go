// Command standin2 plays review cases with real processes: it starts nodes with the
// command of the deploy file, and stand-ins for the platform's store, the runners
// and the clients.
package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storePage is the number of objects in one page of a list.
const storePage = 50

// pageBytes is the size of the objects in one page.
const pageBytes = 1 << 20

type metadata struct {
	Name       string   `json:"name"`
	Revision   int      `json:"revision"`
	Created    int      `json:"created-rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"specification"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind     string
	revision int
	at       time.Time
}

// store is the platform's store: linearizable, with one revision counter. It keeps
// its whole history unless keepFor is called.
type store struct {
	address string

	mu       sync.Mutex
	revision int
	objects  map[string]map[string]object // By kind and name.
	events   []event
	changed  chan struct{}
	// silent is closed at the end of a silence; nil is none.
	silent chan struct{}
	// history is how long changes are kept; zero is for good. dropped is the revision
	// of the last change that is gone.
	history time.Duration
	dropped int
}

// silence makes the store answer nothing until the returned function is called.
func (s *store) silence() (end func()) {
	until := make(chan struct{})
	s.mu.Lock()
	s.silent = until
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		s.silent = nil
		s.mu.Unlock()
		close(until)
	}
}

// awaitVoice returns once the store is not silent. A call whose client has left by
// then is not executed.
func (s *store) awaitVoice(r *http.Request) bool {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent == nil {
		return true
	}
	select {
	case <-silent:
		return r.Context().Err() == nil
	case <-r.Context().Done():
		return false
	}
}

func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes an object as the operator or a runner does.
func (s *store) put(kind, name string, spec any) {
	raw, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.objects[kind][name]
	if known && bytes.Equal(withoutSequence(o.Spec), withoutSequence(raw)) {
		return // A write that changes nothing else makes no event.
	}
	o.Spec = raw
	s.write(kind, name, o)
}

// withoutSequence returns an entry without the field that each heartbeat changes.
func withoutSequence(raw []byte) []byte {
	var entry map[string]any
	if json.Unmarshal(raw, &entry) != nil {
		return raw
	}
	delete(entry, "sequence")
	out, _ := json.Marshal(entry)
	return out
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

func (s *store) delete(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.note(event{Object: o, Deleted: true, kind: kind, revision: s.revision})
}

// write stores an object under the next revision; the caller holds the lock.
func (s *store) write(kind, name string, o object) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if _, ok := s.objects[kind][name]; !ok {
		o.Metadata = metadata{Created: s.revision}
	}
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	s.objects[kind][name] = o
	s.note(event{Object: o, kind: kind, revision: s.revision})
	return o
}

func (s *store) note(e event) {
	e.at = time.Now()
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond) // What the sheet gives for an answer.
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	var body struct {
		Metadata metadata        `json:"metadata"`
		Spec     json.RawMessage `json:"specification"`
		Status   json.RawMessage `json:"status"`
	}
	if r.Method == http.MethodPut || r.Method == http.MethodPost {
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			http.Error(w, "malformed", http.StatusBadRequest)
			return
		}
	}
	q := r.URL.Query()
	if !s.awaitVoice(r) {
		return
	}
	switch {
	case r.Method == http.MethodGet && q.Has("watch"):
		s.watch(w, r, kind)
		return
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, q.Get("after"))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	base, status := strings.CutSuffix(name, "/status")
	if r.Method == http.MethodPost {
		base = body.Metadata.Name
	}
	o, ok := s.objects[kind][base]
	revision := body.Metadata.Revision
	if v, err := strconv.Atoi(q.Get("revision")); err == nil {
		revision = v
	}
	switch {
	case r.Method == http.MethodPost && ok, revision != 0 && ok && revision != o.Metadata.Revision:
		respond(w, http.StatusConflict, o)
	case r.Method == http.MethodPost:
		respond(w, http.StatusCreated, s.write(kind, base, object{Spec: body.Spec}))
	case !ok:
		http.Error(w, "no such object", http.StatusNotFound)
	case r.Method == http.MethodGet:
		respond(w, http.StatusOK, o)
	case r.Method == http.MethodPut && (status && bytes.Equal(o.Status, body.Status) || !status && bytes.Equal(o.Spec, body.Spec)):
		respond(w, http.StatusOK, o) // A PUT that changes nothing makes no event.
	case r.Method == http.MethodPut && status:
		o.Status = body.Status
		respond(w, http.StatusOK, s.write(kind, base, o))
	case r.Method == http.MethodPut:
		o.Spec = body.Spec
		respond(w, http.StatusOK, s.write(kind, base, o))
	case r.Method == http.MethodDelete:
		s.delete(kind, base)
		respond(w, http.StatusOK, o)
	default:
		http.Error(w, "unknown call", http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []object{}
	bytes := 0
	for _, name := range names[:min(len(names), storePage)] {
		o := s.objects[kind][name]
		if bytes += len(o.Spec); bytes > pageBytes && len(items) > 0 {
			break
		}
		items = append(items, o)
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "has-more": len(names) > len(items), "store-revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		s.forget()
		if from < s.dropped {
			s.mu.Unlock()
			http.Error(w, "this history is gone", http.StatusGone)
			return
		}
		events := []event{}
		for _, e := range s.events {
			if e.revision > from && e.kind == kind {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if !s.awaitVoice(r) {
			return
		}
		if len(events) > 0 || !waiting {
			respond(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// keepFor sets how long changes are kept.
func (s *store) keepFor(history time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = history
}

// forget drops the changes that are older than the history; the caller holds the lock.
func (s *store) forget() {
	for s.history > 0 && len(s.events) > 0 && time.Since(s.events[0].at) > s.history {
		s.dropped = s.events[0].revision
		s.events = s.events[1:]
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // A client that left sees a truncated answer.
}
