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

// record collects data from the operator interface while a test runs.
type record struct {
	fleet *fleet

	mu sync.Mutex
	// events are the latest time lines by node id. The last one of a node that
	// has exited is kept.
	events        map[string][]timeline.Event
	dropped       uint64
	configNumbers map[string]uint64
	// reverts lists nodes whose configuration number decreased.
	reverts []string
	// outages are the periods in which a failure domain is marked out on every
	// node.
	outages []outage
	// withdrawn maps model versions to the time after which they must not
	// receive new attempts.
	withdrawn map[string]time.Time
}

type outage struct {
	domain      string
	from, until time.Time
}

func newRecord(f *fleet) *record {
	return &record{
		fleet: f, events: make(map[string][]timeline.Event), configNumbers: make(map[string]uint64),
		withdrawn: make(map[string]time.Time),
	}
}

// pollInterval is the time between two polls of a node.
const pollInterval = 250 * time.Millisecond

// pollUntilExit polls a node until its process has exited.
func (r *record) pollUntilExit(p *process) {
	for p.running() {
		r.poll(p)
		select {
		case <-p.done:
		case <-time.After(pollInterval):
		}
	}
}

// poll records the node's configuration number and time line.
func (r *record) poll(p *process) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	if s, err := r.fleet.operator.Status(ctx, p.adminURL); err == nil {
		r.setConfigNumber(s.Node, s.Config)
	}
	if t, err := r.fleet.operator.Timeline(ctx, p.adminURL, url.Values{}); err == nil {
		r.mu.Lock()
		r.events[t.Node] = t.Events
		r.dropped = max(r.dropped, t.Dropped)
		r.mu.Unlock()
	}
}

func (r *record) setConfigNumber(node string, n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n < r.configNumbers[node] {
		r.reverts = append(r.reverts, node)
	}
	r.configNumbers[node] = n
}

// merged returns the events of all nodes merged into one time line.
func (r *record) merged() []timeline.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sources [][]timeline.Event
	for _, events := range r.events {
		sources = append(sources, events)
	}
	return timeline.Merge(sources...)
}

// finish stops all nodes gracefully, so that they write their bills, and then
// checks the invariants.
func (f *fleet) finish() {
	f.t.Helper()
	nodes := f.running()
	for _, p := range nodes {
		f.record.poll(p)
	}
	var wait sync.WaitGroup
	for _, p := range nodes {
		wait.Go(func() { p.terminate(f.t) })
	}
	wait.Wait()
	if f.t.Failed() {
		f.t.Log("the test failed before the invariant checks")
	}
	f.checkAnswers()
	f.checkTimeline()
	f.checkCounters()
	f.checkBills()
	for _, node := range f.record.reverts {
		f.t.Errorf("configuration number of %s decreased", node)
	}
}

// anyEngine returns an engine that computes expected answers. All engines have
// the same seed and so give the same answers.
func (f *fleet) anyEngine() interface {
	Expected(body []byte, ref config.VersionRef, class string) (string, error)
} {
	return f.engines[f.deployment.Runners[0].Name]
}

// checkAnswers compares each answer with the one that the reported model version
// gives to the request, and checks that the organisation may use this version.
func (f *fleet) checkAnswers() {
	f.t.Helper()
	for _, o := range f.outcomes {
		if !o.Answered || o.Request.IsService() {
			continue
		}
		id, ok := standin.ParseAnswerID(o.Text)
		expected, err := f.anyEngine().Expected(o.Request.Body, id.Ref, id.Class)
		if !ok || err != nil || expected != o.Text || id.Ref != o.Version {
			f.t.Errorf("not the expected answer of %s to %s: %.80q (%v)", o.Version, describe(o), o.Text, err)
		}
		if !f.allowed(o.Request.Organisation, id.Ref) {
			f.t.Errorf("%s was answered by %s, which its organisation does not allow", describe(o), id.Ref)
		}
	}
}

func (f *fleet) allowed(organisation string, ref config.VersionRef) bool {
	for _, o := range f.declarations.Organisations {
		for _, a := range o.Allow {
			if o.Name == organisation && (a == ref.Model || a == ref.String()) {
				return true
			}
		}
	}
	return false
}

