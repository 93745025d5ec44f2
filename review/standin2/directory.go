package main

import (
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of vaxmynd-hq for the case.
const (
	stabilityWindow = 3 * time.Second
	// namedAfter is the time from which on the directory may not name a machine that
	// has ended, and toleratedAnswers how many answers may.
	namedAfter       = stabilityWindow + 3*time.Second
	toleratedAnswers = 3
	// clients is the number of clients, spread over the zones.
	clients = 60
)

// lookups plays clients that resolve the host, nearest machines first, and again when
// the answer expires. It counts the answers that name an ended machine too late.
type lookups struct {
	fleet   *fleet
	mu      sync.Mutex
	answers int
	late    int
	// longest is the longest time after its end for which a machine was named.
	longest time.Duration
}

// nearest returns the machines in the order in which a client at a place asks them.
func (l *lookups) nearest(at place) []*machine {
	distance := func(m *machine) int {
		switch {
		case m.zone == at.zone:
			return 0
		case m.region == at.region:
			return 1
		}
		return 2
	}
	order := make([]*machine, 0, len(l.fleet.machines))
	for d := range 3 {
		var same []*machine
		for _, m := range l.fleet.machines {
			if distance(m) == d {
				same = append(same, m)
			}
		}
		rand.Shuffle(len(same), func(i, j int) { same[i], same[j] = same[j], same[i] })
		order = append(order, same...)
	}
	return order
}

// client resolves until stop is closed.
func (l *lookups) client(at place, stop <-chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	pause := time.Duration(rand.Int64N(int64(2 * time.Second)))
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		pause = time.Second
		for _, m := range l.nearest(at)[:3] {
			addresses, ttl, err := m.resolve(at)
			if err == nil && len(addresses) > 0 {
				l.check(m, at, addresses)
				pause = min(ttl, 5*time.Second)
				break
			}
		}
	}
}

func (l *lookups) check(by *machine, at place, addresses []string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers++
	l.fleet.write("%s answers a client in %s: %s", by.name, at.zone, strings.Join(l.names(addresses), " "))
	running, gone := false, ""
	var since time.Duration
	for _, m := range l.fleet.machines {
		for _, a := range addresses {
			if a != m.address(m.ports.front) {
				continue
			}
			switch {
			case m.ended.IsZero():
				running = true
			default:
				l.longest = max(l.longest, now.Sub(m.ended))
			}
			if !m.ended.IsZero() && now.Sub(m.ended) > namedAfter {
				gone, since = gone+" "+m.name, now.Sub(m.ended)
			}
		}
	}
	if running && gone != "" {
		l.late++
		l.fleet.write("  too late: names%s, ended %.2f s ago, beside running machines", gone, since.Seconds())
	}
}

// names returns the names of the machines that have the front addresses.
func (l *lookups) names(addresses []string) (names []string) {
	for _, a := range addresses {
		name := a
		for _, m := range l.fleet.machines {
			if a == m.address(m.ports.front) {
				name = m.name
			}
		}
		names = append(names, name)
	}
	return names
}

// run plays the clients for a time while trouble runs.
func (l *lookups) run(length time.Duration, trouble func()) {
	stop := make(chan struct{})
	var done sync.WaitGroup
	var places []place
	for _, m := range l.fleet.machines {
		places = append(places, m.place)
	}
	for i := range clients {
		done.Add(1)
		go l.client(places[i%len(places)], stop, &done)
	}
	end := time.After(length)
	trouble()
	<-end
	close(stop)
	done.Wait()
}

// vaxmynd are the machines of the site: three zones in two regions.
func vaxmynd() []place {
	a, b, c := place{"reykjavik-a", "sudvestur"}, place{"keflavik-b", "sudvestur"}, place{"akureyri-a", "nordaustur"}
	return []place{a, b, c, a, b, c, a, b, a}
}

// lostMachines is the case of machines that are lost for good at one moment: count of
// them, drawn at random.
func lostMachines(f *fleet, trouble bool, count int) (held bool, err error) {
	l := &lookups{fleet: f}
	l.run(25*time.Second, func() {
		time.Sleep(2 * time.Second)
		if !trouble {
			return
		}
		lost := make([]*machine, len(f.machines))
		copy(lost, f.machines)
		rand.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
		var names []string
		for _, m := range lost[:count] {
			m.signal(syscall.SIGKILL)
		}
		now := time.Now()
		l.mu.Lock()
		for _, m := range lost[:count] {
			m.ended = now
			names = append(names, m.name)
		}
		l.mu.Unlock()
		for _, m := range lost[:count] {
			_ = m.cmd.Wait()
		}
		f.note("lost for good: %s", strings.Join(names, " "))
	})
	f.note("%d answers of the directory, %d of them named a machine that had ended over %v before; %d are allowed; the longest time was %.2f s", l.answers, l.late, namedAfter, toleratedAnswers, l.longest.Seconds())
	if l.answers == 0 {
		return false, errors.New("no answer of the directory")
	}
	return l.late <= toleratedAnswers, nil
}
