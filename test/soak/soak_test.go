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

// maxFleets bounds the fleets that run at once, with nodeCount processes each.
const maxFleets = 3

// fleetSlots holds the numbers of the fleets that may start; the addresses of a
// fleet's nodes depend on it.
var fleetSlots = make(chan int, maxFleets)

const (
	nodeCount   = 5
	callerCount = 8
	// faultTime is the part of a seed with faults, settleTime the time that the
	// fleet then has before everything must work: the longest bound of the
	// settings. quietTime is the part in which that is checked.
	faultTime  = 8 * time.Second
	settleTime = 5 * time.Second
	verifyTime = 1500 * time.Millisecond
)

// fleet is one seed.
type fleet struct {
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
	// verifyStart is when every fault was over and the fleet had settled.
	verifyStart time.Time
}

// runner is an application with a fault-injecting path to it.
type runner struct {
	id, domain string
	proxy      *faultProxy
}

func newFleet(t *testing.T, seed int64) *fleet {
	slot := <-fleetSlots
	t.Cleanup(func() { fleetSlots <- slot })
	f := &fleet{
		t: t, seed: seed, random: rand.New(rand.NewSource(seed)), store: platformtest.NewStore(t),
		record: platformtest.NewRecord(), started: time.Now(),
	}
	f.configure()
	for i := range 4 {
		f.addRunner(fmt.Sprintf("i-%d", i))
	}
	for i := range nodeCount {
		f.nodes = append(f.nodes, newNode(t, slot, i, f.store.Address))
	}
	return f
}

// configure writes the next configuration, which differs in one added route.
func (f *fleet) configure() {
	f.version += 1 + f.random.Intn(3)
	f.store.PutRoutes(f.version, platformtest.RepeatableRoute("/lookup/"), platformtest.AtMostOnceRoute("/booking/"),
		platformtest.StreamRoute("/draft/"), platformtest.RepeatableRoute(f.latestPath()))
}

// latestPath is the path of the route that only the newest configuration has.
func (f *fleet) latestPath() string { return fmt.Sprintf("/added-%d/", f.version) }

func (f *fleet) addRunner(id string) {
	server := httptest.NewServer(&platformtest.App{ID: id, Record: f.record})
	f.t.Cleanup(server.Close)
	r := &runner{id: id, domain: fmt.Sprintf("z%d", 1+len(f.runners)%2), proxy: newFaultProxy(f.t, strings.TrimPrefix(server.URL, "http://"))}
	f.runners = append(f.runners, r)
	f.store.PutRunnerIn(r.domain, id, r.proxy.address(), false)
}

func (f *fleet) addOutcome(o *outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes = append(f.outcomes, o)
}

