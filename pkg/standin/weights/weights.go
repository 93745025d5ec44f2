// Package weights emulates the rate-limited weight store.
//
// # Protocol
//
//	POST /fetch {"version":"model@version","engine":"name"}
//	    200 {"token":N}, or 429 with Retry-After in seconds if the rate limit
//	    is exceeded.
package weights

import (
	"encoding/json"
	"net/http"
	"sync"

	"golang.org/x/time/rate"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/standin"
)

// DefaultPerMinute is the default rate limit in tokens per minute.
const DefaultPerMinute = 60

// maxBodyBytes bounds a request body.
const maxBodyBytes = 64 << 10

// Options configure a Server; zero fields take the defaults.
type Options struct {
	PerMinute float64
	// Burst is the number of tokens that can be taken in a burst; 0 means 1.
	Burst int
	Clock clock.Clock
}

// Counters record what actually happened. Maps are copies.
type Counters struct {
	Granted, Refused int64
	ByVersion        map[string]int64
	ByEngine         map[string]int64
}

// Server is the emulated weight store; it is safe for concurrent use.
type Server struct {
	standin.FaultInjector
	clock   clock.Clock
	limiter *rate.Limiter

	mu       sync.Mutex
	counters Counters
}

// New returns a weight store.
func New(o Options) *Server {
	if o.PerMinute == 0 {
		o.PerMinute = DefaultPerMinute
	}
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	s := &Server{
		FaultInjector: standin.FaultInjector{Clock: o.Clock}, clock: o.Clock,
		limiter: rate.NewLimiter(rate.Limit(o.PerMinute/60), max(o.Burst, 1)),
	}
	s.counters.ByVersion = make(map[string]int64)
	s.counters.ByEngine = make(map[string]int64)
	return s
}

// Start serves the store on listenAddr.
func (s *Server) Start(listenAddr string) (url string, stop func(), err error) {
	return standin.Start(listenAddr, s)
}

// Counters returns a copy of the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.ByVersion, c.ByEngine = copyCounts(c.ByVersion), copyCounts(c.ByEngine)
	return c
}

func copyCounts(m map[string]int64) map[string]int64 {
	c := make(map[string]int64, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.InjectFaults(w, r) {
		return
	}
	if r.URL.Path != "/fetch" || r.Method != http.MethodPost {
		standin.WriteError(w, http.StatusNotFound, "no_such_path", "no such path")
		return
	}
	var call struct{ Version, Engine string }
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&call) != nil {
		standin.WriteError(w, http.StatusBadRequest, "bad_call", "malformed call")
		return
	}
	token, ok := s.fetch(call.Version, call.Engine)
	if !ok {
		w.Header().Set("Retry-After", "1")
		standin.WriteError(w, http.StatusTooManyRequests, "rate", "over the weight store's rate")
		return
	}
	standin.WriteJSON(w, http.StatusOK, map[string]int64{"token": token})
}

func (s *Server) fetch(version, engine string) (token int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limiter.AllowN(s.clock.Now(), 1) {
		s.counters.Refused++
		return 0, false
	}
	s.counters.Granted++
	s.counters.ByVersion[version]++
	s.counters.ByEngine[engine]++
	return s.counters.Granted, true
}
