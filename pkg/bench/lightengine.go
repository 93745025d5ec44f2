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

// loadStubs are runners that only answer GET /load, each at an address of
// its own. They stand for fleets that are too large for whole stand-ins.
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

// startLoadStubs starts n runners that are spread over the failure domains
// and the models.
func startLoadStubs(n int, domains []config.FailureDomain) (*loadStubs, error) {
	e := &loadStubs{reports: make(map[string][]byte)}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
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
		e.upstreams = append(e.upstreams, u)
		report, err := json.Marshal(engine.Report{
			Upstream: u.Name, State: engine.Warm, Capacity: stubCapacity, CanBear: stubCapacity, Versions: u.Serves,
		})
		if err != nil {
			closeAll(listeners)
			return nil, err
		}
		e.reports[l.Addr().String()] = report
	}
	for _, l := range listeners {
		go func() { _ = e.server.Serve(l) }() // It ends with an error when the server is closed.
	}
	return e, nil
}

func closeAll(listeners []net.Listener) {
	for _, l := range listeners {
		_ = l.Close() // Nothing was served yet.
	}
}

func (e *loadStubs) serve(w http.ResponseWriter, r *http.Request) {
	address, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if r.URL.Path != "/load" || address == nil {
		http.NotFound(w, r)
		return
	}
	e.polls.Add(1)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(e.reports[address.String()])
}

func (e *loadStubs) close() { _ = e.server.Close() }

// calibrationCalls is the number of calls that one cost is measured over.
const calibrationCalls = 1000

// processorSecondsPerGet is the processor time that a stand-in spends on one GET: half of a
// call whose both ends are in this process.
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
