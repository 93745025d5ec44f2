package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// gracePeriod is grace-period-s of the site; requests that were sent within
	// excusedSend of SIGTERM and are at work in its last sixth are excused.
	gracePeriod = 8 * time.Second
	excusedSend = 3 * time.Second
	// longWork is how long the runner works on each request, longDeadline how long the
	// client waits and what the route allows.
	longWork     = 3 * time.Second
	longDeadline = 5 * time.Second
	// silenceLength is how long the store is silent.
	silenceLength = 4500 * time.Millisecond
	// cachedFor is how long clients go on using an address that they have resolved:
	// three times the two seconds for which it is given.
	cachedFor = 6 * time.Second
)

// sent is one request of a client and what came of it.
type sent struct {
	id           string
	at, answered time.Time
	status       int
	err          error
}

// sendUnsafe sends a request of an unsafe route on a new connection.
func sendUnsafe(f *fleet, m *machine, id string) *sent {
	s := &sent{id: id, at: time.Now()}
	r, err := http.NewRequest(http.MethodPost, "http://"+m.address(m.ports.front)+"/bookings/1", strings.NewReader("slot=7"))
	if err != nil {
		s.err = err
		return s
	}
	r.Host = "rota.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Milliseconds", fmt.Sprint(longDeadline.Milliseconds()))
	f.write("client sends %s to %s", id, m.name)
	client := http.Client{Timeout: longDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err == nil {
		s.status = response.StatusCode
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close() // It is read.
	}
	s.err, s.answered = err, time.Now()
	if err != nil {
		f.write("client gets no whole answer to %s: %v", id, err)
	} else {
		f.write("client gets %d for %s", s.status, id)
	}
	return s
}

// silentStoreAtStop is the case of a machine that is stopped while the store is
// silent.
func silentStoreAtStop(f *fleet, trouble bool) (held bool, err error) {
	config := firstConfig()
	config["version"] = 5
	config["routes"] = append(config["routes"].([]any), map[string]any{
		"name": "slot-book", "host": "rota.example", "path-prefix": "/bookings/", "kind": "unsafe", "service": "booking-app",
		"attempts": 1, "public": true, "timeout-ms": longDeadline.Milliseconds(), "target-latency-ms": 300, "priority": 2,
	})
	var runners []*runner
	for i, m := range f.machines[:3] {
		ip := m.ip[:strings.LastIndex(m.ip, ".")] + fmt.Sprintf(".%d", 100+i)
		n, err := newRunner(f, fmt.Sprintf("i-%d", i+1), "booking-app", ip, m.place, 64, func(*http.Request) time.Duration { return longWork })
		if err != nil {
			return false, err
		}
		runners = append(runners, n)
	}
	f.store.put("config", "main", config)
	time.Sleep(4 * time.Second)
	m := f.machines[0]
	if trouble {
		end := f.store.silence()
		f.note("the store is silent")
		time.AfterFunc(silenceLength, func() {
			end()
			f.note("the store answers again")
		})
		time.Sleep(500 * time.Millisecond)
	}
	stopped := time.Now()
	m.signal(syscall.SIGTERM)
	f.note("SIGTERM to %s", m.name)
	// The platform kills what has not ended after the grace period.
	kill := time.AfterFunc(gracePeriod, func() { m.signal(syscall.SIGKILL) })
	defer kill.Stop()
	exited := make(chan time.Duration, 1)
	go func() {
		_ = m.cmd.Wait()
		exited <- time.Since(stopped)
	}()
	var mu sync.Mutex
	var all []*sent
	var done sync.WaitGroup
	for i := 0; time.Since(stopped) < cachedFor; i++ {
		done.Add(1)
		go func() {
			defer done.Done()
			s := sendUnsafe(f, m, fmt.Sprintf("r%04d", i))
			mu.Lock()
			all = append(all, s)
			mu.Unlock()
		}()
		time.Sleep(100 * time.Millisecond)
	}
	done.Wait()
	m.ended = time.Now()
	f.note("%s exited %.2f s after SIGTERM", m.name, (<-exited).Seconds())
	lost, counts := 0, map[int]int{}
	for _, s := range all {
		counts[s.status]++
		if s.err == nil {
			continue
		}
		for _, n := range runners {
			for _, run := range n.runsOf(s.id) {
				after := s.at.Sub(stopped)
				switch {
				case run.whole, s.answered.Sub(s.at) >= longDeadline: // Answered, or the deadline was reached.
					continue
				case after <= excusedSend && run.end.Sub(stopped) >= gracePeriod*5/6:
					continue
				case s.answered.Sub(stopped) > gracePeriod+time.Second: // The planned work is over.
					continue
				}
				lost++
				f.write("lost: %s, sent %.2f s after SIGTERM, run by %s, connection closed %.2f s after SIGTERM without an answer",
					s.id, after.Seconds(), n.id, s.answered.Sub(stopped).Seconds())
			}
		}
	}
	f.note("%d requests by status (0 is none): %v; %d were passed on to a runner and lost", len(all), counts, lost)
	if counts[http.StatusOK] == 0 {
		return false, errors.New("no request was served")
	}
	return lost == 0, nil
}
