// Package rating emulates the rating service, whose ratings of answers are
// delayed, noisy and sometimes missing.
//
// # Protocol
//
//	POST /rate {"request_id","class","model","version","prompt","answer"}
//	    200 {"rating": x} with x in [0,1], or 204 if there is no rating.
//
// The rating is based on the hidden true quality of the answer, which is
// identified by the id that the engine embeds in the text. An answer without an
// id is rated 0.
package rating

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/standin"
)

// maxBodyBytes bounds a request body.
const maxBodyBytes = 8 << 20

// Options configure a Server.
type Options struct {
	// Quality is the hidden true quality, shared with the engines.
	Quality *standin.QualityModel
	// Delay is the minimum time to a rating. A uniformly distributed part of
	// Jitter is added.
	Delay, Jitter time.Duration
	// MissingShare is the fraction of requests without a rating.
	MissingShare float64
	// Noise is the standard deviation of a rating from the true quality.
	Noise float64
	// Seed determines the noise and which ratings are missing, per request id
	// and answer, independent of the order of calls.
	Seed  int64
	Clock clock.Clock
}

// Counters record what actually happened. Maps are copies.
type Counters struct {
	Calls, Rated, Missing int64
	// Unmarked counts answers without an id, Mismatched those whose id has a
	// different version or class than the call.
	Unmarked, Mismatched int64
	// ByVersion counts ratings of each version.
	ByVersion map[config.VersionRef]int64
}

// Server is the emulated rating service; it is safe for concurrent use.
type Server struct {
	standin.FaultInjector
	options Options

	mu       sync.Mutex
	counters Counters
}

// New returns a rating service.
func New(o Options) *Server {
	if o.Quality == nil {
		o.Quality = standin.NewQualityModel()
	}
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	s := &Server{FaultInjector: standin.FaultInjector{Clock: o.Clock}, options: o}
	s.counters.ByVersion = make(map[config.VersionRef]int64)
	return s
}

// Start serves the service on listenAddr.
func (s *Server) Start(listenAddr string) (url string, stop func(), err error) {
	return standin.Start(listenAddr, s)
}

// Counters returns a copy of the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.ByVersion = make(map[config.VersionRef]int64, len(s.counters.ByVersion))
	for ref, n := range s.counters.ByVersion {
		c.ByVersion[ref] = n
	}
	return c
}

type call struct {
	RequestID string `json:"request_id"`
	Class     string `json:"class"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Prompt    string `json:"prompt"`
	Answer    string `json:"answer"`
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.InjectFaults(w, r) {
		return
	}
	if r.URL.Path != "/rate" || r.Method != http.MethodPost {
		standin.WriteError(w, http.StatusNotFound, "no_such_path", "no such path")
		return
	}
	var c call
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c) != nil {
		standin.WriteError(w, http.StatusBadRequest, "bad_call", "malformed call")
		return
	}
	hash := standin.Hash64(strconv.FormatInt(s.options.Seed, 10), c.RequestID, c.Answer)
	delay := s.options.Delay + time.Duration(standin.Unit(hash^1)*float64(s.options.Jitter))
	if s.options.Clock.Sleep(r.Context(), delay) != nil {
		return
	}
	rating, ok := s.rate(c, hash)
	if !ok {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	standin.WriteJSON(w, http.StatusOK, map[string]float64{"rating": rating})
}

// rate returns the rating of one call and counts it. The random values of the
// rating are derived from hash.
func (s *Server) rate(c call, hash uint64) (rating float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Calls++
	if standin.Unit(hash^2) < s.options.MissingShare {
		s.counters.Missing++
		return 0, false
	}
	s.counters.Rated++
	id, marked := standin.ParseAnswerID(c.Answer)
	if !marked {
		s.counters.Unmarked++
		return 0, true
	}
	s.counters.ByVersion[id.Ref]++
	claimed := config.VersionRef{Model: c.Model, Version: c.Version}
	if id.Ref != claimed || id.Class != "" && id.Class != c.Class {
		s.counters.Mismatched++
	}
	if id.Class == "" {
		id.Class = c.Class
	}
	// Box-Muller transform of two uniform values.
	normal := math.Sqrt(-2*math.Log(1-standin.Unit(hash^3))) * math.Cos(2*math.Pi*standin.Unit(hash^4))
	return min(max(s.options.Quality.Quality(id)+s.options.Noise*normal, 0), 1), true
}
