package integration

import (
	"context"
	"net/url"
	"strings"
	"sync"
	"time"

	"cassiapin/pkg/bench"
	"cassiapin/pkg/billing"
	"cassiapin/pkg/config"
	"cassiapin/pkg/standin"
	"cassiapin/pkg/timeline"
)

// record is what the operator interface tells while a test runs.
type record struct {
	world *world

	mu sync.Mutex
	// events are the latest time lines by node id; a node that has ended
	// leaves its last one.
	events  map[string][]timeline.Event
	dropped uint64
	numbers map[string]uint64
	// reverts lists nodes whose configuration number went back.
	reverts []string
	// outages are the times in which a failure domain is out for every node.
	outages []outage
	// withdrawn maps versions to the time from which they get nothing new.
	withdrawn map[string]time.Time
}

type outage struct {
	domain      string
	from, until time.Time
}

func newRecord(w *world) *record {
	return &record{
		world: w, events: make(map[string][]timeline.Event), numbers: make(map[string]uint64),
		withdrawn: make(map[string]time.Time),
	}
}

// followInterval is the time between two looks at a node.
const followInterval = 250 * time.Millisecond

// follow looks at a node until its process has ended.
func (r *record) follow(p *process) {
	for p.running() {
		r.look(p)
		select {
		case <-p.done:
		case <-time.After(followInterval):
		}
	}
}

// look notes the node's configuration number and time line.
func (r *record) look(p *process) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	if s, err := r.world.operator.Status(ctx, p.adminURL); err == nil {
		r.number(s.Node, s.Config)
	}
	if t, err := r.world.operator.Timeline(ctx, p.adminURL, url.Values{}); err == nil {
		r.mu.Lock()
		r.events[t.Node] = t.Events
		r.dropped = max(r.dropped, t.Dropped)
		r.mu.Unlock()
	}
}

func (r *record) number(node string, n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n < r.numbers[node] {
		r.reverts = append(r.reverts, node)
	}
	r.numbers[node] = n
}

// merged returns the events of all nodes in one order.
func (r *record) merged() []timeline.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sources [][]timeline.Event
	for _, events := range r.events {
		sources = append(sources, events)
	}
	return timeline.Merge(sources...)
}

// finish stops all nodes gracefully, so that they write their bills, and
// checks the invariants.
func (w *world) finish() {
	w.t.Helper()
	nodes := w.running()
	for _, p := range nodes {
		w.record.look(p)
	}
	var wait sync.WaitGroup
	for _, p := range nodes {
		wait.Go(func() { p.terminate(w.t) })
	}
	wait.Wait()
	if w.t.Failed() {
		w.t.Log("the checks follow a failure of the test itself")
	}
	w.checkAnswers()
	w.checkTimeline()
	w.checkCounters()
	w.checkBills()
	for _, node := range w.record.reverts {
		w.t.Errorf("the configuration number of %s went back", node)
	}
}

// anyEngine gives the expected answers; all engines have the same seed.
func (w *world) anyEngine() interface {
	Expected(body []byte, ref config.VersionRef, class string) (string, error)
} {
	return w.engines[w.deployment.Runners[0].Name]
}

// checkAnswers compares each answer with the one that its version gives to
// exactly this request.
func (w *world) checkAnswers() {
	w.t.Helper()
	for _, o := range w.outcomes {
		if !o.Answered || o.Request.IsService() {
			continue
		}
		id, ok := standin.ParseAnswerID(o.Text)
		expected, err := w.anyEngine().Expected(o.Request.Body, id.Ref, id.Class)
		if !ok || err != nil || expected != o.Text || id.Ref != o.Version {
			w.t.Errorf("not the whole answer of %s to %s: %.80q (%v)", o.Version, describe(o), o.Text, err)
		}
		if !w.allowed(o.Request.Organisation, id.Ref) {
			w.t.Errorf("%s was answered by %s, which its organisation does not allow", describe(o), id.Ref)
		}
	}
}

func (w *world) allowed(organisation string, ref config.VersionRef) bool {
	for _, o := range w.declarations.Organisations {
		for _, a := range o.Allow {
			if o.Name == organisation && (a == ref.Model || a == ref.String()) {
				return true
			}
		}
	}
	return false
}

