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

// fleet is a set of nodes on an in-memory network.
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

// preload adds n nodes that initially know each other, which skips the joins.
func (f *fleet) preload(n int) {
	for i := range n {
		f.known = append(f.known, testMember(i))
	}
	for i := range n {
		f.add(i)
	}
	f.known = nil
}

// testMember returns the member of node i at its first start. Two thirds of the
// nodes are in the larger region.
func testMember(i int) peer.Member {
	m := peer.Member{
		ID: peer.NodeID(fmt.Sprintf("node-%03d-%d", i, i)), State: peer.Alive, Incarnation: 1, Offers: true,
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

// converged reports whether every running node selected by in sees exactly the
// running nodes selected by in as live.
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
				f.t.Logf("%s sees %d live members of %d", n.endpoint.Self(), len(n.Live()), len(n.All()))
			}
		}
		f.t.Fatalf("seed %d: views did not converge after %s within %s", f.seed, what, limit)
	}
	f.t.Logf("seed %d: views converged after %s in %s", f.seed, what, took)
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
			t.Fatalf("seed %d: leaving state or readiness did not propagate within 5 s", seed)
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

// testPartition partitions the regions, keeps the partition for 90 s after both
// sides have converged, and heals it.
func testPartition(t *testing.T, f *fleet) {
	t.Helper()
	region := map[peer.NodeID]string{}
	for _, n := range f.nodes {
		region[n.endpoint.Self()] = n.Self().Region
	}
	f.net.Partition(func(from, to peer.NodeID) bool { return region[from] == region[to] })
	for _, r := range []string{"west", "east"} {
		f.requireConvergence("a partition of region "+r, 3*time.Minute, func(n *node) bool { return n.Self().Region == r })
	}
	f.net.Run(90 * time.Second)
	f.net.Partition(nil)
	healed := clock.Stamp{WallMS: f.net.Clock().Now().UnixMilli()}
	f.requireConvergence("the partition healed", 30*time.Second, all)
	f.net.RunUntil(5*time.Second, 100*time.Millisecond, func() bool { return !f.converged(all) })
	for _, n := range f.nodes {
		events, _ := n.eventLog.Snapshot()
		for _, e := range timeline.Select(events, timeline.Filter{Kind: timeline.MemberState, After: healed}) {
			if strings.HasSuffix(e.Detail, string(peer.Dead)) && !n.down {
				t.Fatalf("seed %d: after the partition healed, %s recorded that %s", f.seed, n.endpoint.Self(), e.Detail)
			}
		}
	}
}

// Guards against suspicion of a member when only the link between two nodes is
// broken and other nodes still reach it.
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
			t.Fatalf("%s was suspected or considers itself isolated", n.endpoint.Self())
		}
	}
}

// Guards against a partitioned node that does not detect its isolation or stays
// isolated after the partition heals, and against other nodes that consider
// themselves isolated because of it or because a third of the fleet died.
func TestIsolationDetection(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 2; seed++ {
		testIsolationDetection(t, seed)
	}
}

func testIsolationDetection(t *testing.T, seed int64) {
	t.Helper()
	// No loss: a lost probe may legitimately cause a suspicion.
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
		t.Fatalf("seed %d: a partitioned node is not isolated after 6 s", seed)
	}
	f.net.Run(time.Minute)
	if !isolated.Isolated() {
		t.Fatal("a node is no longer isolated while it is still partitioned")
	}
	f.net.Partition(nil)
	if _, ok := f.net.RunUntil(60*time.Second, 100*time.Millisecond, func() bool { return !isolated.Isolated() }); !ok {
		t.Fatal("the node is still isolated 60 s after the partition healed")
	}
	f.requireConvergence("the isolated node reconnected", 30*time.Second, all)
	for _, n := range f.nodes {
		if n != isolated && n.Self().Incarnation != before[n.endpoint.Self()] {
			t.Fatalf("seed %d: %s had to refute a suspicion of the reconnected node", seed, n.endpoint.Self())
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

// Guards against a fleet of 410 nodes, the design size, that does not converge
// after joins or after the loss of a third of its nodes, against survivors that
// consider themselves isolated, and against too many outgoing connections.
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

// TestNodesStartedInPartitionRejoin guards against nodes that start in a
// partition, join only each other, and remain a separate fleet after it heals.
func TestNodesStartedInPartitionRejoin(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 5; seed++ {
		f := newFleet(t, memnet.Options{Seed: seed, Delay: time.Millisecond})
		f.start(3, time.Second)
		f.requireConvergence("the first start", 10*time.Second, all)
		late := map[peer.NodeID]bool{}
		f.net.Partition(func(from, to peer.NodeID) bool { return late[from] == late[to] })
		for i := 3; i < 5; i++ {
			n := f.add(i)
			late[n.endpoint.Self()] = true
			n.withLock(func(time.Time) { n.sync.discoveredSeeds = []string{address(3), address(4)} })
		}
		f.requireConvergence("a start in a partition", 10*time.Second, func(n *node) bool { return late[n.endpoint.Self()] })
		for _, n := range f.nodes[3:] {
			n.withLock(func(time.Time) { n.sync.joined = true }) // Each has joined through the other.
		}
		f.net.Partition(nil)
		f.requireConvergence("the partition healed", 6*time.Second, all)
	}
}

// failingSeeds is a SeedSource whose first calls fail.
type failingSeeds struct {
	mu        sync.Mutex
	failures  int
	succeeded chan struct{}
}

func (f *failingSeeds) Seeds(context.Context) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures--; f.failures >= 0 {
		return nil, errors.New("seed source unavailable")
	}
	f.succeeded <- struct{}{}
	return nil, nil
}

// TestSeedSourceRetriedAfterError guards against a node that, after one failure
// of its seed source, waits a whole refresh interval before it queries again.
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
		t.Error("the seed source is not queried again within twice the retry delay")
	}
}

// Guards against two runs with the same seed that differ, so that a failure
// cannot be reproduced.
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
			t.Fatalf("node %d: traffic of the two runs differs: %+v and %+v", i, first[i], second[i])
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
		syncMessage{Digest: make([]uint64, buckets)}, syncMessage{Want: 3, Records: []record{full}},
		offerMessage{Changes: []uint64{1, digestOf(full.member())}}, offerMessage{Changes: []uint64{2}}, updateMessage{Records: []record{full}}, full,
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
		kinds := []peer.Kind{kindProbe, kindAck, kindProbeRequest, kindUpdate, kindSync, kindJoin, kindOffer, kindWant, kindChanges}
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
			t.Fatal("the digest does not match the members")
		}
		if _, err := n.onJoin(context.Background(), "x", raw); err != nil {
			return
		}
	})
}

// TestSeedPause guards against a fleet whose queries of the seed source grow
// with its size, and against a small group that queries too rarely to find the
// others.
func TestSeedPause(t *testing.T) {
	for _, tc := range []struct {
		live     int
		min, max float64 // Queries of the whole group per seedRefreshInterval.
	}{{2, 1, 2.1}, {3, 2.9, 3.1}, {18, 2.9, 3.1}, {410, 2.9, 3.1}} {
		queries := float64(tc.live) * float64(seedRefreshInterval) / float64(seedPause(tc.live, 0.5))
		if queries < tc.min || queries > tc.max {
			t.Errorf("%d nodes: %.1f queries per interval, want %.1f to %.1f", tc.live, queries, tc.min, tc.max)
		}
	}
	if early, late := seedPause(18, 0), seedPause(18, 0.999); early >= late/2 {
		t.Errorf("the queries of 18 nodes are not spread: %s to %s", early, late)
	}
}
