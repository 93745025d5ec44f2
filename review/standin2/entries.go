package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// drainTime is drain-ms of the site, storeHistory its history-s and valueBytes its
	// value-bytes.
	drainTime    = 2500 * time.Millisecond
	storeHistory = 20 * time.Second
	valueBytes   = 1 << 20
	// largeEntryCount is the number of entries that another writer writes, one after
	// the other; acceptTime is what the sheet gives for an answer of the store.
	largeEntryCount = 12
	acceptTime      = 4 * time.Millisecond
	// lingerTime is how much longer than drainTime a runner serves that drains, as the
	// site file says.
	lingerTime = 1500 * time.Millisecond
	// releaseGap is the time from one release, of a third of the runners, to the next;
	// the old runner of the one before has ended by then.
	releaseGap = drainTime + lingerTime + 500*time.Millisecond
	// lookupRate is the number of requests a second, playTime how long they are sent.
	lookupRate = 20
	playTime   = 20 * time.Second
)

// largeEntry is an entry of another writer, without the fields of a runner's entry and
// within value-bytes.
func largeEntry(i int) map[string]any {
	return map[string]any{"host": fmt.Sprintf("batch-%02d", i), "inventory": strings.Repeat("x", valueBytes-128)}
}

// lookup sends a request of a safe route on a new connection. It returns the status,
// zero without an answer.
func lookup(f *fleet, m *machine, id string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+m.address(m.ports.front)+"/slots/1", nil)
	if err != nil {
		f.write("%v", err)
		return 0
	}
	r.Host = "rota.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Authorization", "Bearer k1")
	r.Header.Set("Deadline-Milliseconds", "2000")
	f.write("client sends %s to %s", id, m.name)
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		f.write("client gets no answer to %s: %v", id, err)
		return 0
	}
	_ = response.Body.Close() // Its status is all that counts.
	f.write("client gets %d for %s", response.StatusCode, id)
	return response.StatusCode
}

// replacement is a runner that was replaced and the time at which the store accepted
// that it drains.
type replacement struct {
	*runner
	acknowledged time.Time
}

// replace replaces the runners in one release each: the new one starts first, the old
// one drains and ends.
func replace(f *fleet, old []*runner, start func(i int) (*runner, error)) ([]replacement, []*runner, error) {
	var out []replacement
	var started []*runner
	for i, n := range old {
		next, err := start(len(old) + i)
		if err != nil {
			return nil, nil, err
		}
		started = append(started, next)
		n.drain()
		out = append(out, replacement{n, time.Now()})
		f.note("%s has started; %s drains, acknowledged", next.id, n.id)
		time.AfterFunc(drainTime+lingerTime, func() {
			n.end()
			f.note("%s has ended", n.id)
		})
		time.Sleep(releaseGap)
	}
	return out, started, nil
}

// largeEntries is the case of releases of a service after another writer has written
// large entries.
func largeEntries(f *fleet, trouble bool) (held bool, err error) {
	f.store.keepFor(storeHistory)
	subnet := f.machines[0].ip[:strings.LastIndex(f.machines[0].ip, ".")]
	start := func(i int) (*runner, error) {
		return newRunner(f, fmt.Sprintf("i-%d", i+1), "booking-app", fmt.Sprintf("%s.%d", subnet, 100+i), f.machines[i%3].place, 6,
			func(*http.Request) time.Duration { return 30 * time.Millisecond })
	}
	var runners []*runner
	for i := range 3 {
		n, err := start(i)
		if err != nil {
			return false, err
		}
		runners = append(runners, n)
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for i := range largeEntryCount {
			time.Sleep(acceptTime)
			f.store.put("servers", fmt.Sprintf("batch-%02d", i), largeEntry(i))
		}
		f.note("another writer has written %d entries", largeEntryCount)
	}
	time.Sleep(time.Second)
	began := time.Now()
	var all sync.WaitGroup
	var mu sync.Mutex
	sent, refused, lastRefusal := map[string]time.Time{}, 0, time.Duration(0)
	all.Add(1)
	go func() {
		defer all.Done()
		for i := 0; time.Since(began) < playTime; i++ {
			id, at := fmt.Sprintf("r%04d", i), time.Now()
			mu.Lock()
			sent[id] = at
			mu.Unlock()
			all.Add(1)
			go func() {
				defer all.Done()
				if lookup(f, f.machines[i%len(f.machines)], id) != http.StatusOK {
					mu.Lock()
					refused, lastRefusal = refused+1, max(lastRefusal, at.Sub(began))
					mu.Unlock()
				}
			}()
			time.Sleep(time.Second / lookupRate)
		}
	}()
	replaced, started, err := replace(f, runners, start)
	all.Wait()
	if err != nil {
		return false, err
	}
	late, served := 0, 0
	for id, at := range sent {
		for _, n := range replaced {
			for _, run := range n.runsOf(id) {
				served++
				if after := at.Sub(n.acknowledged); after > drainTime {
					late++
					f.write("late: %s, sent %.2f s after the acknowledgement, reaches %s %.2f s after it",
						id, after.Seconds(), n.id, run.start.Sub(n.acknowledged).Seconds())
				}
			}
		}
		for _, n := range started {
			served += len(n.runsOf(id))
		}
	}
	f.note("%d requests, %d runs; %d without a 200, the last sent after %.1f s", len(sent), served, refused, lastRefusal.Seconds())
	f.note("%d reached a runner that drains or is gone, sent over %v after the acknowledgement; none is allowed", late, drainTime)
	if served == 0 {
		return false, errors.New("no request was served")
	}
	return late == 0, nil
}
