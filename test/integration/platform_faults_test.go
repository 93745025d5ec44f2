package integration

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

	"cassiapin/pkg/admin"
	"cassiapin/pkg/config"
	"cassiapin/pkg/publish"
	"cassiapin/pkg/result"
	"cassiapin/pkg/standin/objectapi"
	"cassiapin/pkg/workload"
)

// Guards against a booking that runs twice or is lost when the response of the
// object API to the write of the at-most-once record is lost.
func TestLostResponsesDuringBookings(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{seed: 1})
	var requests []workload.Request
	for i := range 60 {
		requests = append(requests, f.booking(i))
	}
	wait := f.sendAsync(spread(requests, 50*time.Millisecond)...)
	for range 10 {
		f.objects.SetFaults(objectapi.Faults{LoseAnswers: 4})
		time.Sleep(250 * time.Millisecond)
	}
	f.objects.SetFaults(objectapi.Faults{})
	f.checkAllAnswered(wait())
	if lost := f.objects.Counters().LostAnswers; lost < 10 {
		t.Errorf("only %d responses were lost, want at least 10", lost)
	}
	f.finish()
}

// bookingRefusalTimeout is the time limit for the rejection of a booking while
// the platform does not respond: one operation of the object API client and a
// margin for a busy machine.
const bookingRefusalTimeout = 8 * time.Second

// Guards against a platform outage that fails requests other than bookings,
// delays the mark of a failure domain beyond 3 s, or leaves bookings hanging or
// rejected with a wrong run state.
func TestPlatformUnavailable(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{seed: 2})
	for _, p := range f.running() {
		p.platform.blackhole(t)
	}
	domain := f.deployment.Domains[0].Name
	wait := f.startLoad(workload.Options{Seed: 2, Rate: 15, Duration: 9 * time.Second})
	time.Sleep(time.Second)
	f.mark(f.nodes[1], admin.MarkRequest{Domain: domain, State: config.MarkOut, Reason: "test"})
	out := outage{domain: domain, from: time.Now().Add(propagationLimit)}
	bookings := f.sendAsync(f.booking(1001), f.booking(1002), f.booking(1003))()
	for _, o := range bookings {
		if !refused(o) || o.Code != int(result.PlatformUnavailable) || o.Ended.Sub(o.Due) > bookingRefusalTimeout {
			t.Errorf("booking with the platform unavailable: %s", describe(o))
		}
	}
	time.Sleep(time.Until(out.from))
	before := f.receivedRequests(domain)
	outcomes := wait()
	if n := f.receivedRequests(domain) - before; n > 0 {
		t.Errorf("upstreams in %s received %d requests later than %s after it was marked out", domain, n, propagationLimit)
	}
	for _, o := range outcomes {
		isBooking := o.Request.Slot != ""
		if !isBooking && !o.Answered || isBooking && !refused(o) {
			t.Errorf("with the platform unavailable: %s", describe(o))
		}
	}
	out.until = time.Now()
	f.record.outages = append(f.record.outages, out)
	f.mark(f.nodes[2], admin.MarkRequest{Domain: domain, State: config.MarkIn})
	for _, p := range f.running() {
		p.platform.heal(t)
	}
	f.eventually(30*time.Second, "bookings are answered after the platform has recovered", func() bool {
		return f.sendAsync(f.booking(2000 + len(f.outcomes)))()[0].Answered
	})
	f.finish()
}

// exitConflict is the exit code of a publication that failed because another one
// was stored first.
const exitConflict = 4

// Guards against two operators who publish concurrently and overwrite each
// other, and against nodes that end up with different configurations.
func TestTwoOperatorsPublish(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{seed: 10})
	wait := f.startLoad(workload.Options{Seed: 10, Rate: 10, Duration: 6 * time.Second})
	// With this latency both operators read before either writes.
	operators := newLink(t, "operators", f.objectsURL)
	operators.addToxic(t, "latency", "downstream", attributes{"latency": 300})
	for round := range 3 {
		before, _, err := publish.Read(context.Background(), f.store)
		if err != nil {
			t.Fatal(err)
		}
		codes := f.publishConcurrently(operators, before.Number, round)
		if codes["anna"]+codes["bela"] != exitConflict || codes["anna"]*codes["bela"] != 0 {
			t.Fatalf("exit codes %v, want one 0 and one %d", codes, exitConflict)
		}
		after, _, err := publish.Read(context.Background(), f.store)
		if err != nil || after.Number != before.Number+1 || codes[after.Publisher] != 0 {
			t.Errorf("configuration %d of %s is stored after %d, exit codes %v (%v)",
				after.Number, after.Publisher, before.Number, codes, err)
		}
		published := time.Now()
		f.eventually(30*time.Second, "all nodes apply the stored configuration", func() bool {
			return f.allNodes(func(s admin.Status) bool { return s.Config == after.Number && s.ConfigHash == after.Hash })
		})
		if took := time.Since(published); took > propagationLimit {
			t.Errorf("all nodes applied configuration %d after %s, want at most %s", after.Number, took, propagationLimit)
		}
	}
	f.checkAllAnswered(wait())
	f.finish()
}

// allNodes reports whether a condition is true for every running node.
func (f *fleet) allNodes(condition func(admin.Status) bool) bool {
	for _, p := range f.running() {
		if s, ok := f.status(p); !ok || !condition(s) {
			return false
		}
	}
	return true
}

// publishConcurrently publishes different declarations, based on the same
// configuration, as two operators at once and returns their exit codes.
func (f *fleet) publishConcurrently(through *link, expect uint64, round int) map[string]int {
	codes := map[string]int{"anna": -1, "bela": -1}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i, operator := range []string{"anna", "bela"} {
		d := f.declarations
		d.Limits.ConcurrentRequests = 1000 + 10*round + i
		file := filepath.Join(f.t.TempDir(), operator+config.FileSuffix)
		out, err := os.Create(file)
		if err != nil {
			f.t.Fatal(err)
		}
		if err := toml.NewEncoder(out).Encode(d); err != nil {
			f.t.Fatal(err)
		}
		if err := out.Close(); err != nil {
			f.t.Fatal(err)
		}
		wait.Go(func() {
			cmd := exec.Command(binary, "publish", "--platform", through.url(), "--publisher", operator,
				"--expect", strconv.FormatUint(expect, 10), file)
			text, err := cmd.CombinedOutput()
			code := 0
			var exit *exec.ExitError
			if errors.As(err, &exit) {
				code = exit.ExitCode()
			}
			if code != 0 && code != exitConflict {
				f.t.Errorf("publish by %s: %v: %s", operator, err, text)
			}
			mu.Lock()
			defer mu.Unlock()
			codes[operator] = code
		})
	}
	wait.Wait()
	return codes
}
