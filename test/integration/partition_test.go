package integration

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cassiapin/pkg/admin"
	"cassiapin/pkg/config"
	"cassiapin/pkg/result"
	"cassiapin/pkg/standin/engine"
	"cassiapin/pkg/timeline"
	"cassiapin/pkg/workload"
)

// shortLease lets leases lapse within a test.
const shortLease = 3 * time.Second

// Guards against two owners of a shard that together feed a runner in cold
// start with more than it bears: one is paused past its lease, and resumes with
// permits and a lease that it takes for valid.
func TestPausedShardOwner(t *testing.T) {
	t.Parallel()
	const runner = "dakar-b-large-1"
	w := startWorld(t, options{seed: 6, leaseTTL: shortLease, timeScale: slowEngines, change: func(d *config.Declarations) {
		// All requests for the model go to one runner.
		d.Upstreams = slices.DeleteFunc(d.Upstreams, func(u config.Upstream) bool {
			return u.Serves[0] == workload.Large && u.Name != runner
		})
	}})
	owner := w.ownerOf(runner)
	var requests []workload.Request
	for i := range 150 {
		requests = append(requests, w.chat("draft", "large", i, 40, i%2 == 0))
	}
	wait := w.send(spread(requests, 100*time.Millisecond)...)
	time.Sleep(time.Second)
	w.record.look(owner)
	owner.signal(t, syscall.SIGSTOP)
	var successor *process
	w.eventually(30*time.Second, "another node owns the shard", func() bool {
		for _, p := range w.running() {
			if p != owner && w.owns(p, runner) {
				successor = p
			}
		}
		return successor != nil
	})
	w.engines[runner].ForceCold()
	// Until the engine's grace has passed nobody can know that it is cold.
	time.Sleep(engine.DefaultColdGrace + 500*time.Millisecond)
	if state := w.engines[runner].State(); state != engine.Cold {
		t.Errorf("the runner is %s before its old owner wakes", state)
	}
	owner.signal(t, syscall.SIGCONT)
	answered := 0
	for _, o := range wait() {
		if o.Answered {
			answered++
			continue
		}
		t.Logf("%s", describe(o))
		w.explain(o)
		if !refused(o) || o.Code == int(result.NoRunner) {
			// The runner was there all the time, and warm again long before the
			// deadline.
			t.Errorf("%s", describe(o))
		}
	}
	c := w.engines[runner].Counters()
	t.Logf("%d of %d requests answered, peak %d in cold start, %d unwarned", answered, len(requests), c.MaxWhileCold, c.RefusedInGrace)
	if answered < len(requests)/5 || c.MaxWhileCold == 0 {
		t.Errorf("too few requests to tell: %d answered, peak %d in cold start", answered, c.MaxWhileCold)
	}
	// Either of the two grants: the successor, or the paused owner, which has a
	// part of its bound after its lease lapsed and, as the first in rank, owns the
	// shard again some seconds after it woke. The successor may have to wait for
	// the permits of the paused owner until then.
	granted := 0
	w.record.look(successor)
	w.record.look(owner)
	for _, e := range w.record.merged() {
		if e.Kind == timeline.PermitGranted && e.Upstream == runner && (e.Node == successor.id || e.Node == owner.id) {
			granted++
		}
	}
	if granted == 0 {
		t.Error("neither owner granted permits")
	}
	w.finish()
}

// owns reports whether the node holds the lease of the runner's shard.
func (w *world) owns(p *process, runner string) bool {
	s, ok := w.status(p)
	for _, r := range s.Runners {
		if ok && r.Report.Upstream == runner && r.Owner == s.Node {
			return true
		}
	}
	return false
}

func (w *world) ownerOf(runner string) *process {
	w.t.Helper()
	for _, p := range w.running() {
		if w.owns(p, runner) {
			return p
		}
	}
	w.t.Fatalf("no node owns the shard of %s", runner)
	return nil
}

// Guards against a partition after which the sides keep different marks. The
// platform is away for all, so only the nodes can bring the marks across.
func TestPartitionOfNodes(t *testing.T) {
	t.Parallel()
	w := startWorld(t, options{seed: 7, nodes: 6})
	for _, p := range w.running() {
		p.platform.silence(t)
	}
	left, right := w.nodes[:3], w.nodes[3:]
	w.relay.partition(right[0].index, right[1].index, right[2].index)
	wait := w.background(workload.Options{Seed: 7, Rate: 10, Duration: 10 * time.Second})
	time.Sleep(time.Second)
	domain, version := w.deployment.Domains[2].Name, workload.Medium2
	w.mark(left[0], admin.MarkRequest{Domain: domain, State: config.MarkOut, Reason: "left"})
	w.mark(right[0], admin.MarkRequest{Domain: domain, State: config.MarkOut, Reason: "right"})
	w.mark(left[1], admin.MarkRequest{Version: version.String(), State: config.MarkWithdrawn})
	w.eventually(inForce, "each side has its marks in force", func() bool {
		for _, p := range w.running() {
			s, ok := w.status(p)
			if !ok || !s.Marks.DomainOut(domain) || p.index < len(left) != s.Marks.Withdrawn(version) {
				return false
			}
		}
		return true
	})
	w.record.mu.Lock()
	w.record.outages = append(w.record.outages, outage{domain: domain, from: time.Now().Add(inForce), until: time.Now().Add(time.Hour)})
	w.record.mu.Unlock()
	time.Sleep(3 * time.Second)
	w.relay.heal()
	w.eventually(40*time.Second, "all nodes have the same marks", func() bool {
		first, ok := w.status(w.nodes[0])
		return ok && first.Marks.Withdrawn(version) &&
			w.everywhere(func(s admin.Status) bool { return cmp.Equal(s.Marks, first.Marks) })
	})
	w.record.withdrawn[version.String()] = time.Now()
	w.eventually(40*time.Second, "all nodes see each other again", func() bool {
		return w.everywhere(func(s admin.Status) bool { return aliveAndReady(s) == len(w.nodes) && !s.Isolated })
	})
	for _, p := range w.running() {
		p.platform.heal(t)
	}
	for _, o := range wait() {
		if isBooking := o.Request.Slot != ""; !isBooking && !o.Answered || isBooking && !o.Answered && !refused(o) {
			t.Errorf("during the partition: %s", describe(o))
		}
	}
	w.finish()
}
