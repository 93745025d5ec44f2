package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["descriptors"] = descriptorsOfClients }

const (
	// fileDescriptors is file-descriptors of the machines.
	fileDescriptors = 4100
	// users is the number of clients, each with one kept connection.
	users = 4400
	// sendEvery is the pause between two requests of a client: below four fifths of
	// idle-timeout-ms, so that its connection may be used again.
	sendEvery = 9 * time.Second
	// stabilityWindow is stability-window-ms, and triers how many clients have to
	// try in that time.
	stabilityWindow = 3 * time.Second
	triers          = 7
	calmFor         = 12 * time.Second
	troubleFor      = 40 * time.Second
	// readPatience is how long a client waits for a new connection to be read.
	readPatience = time.Second
	// ownDescriptors is what the clients, runners and the store need together.
	ownDescriptors = 8000
)

// try is a client's attempt on a new connection.
type try struct {
	begun, ended time.Time
	client       int
	taken        bool
}

// user is one client.
type user struct {
	index     int
	addresses []string
	failed    map[string]bool
	conn      *connection
	at        string
}

// pick returns one of the directory's addresses that have not failed.
func (u *user) pick(r *rand.Rand) string {
	var sound []string
	for _, a := range u.addresses {
		if !u.failed[a] {
			sound = append(sound, a)
		}
	}
	if len(sound) == 0 {
		return ""
	}
	return sound[r.Intn(len(sound))]
}

// descriptorsOfClients removes one of the two machines of a region for good. Its
// clients connect to the other one.
func descriptorsOfClients(s *setting) int {
	var limit syscall.Rlimit
	must(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	if limit.Cur < ownDescriptors {
		panic(fmt.Sprintf("this process may open %d files, and the case needs %d", limit.Cur, ownDescriptors))
	}
	y := s.prepare(zones, runner{work: 30 * time.Millisecond, events: 3, eventGap: 10 * time.Millisecond}, runner{work: 30 * time.Millisecond})
	for _, n := range s.nodes {
		n.descriptors = fileDescriptors
	}
	s.startNodes()
	time.Sleep(4 * time.Second)
	gone, left := s.nodes[0], s.nodes[2]
	addresses, _, err := resolve(left.directory, left.zone)
	must(err)
	s.log.line("the directory answers %v to clients in %s", addresses, left.zone)
	if len(addresses) != 2 {
		panic("the directory should name the two machines of the region")
	}
	var mu sync.Mutex
	var tries []try
	var served, refused, unanswered, asked atomic.Int64
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range users {
		wait.Add(1)
		go func() {
			defer wait.Done()
			r := rand.New(rand.NewSource(int64(i)))
			u := &user{index: i, addresses: addresses, failed: map[string]bool{}}
			pause := time.Duration(r.Int63n(int64(sendEvery)))
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				pause = sendEvery
				asked.Add(1)
				o, t := u.send(fmt.Sprintf("u%d-%d", i, k), r)
				if o.status == 0 && !t.begun.IsZero() && !t.taken || o.err != nil {
					pause = time.Second // The retry, on a new connection.
				}
				switch {
				case o.status == 200:
					served.Add(1)
				case o.status != 0:
					refused.Add(1)
				default:
					unanswered.Add(1)
				}
				if !t.begun.IsZero() && u.at == left.entry {
					mu.Lock()
					tries = append(tries, t)
					mu.Unlock()
				}
			}
		}()
	}
	var ready []time.Time // When the machine said that it is ready.
	platform := &http.Client{Timeout: time.Second}
	begin := time.Now()
	removed := time.Time{}
	for second := 0; time.Since(begin) < calmFor+troubleFor; second++ {
		if removed.IsZero() && time.Since(begin) > calmFor {
			removed = time.Now()
			if s.trouble {
				s.log.line("%s is removed for good, without SIGTERM", gone.name)
				gone.signal(syscall.SIGKILL)
			}
		}
		answer, err := platform.Get("http://" + left.ready + "/-/readiness")
		says := "no answer"
		if err == nil {
			says = fmt.Sprint(answer.StatusCode)
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				ready = append(ready, time.Now())
			}
		}
		s.log.line("in the last second: %d asked, %d served, %d refused, %d without an answer; readiness of %s: %s",
			asked.Swap(0), served.Swap(0), refused.Swap(0), unanswered.Swap(0), left.name, says)
		time.Sleep(time.Second)
	}
	close(stop)
	wait.Wait()
	from, clients := untaken(tries, ready, removed)
	s.log.line("%d tries of new connections at %s, %d runs at runners", len(tries), left.name, len(y.book.runs))
	if clients >= triers {
		s.log.line("in the %v from %.1f s after the removal, %d clients tried a new connection at %s and none was taken, though it said that it is ready",
			stabilityWindow, from.Sub(removed).Seconds(), clients, left.name)
		return broken
	}
	return held
}

// send sends a request on the kept connection, or on a new one.
func (u *user) send(id string, r *rand.Rand) (o outcome, t try) {
	if u.conn == nil {
		address := u.pick(r)
		if address == "" {
			u.failed = map[string]bool{} // A new answer of the directory.
			return o, t
		}
		t = try{begun: time.Now(), client: u.index}
		u.at = address
		c, err := dial(address)
		if err != nil {
			u.failed[address] = true
			o.err, t.ended = err, time.Now()
			return o, t
		}
		u.conn = c
	}
	deadline := 2 * time.Second
	if !t.begun.IsZero() {
		deadline = readPatience
	}
	o = u.conn.do(request{id: id, method: "GET", path: "/read/1", key: keys["hule930"][0], deadline: deadline})
	t.ended, t.taken = time.Now(), o.status != 0
	if o.err != nil || o.closing {
		u.conn.conn.Close()
		u.conn = nil
	}
	return o, t
}

// untaken returns a span of stabilityWindow after the removal in which the most
// clients tried and no new connection was taken, while the machine said that it
// is ready.
func untaken(tries []try, ready []time.Time, removed time.Time) (from time.Time, most int) {
	for at := removed; at.Before(removed.Add(troubleFor - stabilityWindow)); at = at.Add(250 * time.Millisecond) {
		end := at.Add(stabilityWindow)
		clients, taken := map[int]bool{}, false
		for _, t := range tries {
			if t.begun.Before(at) && t.ended.After(at) || !t.begun.Before(at) && t.begun.Before(end) {
				clients[t.client] = true
				taken = taken || t.taken && t.ended.Before(end)
			}
		}
		said := 0
		for _, r := range ready {
			if !r.Before(at) && r.Before(end) {
				said++
			}
		}
		if !taken && said >= 2 && len(clients) > most {
			from, most = at, len(clients)
		}
	}
	return from, most
}
