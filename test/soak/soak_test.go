// Package soak runs the real program as separate processes on one machine and
// injects faults from outside: signals, and loopback proxies in front of the
// store and of the runners. While that goes on it checks, from what callers and
// runners see, what the program promises.
//
// CASSIAPIN_SOAK_SEEDS gives the first seed and the number of seeds, as in
// "100,50"; without it the seeds that once failed are played. CASSIAPIN_SOAK_LOGS names a folder
// for the logs of the nodes of failed seeds.
package soak

import (
	"fmt"
	"io/fs"
	"maps"
	"math/rand"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cassiapin/platform/platformtest"
)

var (
	// binary is the path of the program, built with the race detector.
	binary string
	// logFolder receives the logs of failed seeds, if set.
	logFolder = os.Getenv("CASSIAPIN_SOAK_LOGS")
)

func TestMain(m *testing.M) {
	code, err := run(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		code = 1
	}
	os.Exit(code)
}

func run(m *testing.M) (int, error) {
	folder, err := os.MkdirTemp("", "cassiapin-soak-")
	if err != nil {
		return 1, err
	}
	defer os.RemoveAll(folder)
	// The go command caches a test's result unless a file that it looked at has
	// changed; the program is not a part of this test's own.
	for _, sources := range []string{"../../cmd", "../../pkg", "../../platform"} {
		err := filepath.WalkDir(sources, func(path string, _ fs.DirEntry, err error) error {
			if err == nil {
				_, err = os.Stat(path)
			}
			return err
		})
		if err != nil {
			return 1, err
		}
	}
	binary = filepath.Join(folder, "cassiapin")
	build := exec.Command("go", "build", "-race", "-o", binary, "cassiapin/cmd/cassiapin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1, fmt.Errorf("build the program: %w", err)
	}
	return m.Run(), nil
}

// maxWorlds bounds the fleets that run at once, with nodeCount processes each.
const maxWorlds = 3

// worldSlots holds the numbers of the fleets that may start; the addresses of a
// fleet's nodes depend on it.
var worldSlots = make(chan int, maxWorlds)

const (
	nodeCount   = 5
	callerCount = 8
	// faultTime is the part of a seed with faults, settleTime the time that the
	// fleet then has before everything must work: the longest bound of the
	// settings. quietTime is the part in which that is checked.
	faultTime  = 8 * time.Second
	settleTime = 5 * time.Second
	quietTime  = 1500 * time.Millisecond
)

// world is one seed.
type world struct {
	t       *testing.T
	seed    int64
	random  *rand.Rand
	store   *platformtest.Store
	record  *platformtest.Record
	nodes   []*node
	runners []*runner
	version int
	started time.Time

	mu       sync.Mutex
	outcomes []*outcome
	// quiet is when every fault was over and the fleet had settled.
	quiet time.Time
}

// runner is an application with a fault-injecting path to it.
type runner struct {
	id, domain string
	path       *tap
}

func newWorld(t *testing.T, seed int64) *world {
	slot := <-worldSlots
	t.Cleanup(func() { worldSlots <- slot })
	w := &world{
		t: t, seed: seed, random: rand.New(rand.NewSource(seed)), store: platformtest.NewStore(t),
		record: platformtest.NewRecord(), started: time.Now(),
	}
	w.configure()
	for i := range 4 {
		w.addRunner(fmt.Sprintf("i-%d", i))
	}
	for i := range nodeCount {
		w.nodes = append(w.nodes, newNode(t, slot, i, w.store.Address))
	}
	return w
}

// configure writes the next configuration, which differs in one added route.
func (w *world) configure() {
	w.version += 1 + w.random.Intn(3)
	w.store.PutRoutes(w.version, platformtest.RepeatableRoute("/lookup/"), platformtest.AtMostOnceRoute("/booking/"),
		platformtest.StreamRoute("/draft/"), platformtest.RepeatableRoute(w.added()))
}

// added is the path of the route that only the newest configuration has.
func (w *world) added() string { return fmt.Sprintf("/added-%d/", w.version) }

func (w *world) addRunner(id string) {
	server := httptest.NewServer(&platformtest.App{ID: id, Record: w.record})
	w.t.Cleanup(server.Close)
	r := &runner{id: id, domain: fmt.Sprintf("z%d", 1+len(w.runners)%2), path: newTap(w.t, strings.TrimPrefix(server.URL, "http://"))}
	w.runners = append(w.runners, r)
	w.store.PutRunnerIn(r.domain, id, r.path.address(), false)
}

func (w *world) note(o *outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes = append(w.outcomes, o)
}

