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

// run is one run of a request at a runner.
type run struct {
	id, path, tenant, runner string
	started, ended           time.Time
	// complete is set if the whole answer was written.
	complete bool
}

// book records the runs at all runners.
type book struct {
	mu   sync.Mutex
	runs []*run
}

func (b *book) of(id string) (runs []run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.runs {
		if r.id == id {
			runs = append(runs, *r)
		}
	}
	return runs
}

// runner is a sound runner. Paths with /stream/ are answered with events, all
// others with a body, after the work.
type runner struct {
	id, service, zone, address string
	work                       time.Duration
	events                     int
	eventGap                   time.Duration
	book                       *book
	log                        *record
	born                       int64
}

func (r *runner) start() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	r.address, r.born = l.Addr().String(), time.Now().UnixMilli()
	go func() { _ = (&http.Server{Handler: r}).Serve(l) }()
}

// entry is what the runner writes into the store.
func (r *runner) entry() map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 64, "state": "ready",
		"cold-remaining-ms": 0, "sequence": 1, "born": r.born,
	}
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	switch {
	case q.URL.Path == "/-/report":
		respond(w, http.StatusOK, map[string]any{"stage": "both", "busy": false, "born": r.born})
		return
	case q.URL.Path == "/health":
		w.Header().Set("Instance-Id", r.id)
		return
	}
	if want := q.Header.Get("Expected-Instance"); want != "" && want != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	entry := &run{id: id, path: q.URL.Path, tenant: q.Header.Get("Tenant"), runner: r.id, started: time.Now()}
	r.book.mu.Lock()
	r.book.runs = append(r.book.runs, entry)
	r.book.mu.Unlock()
	r.log.line("runner %s runs %s %s tenant=%s", r.id, id, q.URL.Path, entry.tenant)
	complete := r.answer(w, q)
	r.book.mu.Lock()
	entry.ended, entry.complete = time.Now(), complete
	r.book.mu.Unlock()
	how := "answer complete"
	if !complete {
		how = "connection closed before the end"
	}
	r.log.line("runner %s ends %s after %d ms: %s", r.id, id, time.Since(entry.started).Milliseconds(), how)
}

// answer does the work and reports whether the answer was completed.
func (r *runner) answer(w http.ResponseWriter, q *http.Request) bool {
	w.Header().Set("Response-Stamp", "stamp."+r.id+"."+q.Header.Get("Request-Id"))
	sleep := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-q.Context().Done():
			return false
		}
	}
	if !sleep(r.work) {
		return false
	}
	if !strings.Contains(q.URL.Path, "/stream/") {
		_, err := io.WriteString(w, "done "+q.Header.Get("Request-Id")+"\n")
		return err == nil
	}
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= r.events; i++ {
		if i > after+1 && !sleep(r.eventGap) {
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", i, i, r.events); err != nil {
			return false
		}
		if http.NewResponseController(w).Flush() != nil {
			return false
		}
	}
	return true
}
