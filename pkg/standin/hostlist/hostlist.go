// Package hostlist emulates the platform's list of live and leaving hosts,
// which reflects changes only after a lag.
//
// # Protocol
//
//	GET /hosts
//	    200 {"hosts":[{"name","address","kind":"node"|"runner"|"service",
//	    "region","failure_domain","state":"live"|"leaving"}]}, sorted by name,
//	    as of one lag ago. Removed hosts are not listed.
package hostlist

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/standin"
)

// State is the state of a host.
type State string

// States of a host.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Host is one entry of the list.
type Host struct {
	// Name is the name of the upstream or node. Address is "ip:port" or a URL.
	Name          string `json:"name"`
	Address       string `json:"address"`
	Kind          string `json:"kind"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	State         State  `json:"state"`
}

// change is an added, replaced or removed host that the list does not show yet.
type change struct {
	at      time.Time
	host    Host
	removed bool
}

// Server is the emulated host list; it is safe for concurrent use.
type Server struct {
	standin.FaultInjector
	clock clock.Clock

	mu      sync.Mutex
	lag     time.Duration
	visible map[string]Host
	current map[string]Host
	pending []change
	calls   int64
}

// New returns an empty list. A nil clock means the real clock.
func New(lag time.Duration, c clock.Clock) *Server {
	if c == nil {
		c = clock.Real{}
	}
	return &Server{
		FaultInjector: standin.FaultInjector{Clock: c}, clock: c, lag: lag,
		visible: make(map[string]Host), current: make(map[string]Host),
	}
}

// Start serves the list on listenAddr.
func (s *Server) Start(listenAddr string) (url string, stop func(), err error) {
	return standin.Start(listenAddr, s)
}

// Set adds or replaces a host; an empty state means Live.
func (s *Server) Set(h Host) {
	if h.State == "" {
		h.State = Live
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addChange(change{host: h})
}

// SetState changes the state of a host. It does nothing if the host is not
// listed.
func (s *Server) SetState(name string, state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.current[name]; ok {
		h.State = state
		s.addChange(change{host: h})
	}
}

// Remove removes a host from the list.
func (s *Server) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addChange(change{host: Host{Name: name}, removed: true})
}

func (s *Server) addChange(c change) {
	c.at = s.clock.Now()
	s.pending = append(s.pending, c)
	c.apply(s.current)
}

func (c change) apply(hosts map[string]Host) {
	if c.removed {
		delete(hosts, c.host.Name)
		return
	}
	hosts[c.host.Name] = c.host
}

// Calls returns the number of calls that were answered with a list.
func (s *Server) Calls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.InjectFaults(w, r) {
		return
	}
	if r.URL.Path != "/hosts" || r.Method != http.MethodGet {
		standin.WriteError(w, http.StatusNotFound, "no_such_path", "no such path")
		return
	}
	standin.WriteJSON(w, http.StatusOK, map[string][]Host{"hosts": s.laggedHosts()})
}

// laggedHosts returns the list as of one lag ago, sorted by name.
func (s *Server) laggedHosts() []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	until := s.clock.Now().Add(-s.lag)
	for len(s.pending) > 0 && !s.pending[0].at.After(until) {
		s.pending[0].apply(s.visible)
		s.pending = s.pending[1:]
	}
	hosts := make([]Host, 0, len(s.visible))
	for _, h := range s.visible {
		hosts = append(hosts, h)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}
