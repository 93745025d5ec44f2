package quality

import (
	"context"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
)

const (
	fleetNodes  = 410
	fleetRoot   = peer.NodeID("n200")
	fleetRows   = 40 // 5 versions x 8 classes
	maxDelay    = 30 * time.Second
	maxNodeRate = 1500 // bytes per second that a node sends and receives
)

var counted = key{class: "counted", ref: ref1}

// treeFleet is a region at the design size of 410 nodes. Only fleetRoot acquires
// the lease.
type treeFleet struct {
	t     *testing.T
	clock *clock.Fake
	peers *fakePeers
	views []*fakeMembers
	nodes map[peer.NodeID]*Service
	ids   []peer.NodeID
	rng   *rand.Rand
	// arrived is the number of ratings for the key counted that reached the root.
	arrived float64
	// dropReplies is the number of upcoming replies of the root to drop.
	dropReplies int
}

func newTreeFleet(t *testing.T, seed int64) *treeFleet {
	f := &treeFleet{
		t: t, clock: clock.NewFake(time.Unix(1000, 0)), rng: rand.New(rand.NewSource(seed)),
		peers: &fakePeers{nodes: map[peer.NodeID]*fakeMessenger{}}, nodes: map[peer.NodeID]*Service{},
	}
	for i := range fleetNodes {
		id := peer.NodeID(fmt.Sprintf("n%03d", i))
		view := &fakeMembers{peers: f.peers, hidden: map[peer.NodeID]bool{}}
		f.nodes[id] = startService(t, f.clock, Options{Region: "r"}, f.peers.node(id, "r"), view)
		f.ids, f.views = append(f.ids, id), append(f.views, view)
	}
	f.nodes[fleetRoot].sharing.leases = &fakeLeases{}
	f.nodes[fleetRoot].sharing.members = nil // without a member view the node is always a lease candidate
	f.run(1)
	f.nodes[fleetRoot].sharing.members = f.views[200]
	root := f.peers.nodes[fleetRoot]
	handleDelta := root.handlers[deltaKind]
	root.handlers[deltaKind] = func(ctx context.Context, from peer.NodeID, body []byte) (any, error) {
		var m deltaMessage
		if err := cbor.Unmarshal(body, &m); err != nil {
			return nil, err
		}
		previous := f.nodes[fleetRoot].sharing.lastReceived[from]
		answer, err := handleDelta(ctx, from, body)
		if m.Number > previous {
			f.arrived += m.Rows.unpack()[counted].Rated
		}
		if f.dropReplies > 0 {
			f.dropReplies--
			return nil, result.New(result.PeerFailed, "reply dropped").WithRun(result.Unknown)
		}
		return answer, err
	}
	return f
}

// run advances the fleet by n seconds. In each second every live node records a
// rating in a random cell.
func (f *treeFleet) run(n int) {
	for range n {
		for _, i := range f.rng.Perm(len(f.ids)) {
			id := f.ids[i]
			if f.peers.nodes[id].dead {
				continue
			}
			cell := f.rng.Intn(fleetRows)
			ref := config.VersionRef{Model: "model", Version: fmt.Sprint("2026-12-0", cell%5)}
			f.nodes[id].record(Sample{Class: fmt.Sprint("class-", cell/5), Version: ref}, ratingCell(0.5))
			f.nodes[id].sharing.tick(context.Background())
			f.nodes[id].sharing.fetch(context.Background())
		}
		f.clock.Advance(time.Second)
	}
}

// propagationDelay records a rating of a new class at a node and returns the
// time until all live nodes have it.
func (f *treeFleet) propagationDelay(at peer.NodeID, class string) time.Duration {
	f.nodes[at].record(Sample{Class: class, Version: ref1}, ratingCell(1))
	for d := time.Duration(0); d < 2*maxDelay; d += time.Second {
		missing := 0
		for id, s := range f.nodes {
			if !f.peers.nodes[id].dead && s.cells[key{class: class, ref: ref1}].empty() {
				missing++
			}
		}
		if missing == 0 {
			return d
		}
		f.run(1)
	}
	return 2 * maxDelay
}

