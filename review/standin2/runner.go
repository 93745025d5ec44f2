package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runnerHeartbeat is the period at which a runner writes its entry.
const runnerHeartbeat = 1200 * time.Millisecond

// Requests below streamPrefix are answered with a stream of events.
const (
	streamPrefix = "/rota/"
	streamEvents = 6
	streamGap    = 300 * time.Millisecond
)

// runner is a runner of a service. It runs each request for the time of its path.
type runner struct {
	fleet       *fleet
	id, service string
	address     string
	at          place
	slots       int
	born        int64
	// work returns how long a request runs.
	work func(r *http.Request) time.Duration

	server *http.Server

	mu       sync.Mutex
	sequence int
	state    string
	// ended is set once the runner has left.
	ended   bool
	running int
	// runs are the runs of all requests, by id.
	runs map[string][]*runRecord
}

// runRecord is one run of a request.
type runRecord struct {
	start, end time.Time
	// whole is set if the runner has answered.
	whole bool
}

func newRunner(f *fleet, id, service, ip string, at place, slots int, work func(r *http.Request) time.Duration) (*runner, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	n := &runner{
		fleet: f, id: id, service: service, address: l.Addr().String(), at: at, slots: slots, work: work,
		born: time.Now().UnixMilli(), state: "ready", runs: map[string][]*runRecord{},
	}
	n.server = &http.Server{Handler: n}
	go func() { _ = n.server.Serve(l) }()
	n.beat()
	go func() {
		for range time.Tick(runnerHeartbeat) {
			n.beat()
		}
	}()
	return n, nil
}

// beat writes the runner's entry.
func (n *runner) beat() {
	n.mu.Lock()
	if n.ended {
		n.mu.Unlock()
		return
	}
	n.sequence++
	entry := map[string]any{
		"service": n.service, "address": n.address, "zone": n.at.zone, "version": "v1", "slots": n.slots,
		"state": n.state, "cold-remaining-ms": 0, "sequence": n.sequence, "born": n.born,
	}
	n.mu.Unlock()
	n.fleet.store.put("servers", n.id, entry)
}

// drain reports that the runner leaves. It returns once the store has accepted that.
func (n *runner) drain() {
	n.mu.Lock()
	n.state = "draining"
	n.mu.Unlock()
	n.beat()
}

// end ends the runner's process and removes its entry.
func (n *runner) end() {
	n.mu.Lock()
	n.ended = true
	n.mu.Unlock()
	_ = n.server.Close()
	n.fleet.store.remove("servers", n.id)
}

func (n *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" || r.URL.Path == "/-/report" {
		w.Header().Set("Instance-Id", n.id)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	n.mu.Lock()
	refused := 0
	switch expected := r.Header.Get("Expected-Instance"); {
	case id == "":
		refused = http.StatusBadRequest
	case expected != "" && expected != n.id:
		refused = http.StatusMisdirectedRequest
	case n.running >= n.slots:
		refused = http.StatusServiceUnavailable
	}
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", n.running, n.slots))
	if refused != 0 {
		n.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(refused)
		return
	}
	run := &runRecord{start: time.Now()}
	n.running++
	n.runs[id] = append(n.runs[id], run)
	n.mu.Unlock()
	n.fleet.write("%s runs %s", n.id, id)
	status := http.StatusOK
	work := n.work(r)
	if limit, err := strconv.Atoi(r.Header.Get("Deadline-Milliseconds")); err == nil && time.Duration(limit)*time.Millisecond < work {
		work, status = time.Duration(limit)*time.Millisecond, http.StatusGatewayTimeout
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		status = 0
	}
	n.mu.Lock()
	n.running--
	run.end, run.whole = time.Now(), status != 0
	n.mu.Unlock()
	if status == 0 {
		n.fleet.write("%s drops %s: its connection is closed", n.id, id)
		return
	}
	n.fleet.write("%s answers %s with %d", n.id, id, status)
	if strings.HasPrefix(r.URL.Path, streamPrefix) && status == http.StatusOK {
		w.Header().Set("Response-Stamp", "st."+id)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= streamEvents; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, id, i); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			time.Sleep(streamGap)
		}
		return
	}
	answer := fmt.Sprintf("%s ran %s with %d bytes", n.id, id, len(body))
	w.Header().Set("Response-Stamp", "st."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answer) // A node that left sees a truncated answer.
}

// runsOf returns copies of the runs of a request.
func (n *runner) runsOf(id string) (runs []runRecord) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, run := range n.runs[id] {
		runs = append(runs, *run)
	}
	return runs
}