// checkTimeline looks at every attempt that a node sent.
func (w *world) checkTimeline() {
	w.t.Helper()
	attempts := 0
	for _, e := range w.record.merged() {
		if e.Kind != timeline.AttemptSent {
			continue
		}
		attempts++
		at := time.UnixMilli(e.Stamp.WallMS)
		ref := config.VersionRef{Model: e.Model, Version: e.Version}
		if e.Model != "" && !w.allowed(e.Organisation, ref) {
			w.t.Errorf("attempt %s of %s on %s, which is not allowed", e.AttemptID, e.Organisation, ref)
		}
		if from, ok := w.record.withdrawn[ref.String()]; ok && at.After(from) {
			w.t.Errorf("attempt %s on %s at %s, withdrawn since %s", e.AttemptID, ref, at, from)
		}
		for _, out := range w.record.outages {
			if e.Domain == out.domain && at.After(out.from) && at.Before(out.until) {
				w.t.Errorf("attempt %s in %s at %s, out for all from %s to %s", e.AttemptID, e.Domain, at, out.from, out.until)
			}
		}
	}
	if attempts == 0 || w.record.dropped > 0 {
		w.t.Errorf("the time line has %d attempts and dropped %d events; the checks need all", attempts, w.record.dropped)
	}
}

// checkCounters compares what callers were told with what the stand-ins
// counted.
func (w *world) checkCounters() {
	w.t.Helper()
	executed := make(map[string]bool)
	for name, e := range w.engines {
		c := e.Counters()
		if c.ColdViolations > 0 {
			w.t.Errorf("runner %s got %d requests above its cold limit", name, c.ColdViolations)
		}
		for attempt, n := range c.Executed {
			request, _, _ := strings.Cut(attempt, "-")
			executed[request] = true
			if n > 1 {
				w.t.Errorf("attempt %s ran %d times", attempt, n)
			}
		}
	}
	slots := w.bookedSlots()
	for slot, n := range slots {
		if n > 1 {
			w.t.Errorf("slot %s was booked %d times", slot, n)
		}
	}
	for _, o := range w.outcomes {
		ran := executed[o.RequestID] || o.Request.Slot != "" && slots[o.Request.Slot] > 0
		if refused(o) && ran {
			w.t.Errorf("%s ran", describe(o))
		}
		if o.Answered && o.Request.Slot != "" && slots[o.Request.Slot] == 0 {
			w.t.Errorf("%s did not run", describe(o))
		}
	}
}

// bookedSlots returns how often each slot was booked.
func (w *world) bookedSlots() map[string]int {
	slots := make(map[string]int)
	for _, s := range w.services {
		for slot, n := range s.Counters().BySlot {
			slots[slot] += n
		}
	}
	return slots
}

// bills returns the bills in the object store by id.
func (w *world) bills() map[string]billing.Bill {
	w.t.Helper()
	bills := make(map[string]billing.Bill)
	stats, err := billing.Each(context.Background(), w.store, billing.Filter{}, func(b billing.Bill) { bills[b.ID] = b })
	if err != nil || stats.Malformed > 0 {
		w.t.Fatalf("read the bills: %v, %d malformed", err, stats.Malformed)
	}
	return bills
}

func billID(o bench.Outcome) string {
	return billing.ID(o.Request.Organisation, o.Request.IdempotencyKey, o.RequestID)
}

// checkBills checks that each answered request is counted once with what the
// caller got, and that no refused one is.
func (w *world) checkBills() {
	w.t.Helper()
	bills := w.bills()
	for _, o := range w.outcomes {
		bill, billed := bills[billID(o)]
		switch {
		case o.Answered && !billed:
			w.t.Errorf("%s is not billed", describe(o))
		case o.Answered && !o.Request.IsService() && bill.Usage.CompletionTokens != o.Usage.CompletionTokens:
			w.t.Errorf("%s is billed with %d tokens, the caller got %d", describe(o), bill.Usage.CompletionTokens, o.Usage.CompletionTokens)
		case refused(o) && billed:
			w.t.Errorf("%s is billed", describe(o))
		}
	}
	sum, err := billing.Reconcile(context.Background(), w.store, billing.Filter{})
	if err != nil {
		w.t.Fatal(err)
	}
	counted := 0
	for _, total := range sum.Organisations {
		counted += total.Bills
	}
	if counted != len(bills) {
		w.t.Errorf("the reconciled total has %d bills, %d ids exist", counted, len(bills))
	}
}

// explain logs the events of one request.
func (w *world) explain(o bench.Outcome) {
	for _, e := range timeline.Select(w.record.merged(), timeline.Filter{Request: o.RequestID}) {
		w.t.Log(e)
	}
}