// Guards against a table that takes minutes to reach all nodes of a region,
// traffic above the exchange's share of any node's control budget, and ratings
// counted twice or lost without a node failure.
func TestRegionAtDesignSize(t *testing.T) {
	f := newTreeFleet(t, 1)
	f.run(30) // until all cells are in the table
	for _, n := range f.peers.nodes {
		n.bytes = 0
	}
	begin, window, worst, delay := f.clock.Now(), 0.0, 0.0, time.Duration(0)
	before := map[peer.NodeID]int{}
	for i := range 5 {
		start := f.clock.Now()
		delay = max(delay, f.propagationDelay(f.ids[f.rng.Intn(fleetNodes)], fmt.Sprint("probe-", i)))
		f.run(3 + i)
		for id, n := range f.peers.nodes {
			window = max(window, float64(n.bytes-before[id])/f.clock.Since(start).Seconds())
			before[id] = n.bytes
		}
	}
	for _, n := range f.peers.nodes {
		worst = max(worst, float64(n.bytes)/f.clock.Since(begin).Seconds())
	}
	t.Logf("maximum delay %s; maximum bytes/s of a node: %.0f over %s, %.0f in a shorter window", delay, worst, f.clock.Since(begin), window)
	if delay > maxDelay || worst > maxNodeRate {
		t.Fatalf("propagation delay %s, %.0f bytes/s per node", delay, worst)
	}
	for id, s := range f.nodes {
		if id != fleetRoot {
			s.record(Sample{Class: counted.class, Version: counted.ref}, ratingCell(1))
		}
	}
	f.run(40)
	if f.arrived != fleetNodes-1 {
		t.Fatalf("%v of %d ratings arrived", f.arrived, fleetNodes-1)
	}
}

// Guards against ratings counted twice, ratings lost beyond those held by a
// failed node, and nodes cut off from the tree, when an inner node fails between
// broadcast and delta while membership views differ; and against estimates lost
// with the aggregator.
func TestTreeToleratesNodeFailures(t *testing.T) {
	for seed := range int64(2) {
		f := newTreeFleet(t, seed)
		f.innerNode()
		f.run(10) // all nodes have sent, and the next broadcast is imminent
		for i, view := range f.views {
			for _, id := range f.ids[100:140] {
				view.hidden[id] = i%2 == 0 && f.rng.Intn(2) == 0 && id != f.ids[i]
			}
		}
		for id, s := range f.nodes {
			if id != fleetRoot {
				s.record(Sample{Class: counted.class, Version: counted.ref}, ratingCell(1))
			}
		}
		dead := f.innerNode()
		lost := f.nodes[dead].sharing.pending[counted].Rated
		f.peers.nodes[dead].dead = true
		f.dropReplies = 3
		f.run(5)
		for _, view := range f.views {
			view.hidden[dead] = true
		}
		f.run(25)
		for _, view := range f.views {
			view.hidden = map[peer.NodeID]bool{dead: true}
		}
		after := f.propagationDelay(f.ids[120], "after")
		f.run(40)
		// Only the failed node's pending ratings are lost; none count twice.
		if f.arrived != fleetNodes-1-lost || after > maxDelay {
			t.Fatalf("seed %d: %v of %d ratings arrived, the next one was delayed by %s", seed, f.arrived, fleetNodes-1, after)
		}
		f.peers.nodes[fleetRoot].dead = true
		next := f.ids[7]
		known := f.nodes[next].cells[counted]
		f.nodes[next].sharing.leases, f.nodes[next].sharing.members = &fakeLeases{epochOffset: 1}, nil
		f.run(1)
		f.nodes[next].sharing.members = f.views[7]
		if got := f.nodes[next].cells[counted]; got.Rated < known.Rated || got.empty() {
			t.Fatalf("seed %d: successor's cell is %+v, was %+v before the takeover", seed, got, known)
		}
		for _, view := range f.views {
			view.hidden[fleetRoot] = true
		}
		d := f.propagationDelay(f.ids[130], "successor")
		if d > maxDelay {
			t.Fatalf("seed %d: rating did not reach all nodes within %s after the aggregator failed", seed, d)
		}
		t.Logf("seed %d: %v ratings arrived; delay %s after the divergence, %s with the successor", seed, f.arrived, after, d)
	}
}

// innerNode waits for a broadcast and returns a child of the root that has not
// sent its delta yet.
func (f *treeFleet) innerNode() peer.NodeID {
	for range 60 {
		f.run(1)
		for _, id := range f.ids {
			h := f.nodes[id].sharing
			if h.parent == fleetRoot && h.sendAt.Sub(f.clock.Now()) > 3*levelDelay {
				return id
			}
		}
	}
	f.t.Fatal("no broadcast within 60 s")
	return ""
}
