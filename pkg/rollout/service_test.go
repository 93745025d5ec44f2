package rollout

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cassiapin/pkg/config"
	"cassiapin/pkg/quality"
)

var (
	oldRef = config.VersionRef{Model: "m", Version: "1"}
	newRef = config.VersionRef{Model: "m", Version: "2"}
)

func declare(id, model string, steps ...config.RolloutStep) config.Rollout {
	return config.Rollout{
		ID: id, Model: model, From: "1", To: "2", MinQuality: 0.75, MaxErrorRate: 0.05, Steps: steps,
	}
}

func step(share float64, minRated int, minTime time.Duration) config.RolloutStep {
	return config.RolloutStep{Share: share, MinRated: minRated, MinTime: config.Duration(minTime)}
}

func outcome(id string, ref config.VersionRef, rating float64) quality.Outcome {
	return quality.Outcome{Sample: quality.Sample{RequestID: id, Version: ref}, Rated: rating >= 0, Rating: rating}
}

// simulate sends 50 requests per second over all nodes until the rollout ends or
// the limit is reached. Ratings arrive 1 to 3 s after the answer, and 20% never
// do. It returns the number of answers of the new version and the largest number
// in flight.
func (cluster *testCluster) simulate(seed int64, mean, deviation float64, limit int) (answers, inFlight int) {
	rng := rand.New(rand.NewSource(seed))
	type due struct {
		at   int
		node *node
		o    quality.Outcome
	}
	var waiting []due
	ended := func() bool {
		l, ok := cluster.nodes[0].localStates["a"]
		return ok && l.view.Status != Running
	}
	for second := 0; answers < limit && second < limit && !ended(); second++ {
		for range 50 {
			n := cluster.nodes[rng.Intn(len(cluster.nodes))]
			ref, id := n.Assign(oldRef, rng.Float64())
			request := fmt.Sprintf("r%d", answers)
			if ref != newRef || !n.Reserve(id, request, false) {
				continue
			}
			answers++
			x := rating(rng, mean, deviation)
			if rng.Float64() < 0.2 {
				x = -1
			}
			waiting = append(waiting, due{at: second + 1 + rng.Intn(3), node: n, o: outcome(request, ref, x)})
		}
		inFlight = max(inFlight, len(waiting))
		rest := waiting[:0]
		for _, d := range waiting {
			if d.at > second {
				rest = append(rest, d)
				continue
			}
			d.node.Outcome(d.o)
		}
		waiting = rest
		cluster.tick()
	}
	return answers, inFlight
}

// Guards against a bad version that serves more than 60 answers before it is
// stopped, more than 20 unrated answers in flight over all nodes, and a halted
// state written before the mark. Seeds 1 to 100; quality 0.64 against a target
// of 0.8 and a declared bound of 0.75, ratings with standard deviation 0.1.
func TestBadVersionIsStopped(t *testing.T) {
	t.Parallel()
	worst, sum := 0, 0
	for seed := range int64(100) {
		cluster := newTestCluster(t, declare("a", "m", step(0.5, 60, time.Minute), step(1, 100, time.Minute)))
		for range []int{1, 3, 30}[seed%3] {
			cluster.addNode()
		}
		answers, inFlight := cluster.simulate(seed+1, 0.64, 0.1, 1000)
		if answers > 60 || inFlight > unratedCap || strings.Join(cluster.log, " ") != "mark state" {
			t.Errorf("seed %d: %d answers, %d in flight, %v", seed+1, answers, inFlight, cluster.log)
		}
		worst, sum = max(worst, answers), sum+answers
		if ref, id := cluster.nodes[0].Assign(newRef, 0); ref != oldRef || id != "" {
			t.Fatalf("halted version is assigned: version %s, rollout %q", ref, id)
		}
	}
	t.Logf("bad version served %.1f answers on average and at most %d", float64(sum)/100, worst)
}

// Guards against a version at the quality target that cannot finish its rollout
// because of the cap on unrated answers. Seeds 1 to 20.
func TestGoodVersionFinishes(t *testing.T) {
	for seed := range int64(20) {
		cluster := newTestCluster(t, declare("a", "m", step(0.2, 60, 10*time.Second), step(1, 100, 10*time.Second)))
		for range 3 {
			cluster.addNode()
		}
		cluster.simulate(seed+1, 0.8, 0.1, 2000)
		if ref, id := cluster.nodes[2].Assign(oldRef, 0.99); ref != newRef || id != "" || len(cluster.marks) != 0 {
			t.Fatalf("seed %d: %s %q, marks %v", seed+1, ref, id, cluster.marks)
		}
	}
}

