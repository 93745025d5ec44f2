package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"cassiapin/platform/platformtest"
)

// Limits on the work for a caller that has left.
const (
	// goneTime is how long after its caller has left a request may still reach a
	// runner or be at work there.
	goneTime = 500 * time.Millisecond
	// toleratedShare is the share of the requests at work that may be at work
	// longer. It is checked for minAtWork of them or more.
	toleratedShare = 0.25
	minAtWork      = 8
)

// departure is a request whose caller left before its answer.
type departure struct {
	id, path, node, how string
	// left is when the connection had been closed: this process may not run for a while
	// before that.
	left time.Time
	// ahead is set if the caller had sent the start of a next request.
	ahead bool
}

// leaver sends requests and leaves before their answers.
type leaver struct {
	*caller
	sent int
}

func newLeaver(f *fleet, index int) *leaver {
	c := newCaller(f, callerCount+1+index)
	c.name = fmt.Sprintf("gone%d", index)
	return &leaver{caller: c}
}

// run sends requests until stop is closed.
func (l *leaver) run(stop <-chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(5+l.random.Intn(60)) * time.Millisecond):
		}
		if node := l.choose(); node != "" {
			l.leave(node)
		}
	}
}

// leave sends one request on a new or kept connection and closes it at a random
// moment, in a random way.
func (l *leaver) leave(node string) {
	conn, err := net.DialTimeout("tcp", node, time.Second)
	if err != nil {
		return // The node has a fault.
	}
	tcp := conn.(*net.TCPConn)
	defer tcp.Close()
	if l.random.Intn(3) == 0 && !l.exchange(tcp) {
		return
	}
	path := []string{"/lookup/", "/booking/", "/draft/", "/long/", "/long/"}[l.random.Intn(5)]
	d := departure{id: l.write(tcp, path), path: path, node: node}
	switch l.random.Intn(4) {
	case 0: // At once.
	case 1:
		d.ahead = true
		l.pause(300 * time.Millisecond)
		_, _ = io.WriteString(tcp, "GET ") // The start of a next request.
		l.pause(300 * time.Millisecond)
	default:
		l.pause(600 * time.Millisecond)
	}
	switch l.random.Intn(3) {
	case 0:
		d.how = "closed"
		_ = tcp.Close()
		d.left = time.Now()
	case 1:
		d.how = "reset"
		abort(tcp)
		d.left = time.Now()
	case 2:
		d.how = "half closed"
		_ = tcp.CloseWrite()
		d.left = time.Now()
		time.Sleep(goneTime)
	}
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.fleet.departures = append(l.fleet.departures, d)
}

func (l *leaver) pause(limit time.Duration) { sleepRandom(l.random, limit) }

// write writes a request and returns its id.
func (l *leaver) write(conn net.Conn, path string) (id string) {
	l.sent++
	id = fmt.Sprintf("%s-%d", l.name, l.sent)
	// On a failed write the node has a fault, and the request does not arrive.
	_, _ = io.WriteString(conn, platformtest.RawRequest(path+"1", id, requestTimeout))
	return id
}

// exchange sends a request and reads its answer, so that the connection is a kept
// one for the next.
func (l *leaver) exchange(conn net.Conn) (ok bool) {
	l.write(conn, "/lookup/")
	_ = conn.SetReadDeadline(time.Now().Add(requestTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false // The node has a fault.
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && !response.Close
}

// interval is the time of a fault; its end is zero while it lasts.
type interval struct{ start, end time.Time }

// recordFault records the start of a fault. It returns a function that records its
// end.
func (f *fleet) recordFault(key string) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := &interval{start: time.Now()}
	f.faults[key] = append(f.faults[key], i)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		i.end = time.Now()
	}
}

// faulty reports whether there was a fault between two times.
func (f *fleet) faulty(key string, from, to time.Time) bool {
	return slices.ContainsFunc(f.faults[key], func(i *interval) bool {
		return i.start.Before(to) && (i.end.IsZero() || i.end.After(from))
	})
}

// departureCounts sums up the requests whose callers left.
type departureCounts struct {
	// late reached a runner late; of those atWork at a runner, over stayed so.
	late, atWork, over int
}

// checkDepartures checks that requests neither reach runners after their callers
// have left nor stay at work there.
func (f *fleet) checkDepartures() {
	counts := map[bool]*departureCounts{false: {}, true: {}}
	for _, d := range f.departures {
		runs := f.record.RunsOf(d.id)
		if d.path == "/booking/" && len(runs) > 1 {
			f.t.Errorf("booking %s of a caller that left ran %d times", d.id, len(runs))
		}
		for _, run := range runs {
			f.countDeparture(counts[d.ahead], d, run)
		}
	}
	late := counts[false].late + counts[true].late
	f.event("%d callers left, %d of their requests reached runners late", len(f.departures), late)
	if late > 0 {
		f.t.Errorf("%d requests reached runners later than %v after their callers had left", late, goneTime)
	}
	for ahead, c := range counts {
		f.event("%d of %d requests stayed at work after their callers had left, next request begun: %v", c.over, c.atWork, ahead)
		if c.atWork >= minAtWork && float64(c.over) > toleratedShare*float64(c.atWork) {
			f.t.Errorf("%d of %d requests stayed at work later than %v after their callers had left, next request begun: %v",
				c.over, c.atWork, goneTime, ahead)
		}
	}
}

// countDeparture counts one run of a request whose caller left. A fault on the path
// to the runner excuses late requests and late ends, one of the node the latter
// only.
func (f *fleet) countDeparture(c *departureCounts, d departure, run platformtest.Run) {
	limit := d.left.Add(goneTime)
	name := run.Runner[:strings.LastIndex(run.Runner, "-")]
	if run.Start.After(limit) {
		if !f.faulty(name, d.left, run.Start) {
			c.late++
			f.event("%s %s at %s, %s: reached %s %v after its caller had left", d.id, d.path, d.node, d.how, run.Runner, run.Start.Sub(d.left))
		}
		return
	}
	if d.path != "/long/" || run.Start.Add(platformtest.LongStreamTime).Before(limit) ||
		f.faulty(name, d.left, limit) || f.faulty(d.node, d.left, limit) {
		return
	}
	c.atWork++
	if run.End.IsZero() || run.End.After(limit) {
		c.over++
		f.event("%s at %s, %s: at work at %s until %v after its caller had left", d.id, d.node, d.how, run.Runner, run.End.Sub(d.left))
	}
}
