// Package objectapi emulates the platform's object API in memory.
//
// # Protocol
//
// A key is any non-empty string and may contain slashes. Each successful write
// (create, update, delete) increments the store-wide version counter, and the
// written object gets the new value as its version. The JSON form of an object
// is
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
//	                        The response has the new version in ETag: "8".
//	DELETE /objects/{key}   If-Match: "7" required; 204 with ETag: "9" (the
//	                        version of the deletion); 404 if it does not
//	                        exist; 412 if the version differs
//	GET /objects?prefix=P   200 {"objects":[...],"version":N}, in key order,
//	                        without deleted objects; N is the store-wide
//	                        version of the listing
//	GET /objects?prefix=P&limit=L&start=K
//	                        one page of that listing: at most L objects whose
//	                        key is above K (absent or empty: from the first
//	                        one). The values of a page total at most 1 MB,
//	                        but a page has at least one object. "next":K2 is
//	                        the start of the next page and absent on the last
//	                        one. Pages are not a consistent snapshot: objects
//	                        written between two calls may or may not appear.
//	GET /watch?prefix=P&after=V&timeout_ms=T
//	                        200 {"objects":[...],"version":N} with the latest
//	                        state of each object under P whose version is
//	                        above V, deletions included ("deleted":true, no
//	                        value), in version order. Waits up to T
//	                        milliseconds (at most 60 s) for the first change
//	                        and returns an empty list if there is none.
//	                        N is the store-wide version up to which the result
//	                        is complete; use it as "after" in the next call.
//
// Errors: 400 malformed call or missing condition, 404 no such object, 405
// method not allowed, 412 version mismatch (with the current version in ETag,
// if any), 413 value above 1 MB, 429 rate limit exceeded (header Retry-After in
// seconds), 503 outage. PUT and DELETE are writes; all other calls are reads. A
// waiting watch consumes one read per second while it waits.
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

// Default rate limits of the platform, and fixed limits.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
	// maxWatchWait bounds the wait of one watch call.
	maxWatchWait = 60 * time.Second
	// maxPageBytes bounds the total size of the values in one page; a single
	// value of the maximum size fits.
	maxPageBytes = maxValueBytes
)

// Options configure a Server; zero fields take the defaults.
type Options struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	Clock           clock.Clock
}

// Outage is a kind of simulated outage.
type Outage int

// The kinds of outage.
const (
	// Available means no outage.
	Available Outage = iota
	// Refusing answers every call with 503 and disconnects waiting watches.
	Refusing
	// Hanging leaves every call without a response until the outage ends, and
	// then closes its connection.
	Hanging
)

// Faults are the injectable faults.
type Faults struct {
	// Latency delays every call before it takes effect.
	Latency time.Duration
	Outage  Outage
	// LoseAnswers is the number of upcoming successful writes that are applied
	// but whose connection closes without a response.
	LoseAnswers int
}

// Counters count calls by kind and outcome.
type Counters struct {
	Gets, Lists, Watches, Creates, Updates, Deletes int64
	// Applied counts successful writes, Conflicts those refused with 412.
	Applied, Conflicts int64
	NotFound, TooLarge int64
	// LimitedWrites and LimitedReads count calls refused with 429.
	LimitedWrites, LimitedReads int64
	// Outage counts calls during an outage, LostAnswers writes that were applied
	// without a response.
	Outage, LostAnswers int64
	// WaitingWatches and PeakWaitingWatches are the current and the peak number
	// of waiting watches.
	WaitingWatches, PeakWaitingWatches int64
}

// Object is the JSON form of an object in the protocol.
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

// page reduces the listing to one page of at most limit objects above start.
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
	objects  map[string]Object // includes deleted objects, for watches
	version  uint64
	faults   Faults
	counters Counters
	// changed is closed and replaced on each write and each change of faults.
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

// Faults returns the current faults; LoseAnswers is the remaining number.
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

// Object returns the current object with the key. It is not counted as a call
// and not subject to faults.
func (s *Server) Object(key string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	return o, ok && !o.Deleted
}

// Objects returns the current objects with the prefix in key order. It is not
// counted as a call and not subject to faults.
func (s *Server) Objects(prefix string) []Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list(prefix).Objects
}

// Put writes an object unconditionally, bypassing the HTTP API, and returns its
// version. Tests use it to simulate another writer.
func (s *Server) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(Object{Key: key, Value: value})
}

func (s *Server) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply stores o with the next version. The caller must hold the lock.
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

// addWaitingWatches adds n to the number of waiting watches. Each of them
// reduces the read rate left for other calls by one per second. The caller must
// hold the lock.
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

// commit checks the condition of a write and applies it atomically.
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