// Guards against reservations of answers that were never produced and stall a
// good rollout, and against reservations released twice.
func TestUnusedReservationsAreReleased(t *testing.T) {
	cluster := newTestCluster(t, declare("a", "m", step(1, 60, 0)))
	n := cluster.addNode()
	cluster.tick()
	next := 0
	reserve := func() (granted int) {
		for n.Reserve("a", fmt.Sprint("r", next), false) {
			granted, next = granted+1, next+1
		}
		return granted
	}
	if got := reserve(); got != unratedCap {
		t.Fatalf("%d reservations granted, want %d", got, unratedCap)
	}
	for range 2 {
		n.Release("r1", newRef)
		n.Release("r2", oldRef)
		if !n.Reserve("a", "r0", false) {
			t.Fatal("request that is planned again lost its reservation")
		}
	}
	if got := reserve(); got != 1 {
		t.Fatalf("%d reservations granted after one was released, want 1", got)
	}
	n.Outcome(outcome("r3", newRef, -1)) // Used reservations do not expire.
	for range int(reservationLifetime/tickInterval) + 1 {
		cluster.tick()
	}
	if got := reserve(); got != unratedCap-1 {
		t.Fatalf("%d reservations granted after the others expired, want %d", got, unratedCap-1)
	}
}

// Guards against an untested version that serves unlimited answers while the
// rating service returns no ratings.
func TestUnratedAnswersAreBounded(t *testing.T) {
	cluster := newTestCluster(t, declare("a", "m", step(1, 60, 0)))
	n := cluster.addNode()
	cluster.tick()
	sent := 0
	for range 1000 {
		request := fmt.Sprint("r", sent)
		if n.Reserve("a", request, false) {
			sent++
			n.Outcome(outcome(request, newRef, -1))
		}
		cluster.tick()
	}
	if sent != unratedCap {
		t.Fatalf("%d unrated answers, want %d", sent, unratedCap)
	}
}

// Guards against a rollout that loses its progress, advances without a
// controller, resumes after a halt, or affects another rollout, when the
// controller or the object store fails.
func TestInterruptionAndTwoRollouts(t *testing.T) {
	second := time.Second
	cluster := newTestCluster(t, declare("a", "m", step(0.1, 10, 5*second), step(0.5, 10, 60*second), step(1, 1, 0)),
		declare("b", "k", step(0.3, 500, 0)))
	first := cluster.addNode()
	ticks := func(n int) {
		for range n {
			cluster.tick()
		}
	}
	feed := func(n *node, ref config.VersionRef, count int, x float64) {
		for range count {
			n.Outcome(outcome("", ref, x))
		}
	}
	shares := func(n *node) string {
		a, _ := n.share("a")
		b, _ := n.share("b")
		return fmt.Sprint(a, b)
	}
	expect := func(n *node, want string) {
		t.Helper()
		if got := shares(n); got != want {
			t.Fatalf("shares %s, want %s", got, want)
		}
	}
	kRef := config.VersionRef{Model: "k", Version: "2"}
	ticks(2)
	feed(first, newRef, 12, 0.8)
	feed(first, kRef, 40, 0.8)
	ticks(8)
	expect(first, "0.5 0.3")
	cluster.storeDown = true
	feed(first, newRef, 50, 0.8)
	ticks(58) // Without the object store the step does not advance.
	expect(first, "0.5 0.3")
	cluster.storeDown = false
	cluster.leaseHolder, cluster.nodes = nil, nil // The controller crashes.
	cluster.rollouts[0].Paused = true
	next := cluster.addNode()
	expect(next, "0.5 0.3")
	ticks(5)
	feed(next, newRef, 20, 0.8)
	ticks(100)
	expect(next, "0.5 0.3") // Paused.
	if c := next.loadedRollout("b"); c == nil || c.Rated != 40 {
		t.Fatalf("state after the takeover: %+v, want 40 rated answers", c)
	}
	cluster.rollouts[0].Paused = false
	feed(next, kRef, 60, 0.4)
	ticks(3)
	expect(next, "0.5 0")
	if !cluster.marks.Withdrawn(kRef) || cluster.marks.Withdrawn(newRef) {
		t.Fatalf("marks %v, want only version 2 of model k withdrawn", cluster.marks)
	}
	cluster.leaseHolder, cluster.nodes, cluster.marks = nil, nil, nil // The marks are lost too.
	third := cluster.addNode()
	expect(third, "0.5 0")
	ticks(70)
	expect(third, "1 0")
	if !cluster.marks.Withdrawn(kRef) {
		t.Fatal("withdrawal mark of a halted rollout was not restored")
	}
}

// Guards against a controller without a lease that writes or advances, and
// against a bad version that is not stopped while the object store is unreachable.
func TestLapsedControllerOnlyHalts(t *testing.T) {
	cluster := newTestCluster(t, declare("a", "m", step(0.5, 10, 0), step(1, 10, 0)))
	n := cluster.addNode()
	cluster.tick()
	cluster.tick()
	cluster.storeDown, cluster.leaseHolder = true, nil
	for range 40 {
		n.Outcome(outcome("", newRef, 0.8))
	}
	for range 100 {
		cluster.tick()
	}
	if share, _ := n.share("a"); share != 0.5 {
		t.Fatalf("share %v without a lease", share)
	}
	for range 200 {
		n.Outcome(outcome("", newRef, 0.5))
	}
	cluster.tick()
	if !cluster.marks.Withdrawn(newRef) || strings.Join(cluster.log, " ") != "mark" {
		t.Fatalf("bad version not stopped by a mark alone: %v", cluster.log)
	}
}

