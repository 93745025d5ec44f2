package admission

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"cassiapin/pkg/result"
)

const (
	// priorityLevels is the number of priorities.
	priorityLevels = 10
	// reserveShare is the share of the concurrency that the lowest priority
	// leaves free while requests of higher priorities arrive.
	reserveShare = 0.1
	// reserveWindow is how long capacity stays reserved for a priority after an
	// arrival.
	reserveWindow = 60 * time.Second
	// lowPriorityInterval prevents starvation: one in this many requests is
	// taken from the lowest waiting priority.
	lowPriorityInterval = 10
	// serviceTimeWeight is the EWMA weight of one request in the mean service
	// time.
	serviceTimeWeight = 0.05
	// minRetryAfter keeps refused callers from retrying immediately.
	minRetryAfter = 100 * time.Millisecond
	// defaultServiceTime is used until a service time has been measured.
	defaultServiceTime = time.Second
)

// waiter is a queued request. ready receives nil when the request may start, or
// its refusal.
type waiter struct {
	request  Request
	level    int
	enqueued time.Time
	started  time.Time
	ready    chan error
	index    int
	queue    *organisationQueue
}

// organisationQueue is a heap of the waiting requests of one organisation and
// priority, earliest deadline first.
type organisationQueue struct {
	name        string
	weight      float64
	virtualTime float64
	waiting     []*waiter
}

func (q *organisationQueue) Len() int { return len(q.waiting) }
func (q *organisationQueue) Less(i, j int) bool {
	a, b := q.waiting[i], q.waiting[j]
	if !a.request.Deadline.Equal(b.request.Deadline) {
		return a.request.Deadline.Before(b.request.Deadline)
	}
	return a.enqueued.Before(b.enqueued)
}
func (q *organisationQueue) Swap(i, j int) {
	q.waiting[i], q.waiting[j] = q.waiting[j], q.waiting[i]
	q.waiting[i].index, q.waiting[j].index = i, j
}
func (q *organisationQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(q.waiting)
	q.waiting = append(q.waiting, w)
}
func (q *organisationQueue) Pop() any {
	last := len(q.waiting) - 1
	w := q.waiting[last]
	q.waiting[last] = nil
	q.waiting = q.waiting[:last]
	w.index = -1
	return w
}

// priorityLevel contains the queues of one priority. virtualTime is the virtual
// time of start-time fair queueing between the organisations.
type priorityLevel struct {
	queues      map[string]*organisationQueue
	waiting     int
	virtualTime float64
	lastArrival time.Time
}

// scheduler orders requests by priority, fair queueing between organisations and
// deadline. It is not safe for concurrent use and reads no clock.
type scheduler struct {
	concurrency int
	queueLimit  int
	totalLimit  int

	levels     [priorityLevels]priorityLevel
	inFlight   int
	waiting    int
	dispatched int
	// meanServiceSeconds is an EWMA of the time that a request is in flight.
	meanServiceSeconds float64
}

func newScheduler(concurrency, queueLimit, totalLimit int) *scheduler {
	s := &scheduler{concurrency: concurrency, queueLimit: queueLimit, totalLimit: totalLimit}
	for i := range s.levels {
		s.levels[i].queues = make(map[string]*organisationQueue)
	}
	return s
}

// capacity returns the concurrency limit for requests of the given priority.
func (s *scheduler) capacity(priority int, now time.Time) int {
	for higher := priority + 1; higher < priorityLevels; higher++ {
		lastArrival := s.levels[higher].lastArrival
		if lastArrival.IsZero() || now.Sub(lastArrival) > reserveWindow {
			continue
		}
		reserveFactor := float64(priorityLevels-1-priority) / float64(priorityLevels-1)
		reserve := int(math.Ceil(reserveShare * reserveFactor * float64(s.concurrency)))
		return max(1, s.concurrency-reserve)
	}
	return max(1, s.concurrency)
}

// enqueue queues a request and starts the requests that may start. It refuses a
// request if a limit is reached or its deadline cannot be met.
func (s *scheduler) enqueue(r Request, now time.Time) (*waiter, *result.Error) {
	priority := min(priorityLevels-1, max(0, r.Priority))
	l := &s.levels[priority]
	l.lastArrival = now
	q := l.queues[r.Organisation]
	if q == nil {
		q = &organisationQueue{name: r.Organisation}
	}
	q.weight = r.Weight
	if q.weight <= 0 {
		q.weight = 1
	}
	wait := s.estimateWait(l, q, priority, r.Deadline, now)
	lateness := wait + r.Expected - r.Deadline.Sub(now)
	switch {
	case s.inFlight+s.waiting >= s.totalLimit:
		return nil, result.New(result.TooManyRequests, "the node's concurrency limit is reached").
			WithRetryAfter(max(minRetryAfter, wait))
	case q.Len() >= s.queueLimit:
		return nil, result.New(result.QueueFull, "the queue of organisation %s is full", r.Organisation).
			WithRetryAfter(max(minRetryAfter, wait))
	case lateness > 0:
		return nil, deadlineUnmeetable().WithRetryAfter(max(minRetryAfter, lateness))
	}
	w := &waiter{request: r, level: priority, enqueued: now, ready: make(chan error, 1), queue: q}
	if q.Len() == 0 {
		// A queue accumulates no credit while it is empty.
		q.virtualTime = max(q.virtualTime, l.virtualTime)
		l.queues[r.Organisation] = q
	}
	heap.Push(q, w)
	l.waiting++
	s.waiting++
	s.dispatch(now)
	return w, nil
}

