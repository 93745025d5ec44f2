package quota

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

// testNode is a limiter with a simulated network connection.
type testNode struct {
	peer.Messenger
	peer.Members
	id          peer.NodeID
	nodes       *[]*testNode
	partitioned bool
	limiter     *Service
}

func (n *testNode) Self() peer.NodeID              { return n.id }
func (n *testNode) Handle(peer.Kind, peer.Handler) {}
func (n *testNode) Request(ctx context.Context, to peer.NodeID, _ peer.Kind, body, reply any) error {
	for _, other := range *n.nodes {
		if other.id == to && !other.partitioned && !n.partitioned {
			data, _ := cbor.Marshal(body)
			answer, err := other.limiter.onReport(ctx, n.id, data)
			if err != nil {
				return err
			}
			data, _ = cbor.Marshal(answer)
			return cbor.Unmarshal(data, reply)
		}
	}
	return result.New(result.PeerFailed, "node unreachable")
}

type fakeMembers struct {
	peer.Members
	nodes *[]*testNode
}

func (v fakeMembers) Live() []peer.Member {
	var live []peer.Member
	for _, n := range *v.nodes {
		live = append(live, peer.Member{ID: n.id, State: peer.Alive})
	}
	return live
}

func newNodes(n int, c clock.Clock, o config.Organisation) []*testNode {
	source := &config.Static{Snapshot: config.NewSnapshot(1, "", config.Declarations{Organisations: []config.Organisation{o}})}
	nodes := new([]*testNode)
	for i := range n {
		s := NewService(Options{Clock: c})
		m := &testNode{id: peer.NodeID(fmt.Sprintf("n%d", i)), nodes: nodes, limiter: s}
		s.source, s.messenger, s.members = source, m, fakeMembers{nodes: nodes}
		*nodes = append(*nodes, m)
	}
	return *nodes
}

// Guards against nodes that together exceed an organisation's rate by more than
// one second's worth plus one request per node, or stay far below it, while
// demand shifts between nodes.
func TestRateLimitAcrossNodes(t *testing.T) {
	const limit, count, step = 100, 8, 10 * time.Millisecond
	for seed := range int64(5) {
		rng := rand.New(rand.NewSource(seed))
		c := clock.NewFake(time.Unix(1000, 0))
		nodes := newNodes(count, c, config.Organisation{Name: "o", RequestsPerSecond: limit})
		var perStep []int
		demand := make([]float64, count)
		for i := range 6000 {
			if i%500 == 0 {
				for j := range demand {
					demand[j] = rng.Float64() * rng.Float64() * 120
				}
				demand[rng.Intn(count)] = 200
			}
			admitted := 0
			for j, n := range nodes {
				if i%100 == j*7 {
					n.limiter.report(context.Background())
				}
				if rng.Float64() < demand[j]*step.Seconds() && n.limiter.Take("o") == nil {
					admitted++
				}
			}
			perStep = append(perStep, admitted)
			c.Advance(step)
		}
		total := 0
		for _, n := range perStep {
			total += n
		}
		if reached := limit * 60 * 7 / 10; total < reached {
			t.Fatalf("seed %d: %d requests were admitted in 60 s, want at least %d", seed, total, reached)
		}
		for _, seconds := range []int{1, 5, 60} {
			worst, sum := 0, 0
			for i, n := range perStep {
				sum += n
				if i >= seconds*100 {
					sum -= perStep[i-seconds*100]
				}
				worst = max(worst, sum)
			}
			if bound := limit*(seconds+1) + count; worst > bound {
				t.Fatalf("seed %d: %d requests in %d s, bound %d", seed, worst, seconds, bound)
			}
		}
	}
}

// Guards against a node that admits nothing, or everything, while it cannot
// reach the coordinator.
func TestFallbackRateWithoutCoordinator(t *testing.T) {
	c := clock.NewFake(time.Unix(1000, 0))
	nodes := newNodes(4, c, config.Organisation{Name: "o", RequestsPerSecond: 40})
	var isolated *testNode
	for _, n := range nodes {
		if n.limiter.coordinatorOf("o") != "" {
			isolated = n
		}
	}
	isolated.partitioned = true
	admitted := 0
	for i := range 1000 {
		if i%100 == 0 {
			isolated.limiter.report(context.Background())
		}
		if isolated.limiter.Take("o") == nil {
			admitted++
		}
		c.Advance(10 * time.Millisecond)
	}
	if admitted < 100 || admitted > 111 {
		t.Fatalf("1 of 4 nodes without its coordinator admitted %d requests in 10 s at a limit of 40/s, want 10/s plus a burst of 1 s", admitted)
	}
}

// Guards against a spend limit that applies to each node separately, is lost
// when the coordinator changes, or never resets.
func TestSpendLimitAcrossNodes(t *testing.T) {
	c := clock.NewFake(time.Unix(100000, 0))
	nodes := newNodes(4, c, config.Organisation{Name: "o", SpendPerHour: 10})
	report := func() {
		for range 2 {
			for _, n := range nodes {
				n.limiter.report(context.Background())
			}
		}
	}
	for _, n := range nodes {
		n.limiter.Spend("o", 2.6)
	}
	report()
	for _, n := range nodes {
		n.limiter.coordinator = newCoordinator() // simulates a change of coordinator
	}
	report()
	for _, n := range nodes {
		if err := n.limiter.Take("o"); result.CodeOf(err) != result.SpendLimited {
			t.Fatalf("node %s: got %v after a spend of 10.4 with a limit of 10, want SpendLimited", n.id, err)
		}
	}
	c.Advance(spendWindow + slotDuration)
	report()
	for _, n := range nodes {
		if err := n.limiter.Take("o"); err != nil {
			t.Fatalf("node %s: got %v an hour later", n.id, err)
		}
	}
}
