package membership

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/peer/memnet"
	"cassiapin/pkg/timeline"
)

// fleet is a set of nodes on a network in memory.
type fleet struct {
	t     testing.TB
	net   *memnet.Network
	nodes []*node
	known []peer.Member
	seed  int64
}

type node struct {
	*Service
	endpoint *memnet.Endpoint
	eventLog *timeline.Service
	index    int
	down     bool
}

func newFleet(t testing.TB, o memnet.Options) *fleet {
	c := clock.NewFake(time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC))
	return &fleet{t: t, net: memnet.New(c, o), seed: o.Seed}
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250) }

// add starts a node on the given address.
func (f *fleet) add(i int) *node {
	f.t.Helper()
	k := kernel.New(f.net.Clock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	id := peer.NodeID(fmt.Sprintf("node-%03d-%d", i, len(f.nodes)))
	n := &node{endpoint: f.net.AddNode(id, address(i)), eventLog: timeline.NewService(string(id), k.HLC, 1024), index: i}
	n.Service = New(Options{
		Self: testMember(i), InitialMembers: f.known, Metrics: metrics.NewSet(),
		Seeds: []string{address(0), address(1), address(2)}, Seed: f.seed + int64(len(f.nodes)) + 1,
	})
	services := []kernel.Service{n.eventLog, n.endpoint, n.Service}
	if err := k.Register(services...); err != nil {
		f.t.Fatal(err)
	}
	for _, s := range services {
		if err := s.Provision(k); err != nil {
			f.t.Fatal(err)
		}
	}
	f.net.Every(n.endpoint, TickInterval, n.Tick)
	f.nodes = append(f.nodes, n)
	return n
}

// start adds n nodes over the given time.
func (f *fleet) start(n int, over time.Duration) {
	for range n {
		f.add(len(f.nodes))
		f.net.Run(over / time.Duration(n))
	}
}

// preload adds n nodes that know each other, which saves the time of as many
// joins.
func (f *fleet) preload(n int) {
	for i := range n {
		f.known = append(f.known, testMember(i))
	}
	for i := range n {
		f.add(i)
	}
	f.known = nil
}

// testMember returns the member of a first start. Two thirds of the nodes are in
// the larger region.
func testMember(i int) peer.Member {
	m := peer.Member{
		ID: peer.NodeID(fmt.Sprintf("node-%03d-%d", i, i)), State: peer.Alive, Incarnation: 1,
		PeerAddress: address(i), EntryAddress: "http://" + address(i), AdminAddress: "http://" + address(i),
		Region: "west", FailureDomain: fmt.Sprint("west-", i%2),
	}
	if i%3 == 2 {
		m.Region, m.FailureDomain = "east", "east-0"
	}
	return m
}

func (f *fleet) kill(n *node) {
	n.down = true
	n.endpoint.Close()
}

// converged reports whether every running node of the group sees exactly the
// group as live.
func (f *fleet) converged(in func(*node) bool) bool {
	want := 0
	for _, n := range f.nodes {
		if !n.down && in(n) {
			want++
		}
	}
	for _, n := range f.nodes {
		if !n.down && in(n) && !seesExactly(f, n, want, in) {
			return false
		}
	}
	return true
}

func seesExactly(f *fleet, n *node, want int, in func(*node) bool) bool {
	live := n.Live()
	if len(live) != want {
		return false
	}
	for _, other := range f.nodes {
		id := other.endpoint.Self()
		_, found := slices.BinarySearchFunc(live, id, func(m peer.Member, id peer.NodeID) int { return cmp.Compare(m.ID, id) })
		if !other.down && in(other) && !found {
			return false
		}
	}
	return true
}

func all(*node) bool { return true }

func (f *fleet) requireConvergence(what string, limit time.Duration, in func(*node) bool) {
	f.t.Helper()
	took, ok := f.net.RunUntil(limit, 100*time.Millisecond, func() bool { return f.converged(in) })
	if !ok {
		for _, n := range f.nodes {
			if !n.down && in(n) {
				f.t.Logf("%s sees %d live of %d", n.endpoint.Self(), len(n.Live()), len(n.All()))
			}
		}
		f.t.Fatalf("seed %d: no agreement after %s within %s", f.seed, what, limit)
	}
	f.t.Logf("seed %d: agreement after %s in %s", f.seed, what, took)
}

var lossy = memnet.Options{Delay: time.Millisecond, Jitter: 4 * time.Millisecond, Loss: 0.01, Duplicate: 0.01}

// Guards against views that do not converge after joins, kills, restarts on
// the same address, a leave, and a partition that heals, with lost and
// duplicated messages.
func TestConvergence64(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 2; seed++ {
		o := lossy
		o.Seed = seed
		f := newFleet(t, o)
		f.start(64, 3*time.Second)
		f.requireConvergence("joins", 30*time.Second, all)
		for _, i := range []int{1, 9, 20, 33, 50, 62} {
			f.kill(f.nodes[i])
		}
		f.requireConvergence("kills", 15*time.Second, all)
		f.add(9)
		f.add(20)
		f.requireConvergence("restarts", 15*time.Second, all)
		f.nodes[5].Leave()
		f.nodes[6].SetReady(true)
		if _, ok := f.net.RunUntil(5*time.Second, 100*time.Millisecond, func() bool {
			m := member(f.nodes[40], f.nodes[5].endpoint.Self())
			return m.State == peer.Leaving && member(f.nodes[40], f.nodes[6].endpoint.Self()).Ready
		}); !ok {
			t.Fatalf("seed %d: leaving or readiness did not spread", seed)
		}
		testPartition(t, f)
	}
}

func member(n *node, id peer.NodeID) peer.Member {
	for _, m := range n.All() {
		if m.ID == id {
			return m
		}
	}
	return peer.Member{}
}

// testPartition cuts the regions off from each other for 90 s.
func testPartition(t *testing.T, f *fleet) {
	t.Helper()
	region := map[peer.NodeID]string{}
	for _, n := range f.nodes {
		region[n.endpoint.Self()] = n.Self().Region
	}
	f.net.Partition(func(from, to peer.NodeID) bool { return region[from] == region[to] })
	for _, r := range []string{"west", "east"} {
		f.requireConvergence("a cut around "+r, 3*time.Minute, func(n *node) bool { return n.Self().Region == r })
	}
	f.net.Run(90 * time.Second)
	f.net.Partition(nil)
	healed := clock.Stamp{WallMS: f.net.Clock().Now().UnixMilli()}
	f.requireConvergence("a heal", 30*time.Second, all)
	f.net.RunUntil(5*time.Second, 100*time.Millisecond, func() bool { return !f.converged(all) })
	for _, n := range f.nodes {
		events, _ := n.eventLog.Snapshot()
		for _, e := range timeline.Select(events, timeline.Filter{Kind: timeline.MemberState, After: healed}) {
			if strings.HasSuffix(e.Detail, string(peer.Dead)) && !n.down {
				t.Fatalf("seed %d: after the heal %s decided that %s", f.seed, n.endpoint.Self(), e.Detail)
			}
		}
	}
}

// Guards against a member that is suspected because one link is broken, while
// others reach it.
func TestBrokenLinkDoesNotCauseSuspicion(t *testing.T) {
	t.Parallel()
	f := newFleet(t, memnet.Options{Seed: 4, Delay: time.Millisecond})
	f.preload(16)
	f.net.Run(2 * time.Second)
	a := f.nodes[0].endpoint.Self()
	b := f.nodes[0].Neighbours()[0]
	f.net.Partition(func(from, to peer.NodeID) bool { return !(from == a && to == b || from == b && to == a) })
	f.net.Run(30 * time.Second)
	f.net.Partition(nil)
	f.net.Run(2 * time.Second)
	for _, n := range f.nodes {
		if n.Self().Incarnation != 1 || n.Isolated() {
			t.Fatalf("%s was suspected or is isolated", n.endpoint.Self())
		}
	}
}

// Guards against a node that is cut off and does not say so, that stays
// isolated after its return, and against other nodes that call themselves
// isolated because of it or because a third of the fleet died.
func TestIsolationDetection(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 2; seed++ {
		testIsolated(t, seed)
	}
}

func testIsolated(t *testing.T, seed int64) {
	t.Helper()
	// Without loss, because a lost probe may cause an honest suspicion.
	o := memnet.Options{Seed: seed, Delay: time.Millisecond, Jitter: 4 * time.Millisecond}
	f := newFleet(t, o)
	f.start(64, 3*time.Second)
	f.requireConvergence("joins", 30*time.Second, all)
	isolated, before := f.nodes[7], map[peer.NodeID]uint64{}
	for _, n := range f.nodes {
		before[n.endpoint.Self()] = n.Self().Incarnation
	}
	f.net.Partition(func(from, to peer.NodeID) bool {
		return from != isolated.endpoint.Self() && to != isolated.endpoint.Self()
	})
	if _, ok := f.net.RunUntil(6*time.Second, 100*time.Millisecond, isolated.Isolated); !ok {
		t.Fatalf("seed %d: a node that was cut off is not isolated after 6 s", seed)
	}
	f.net.Run(time.Minute)
	if !isolated.Isolated() {
		t.Fatal("a node that is still cut off is no longer isolated")
	}
	f.net.Partition(nil)
	if _, ok := f.net.RunUntil(60*time.Second, 100*time.Millisecond, func() bool { return !isolated.Isolated() }); !ok {
		t.Fatal("the node is still isolated 60 s after its return")
	}
	f.requireConvergence("the return", 30*time.Second, all)
	for _, n := range f.nodes {
		if n != isolated && n.Self().Incarnation != before[n.endpoint.Self()] {
			t.Fatalf("seed %d: %s had to refute a claim of the returned node", seed, n.endpoint.Self())
		}
	}
	for i, n := range f.nodes {
		if n.Self().FailureDomain == "west-0" && n != isolated {
			f.kill(f.nodes[i])
		}
	}
	f.net.RunUntil(20*time.Second, 100*time.Millisecond, func() bool {
		for _, n := range f.nodes {
			if !n.down && n.Isolated() {
				t.Fatalf("%s is isolated after the loss of one of three failure domains", n.endpoint.Self())
			}
		}
		return false
	})
	f.requireConvergence("the loss of a failure domain", 10*time.Second, all)
}

// Guards against a fleet of the design size that does not converge after joins
// and after the loss of a third of it, against nodes that call themselves
// isolated then, and against more connections than the design allows.
func TestConvergence410(t *testing.T) {
	t.Parallel()
	f := newFleet(t, memnet.Options{Seed: 5, Delay: time.Millisecond, Jitter: 4 * time.Millisecond})
	f.preload(400)
	f.start(10, 2*time.Second)
	f.requireConvergence("joins", 20*time.Second, all)
	const maxOutgoing = 9 + relaysPerRegion
	for _, n := range f.nodes {
		if out := len(n.Neighbours()); out > maxOutgoing {
			t.Fatalf("%s has %d outgoing connections", n.endpoint.Self(), out)
		}
	}
	for _, n := range f.nodes {
		if n.Self().FailureDomain == "west-0" {
			f.kill(n)
		}
	}
	f.net.RunUntil(10*time.Second, 200*time.Millisecond, func() bool {
		for _, n := range f.nodes {
			if !n.down && n.Isolated() {
				t.Fatalf("%s is isolated after the loss of one of three failure domains", n.endpoint.Self())
			}
		}
		return false
	})
	f.requireConvergence("the loss of a failure domain", 15*time.Second, all)
}

// TestNodesStartedInPartitionRejoin guards against nodes that start while they only reach each
// other, and that stay a fleet of their own for long after that.
func TestNodesStartedInPartitionRejoin(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 5; seed++ {
		f := newFleet(t, memnet.Options{Seed: seed, Delay: time.Millisecond})
		f.start(3, time.Second)
		f.requireConvergence("the start", 10*time.Second, all)
		late := map[peer.NodeID]bool{}
		f.net.Partition(func(from, to peer.NodeID) bool { return late[from] == late[to] })
		for i := 3; i < 5; i++ {
			n := f.add(i)
			late[n.endpoint.Self()] = true
			n.withLock(func(time.Time) { n.sync.discoveredSeeds = []string{address(3), address(4)} })
		}
		f.requireConvergence("the cut", 10*time.Second, func(n *node) bool { return late[n.endpoint.Self()] })
		for _, n := range f.nodes[3:] {
			n.withLock(func(time.Time) { n.sync.joined = true }) // Each has joined through the other.
		}
		f.net.Partition(nil)
		f.requireConvergence("the end of the cut", 6*time.Second, all)
	}
}

// failingSeeds fails until it has been asked a number of times.
type failingSeeds struct {
	mu        sync.Mutex
	failures  int
	succeeded chan struct{}
}

func (f *failingSeeds) Seeds(context.Context) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures--; f.failures >= 0 {
		return nil, errors.New("the source is away")
	}
	f.succeeded <- struct{}{}
	return nil, nil
}