// Guards against background goroutines that are not started, do not work
// together or do not stop: a running service withdraws a bad version, then saves
// its state, releases the lease and leaks no goroutine.
func TestServiceHaltsBadVersion(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	cluster := newTestCluster(t, declare("a", "m", step(0.5, 60, 0)))
	n, k := cluster.newNode()
	cluster.nodes = append(cluster.nodes, n)
	if err := k.Start(); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(10 * time.Second); len(fakeSource{fakeService{node: n}}.Marks()) == 0; {
		if time.Now().After(deadline) {
			t.Fatal("bad version not withdrawn within 10 s")
		}
		cluster.clock.Advance(tickInterval)
		n.Outcome(outcome("", newRef, 0.5))
		time.Sleep(time.Millisecond)
	}
	if err := k.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if cluster.leaseHolder != nil || !strings.Contains(string(cluster.objects["rollout/a"].Value), `"halted"`) {
		t.Fatalf("after the stop: lease holder %v, state %s", cluster.leaseHolder, cluster.objects["rollout/a"].Value)
	}
}

// Guards against a node that counts a repeated message twice, gets the full cap
// when it joins late, applies an old view, or continues a rollout without a
// controller, and against a returning controller that overwrites its
// successor's state.
func TestHandoverAndLateNodes(t *testing.T) {
	cluster := newTestCluster(t, declare("a", "m", step(1, 500, 0)))
	first := cluster.addNode()
	cluster.tick()
	message := samplesMessage{Node: "x", Sequence: 1, Samples: map[string][]observation{"a": make([]observation, 30)}}
	for i := range message.Samples["a"] {
		message.Samples["a"][i] = observation{Rated: true, Rating: ratingScale}
	}
	first.ingest(message)
	first.ingest(message)
	if c := first.loadedRollout("a"); c.Rated != 30 {
		t.Fatalf("%d ratings counted, want 30", c.Rated)
	}
	for range 3 {
		cluster.tick()
	}
	second := cluster.addNode()
	cluster.tick()
	granted := 0
	for second.Reserve("a", fmt.Sprint("r", granted), false) {
		granted++
	}
	if granted > unratedCap/2+1 {
		t.Fatalf("second of two nodes was granted %d reservations", granted)
	}
	// The lease moves to the second node while the first one is partitioned.
	cluster.leaseHolder, cluster.nodes = nil, []*node{second}
	for range 12 {
		cluster.tick()
	}
	if share, _ := first.share("a"); share != 1 {
		t.Fatal("share dropped before the view was stale")
	}
	message.Sequence = 2
	second.ingest(message)
	for range int(staleAfter / tickInterval) {
		cluster.tick()
	}
	if share, _ := first.share("a"); share != 0 {
		t.Fatal("node without a controller assigns new sessions to the new version")
	}
	old := first.latest
	cluster.leaseHolder, cluster.nodes = nil, []*node{first, second}
	for range 12 {
		cluster.tick()
	}
	if c := first.loadedRollout("a"); c == nil || c.Rated != 60 || c.objectVersion != second.loadedRollout("a").objectVersion {
		t.Fatalf("state of the returned controller: %+v, want 60 rated answers and its successor's version", c)
	}
	second.applyView(old)
	if second.latest.Epoch != 3 {
		t.Fatalf("view of epoch %d in force, want 3", second.latest.Epoch)
	}
}

// Guards against data races between requests, ratings, guards and the controller.
// Effective only under the race detector.
func TestConcurrentUse(t *testing.T) {
	cluster := newTestCluster(t, declare("a", "m", step(0.5, 10, 0), step(1, 1000, 0)))
	nodes := []*node{cluster.addNode(), cluster.addNode()}
	var group sync.WaitGroup
	for i := range 4 {
		n, rng := nodes[i%2], rand.New(rand.NewSource(int64(i)))
		group.Go(func() {
			for k := range 300 {
				ref, id := n.Assign(oldRef, rng.Float64())
				request := fmt.Sprint(i, "-", k)
				if id != "" && n.Reserve(id, request, false) && n.UnderRollout(ref) {
					n.Outcome(outcome(request, ref, 0.9))
				}
				n.haltTripped()
			}
		})
	}
	for range 100 {
		cluster.tick()
	}
	group.Wait()
}

// Guards against sessions that leave the new version when the share grows, and
// against shares that differ from the declared ones.
func TestCohortsAreMonotone(t *testing.T) {
	rng := rand.New(rand.NewSource(4))
	inBoth, n := 0, 20_000
	for range n {
		cohort := rng.Float64()
		a, b := cohortPosition("a", cohort), cohortPosition("b", cohort)
		if a < 0 || a >= 1 || a != cohortPosition("a", cohort) {
			t.Fatalf("cohort position %v", a)
		}
		if a < 0.3 && b < 0.3 {
			inBoth++
		}
	}
	if share := float64(inBoth) / float64(n); share < 0.08 || share > 0.10 {
		t.Errorf("%.3f of the cohorts are in the first 0.3 of two rollouts, want 0.09", share)
	}
	if cohortPosition("a", 0) != 0 || cohortPosition("a", 1) != 1 {
		t.Error("cohorts 0 and 1 do not map to themselves")
	}
}
