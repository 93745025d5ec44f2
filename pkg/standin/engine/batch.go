package engine

import (
	"container/heap"
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// maxColdFactor bounds how much violations can lengthen a cold start.
const maxColdFactor = 4

// violationFactor is the factor by which one violation lengthens the cold start.
const violationFactor = 1.5

var (
	errOverloaded      = errors.New("engine overloaded: all jobs aborted")
	errStreamTakenOver = errors.New("stream resumed on another connection")
)

// coldStart is the progress of a cold start.
type coldStart struct {
	warm      bool
	startedAt time.Time
	served    int
	factor    float64
	// generation counts cold starts; jobs of earlier generations do not count
	// against the concurrency limit.
	generation int
	// graceUntil is the time from which requests above the limit count as
	// violations; all requests are refused until downUntil.
	graceUntil time.Time
	downUntil  time.Time
}

func (c *coldStart) begin(now time.Time, factor float64) {
	c.warm, c.startedAt, c.served, c.factor = false, now, 0, factor
}

// startCold begins an unannounced cold start. The caller must hold the lock.
func (e *Engine) startCold(now time.Time, factor float64) {
	e.cold.begin(now, factor)
	e.cold.generation++
	e.cold.graceUntil = now.Add(e.options.ColdGrace)
	e.batch.generationOpen = 0
}

// progress returns the progress of the cold start in [0,1].
func (e *Engine) progress(now time.Time) float64 {
	c := &e.cold
	if c.warm {
		return 1
	}
	elapsed := max(now.Sub(c.startedAt), 0).Seconds()
	byTime := elapsed / (e.scaled(e.options.ColdTime).Seconds() * c.factor)
	byWork := min(float64(c.served)/float64(e.options.WarmRequests), 1)
	p := min(byTime/4+byWork*3/4, 1)
	c.warm = p >= 1
	return p
}

// state returns Cold for the first half of the cold start, then Warming, and
// Warm at its end.
func (e *Engine) state(now time.Time) State {
	switch p := e.progress(now); {
	case p >= 1:
		return Warm
	case p >= 0.5:
		return Warming
	}
	return Cold
}

// concurrencyLimit returns the number of concurrent requests that the engine
// accepts. It grows from ColdLimit to Capacity while the engine is warming. A
// warm engine also accepts QueueLimit waiting requests.
func (e *Engine) concurrencyLimit(now time.Time) int {
	p := e.progress(now)
	if p >= 1 {
		return e.options.Capacity + e.options.QueueLimit
	}
	grown := max(2*p-1, 0) * float64(e.options.Capacity-e.options.ColdLimit)
	return e.options.ColdLimit + int(grown)
}

// job is one admitted request.
type job struct {
	priority   int
	sequence   uint64
	generation int
	running    bool
	// ready is closed when the job gets a slot.
	ready  chan struct{}
	cancel context.CancelCauseFunc
}

// batch is the set of admitted jobs; waiting is a heap by priority, then by
// arrival.
type batch struct {
	waiting  []*job
	running  map[*job]struct{}
	sequence uint64
	// generationOpen counts open jobs of the current cold-start generation.
	generationOpen int
}

func (b *batch) Len() int { return len(b.waiting) }
func (b *batch) Less(i, j int) bool {
	x, y := b.waiting[i], b.waiting[j]
	if x.priority != y.priority {
		return x.priority > y.priority
	}
	return x.sequence < y.sequence
}
func (b *batch) Swap(i, j int) { b.waiting[i], b.waiting[j] = b.waiting[j], b.waiting[i] }
func (b *batch) Push(x any)    { b.waiting = append(b.waiting, x.(*job)) }
func (b *batch) Pop() any {
	last := len(b.waiting) - 1
	j := b.waiting[last]
	b.waiting = b.waiting[:last]
	return j
}

func (b *batch) remove(j *job) {
	for i, w := range b.waiting {
		if w == j {
			heap.Remove(b, i)
			return
		}
	}
}

// admit queues a request or refuses it; a refused request has not run.
func (e *Engine) admit(priority int, cancel context.CancelCauseFunc) (*job, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Clock.Now()
	if now.Before(e.cold.downUntil) || !e.checkColdLimit(now) {
		e.counters.Refused++
		return nil, false
	}
	if len(e.batch.waiting) >= e.options.QueueLimit {
		e.crash(now)
		e.counters.Refused++
		return nil, false
	}
	e.batch.sequence++
	j := &job{
		priority: priority, sequence: e.batch.sequence, cancel: cancel,
		generation: e.cold.generation, ready: make(chan struct{}),
	}
	heap.Push(&e.batch, j)
	e.batch.generationOpen++
	if e.state(now) == Cold {
		e.counters.MaxWhileCold = max(e.counters.MaxWhileCold, e.batch.generationOpen)
	}
	e.schedule()
	e.counters.MaxQueued = max(e.counters.MaxQueued, len(e.batch.waiting))
	e.recordReport(now)
	return j, true
}

// checkColdLimit reports whether the concurrency limit allows another request,
// and counts violations. A violation restarts the cold start and lengthens it.
func (e *Engine) checkColdLimit(now time.Time) bool {
	if e.progress(now) >= 1 || e.batch.generationOpen < e.concurrencyLimit(now) {
		return true
	}
	if now.Before(e.cold.graceUntil) {
		e.counters.RefusedInGrace++
		return false
	}
	e.counters.ColdViolations++
	e.cold.begin(now, min(e.cold.factor*violationFactor, maxColdFactor))
	return false
}

// crashByPrompt crashes the engine because of what it was asked. Nothing of its
// streams is left.
func (e *Engine) crashByPrompt() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Clock.Now()
	if now.Before(e.cold.downUntil) {
		return // It is down already.
	}
	e.counters.PromptCrashes++
	e.abort(now)
	clear(e.streams.byAttempt)
}

