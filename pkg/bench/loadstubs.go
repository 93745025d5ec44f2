package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"cassiapin/pkg/config"
	"cassiapin/pkg/standin/engine"
	"cassiapin/pkg/workload"
)

// loadStubs are runners that serve only GET /load, each at its own address.
// They replace full stand-in engines where a fleet has too many runners for
// those.
type loadStubs struct {
	server    *http.Server
	upstreams []config.Upstream
	reports   map[string][]byte
	polls     atomic.Int64
}

const (
	stubCapacity  = 16
	stubColdLimit = 2
)

// startLoadStubs starts n runners, distributed over the failure domains and the
// models.
func startLoadStubs(n int, domains []config.FailureDomain) (*loadStubs, error) {
	s := &loadStubs{reports: make(map[string][]byte)}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	models := [][]config.VersionRef{{workload.Small}, {workload.Medium, workload.Medium2}, {workload.Large}}
	var listeners []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", listenAddress)
		if err != nil {
			closeAll(listeners)
			return nil, err
		}
		listeners = append(listeners, l)
		domain := domains[i%len(domains)]
		u := config.Upstream{
			Name: fmt.Sprintf("light-%03d", i), URL: "http://" + l.Addr().String(),
			Region: domain.Region, FailureDomain: domain.Name, Serves: models[i/len(domains)%len(models)],
			Capacity: stubCapacity, ColdLimit: stubColdLimit,
		}
		s.upstreams = append(s.upstreams, u)
		report, err := json.Marshal(engine.Report{
			Upstream: u.Name, State: engine.Warm, Capacity: stubCapacity, MaxConcurrency: stubCapacity, Versions: u.Serves,
		})
		if err != nil {
			closeAll(listeners)
			return nil, err
		}
		s.reports[l.Addr().String()] = report
	}
	for _, l := range listeners {
		go func() { _ = s.server.Serve(l) }() // Serve always returns an error once the server is closed.
	}
	return s, nil
}

func closeAll(listeners []net.Listener) {
	for _, l := range listeners {
		_ = l.Close() // No connection has been accepted yet.
	}
}

func (s *loadStubs) serve(w http.ResponseWriter, r *http.Request) {
	address, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if r.URL.Path != "/load" || address == nil {
		http.NotFound(w, r)
		return
	}
	s.polls.Add(1)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(s.reports[address.String()])
}

func (s *loadStubs) close() { _ = s.server.Close() }

// calibrationCalls is the number of calls that a processor time is averaged over.
const calibrationCalls = 1000

// processorSecondsPerGet returns the processor time that a stand-in spends on one
// GET, estimated as half of the total because the client runs in this process
// too.
func processorSecondsPerGet(ctx context.Context, url string) (float64, error) {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	before := processorTime()
	for range calibrationCalls {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return 0, err
		}
		response, err := client.Do(r)
		if err != nil {
			return 0, err
		}
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err != nil {
			return 0, err
		}
	}
	return (processorTime() - before).Seconds() / calibrationCalls / 2, nil
}
