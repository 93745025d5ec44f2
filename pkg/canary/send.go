package canary

import (
	"sync/atomic"
	"time"

	"cassiapin/pkg/topology"
)

// Send is a send to an upstream during a rollout of its service. It counts the
// outcome. Its methods may be called on nil.
type Send struct {
	service *Service
	rollout *rollout
	// key is the route and model; cell is that of the evidence.
	key     string
	cell    cell
	started time.Time
	// objective is the latency objective of the route, zero if it has none.
	objective time.Duration
	// resumable is set if the request can continue at another upstream if its own
	// stops, old if the release is not the rollout's target.
	resumable, old bool
	// answeredAt is when the answer began, zero before; events counts the events
	// since.
	answeredAt time.Time
	events     atomic.Int64
}

// SendStarted counts a send to an upstream for a route; model is empty for requests
// that name none. It returns nil without a rollout of the service. The receiver
// calls Closed.
func (s *Service) SendStarted(u *topology.Upstream, route *topology.Route, model string) *Send {
	s.mu.Lock()
	defer s.mu.Unlock()
	ro := s.rollouts[u.Service]
	if ro == nil || ro.state().Final() {
		return nil
	}
	ro.sent++
	now := s.clock.Now()
	d := &Send{
		service: s, rollout: ro, key: route.Name + "/" + model, started: now, objective: route.TargetLatency,
		resumable: route.Retryable(), old: u.Release != ro.object.Target,
	}
	d.cell = ro.cellOf(u, d.key, now)
	if !d.old {
		ro.newSent++
		ro.openNew[d] = struct{}{}
		return d
	}
	ro.openOld++
	if !d.resumable {
		ro.pinnedOld++
	}
	return d
}

// Answered counts the beginning of an answer of the application and, if it is
// good, the time to its first byte.
func (d *Send) Answered(good bool, firstByte time.Duration) {
	d.count(func(c, _ *Count) {
		d.answeredAt = d.service.clock.Now()
		if good {
			c.addGood(firstByte)
			d.countMissed(c, firstByte)
		} else {
			c.Bad++
		}
	})
}

func (d *Send) countMissed(c *Count, took time.Duration) {
	if d.objective > 0 && took > d.objective {
		c.Missed++
	}
}

// Abandoned counts a request given up without an answer after waited.
func (d *Send) Abandoned(waited time.Duration) {
	d.count(func(c, _ *Count) {
		c.addAbandoned(waited)
		d.countMissed(c, waited)
	})
}

// EventInterval counts a stream and the mean time between its events.
func (d *Send) EventInterval(gap time.Duration) {
	d.count(func(_, interval *Count) { interval.addGood(gap) })
}

// Event records an event of the answer.
func (d *Send) Event() {
	if d != nil {
		d.events.Add(1)
	}
}

// Closed counts the end of the send.
func (d *Send) Closed() {
	if d == nil {
		return
	}
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	if !d.old {
		delete(d.rollout.openNew, d)
		return
	}
	d.rollout.openOld--
	if !d.resumable {
		d.rollout.pinnedOld--
		d.rollout.longestPinned = max(d.rollout.longestPinned, d.service.clock.Since(d.started))
	}
}

// count updates the counts of the send's route and model, in all and in its cell.
func (d *Send) count(change func(c, interval *Count)) {
	if d == nil {
		return
	}
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	ro := d.rollout
	detail := ro.ownCells[d.cell]
	pair := ro.ownStats[d.key]
	firstByte, interval := pair.side(!d.old)
	var addedFirst, addedInterval Count
	change(&addedFirst, &addedInterval)
	firstByte.add(addedFirst)
	interval.add(addedInterval)
	detail.FirstByte.add(addedFirst)
	detail.Interval.add(addedInterval)
	ro.ownStats[d.key], ro.ownCells[d.cell] = pair, detail
}