// crash aborts every job because of an overload.
func (e *Engine) crash(now time.Time) {
	e.counters.Overloads++
	e.abort(now)
}

// abort ends every job; a cold start begins after OverloadDowntime.
func (e *Engine) abort(now time.Time) {
	e.counters.Refused += int64(len(e.batch.waiting))
	for _, j := range e.batch.waiting {
		j.cancel(errOverloaded)
	}
	e.batch.waiting = nil // otherwise a finishing job would pass its slot to an aborted one
	for j := range e.batch.running {
		j.cancel(errOverloaded)
	}
	e.cold.downUntil = now.Add(e.scaled(e.options.OverloadDowntime))
	e.startCold(e.cold.downUntil, 1)
	e.cache.clear(now, e.dropEvent)
}

// schedule assigns free slots to waiting jobs. The caller must hold the lock.
func (e *Engine) schedule() {
	if e.batch.running == nil {
		e.batch.running = make(map[*job]struct{})
	}
	for len(e.batch.running) < e.options.Capacity && len(e.batch.waiting) > 0 {
		j := heap.Pop(&e.batch).(*job)
		j.running = true
		e.batch.running[j] = struct{}{}
		close(j.ready)
	}
	e.counters.MaxRunning = max(e.counters.MaxRunning, len(e.batch.running))
}

// release removes a job. served reports whether its answer was completed.
func (e *Engine) release(j *job, served bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.running {
		delete(e.batch.running, j)
	} else {
		e.batch.remove(j)
	}
	if j.generation == e.cold.generation {
		e.batch.generationOpen--
		if served {
			e.cold.served++
		}
	}
	e.schedule()
	e.recordReport(e.options.Clock.Now())
}

// slowdown returns the factor applied to durations at the current load and
// state.
func (e *Engine) slowdown(speed float64) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := float64(len(e.batch.running)) / float64(e.options.Capacity)
	p := e.options.TimeScale * (1 + e.options.LoadSlowdown*load) / speed
	if e.progress(e.options.Clock.Now()) < 1 {
		p *= e.options.ColdSlowdown
	}
	return p
}