// checkTimeline checks every attempt in the time line against permissions,
// withdrawn versions and failure domains that are out.
func (f *fleet) checkTimeline() {
	f.t.Helper()
	attempts := 0
	for _, e := range f.record.merged() {
		if e.Kind != timeline.AttemptSent {
			continue
		}
		attempts++
		at := time.UnixMilli(e.Stamp.WallMS)
		ref := config.VersionRef{Model: e.Model, Version: e.Version}
		if e.Model != "" && !f.allowed(e.Organisation, ref) {
			f.t.Errorf("attempt %s of %s on %s, which the organisation may not use", e.AttemptID, e.Organisation, ref)
		}
		if from, ok := f.record.withdrawn[ref.String()]; ok && at.After(from) {
			f.t.Errorf("attempt %s on %s at %s, withdrawn since %s", e.AttemptID, ref, at, from)
		}
		for _, out := range f.record.outages {
			if e.Domain == out.domain && at.After(out.from) && at.Before(out.until) {
				f.t.Errorf("attempt %s in %s at %s, marked out on all nodes from %s to %s", e.AttemptID, e.Domain, at, out.from, out.until)
			}
		}
	}
	if attempts == 0 || f.record.dropped > 0 {
		f.t.Errorf("time line has %d attempts and dropped %d events, want attempts and no dropped events", attempts, f.record.dropped)
	}
}

// checkCounters compares the responses to callers with the counters of the
// stand-ins.
func (f *fleet) checkCounters() {
	f.t.Helper()
	executed := make(map[string]bool)
	for name, e := range f.engines {
		c := e.Counters()
		if c.ColdViolations > 0 {
			f.t.Errorf("runner %s received %d requests above its cold-start limit", name, c.ColdViolations)
		}
		for attempt, n := range c.Executed {
			request, _, _ := strings.Cut(attempt, "-")
			executed[request] = true
			if n > 1 {
				f.t.Errorf("attempt %s ran %d times", attempt, n)
			}
		}
	}
	slots := f.bookedSlots()
	for slot, n := range slots {
		if n > 1 {
			f.t.Errorf("slot %s was booked %d times", slot, n)
		}
	}
	for _, o := range f.outcomes {
		ran := executed[o.RequestID] || o.Request.Slot != "" && slots[o.Request.Slot] > 0
		if refused(o) && ran {
			f.t.Errorf("%s was rejected as not run but ran", describe(o))
		}
		if o.Answered && o.Request.Slot != "" && slots[o.Request.Slot] == 0 {
			f.t.Errorf("%s was answered but did not run", describe(o))
		}
	}
}

// bookedSlots returns how often each slot was booked.
func (f *fleet) bookedSlots() map[string]int {
	slots := make(map[string]int)
	for _, s := range f.services {
		for slot, n := range s.Counters().BySlot {
			slots[slot] += n
		}
	}
	return slots
}

// bills reads the bills in the object store, keyed by id.
func (f *fleet) bills() map[string]billing.Bill {
	f.t.Helper()
	bills := make(map[string]billing.Bill)
	stats, err := billing.Each(context.Background(), f.store, billing.Filter{}, func(b billing.Bill) { bills[b.ID] = b })
	if err != nil || stats.Malformed > 0 {
		f.t.Fatalf("read the bills: %v, %d malformed", err, stats.Malformed)
	}
	return bills
}

func billID(o bench.Outcome) string {
	return billing.ID(o.Request.Organisation, o.Request.IdempotencyKey, o.RequestID)
}

// checkBills checks that each answered request is billed once with the usage
// that the caller received, and that no rejected request is billed.
func (f *fleet) checkBills() {
	f.t.Helper()
	bills := f.bills()
	for _, o := range f.outcomes {
		bill, billed := bills[billID(o)]
		switch {
		case o.Answered && !billed:
			f.t.Errorf("%s is not billed", describe(o))
		case o.Answered && !o.Request.IsService() && bill.Usage.CompletionTokens != o.Usage.CompletionTokens:
			f.t.Errorf("%s is billed with %d tokens, the caller received %d", describe(o), bill.Usage.CompletionTokens, o.Usage.CompletionTokens)
		case refused(o) && billed:
			f.t.Errorf("%s is billed", describe(o))
		}
	}
	sum, err := billing.Reconcile(context.Background(), f.store, billing.Filter{})
	if err != nil {
		f.t.Fatal(err)
	}
	counted := 0
	for _, total := range sum.Organisations {
		counted += total.Bills
	}
	if counted != len(bills) {
		f.t.Errorf("reconciled total has %d bills, want %d", counted, len(bills))
	}
}

// logEvents logs the time-line events of one request.
func (f *fleet) logEvents(o bench.Outcome) {
	for _, e := range timeline.Select(f.record.merged(), timeline.Filter{Request: o.RequestID}) {
		f.t.Log(e)
	}
}
