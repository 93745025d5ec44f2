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

// Guards against a booking that runs twice or is lost when the object API
// loses its answer after the write of the at-most-once record.
func TestLostAnswersDuringBookings(t *testing.T) {
	t.Parallel()
	w := startWorld(t, options{seed: 1})
	var requests []workload.Request
	for i := range 60 {
		requests = append(requests, w.booking(i))
	}
	wait := w.send(spread(requests, 50*time.Millisecond)...)
	for range 10 {
		w.objects.SetFaults(objectapi.Faults{LoseAnswers: 4})
		time.Sleep(250 * time.Millisecond)
	}
	w.objects.SetFaults(objectapi.Faults{})
	w.allAnswered(wait())
	if lost := w.objects.Counters().LostAnswers; lost < 10 {
		t.Errorf("only %d answers were lost", lost)
	}
	w.finish()
}

// bookingRefusal bounds the refusal of a booking while the platform hangs: one
// operation of the object API's client and a margin for a busy machine.
const bookingRefusal = 8 * time.Second

// Guards against a platform outage that stops answers, delays the mark of a
// failure domain beyond 3 s, or leaves bookings hanging or without a truthful
// refusal.
func TestPlatformAway(t *testing.T) {
	t.Parallel()
	w := startWorld(t, options{seed: 2})
	for _, p := range w.running() {
		p.platform.silence(t)
	}
	domain := w.deployment.Domains[0].Name
	wait := w.background(workload.Options{Seed: 2, Rate: 15, Duration: 9 * time.Second})
	time.Sleep(time.Second)
	w.mark(w.nodes[1], admin.MarkRequest{Domain: domain, State: config.MarkOut, Reason: "test"})
	out := outage{domain: domain, from: time.Now().Add(inForce)}
	bookings := w.send(w.booking(1001), w.booking(1002), w.booking(1003))()
	for _, o := range bookings {
		if !refused(o) || o.Code != int(result.PlatformUnavailable) || o.Ended.Sub(o.Due) > bookingRefusal {
			t.Errorf("booking with the platform away: %s", describe(o))
		}
	}
	time.Sleep(time.Until(out.from))
	before := w.received(domain)
	outcomes := wait()
	if n := w.received(domain) - before; n > 0 {
		t.Errorf("the upstreams in %s received %d requests later than %s after it was out", domain, n, inForce)
	}
	for _, o := range outcomes {
		isBooking := o.Request.Slot != ""
		if !isBooking && !o.Answered || isBooking && !refused(o) {
			t.Errorf("with the platform away: %s", describe(o))
		}
	}
	out.until = time.Now()
	w.record.outages = append(w.record.outages, out)
	w.mark(w.nodes[2], admin.MarkRequest{Domain: domain, State: config.MarkIn})
	for _, p := range w.running() {
		p.platform.heal(t)
	}
	w.eventually(30*time.Second, "bookings are taken when the platform is back", func() bool {
		return w.send(w.booking(2000 + len(w.outcomes)))()[0].Answered
	})
	w.finish()
}

// exitConflict is the exit code of a publication that lost a race.
const exitConflict = 4

// Guards against two operators who publish at the same moment and overwrite
// each other, and against nodes that end with different configurations.
func TestTwoOperatorsPublish(t *testing.T) {
	t.Parallel()
	w := startWorld(t, options{seed: 10})
	wait := w.background(workload.Options{Seed: 10, Rate: 10, Duration: 6 * time.Second})
	// With this latency both operators read before either writes.
	operators := newLink(t, "operators", w.objectsURL)
	operators.toxic(t, "latency", "downstream", attributes{"latency": 300})
	for round := range 3 {
		before, _, err := publish.Read(context.Background(), w.store)
		if err != nil {
			t.Fatal(err)
		}
		codes := w.race(operators, before.Number, round)
		if codes["anna"]+codes["bela"] != exitConflict || codes["anna"]*codes["bela"] != 0 {
			t.Fatalf("exit codes %v, want one 0 and one %d", codes, exitConflict)
		}
		after, _, err := publish.Read(context.Background(), w.store)
		if err != nil || after.Number != before.Number+1 || codes[after.Publisher] != 0 {
			t.Errorf("configuration %d of %s is stored after %d, exit codes %v (%v)",
				after.Number, after.Publisher, before.Number, codes, err)
		}
		published := time.Now()
		w.eventually(30*time.Second, "the winner's configuration is in force everywhere", func() bool {
			return w.everywhere(func(s admin.Status) bool { return s.Config == after.Number && s.ConfigHash == after.Hash })
		})
		if took := time.Since(published); took > inForce {
			t.Errorf("configuration %d was in force everywhere after %s, want %s", after.Number, took, inForce)
		}
	}
	w.allAnswered(wait())
	w.finish()
}

// everywhere reports whether a condition holds at every running node.
func (w *world) everywhere(condition func(admin.Status) bool) bool {
	for _, p := range w.running() {
		if s, ok := w.status(p); !ok || !condition(s) {
			return false
		}
	}
	return true
}

// race lets two operators publish different declarations that are based on the
// same configuration; it returns their exit codes.
func (w *world) race(through *link, expect uint64, round int) map[string]int {
	codes := map[string]int{"anna": -1, "bela": -1}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i, operator := range []string{"anna", "bela"} {
		d := w.declarations
		d.Limits.ConcurrentRequests = 1000 + 10*round + i
		file := filepath.Join(w.t.TempDir(), operator+config.FileSuffix)
		out, err := os.Create(file)
		if err != nil {
			w.t.Fatal(err)
		}
		if err := toml.NewEncoder(out).Encode(d); err != nil {
			w.t.Fatal(err)
		}
		if err := out.Close(); err != nil {
			w.t.Fatal(err)
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
				w.t.Errorf("publish by %s: %v: %s", operator, err, text)
			}
			mu.Lock()
			defer mu.Unlock()
			codes[operator] = code
		})
	}
	wait.Wait()
	return codes
}