// TestSeedSourceRetriedAfterError guards against a node that stays alone for long because
// the source of its seeds did not answer once.
func TestSeedSourceRetriedAfterError(t *testing.T) {
	k := kernel.New(clock.Real{}, slog.New(slog.DiscardHandler))
	network := memnet.New(clock.NewFake(time.Unix(0, 0)), memnet.Options{})
	source := &failingSeeds{failures: 1, succeeded: make(chan struct{}, 1)}
	end := network.AddNode("node", address(0))
	s := New(Options{Self: testMember(0), Metrics: metrics.NewSet(), SeedSource: source})
	if err := k.Register(timeline.NewService("node", k.HLC, 16), end, s); err != nil {
		t.Fatal(err)
	}
	if err := k.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = k.Stop(context.Background()) }()
	select {
	case <-source.succeeded:
	case <-time.After(2 * seedRetry):
		t.Error("the source is not asked again soon")
	}
}

// Guards against two runs with one seed that differ, so that a failing case
// cannot be replayed.
func TestRunsAreDeterministic(t *testing.T) {
	t.Parallel()
	run := func() (out []memnet.Traffic) {
		o := lossy
		o.Seed = 3
		f := newFleet(t, o)
		f.start(24, time.Second)
		f.kill(f.nodes[3])
		f.net.Run(20 * time.Second)
		for _, n := range f.nodes {
			out = append(out, n.endpoint.Traffic())
		}
		return out
	}
	first, second := run(), run()
	for i := range first {
		if first[i] != second[i] {
			t.Fatalf("node %d: %+v and %+v", i, first[i], second[i])
		}
	}
}