func deadlineUnmeetable() *result.Error {
	return result.New(result.DeadlineUnmeetable, "the request cannot be answered before its deadline")
}

// estimateWait estimates how long a new request waits, from the number of
// requests that start before it and the rate at which requests finish.
func (s *scheduler) estimateWait(l *priorityLevel, q *organisationQueue, priority int, deadline, now time.Time) time.Duration {
	capacity := s.capacity(priority, now)
	higher := 0
	for p := priority + 1; p < priorityLevels; p++ {
		higher += s.levels[p].waiting
	}
	own := 0
	for _, w := range q.waiting {
		if !w.request.Deadline.After(deadline) {
			own++
		}
	}
	if higher+own == 0 && s.inFlight < capacity {
		return 0
	}
	weights := q.weight
	for _, other := range l.queues {
		if other != q {
			weights += other.weight
		}
	}
	ahead := float64(higher) + min(float64(l.waiting), float64(own)*weights/q.weight)
	service := s.meanServiceSeconds
	if service == 0 {
		service = defaultServiceTime.Seconds()
	}
	// One in lowPriorityInterval requests is taken from lower priorities.
	seconds := (ahead + 1) * service / float64(capacity) * lowPriorityInterval / (lowPriorityInterval - 1)
	return time.Duration(seconds * float64(time.Second))
}

// dispatch starts requests while there is capacity and refuses those whose
// deadline can no longer be met.
func (s *scheduler) dispatch(now time.Time) {
	for {
		w := s.next(now)
		if w == nil {
			return
		}
		s.remove(w)
		if w.request.Deadline.Sub(now) < w.request.Expected {
			w.ready <- deadlineUnmeetable().WithRetryAfter(minRetryAfter)
			continue
		}
		cost := max(w.request.Expected.Seconds(), time.Millisecond.Seconds())
		l := &s.levels[w.level]
		l.virtualTime = max(l.virtualTime, w.queue.virtualTime)
		w.queue.virtualTime += cost / w.queue.weight
		s.dispatched++
		s.inFlight++
		w.started = now
		w.ready <- nil
	}
}

// next returns the request to start next, nil if none may start.
func (s *scheduler) next(now time.Time) *waiter {
	lowestFirst := s.dispatched%lowPriorityInterval == lowPriorityInterval-1
	for i := range priorityLevels {
		priority := priorityLevels - 1 - i
		if lowestFirst {
			priority = i
		}
		l := &s.levels[priority]
		if l.waiting > 0 && s.inFlight < s.capacity(priority, now) {
			return l.next()
		}
	}
	return nil
}

// next returns the head of the non-empty queue with the lowest virtual time.
func (l *priorityLevel) next() *waiter {
	var best *organisationQueue
	for _, q := range l.queues {
		if q.Len() == 0 {
			continue
		}
		if best == nil || q.virtualTime < best.virtualTime || q.virtualTime == best.virtualTime && q.name < best.name {
			best = q
		}
	}
	return best.waiting[0]
}

// remove removes a waiting request from its queue.
func (s *scheduler) remove(w *waiter) {
	l := &s.levels[w.level]
	heap.Remove(w.queue, w.index)
	l.waiting--
	s.waiting--
	l.evictIdleQueues()
}

// maxIdleQueues bounds the memory for organisations without waiting requests.
const maxIdleQueues = 64

// evictIdleQueues removes empty queues. Up to maxIdleQueues queues are kept while
// their virtual time is ahead of the level's; beyond that, the empty queues with
// the lowest virtual times are removed.
func (l *priorityLevel) evictIdleQueues() {
	if len(l.queues) <= maxIdleQueues {
		for name, q := range l.queues {
			if q.Len() == 0 && q.virtualTime <= l.virtualTime {
				delete(l.queues, name)
			}
		}
		return
	}
	var idle []*organisationQueue
	for _, q := range l.queues {
		if q.Len() == 0 {
			idle = append(idle, q)
		}
	}
	slices.SortFunc(idle, func(a, b *organisationQueue) int {
		return cmp.Or(cmp.Compare(a.virtualTime, b.virtualTime), cmp.Compare(a.name, b.name))
	})
	for _, q := range idle[:min(len(idle), len(l.queues)-maxIdleQueues)] {
		delete(l.queues, q.name)
	}
}

// cancel removes a waiting request. It returns false if the request has started
// or was refused.
func (s *scheduler) cancel(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	s.remove(w)
	return true
}

// finish releases the slot of a request in flight and updates the mean service
// time.
func (s *scheduler) finish(w *waiter, now time.Time) {
	s.inFlight--
	serviceSeconds := now.Sub(w.started).Seconds()
	if s.meanServiceSeconds == 0 {
		s.meanServiceSeconds = serviceSeconds
	}
	s.meanServiceSeconds += serviceTimeWeight * (serviceSeconds - s.meanServiceSeconds)
	s.dispatch(now)
}

// setConcurrency changes the concurrency limit.
func (s *scheduler) setConcurrency(n int, now time.Time) {
	s.concurrency = max(1, n)
	s.dispatch(now)
}
