// Package httpservice emulates an HTTP service with idempotent and
// non-idempotent calls.
//
// # Protocol
//
//	POST /bookings {"slot":"..."}
//	    201 {"id","slot","attempt"}. Not idempotent: each call books again,
//	    even with the same X-Attempt-Id. The response echoes X-Attempt-Id.
//	GET /bookings/{id}
//	    200 with the booking, or 404.
//	GET /attempts/{attempt-id}
//	    200 {"attempt","status","content_type","body":"<base64>"} with the
//	    response of the attempt, whether or not the client received it; 404
//	    if no such attempt took effect.
//	GET /lookup/{key...}
//	    200 {"key","value"}; the value is a function of the key.
package httpservice

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/standin"
)

// maxBodyBytes bounds a request body.
const maxBodyBytes = 1 << 20

const (
	headerAttempt = "X-Attempt-Id"
	jsonType      = "application/json"
)

// Options configure a Server.
type Options struct {
	// LookupTime and BookingTime are the durations of the calls.
	LookupTime, BookingTime time.Duration
	Clock                   clock.Clock
}

// Booking is one execution of POST /bookings.
type Booking struct {
	ID      string `json:"id"`
	Slot    string `json:"slot"`
	Attempt string `json:"attempt"`
}

// Attempt is the recorded response to an attempt.
type Attempt struct {
	Attempt     string `json:"attempt"`
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Counters record what actually happened. Maps are copies.
type Counters struct {
	Bookings, Lookups, AttemptQueries int64
	// LostAnswers counts bookings that took effect without a response.
	LostAnswers int64
	// ByAttempt and BySlot count bookings per attempt id and per slot.
	ByAttempt, BySlot map[string]int
}

// Server is the emulated service; it is safe for concurrent use.
type Server struct {
	standin.FaultInjector
	options Options
	mux     *http.ServeMux

	mu            sync.Mutex
	answersToLose int
	counters      Counters
	bookings      map[string]Booking
	attempts      map[string]Attempt
}

// New returns a service without bookings.
func New(o Options) *Server {
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	s := &Server{
		FaultInjector: standin.FaultInjector{Clock: o.Clock}, options: o, mux: http.NewServeMux(),
		bookings: make(map[string]Booking), attempts: make(map[string]Attempt),
	}
	s.counters.ByAttempt = make(map[string]int)
	s.counters.BySlot = make(map[string]int)
	s.mux.HandleFunc("POST /bookings", s.serveCreateBooking)
	s.mux.HandleFunc("GET /bookings/{id}", s.serveGetBooking)
	s.mux.HandleFunc("GET /attempts/{attempt}", s.serveAttempt)
	s.mux.HandleFunc("GET /lookup/{key...}", s.serveLookup)
	return s
}

// Start serves the service on listenAddr.
func (s *Server) Start(listenAddr string) (url string, stop func(), err error) {
	return standin.Start(listenAddr, s)
}

// LoseAnswers makes the next n bookings take effect without a response.
func (s *Server) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// Counters returns a copy of the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.ByAttempt, c.BySlot = copyCounts(c.ByAttempt), copyCounts(c.BySlot)
	return c
}

// DoubleBooked returns the slots that were booked more than once.
func (s *Server) DoubleBooked() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var slots []string
	for slot, n := range s.counters.BySlot {
		if n > 1 {
			slots = append(slots, slot)
		}
	}
	return slots
}

func copyCounts(m map[string]int) map[string]int {
	c := make(map[string]int, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.InjectFaults(w, r) {
		s.mux.ServeHTTP(w, r)
	}
}

func (s *Server) serveCreateBooking(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Slot string `json:"slot"`
	}
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&call)
	if err != nil || call.Slot == "" {
		standin.WriteError(w, http.StatusBadRequest, "bad_booking", "slot is required")
		return
	}
	// A booking continues after its client has disconnected, which makes a
	// retry unsafe.
	<-s.options.Clock.After(s.options.BookingTime)
	attempt := r.Header.Get(headerAttempt)
	body, lost := s.book(call.Slot, attempt)
	if lost {
		standin.Abort()
	}
	if attempt != "" {
		w.Header().Set(headerAttempt, attempt)
	}
	w.Header().Set("Content-Type", jsonType)
	w.WriteHeader(http.StatusCreated)
	_, _ = w.Write(body) // fails only if the client has disconnected
}

// book records a booking and returns the response body. lost reports whether
// the response is to be dropped.
func (s *Server) book(slot, attempt string) (body []byte, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Bookings++
	s.counters.BySlot[slot]++
	b := Booking{ID: "b" + strconv.FormatInt(s.counters.Bookings, 10), Slot: slot, Attempt: attempt}
	s.bookings[b.ID] = b
	body, _ = json.Marshal(b) // a struct of strings cannot fail
	if attempt != "" {
		s.counters.ByAttempt[attempt]++
		s.attempts[attempt] = Attempt{
			Attempt: attempt, Status: http.StatusCreated, ContentType: jsonType, Body: body,
		}
	}
	if s.answersToLose > 0 {
		s.answersToLose--
		s.counters.LostAnswers++
		return body, true
	}
	return body, false
}

func (s *Server) serveGetBooking(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	b, ok := s.bookings[r.PathValue("id")]
	s.mu.Unlock()
	if !ok {
		standin.WriteError(w, http.StatusNotFound, "not_found", "no such booking")
		return
	}
	standin.WriteJSON(w, http.StatusOK, b)
}

func (s *Server) serveAttempt(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.counters.AttemptQueries++
	a, ok := s.attempts[r.PathValue("attempt")]
	s.mu.Unlock()
	if !ok {
		standin.WriteError(w, http.StatusNotFound, "not_found", "no such attempt took effect")
		return
	}
	standin.WriteJSON(w, http.StatusOK, a)
}

func (s *Server) serveLookup(w http.ResponseWriter, r *http.Request) {
	if s.options.Clock.Sleep(r.Context(), s.options.LookupTime) != nil {
		return
	}
	s.mu.Lock()
	s.counters.Lookups++
	s.mu.Unlock()
	if attempt := r.Header.Get(headerAttempt); attempt != "" {
		w.Header().Set(headerAttempt, attempt)
	}
	key := r.PathValue("key")
	standin.WriteJSON(w, http.StatusOK, map[string]string{"key": key, "value": LookupValue(key)})
}

// LookupValue returns the value that the service returns for the key.
func LookupValue(key string) string { return fmt.Sprintf("%016x", standin.Hash64("lookup", key)) }