// Guards against malformed messages of any kind that panic or corrupt the
// digest.
func FuzzHandlers(f *testing.F) {
	full := record{ID: "x", State: peer.Alive, Incarnation: 2, PeerAddress: "a:1", Region: "west"}
	for i, seed := range []any{
		probe{Seq: 1, Extra: map[string][]byte{"c": {1}}}, ack{Seq: 1}, probeRequest{Seq: 2, Target: "x"},
		updateMessage{Records: []record{full, compactRecord(full.member())}},
		syncMessage{Digest: make([]uint64, buckets)}, syncMessage{Want: 3, Records: []record{full}}, full,
	} {
		raw, err := peer.Encode(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), raw)
	}
	f.Fuzz(func(t *testing.T, which uint8, raw []byte) {
		fl := newFleet(t, memnet.Options{Seed: 1})
		n := fl.add(0)
		sender := fl.net.AddNode("sender", address(9))
		kinds := []peer.Kind{kindProbe, kindAck, kindProbeRequest, kindUpdate, kindSync, kindJoin}
		e, err := peer.Encode(peer.Envelope{Kind: kinds[int(which)%len(kinds)], Body: raw})
		if err != nil {
			return
		}
		var env peer.Envelope
		if peer.Decode(e, &env) != nil {
			return
		}
		sender.Call(peer.AddressID(address(0)), env.Kind, env.Body, time.Second, func([]byte, error) {})
		fl.net.Run(10 * time.Second)
		var digest [buckets]uint64
		for id, e := range n.table.entries {
			digest[bucketOf(id)] ^= digestOf(e.member)
		}
		if digest != n.table.digest {
			t.Fatal("the digest differs from the members")
		}
		if _, err := n.onJoin(context.Background(), "x", raw); err != nil {
			return
		}
	})
}