// event logs a fault with its time, for the line of a failed seed.
func (f *fleet) event(format string, args ...any) {
	f.t.Logf("%6.2f s %s", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
}

// run runs the seed: a fleet that starts, faults that overlap, then quiet.
func (f *fleet) run() {
	f.awaitServing()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range callerCount {
		callers.Add(1)
		go newCaller(f, i).run(stop, &callers)
	}
	f.injectFaults()
	f.event("all faults are over")
	time.Sleep(settleTime)
	f.mu.Lock()
	f.verifyStart = time.Now()
	f.mu.Unlock()
	time.Sleep(verifyTime)
	close(stop)
	callers.Wait()
	f.check()
}

// awaitServing waits until each node answers.
func (f *fleet) awaitServing() {
	c := newCaller(f, -1)
	for _, n := range f.nodes {
		for end := time.Now().Add(10 * time.Second); !c.send(n.address(entryPort), "/lookup/", "start-"+n.host).served(); {
			if time.Now().After(end) {
				f.t.Fatalf("%s does not serve 10 s after its start", n.host)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// injectFaults plays several series of faults side by side and waits for all.
func (f *fleet) injectFaults() {
	end := time.Now().Add(faultTime)
	var all sync.WaitGroup
	for series, inject := range []func(random *rand.Rand){f.faultNode, f.faultNode, f.faultStorePath, f.faultRunnerPath, f.changeStore} {
		random := rand.New(rand.NewSource(f.seed*10 + int64(series)))
		all.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(100+random.Intn(900)) * time.Millisecond)
				inject(random)
			}
		})
	}
	all.Wait()
	for _, n := range f.nodes {
		n.storeProxy.heal()
	}
	for _, r := range f.runners {
		r.proxy.heal()
	}
	f.store.SetUnavailable(false)
}

func sleepRandom(random *rand.Rand, limit time.Duration) {
	time.Sleep(time.Duration(random.Int63n(int64(limit))))
}

// faultNode ends, pauses or restarts one node. The two series of it may meet
// at one node, so a node's own lock is held meanwhile.
func (f *fleet) faultNode(random *rand.Rand) {
	n := f.nodes[random.Intn(len(f.nodes))]
	if !n.faultMu.TryLock() {
		return
	}
	defer n.faultMu.Unlock()
	switch random.Intn(4) {
	case 0:
		f.event("%s is killed", n.host)
		n.stop(syscall.SIGKILL)
		sleepRandom(random, time.Second)
		n.start()
	case 1:
		f.event("%s is told to end", n.host)
		n.stop(syscall.SIGTERM)
		sleepRandom(random, 500*time.Millisecond)
		n.start()
	case 2:
		f.event("%s is paused", n.host)
		n.signal(syscall.SIGSTOP)
		sleepRandom(random, 3*time.Second)
		n.signal(syscall.SIGCONT)
	case 3:
		f.event("%s is told to end while it is paused", n.host)
		n.signal(syscall.SIGSTOP)
		sleepRandom(random, time.Second)
		n.stop(syscall.SIGTERM)
		n.start()
	}
}

// faultStorePath disturbs the path of one node to the store, or the store.
func (f *fleet) faultStorePath(random *rand.Rand) {
	if random.Intn(4) == 0 {
		f.event("the store is away")
		f.store.SetUnavailable(true)
		sleepRandom(random, 2*time.Second)
		f.store.SetUnavailable(false)
		return
	}
	n := f.nodes[random.Intn(len(f.nodes))]
	f.event("the store is %s for %s", n.storeProxy.injectFault(random), n.host)
	sleepRandom(random, 3*time.Second)
	n.storeProxy.heal()
}

// faultRunnerPath disturbs the path of all nodes to one runner.
func (f *fleet) faultRunnerPath(random *rand.Rand) {
	r := f.runners[random.Intn(4)]
	f.event("runner %s is %s", r.id, r.proxy.injectFault(random))
	sleepRandom(random, 1500*time.Millisecond)
	r.proxy.heal()
	if random.Intn(2) == 0 {
		f.event("connections to runner %s are reset", r.id)
		r.proxy.reset()
	}
}

// changeStore writes to the store what operators and runners write.
func (f *fleet) changeStore(random *rand.Rand) {
	switch random.Intn(4) {
	case 0:
		f.configure()
		f.event("configuration %d", f.version)
	case 1:
		f.event("z2 is evacuated")
		f.store.Evacuate("z2", true)
		sleepRandom(random, 2*time.Second)
		f.store.Evacuate("z2", false)
	case 2:
		r := f.runners[random.Intn(4)]
		f.event("runner %s is leaving", r.id)
		f.store.PutRunnerIn(r.domain, r.id, r.proxy.address(), true)
		sleepRandom(random, 2*time.Second)
		f.store.RemoveRunner(r.id)
		sleepRandom(random, time.Second)
		f.store.PutRunnerIn(r.domain, r.id, r.proxy.address(), false)
	case 3:
		f.event("the store drops its history")
		f.store.DropHistory()
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
	for slot := range maxFleets {
		fleetSlots <- slot
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			newFleet(t, seed).run()
		})
	}
}
