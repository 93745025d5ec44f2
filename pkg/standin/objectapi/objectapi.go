// Package objectapi emulates the platform's object API in memory.
//
// # Protocol
//
// A key is any non-empty text and may contain slashes. Each successful write
// (create, update, delete) advances the store-wide version counter by one, and
// the written object gets the new value as its version. An object in JSON is
//
//	{"key":"a/b","value":"<base64>","version":7,"deleted":false}
//
// where "value" is absent when it is empty.
//
// Calls:
//
//	GET /objects/{key}      200, raw value as body, header ETag: "7"; 404
//	PUT /objects/{key}      body is the raw value; exactly one condition:
//	                        If-None-Match: *   create, 201; 412 if it exists
//	                        If-Match: "7"      update, 200; 412 if the version
//	                        differs or the object does not exist
//	                        The answer has the new version in ETag: "8".
//	DELETE /objects/{key}   If-Match: "7" required; 204 with ETag: "9" (the
//	                        version of the deletion); 404 if it does not
//	                        exist; 412 if the version differs
//	GET /objects?prefix=P   200 {"objects":[...],"version":N}, in key order,
//	                        without deleted objects; N is the store-wide
//	                        version of the listing
//	GET /objects?prefix=P&limit=L&start=K
//	                        one page of that listing: at most L objects whose
//	                        key is above K (absent or empty: from the first
//	                        one). A page also ends before the value with which
//	                        its values would exceed 1 MB, but has at least one
//	                        object. "next":K2 is the start of the next page
//	                        and absent on the last one. Pages are not one
//	                        snapshot: objects written between two calls may or
//	                        may not appear.
//	GET /watch?prefix=P&after=V&timeout_ms=T
//	                        200 {"objects":[...],"version":N} with the latest
//	                        state of each object under P whose version is
//	                        above V, deletions included ("deleted":true, no
//	                        value), in version order. Waits up to T
//	                        milliseconds (at most 60 s) for the first change
//	                        and answers with an empty list when there is none.
//	                        N is the store-wide version up to which the result
//	                        is complete; it is the next call's "after".
//
// Errors: 400 malformed call or missing condition, 404 no such object, 405
// method, 412 version mismatch (with the present version in ETag, if any), 413
// value above 1 MB, 429 over the rate (header Retry-After in seconds), 503
// outage. PUT and DELETE are writes; all other calls are reads. A waiting
// watch uses one read per second for as long as it waits.
package objectapi

import (
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/standin"
)

// The default rates of the platform.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
	// maxWatchWait bounds the wait of one watch call.
	maxWatchWait = 60 * time.Second
	// maxPageBytes bounds the values of one page; the largest single value
	// always fits.
	maxPageBytes = maxValueBytes
)

// Options configure a Server; zero fields take the defaults.
type Options struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	Clock           clock.Clock
}

// Outage is a kind of outage.
type Outage int

// The kinds of outage.
const (
	// Available means no outage.
	Available Outage = iota
	// Refusing answers every call with 503 and cuts waiting watches.
	Refusing
	// Hanging leaves every call without an answer until the outage ends, and
	// then closes its connection.
	Hanging
)

// Faults are the switchable faults.
type Faults struct {
	// Latency delays every call before it takes effect.
	Latency time.Duration
	Outage  Outage
	// LoseAnswers is the number of coming successful writes whose effect
	// stays but whose connection closes without an answer.
	LoseAnswers int
}

// Counters count calls by kind and outcome.
type Counters struct {
	Gets, Lists, Watches, Creates, Updates, Deletes int64
	// Applied counts writes that took effect, Conflicts those refused with 412.
	Applied, Conflicts int64
	NotFound, TooLarge int64
	// LimitedWrites and LimitedReads count calls refused with 429.
	LimitedWrites, LimitedReads int64
	// Outage counts calls that met an outage, LostAnswers the lost answers.
	Outage, LostAnswers int64
	// WaitingWatches and PeakWaitingWatches count watches that wait.
	WaitingWatches, PeakWaitingWatches int64
}

// Object is an object as the protocol writes it in JSON.
type Object struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted"`
}

type listing struct {
	Objects []Object `json:"objects"`
	Version uint64   `json:"version"`
	// Next is the key after which the next page starts.
	Next string `json:"next,omitempty"`
}

