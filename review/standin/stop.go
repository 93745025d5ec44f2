package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = plannedStop }

const (
	gracePeriod = 8 * time.Second
	// acceptedUntil is the time after SIGTERM up to which a request may be cut
	// late in the grace period.
	acceptedUntil = 3 * time.Second
	streamEvents  = 55
	spareClients  = 6
)

// plannedStop stops one machine with SIGTERM. Some clients hold a connection
// to it that they opened shortly before and have not used yet, and use it while
// they still hold the answer of the directory.
func plannedStop(s *setting) int {
	y := s.build(zones, runner{work: 100 * time.Millisecond, events: streamEvents, eventGap: 70 * time.Millisecond}, runner{work: 30 * time.Millisecond})
	time.Sleep(4 * time.Second) // The nodes get to know each other.
	leaving := s.nodes[0]
	addresses, ttl, err := resolve(leaving.directory, leaving.zone)
	must(err)
	s.log.line("the directory answers %v for %v; it is kept three times as long", addresses, ttl)
	resolved := time.Now()
	var spare []*connection
	for range spareClients {
		used, err := dial(leaving.entry)
		must(err)
		c, err := dial(leaving.entry)
		must(err)
		spare = append(spare, c)
		o := used.do(request{id: fmt.Sprintf("first-%d", len(spare)), method: "POST", path: "/book/1", key: keys["hule930"][0], deadline: 2 * time.Second})
		s.log.line("client: %s got %d on its first connection, its second one is unused", o.id, o.status)
		used.conn.Close()
	}
	time.Sleep(200 * time.Millisecond)
	term := time.Now()
	if s.trouble {
		leaving.signal(syscall.SIGTERM)
		go func(exited chan struct{}) {
			select {
			case <-exited:
			case <-time.After(gracePeriod):
				leaving.signal(syscall.SIGKILL) // As the platform does.
			}
		}(leaving.exited)
	}
	outcomes := make([]outcome, spareClients)
	var wait sync.WaitGroup
	for i, c := range spare {
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Until(term.Add(3500*time.Millisecond + time.Duration(i)*150*time.Millisecond)))
			outcomes[i] = c.do(request{
				id: fmt.Sprintf("rota-%d", i+1), method: "POST", path: "/stream/1", key: keys["hule930"][0], deadline: 20 * time.Second,
				headers: "Model: *\r\nToken-Counts: 1460,400\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:660\r\n", body: []byte("{}"),
			})
		}()
	}
	wait.Wait()
	lost := 0
	for _, o := range outcomes {
		after := o.sent.Sub(term)
		runs := y.book.of(o.id)
		whole := o.err == nil && o.status == 200 && pieces(o.body) == streamEvents
		s.log.line("client: %s sent %d ms after SIGTERM, %d ms after the directory's answer: status %d, %d of %d pieces, error %v, %d ms later, runs %d",
			o.id, after.Milliseconds(), o.sent.Sub(resolved).Milliseconds(), o.status, pieces(o.body), streamEvents, o.err,
			o.ended.Sub(o.sent).Milliseconds(), len(runs))
		switch {
		case whole || len(runs) == 0:
		case s.trouble && after > acceptedUntil && o.ended.Sub(term) < gracePeriod+time.Second:
			lost++
		case !s.trouble:
			lost++
		}
	}
	s.log.line("%d requests were passed on to a runner and cut by the planned stop", lost)
	if lost > 0 {
		return broken
	}
	return held
}
