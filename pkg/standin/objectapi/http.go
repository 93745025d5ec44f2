package objectapi

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cassiapin/pkg/standin"
)

const objectsPath = "/objects/"

// maxValueBytes is the limit for one value. It is not imported from the
// client's package, so that the client's own tests can use the emulator.
const maxValueBytes = 1 << 20

// ServeHTTP implements http.Handler. It does not use http.ServeMux, which
// redirects paths with repeated slashes, and keys may contain them.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	switch {
	case r.URL.Path == "/objects" && r.Method == http.MethodGet:
		s.serveList(w, r)
	case r.URL.Path == "/watch" && r.Method == http.MethodGet:
		s.serveWatch(w, r)
	case strings.HasPrefix(r.URL.Path, objectsPath) && len(r.URL.Path) > len(objectsPath):
		s.serveObject(w, r, strings.TrimPrefix(r.URL.Path, objectsPath))
	default:
		standin.WriteError(w, http.StatusNotFound, "no_such_path", "no such path")
	}
}

// admit applies outage, latency and rate limits, in this order, and reports
// whether the handler should continue.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	f := s.Faults()
	if f.Outage != Available {
		s.count(func(c *Counters) { c.Outage++ })
		if f.Outage == Hanging {
			s.hang(r.Context())
		}
		standin.WriteError(w, http.StatusServiceUnavailable, "outage", "the platform is away")
		return false
	}
	if f.Latency > 0 && s.options.Clock.Sleep(r.Context(), f.Latency) != nil {
		return false
	}
	limiter, limited := s.reads, &s.counters.LimitedReads
	if r.Method == http.MethodPut || r.Method == http.MethodDelete {
		limiter, limited = s.writes, &s.counters.LimitedWrites
	}
	if limiter.AllowN(s.options.Clock.Now(), 1) {
		return true
	}
	s.count(func(*Counters) { *limited++ })
	w.Header().Set("Retry-After", "1")
	standin.WriteError(w, http.StatusTooManyRequests, "rate", "over the platform's rate")
	return false
}

// hang waits until the client disconnects or the outage ends, and closes the
// connection.
func (s *Server) hang(ctx context.Context) {
	for {
		s.mu.Lock()
		hanging, changed := s.faults.Outage == Hanging, s.changed
		s.mu.Unlock()
		if !hanging {
			standin.Abort()
		}
		select {
		case <-ctx.Done():
			standin.Abort()
		case <-changed:
		}
	}
}

func (s *Server) count(f func(c *Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counters)
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if q.Has("limit") && (err != nil || limit < 1) || q.Has("start") && !q.Has("limit") {
		standin.WriteError(w, http.StatusBadRequest, "bad_list", "limit is a positive integer and needed with start")
		return
	}
	s.mu.Lock()
	s.counters.Lists++
	l := s.list(q.Get("prefix"))
	s.mu.Unlock()
	if q.Has("limit") {
		l.page(q.Get("start"), limit)
	}
	standin.WriteJSON(w, http.StatusOK, l)
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, errAfter := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, errMS := strconv.ParseInt(q.Get("timeout_ms"), 10, 64)
	if errAfter != nil && q.Get("after") != "" || errMS != nil && q.Get("timeout_ms") != "" {
		standin.WriteError(w, http.StatusBadRequest, "bad_watch", "after and timeout_ms are integers")
		return
	}
	s.count(func(c *Counters) { c.Watches++; s.addWaitingWatches(1) })
	defer s.count(func(*Counters) { s.addWaitingWatches(-1) })
	wait := min(max(time.Duration(ms)*time.Millisecond, 0), maxWatchWait)
	l, ok := s.waitForChanges(r.Context(), q.Get("prefix"), after, wait)
	if !ok {
		standin.Abort()
	}
	standin.WriteJSON(w, http.StatusOK, l)
}

// waitForChanges returns the first non-empty list of changes, or an empty one
// after the timeout. ok is false if the client disconnected or an outage began.
func (s *Server) waitForChanges(ctx context.Context, prefix string, after uint64, wait time.Duration) (l listing, ok bool) {
	timeout := s.options.Clock.After(wait)
	for expired := false; ; {
		s.mu.Lock()
		l, outage, changed := s.changes(prefix, after), s.faults.Outage, s.changed
		s.mu.Unlock()
		if outage == Hanging {
			s.hang(ctx)
		}
		if outage == Refusing {
			return l, false
		}
		if len(l.Objects) > 0 || expired {
			return l, true
		}
		select {
		case <-ctx.Done():
			return l, false
		case <-timeout:
			expired = true
		case <-changed:
		}
	}
}

func (s *Server) serveObject(w http.ResponseWriter, r *http.Request, key string) {
	switch r.Method {
	case http.MethodGet:
		s.serveGet(w, key)
	case http.MethodPut:
		s.servePut(w, r, key)
	case http.MethodDelete:
		s.serveDelete(w, r, key)
	default:
		standin.WriteError(w, http.StatusMethodNotAllowed, "method", "method not allowed")
	}
}

func (s *Server) serveGet(w http.ResponseWriter, key string) {
	s.count(func(c *Counters) { c.Gets++ })
	o, ok := s.Object(key)
	if !ok {
		s.count(func(c *Counters) { c.NotFound++ })
		standin.WriteError(w, http.StatusNotFound, "not_found", "no such object")
		return
	}
	setETag(w, o.Version)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(o.Value) // fails only if the client has disconnected
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request, key string) {
	create := r.Header.Get("If-None-Match") == "*"
	match, matched := parseETag(r.Header.Get("If-Match"))
	if create == matched {
		standin.WriteError(w, http.StatusBadRequest, "condition", "exactly one of If-None-Match: * and If-Match is required")
		return
	}
	s.count(func(c *Counters) {
		if create {
			c.Creates++
		} else {
			c.Updates++
		}
	})
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		standin.Abort()
	}
	if len(value) > maxValueBytes {
		s.count(func(c *Counters) { c.TooLarge++ })
		standin.WriteError(w, http.StatusRequestEntityTooLarge, "too_large", "the value exceeds 1 MB")
		return
	}
	answerWrite(w, s.commit(write{object: Object{Key: key, Value: value}, create: create, match: match}))
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request, key string) {
	match, ok := parseETag(r.Header.Get("If-Match"))
	if !ok {
		standin.WriteError(w, http.StatusBadRequest, "condition", "If-Match is required")
		return
	}
	s.count(func(c *Counters) { c.Deletes++ })
	answerWrite(w, s.commit(write{object: Object{Key: key, Deleted: true}, match: match}))
}

func answerWrite(w http.ResponseWriter, out writeOutcome) {
	if out.lost {
		standin.Abort()
	}
	if out.version > 0 {
		setETag(w, out.version)
	}
	switch out.status {
	case http.StatusPreconditionFailed:
		standin.WriteError(w, out.status, "conflict", "the object has another version")
	case http.StatusNotFound:
		standin.WriteError(w, out.status, "not_found", "no such object")
	default:
		w.WriteHeader(out.status)
	}
}

func setETag(w http.ResponseWriter, version uint64) {
	w.Header().Set("ETag", `"`+strconv.FormatUint(version, 10)+`"`)
}

func parseETag(s string) (version uint64, ok bool) {
	if len(s) < 3 || s[0] != '"' || s[len(s)-1] != '"' {
		return 0, false
	}
	version, err := strconv.ParseUint(s[1:len(s)-1], 10, 64)
	return version, err == nil
}