// page cuts the listing to one page of at most limit objects above start.
func (l *listing) page(start string, limit int) {
	first := sort.Search(len(l.Objects), func(i int) bool { return l.Objects[i].Key > start })
	rest, bytes := l.Objects[first:], 0
	for i, o := range rest {
		bytes += len(o.Value)
		if i > 0 && (i >= limit || bytes > maxPageBytes) {
			l.Next = rest[i-1].Key
			rest = rest[:i]
			break
		}
	}
	l.Objects = rest
}

// Server is the emulated object API; it implements http.Handler and is safe
// for concurrent use.
type Server struct {
	options Options
	writes  *rate.Limiter
	reads   *rate.Limiter

	mu       sync.Mutex
	objects  map[string]Object // deleted objects stay, for watches
	version  uint64
	faults   Faults
	counters Counters
	// changed is closed and replaced at each write and each change of faults.
	changed chan struct{}
}

// New returns an empty store.
func New(o Options) *Server {
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	return &Server{
		options: o,
		writes:  rate.NewLimiter(rate.Limit(o.WritesPerSecond), int(max(o.WritesPerSecond, 1))),
		reads:   rate.NewLimiter(rate.Limit(o.ReadsPerSecond), int(max(o.ReadsPerSecond, 1))),
		objects: make(map[string]Object),
		changed: make(chan struct{}),
	}
}

// Start serves the store on listenAddr.
func (s *Server) Start(listenAddr string) (url string, stop func(), err error) {
	return standin.Start(listenAddr, s)
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.signal()
}

// Faults returns the faults in force; LoseAnswers counts down.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counters returns a copy of the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Object returns the object with the key as it truly is, without a call.
func (s *Server) Object(key string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	return o, ok && !o.Deleted
}

// Objects returns the objects with the prefix in key order, without a call.
func (s *Server) Objects(prefix string) []Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list(prefix).Objects
}

// Put writes an object unconditionally, without a call, and returns its
// version. Tests use it to act as another writer.
func (s *Server) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(Object{Key: key, Value: value})
}

func (s *Server) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply stores o under the next version; the caller holds the lock.
func (s *Server) apply(o Object) uint64 {
	s.version++
	o.Version = s.version
	s.objects[o.Key] = o
	s.signal()
	return s.version
}

func (s *Server) list(prefix string) listing {
	l := listing{Objects: []Object{}, Version: s.version}
	for key, o := range s.objects {
		if !o.Deleted && strings.HasPrefix(key, prefix) {
			l.Objects = append(l.Objects, o)
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Key < l.Objects[j].Key })
	return l
}

func (s *Server) changes(prefix string, after uint64) listing {
	l := listing{Objects: []Object{}, Version: s.version}
	if after >= s.version {
		return l
	}
	for key, o := range s.objects {
		if o.Version > after && strings.HasPrefix(key, prefix) {
			l.Objects = append(l.Objects, o)
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Version < l.Objects[j].Version })
	return l
}

// addWaitingWatches adds n to the waiting watches. Each of them takes one read per
// second from the rate that is left for other calls; the caller holds the lock.
func (s *Server) addWaitingWatches(n int64) {
	c := &s.counters
	c.WaitingWatches += n
	c.PeakWaitingWatches = max(c.PeakWaitingWatches, c.WaitingWatches)
	left := max(s.options.ReadsPerSecond-float64(c.WaitingWatches), 0)
	s.reads.SetLimitAt(s.options.Clock.Now(), rate.Limit(left))
}

// write is a conditional write of one key.
type write struct {
	object Object
	create bool
	match  uint64
}

type writeOutcome struct {
	status  int
	version uint64
	lost    bool
}

// commit decides and applies a write in one critical section.
func (s *Server) commit(w write) writeOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[w.object.Key]
	exists = exists && !old.Deleted
	if w.object.Deleted && !exists {
		s.counters.NotFound++
		return writeOutcome{status: 404}
	}
	if w.create == exists || !w.create && old.Version != w.match {
		s.counters.Conflicts++
		out := writeOutcome{status: 412}
		if exists {
			out.version = old.Version
		}
		return out
	}
	out := writeOutcome{status: 200, version: s.apply(w.object)}
	s.counters.Applied++
	switch {
	case w.object.Deleted:
		out.status = 204
	case w.create:
		out.status = 201
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		s.counters.LostAnswers++
		out.lost = true
	}
	return out
}
