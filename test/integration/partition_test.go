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

// shortLeaseTTL makes leases expire within a test.
const shortLeaseTTL = 3 * time.Second

// Guards against two owners of a shard that together exceed the limit of a
// runner in cold start: one owner is paused until its lease has expired and
// resumes with permits and a lease that it considers valid.
func TestPausedShardOwner(t *testing.T) {
	t.Parallel()
	const runner = "dakar-b-large-1"
	f := startFleet(t, options{seed: 6, leaseTTL: shortLeaseTTL, timeScale: slowTimeScale, change: func(d *config.Declarations) {
		// All requests for the model go to one runner.
		d.Upstreams = slices.DeleteFunc(d.Upstreams, func(u config.Upstream) bool {
			return u.Serves[0] == workload.Large && u.Name != runner
		})
	}})
	owner := f.ownerOf(runner)
	var requests []workload.Request
	for i := range 150 {
		requests = append(requests, f.chat("draft", "large", i, 40, i%2 == 0))
	}
	wait := f.sendAsync(spread(requests, 100*time.Millisecond)...)
	time.Sleep(time.Second)
	f.record.poll(owner)
	owner.signal(t, syscall.SIGSTOP)
	var successor *process
	f.eventually(30*time.Second, "another node owns the shard of the runner", func() bool {
		for _, p := range f.running() {
			if p != owner && f.owns(p, runner) {
				successor = p
			}
		}
		return successor != nil
	})
	f.engines[runner].ForceCold()
	// During the engine's grace period requests above its cold-start limit are not
	// counted as violations, because no node can know of the cold start yet.
	time.Sleep(engine.DefaultColdGrace + 500*time.Millisecond)
	if state := f.engines[runner].State(); state != engine.Cold {
		t.Errorf("the runner is %s before its paused owner resumes, want cold", state)
	}
	owner.signal(t, syscall.SIGCONT)
	answered := 0
	for _, o := range wait() {
		if o.Answered {
			answered++
			continue
		}
		t.Logf("%s", describe(o))
		f.logEvents(o)
		if !refused(o) || o.Code == int(result.NoRunner) {
			// The runner was available throughout and warm again long before the
			// deadline.
			t.Errorf("%s", describe(o))
		}
	}
	c := f.engines[runner].Counters()
	t.Logf("%d of %d requests answered, peak %d in cold start, %d refused in the grace period", answered, len(requests), c.MaxWhileCold, c.RefusedInGrace)
	if answered < len(requests)/5 || c.MaxWhileCold == 0 {
		t.Errorf("too few requests for the check: %d answered, peak %d in cold start", answered, c.MaxWhileCold)
	}
	// Either node may grant permits: the successor, or the paused owner, which
	// keeps part of its limit after its lease has expired and, as it ranks first,
	// owns the shard again some seconds after it resumes. Until then the successor
	// may have to wait for the permits of the paused owner to be released.
	granted := 0
	f.record.poll(successor)
	f.record.poll(owner)
	for _, e := range f.record.merged() {
		if e.Kind == timeline.PermitGranted && e.Upstream == runner && (e.Node == successor.id || e.Node == owner.id) {
			granted++
		}
	}
	if granted == 0 {
		t.Error("neither owner granted permits")
	}
	f.finish()
}

// owns reports whether the node has the lease of the runner's shard.
func (f *fleet) owns(p *process, runner string) bool {
	s, ok := f.status(p)
	for _, r := range s.Runners {
		if ok && r.Report.Upstream == runner && r.Owner == s.Node {
			return true
		}
	}
	return false
}

func (f *fleet) ownerOf(runner string) *process {
	f.t.Helper()
	for _, p := range f.running() {
		if f.owns(p, runner) {
			return p
		}
	}
	f.t.Fatalf("no node owns the shard of %s", runner)
	return nil
}

// Guards against nodes whose marks still differ after a partition between them
// has healed. The platform is unreachable for all nodes, so marks can only be
// exchanged between nodes.
func TestNodePartition(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{seed: 7, nodes: 6})
	for _, p := range f.running() {
		p.platform.blackhole(t)
	}
	left, right := f.nodes[:3], f.nodes[3:]
	f.relay.partition(right[0].index, right[1].index, right[2].index)
	wait := f.startLoad(workload.Options{Seed: 7, Rate: 10, Duration: 10 * time.Second})
	time.Sleep(time.Second)
	domain, version := f.deployment.Domains[2].Name, workload.Medium2
	f.mark(left[0], admin.MarkRequest{Domain: domain, State: config.MarkOut, Reason: "left"})
	f.mark(right[0], admin.MarkRequest{Domain: domain, State: config.MarkOut, Reason: "right"})
	f.mark(left[1], admin.MarkRequest{Version: version.String(), State: config.MarkWithdrawn})
	f.eventually(propagationLimit, "each side applies its own marks", func() bool {
		for _, p := range f.running() {
			s, ok := f.status(p)
			if !ok || !s.Marks.DomainOut(domain) || p.index < len(left) != s.Marks.Withdrawn(version) {
				return false
			}
		}
		return true
	})
	f.record.mu.Lock()
	f.record.outages = append(f.record.outages, outage{domain: domain, from: time.Now().Add(propagationLimit), until: time.Now().Add(time.Hour)})
	f.record.mu.Unlock()
	time.Sleep(3 * time.Second)
	f.relay.heal()
	f.eventually(40*time.Second, "all nodes have the same marks", func() bool {
		first, ok := f.status(f.nodes[0])
		return ok && first.Marks.Withdrawn(version) &&
			f.allNodes(func(s admin.Status) bool { return cmp.Equal(s.Marks, first.Marks) })
	})
	f.record.withdrawn[version.String()] = time.Now()
	f.eventually(40*time.Second, "all nodes are members of one fleet again", func() bool {
		return f.allNodes(func(s admin.Status) bool { return aliveAndReady(s) == len(f.nodes) && !s.Isolated })
	})
	for _, p := range f.running() {
		p.platform.heal(t)
	}
	for _, o := range wait() {
		if isBooking := o.Request.Slot != ""; !isBooking && !o.Answered || isBooking && !o.Answered && !refused(o) {
			t.Errorf("during the partition: %s", describe(o))
		}
	}
	f.finish()
}