// event logs a fault with its time, for the line of a failed seed.
func (w *world) event(format string, args ...any) {
	w.t.Logf("%6.2f s %s", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// play runs the seed: a fleet that starts, faults that overlap, then quiet.
func (w *world) play() {
	w.awaitServing()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range callerCount {
		callers.Add(1)
		go newCaller(w, i).run(stop, &callers)
	}
	w.injectFaults()
	w.event("all faults are over")
	time.Sleep(settleTime)
	w.mu.Lock()
	w.quiet = time.Now()
	w.mu.Unlock()
	time.Sleep(quietTime)
	close(stop)
	callers.Wait()
	w.check()
}

// awaitServing waits until each node answers.
func (w *world) awaitServing() {
	c := newCaller(w, -1)
	for _, n := range w.nodes {
		for end := time.Now().Add(10 * time.Second); !c.send(n.address(entryPort), "/lookup/", "start-"+n.host).served(); {
			if time.Now().After(end) {
				w.t.Fatalf("%s does not serve 10 s after its start", n.host)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// injectFaults plays several series of faults side by side and waits for all.
func (w *world) injectFaults() {
	end := time.Now().Add(faultTime)
	var all sync.WaitGroup
	for series, play := range []func(random *rand.Rand){w.faultNode, w.faultNode, w.faultStorePath, w.faultRunnerPath, w.change} {
		random := rand.New(rand.NewSource(w.seed*10 + int64(series)))
		all.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(100+random.Intn(900)) * time.Millisecond)
				play(random)
			}
		})
	}
	all.Wait()
	for _, n := range w.nodes {
		n.store.heal()
	}
	for _, r := range w.runners {
		r.path.heal()
	}
	w.store.SetUnavailable(false)
}

func pauseFor(random *rand.Rand, most time.Duration) {
	time.Sleep(time.Duration(random.Int63n(int64(most))))
}

// faultNode ends, pauses or restarts one node. The two series of it may meet
// at one node, so a node's own lock is held meanwhile.
func (w *world) faultNode(random *rand.Rand) {
	n := w.nodes[random.Intn(len(w.nodes))]
	if !n.busy.TryLock() {
		return
	}
	defer n.busy.Unlock()
	switch random.Intn(4) {
	case 0:
		w.event("%s is killed", n.host)
		n.end(syscall.SIGKILL)
		pauseFor(random, time.Second)
		n.start()
	case 1:
		w.event("%s is told to end", n.host)
		n.end(syscall.SIGTERM)
		pauseFor(random, 500*time.Millisecond)
		n.start()
	case 2:
		w.event("%s is paused", n.host)
		n.signal(syscall.SIGSTOP)
		pauseFor(random, 3*time.Second)
		n.signal(syscall.SIGCONT)
	case 3:
		w.event("%s is told to end while it is paused", n.host)
		n.signal(syscall.SIGSTOP)
		pauseFor(random, time.Second)
		n.end(syscall.SIGTERM)
		n.start()
	}
}

// faultStorePath disturbs the path of one node to the store, or the store.
func (w *world) faultStorePath(random *rand.Rand) {
	if random.Intn(4) == 0 {
		w.event("the store is away")
		w.store.SetUnavailable(true)
		pauseFor(random, 2*time.Second)
		w.store.SetUnavailable(false)
		return
	}
	n := w.nodes[random.Intn(len(w.nodes))]
	w.event("the store is %s for %s", n.store.fault(random), n.host)
	pauseFor(random, 3*time.Second)
	n.store.heal()
}

// faultRunnerPath disturbs the path of all nodes to one runner.
func (w *world) faultRunnerPath(random *rand.Rand) {
	r := w.runners[random.Intn(4)]
	w.event("runner %s is %s", r.id, r.path.fault(random))
	pauseFor(random, 1500*time.Millisecond)
	r.path.heal()
	if random.Intn(2) == 0 {
		w.event("connections to runner %s are reset", r.id)
		r.path.reset()
	}
}

// change writes to the store what operators and runners write.
func (w *world) change(random *rand.Rand) {
	switch random.Intn(4) {
	case 0:
		w.configure()
		w.event("configuration %d", w.version)
	case 1:
		w.event("z2 is evacuated")
		w.store.Evacuate("z2", true)
		pauseFor(random, 2*time.Second)
		w.store.Evacuate("z2", false)
	case 2:
		r := w.runners[random.Intn(4)]
		w.event("runner %s is leaving", r.id)
		w.store.PutRunnerIn(r.domain, r.id, r.path.address(), true)
		pauseFor(random, 2*time.Second)
		w.store.RemoveRunner(r.id)
		pauseFor(random, time.Second)
		w.store.PutRunnerIn(r.domain, r.id, r.path.address(), false)
	case 3:
		w.event("the store drops its history")
		w.store.DropHistory()
	}
}

// regressions are the seeds that have found a fault, with its cause.
var regressions = map[int64]string{
	2: "a node whose list of the others failed at its start stayed alone",
	4: "nodes that started while the store was away were a fleet of their own",
	5: "net/http repeated a booking without a body on a broken connection",
}

// TestSoak guards against answers that are wrong, bookings that run twice and
// refusals that are not true while faults overlap, and against nodes that do
// not serve all again once the faults are over.
func TestSoak(t *testing.T) {
	seeds := slices.Sorted(maps.Keys(regressions))
	if text := os.Getenv("CASSIAPIN_SOAK_SEEDS"); text != "" {
		var first, count int64
		if _, err := fmt.Sscanf(text, "%d,%d", &first, &count); err != nil {
			t.Fatalf("CASSIAPIN_SOAK_SEEDS=%q: %v", text, err)
		}
		seeds = nil
		for i := range count {
			seeds = append(seeds, first+i)
		}
	}
	for slot := range maxWorlds {
		worldSlots <- slot
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			newWorld(t, seed).play()
		})
	}
}
