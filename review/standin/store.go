package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: lists, watches and
// conditional writes. It loses nothing and its answers are linearizable.
type store struct {
	mu       sync.Mutex
	revision int
	objects  map[string]*object // By kind/name.
	history  []change
	changed  chan struct{}
}

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

type change struct {
	revision int
	kind     string
	object   *object
	deleted  bool
}

func newStore() *store {
	return &store{revision: 10, objects: map[string]*object{}, changed: make(chan struct{})}
}

// storePort is one machine's way to the store.
type storePort struct {
	address string
	mu      sync.Mutex
	refuse  bool
	calls   int
}

// setRefuse decides whether the store turns this machine away with 503.
func (p *storePort) setRefuse(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = refuse
}

func (p *storePort) takeCalls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.calls
	p.calls = 0
	return n
}

// open starts a listener for one machine.
func (s *store) open() *storePort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	p := &storePort{address: l.Addr().String()}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			p.mu.Lock()
			p.calls++
			refuse := p.refuse
			p.mu.Unlock()
			if refuse {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			time.Sleep(4 * time.Millisecond)
			s.serve(w, r, p)
		}))
	}()
	return p
}

// put writes a specification and returns the time of its acknowledgement.
func (s *store) put(kind, name string, spec any) time.Time {
	raw, err := json.Marshal(spec)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw, nil)
	return time.Now()
}

// write replaces an object; the caller holds the lock.
func (s *store) write(kind, name string, spec, status json.RawMessage) *object {
	s.revision++
	o := &object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec, Status: status}
	if old := s.objects[kind+"/"+name]; old != nil {
		o.Metadata.Created = old.Metadata.Created
		if status == nil {
			o.Status = old.Status
		}
	}
	if o.Status == nil {
		o.Status = json.RawMessage("null")
	}
	s.objects[kind+"/"+name] = o
	s.note(change{s.revision, kind, o, false})
	return o
}

func (s *store) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, p *storePort) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	query := r.URL.Query()
	if r.Method == http.MethodGet && query.Has("watch") {
		s.watch(w, r, kind, p)
		return
	}
	var body object
	if r.Method == http.MethodPut || r.Method == http.MethodPost {
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	base, status := strings.CutSuffix(name, "/status")
	current := s.objects[kind+"/"+base]
	conflict := current != nil && body.Metadata.Revision != 0 && body.Metadata.Revision != current.Metadata.Revision
	switch {
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodPost && name == "":
		if old := s.objects[kind+"/"+body.Metadata.Name]; old != nil {
			respond(w, http.StatusConflict, old)
			return
		}
		respond(w, http.StatusCreated, s.write(kind, body.Metadata.Name, body.Spec, nil))
	case current == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet:
		respond(w, http.StatusOK, current)
	case conflict:
		respond(w, http.StatusConflict, current)
	case r.Method == http.MethodPut && status:
		respond(w, http.StatusOK, s.write(kind, base, current.Spec, body.Status))
	case r.Method == http.MethodPut:
		respond(w, http.StatusOK, s.write(kind, base, body.Spec, nil))
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.objects, kind+"/"+base)
		s.note(change{s.revision, kind, current, true})
		respond(w, http.StatusOK, current)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

const pageSize = 500

func (s *store) list(w http.ResponseWriter, kind, after string) {
	names := []string{}
	for key := range s.objects {
		if k, n, _ := strings.Cut(key, "/"); k == kind && n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	items := []*object{}
	for _, n := range names[:min(pageSize, len(names))] {
		items = append(items, s.objects[kind+"/"+n])
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "store-revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, p *storePort) {
	from, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		type event struct {
			Object  *object `json:"object"`
			Deleted bool    `json:"deleted"`
		}
		events := []event{}
		for _, c := range s.history {
			if c.revision > from && c.kind == kind {
				events = append(events, event{c.object, c.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		p.mu.Lock()
		refuse := p.refuse
		p.mu.Unlock()
		if refuse {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 || ended {
			respond(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The other side may be gone.
}
