package runners

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/lease"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

// cluster is a set of runner tables over a simulated network, lease store and
// runner. It has no background goroutines; the test drives it with tick.
type cluster struct {
	clock *clock.Fake
	nodes []*clusterNode

	mu     sync.Mutex
	leases map[string]*storedLease
	// actual is the runner's real state and load, as returned to polls.
	actual   Report
	handlers map[peer.NodeID]map[peer.Kind]peer.Handler
}

type clusterNode struct {
	id     peer.NodeID
	c      *cluster
	table  *Service
	leases []*fakeLease
	// paused suspends the node and stopped ends it; partitioned cuts it off
	// from its peers, storeUnreachable from the lease store, and
	// runnerUnreachable from the runner.
	paused, partitioned, storeUnreachable, runnerUnreachable, stopped bool
}

type storedLease struct {
	holder   peer.NodeID
	epoch    uint64
	data     []byte
	renewed  time.Time
	released bool
}

var errUnreachable = result.New(result.PeerFailed, "peer unreachable")

// newCluster returns n nodes. They acquire leases and subscribe on tick.
func newCluster(n int, seed int64, limit int) *cluster {
	c := &cluster{
		clock:    clock.NewFake(time.Unix(100000, 0)),
		leases:   make(map[string]*storedLease),
		handlers: make(map[peer.NodeID]map[peer.Kind]peer.Handler),
		actual:   Report{Upstream: "u000", State: Cold, Capacity: 16, MaxConcurrency: limit},
	}
	snapshot := declare(1)
	snapshot.Declarations.Upstreams[0].ColdLimit = limit
	for i := range n {
		node := &clusterNode{id: peer.NodeID(fmt.Sprintf("n%d", i)), c: c}
		c.nodes = append(c.nodes, node)
		c.handlers[node.id] = make(map[peer.Kind]peer.Handler)
	}
	for _, node := range c.nodes {
		t := NewService(Options{Clock: c.clock, Rand: rand.New(rand.NewSource(seed)), Fetch: node.fetch})
		t.source, t.events = &config.Static{Snapshot: snapshot}, timeline.Discard{}
		t.messenger, t.members, t.leases = node, members{node}, node
		node.table = t
		t.register()
	}
	return c
}

func (n *clusterNode) fetch(context.Context, *config.Upstream) (Report, error) {
	if n.runnerUnreachable {
		return Report{}, errors.New("runner unreachable")
	}
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.c.actual, nil
}

// tick runs the periodic tasks of every node that is neither paused nor stopped.
func (c *cluster) tick() {
	ctx := context.Background()
	for _, n := range c.nodes {
		if n.paused || n.stopped {
			continue
		}
		for _, l := range n.leases {
			if l.renewalDue() {
				_ = l.Sync(ctx) // Held returns false after a failure
			}
		}
		n.table.reconcileLeases(ctx)
		n.table.pollOwned(ctx)
		n.table.pollDirect(ctx)
		n.table.subscribe(ctx)
	}
}

// Messenger.

func (n *clusterNode) reachable(to peer.NodeID) *clusterNode {
	for _, other := range n.c.nodes {
		if other.id == to && !other.paused && !other.stopped && !other.partitioned && !n.partitioned && !n.paused && !n.stopped {
			return other
		}
	}
	return nil
}

func (n *clusterNode) Request(ctx context.Context, to peer.NodeID, kind peer.Kind, body, reply any) error {
	other := n.reachable(to)
	if other == nil {
		return errUnreachable
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	answer, err := n.c.handlers[to][kind](ctx, n.id, data)
	if err != nil || answer == nil {
		return err
	}
	if data, err = cbor.Marshal(answer); err != nil {
		return err
	}
	return cbor.Unmarshal(data, reply)
}

func (n *clusterNode) Notify(to peer.NodeID, kind peer.Kind, body any) error {
	return n.Request(context.Background(), to, kind, body, nil)
}

func (n *clusterNode) Flood(peer.Kind, any) error { return nil }

func (n *clusterNode) Handle(kind peer.Kind, h peer.Handler) { n.c.handlers[n.id][kind] = h }

func (n *clusterNode) Self() peer.NodeID { return n.id }

// members is the node's membership view: unreachable nodes are not live.
type members struct{ *clusterNode }

func (m members) Self() peer.Member { return m.member() }

func (n *clusterNode) member() peer.Member {
	return peer.Member{ID: n.id, Region: "south", State: peer.Alive}
}

func (m members) Live() []peer.Member {
	var live []peer.Member
	for _, other := range m.c.nodes {
		if other == m.clusterNode || m.reachable(other.id) != nil {
			live = append(live, other.member())
		}
	}
	return live
}

func (m members) All() []peer.Member         { return m.Live() }
func (m members) Reachable() []peer.Member   { return m.Live() }
func (m members) Isolated() bool             { return false }
func (m members) SetReady(bool)              {}
func (m members) Leave()                     {}
func (m members) Subscribe() <-chan struct{} { return nil }

// Lease manager.

type fakeLease struct {
	node    *clusterNode
	name    string
	epoch   uint64
	data    []byte
	renewed time.Time
}

func (n *clusterNode) Acquire(_ context.Context, name string, data func([]byte, bool) []byte) (lease.Lease, error) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	now := n.c.clock.Now()
	old := n.c.leases[name]
	switch {
	case n.storeUnreachable:
		return nil, result.New(result.PlatformUnavailable, "lease store unreachable")
	case old == nil:
		old = &storedLease{}
	case !old.released && now.Sub(old.renewed) < lease.DefaultTTL:
		return nil, result.New(result.LeaseLost, "lease held by another node")
	}
	next := &storedLease{holder: n.id, epoch: old.epoch + 1, data: data(old.data, old.released), renewed: now}
	n.c.leases[name] = next
	l := &fakeLease{node: n, name: name, epoch: next.epoch, data: next.data, renewed: now}
	n.leases = append(n.leases, l)
	return l, nil
}

func (l *fakeLease) Held() bool            { return l.node.c.clock.Since(l.renewed) < lease.DefaultTTL }
func (l *fakeLease) Epoch() uint64         { return l.epoch }
func (l *fakeLease) Lost() <-chan struct{} { return nil }
func (l *fakeLease) RenewedAt() time.Time  { return l.renewed }
func (l *fakeLease) Data() []byte          { return l.data }
func (l *fakeLease) SetData(data []byte)   { l.data = data }

func (l *fakeLease) renewalDue() bool {
	return l.Held() && l.node.c.clock.Since(l.renewed) >= lease.DefaultRenewal
}

func (l *fakeLease) Sync(context.Context) error {
	l.node.c.mu.Lock()
	defer l.node.c.mu.Unlock()
	stored := l.node.c.leases[l.name]
	if l.node.storeUnreachable || stored.epoch != l.epoch || stored.released || !l.Held() {
		return result.New(result.LeaseLost, "lease lost")
	}
	l.renewed = l.node.c.clock.Now()
	stored.renewed, stored.data = l.renewed, l.data
	return nil
}

func (l *fakeLease) Release(context.Context) error {
	l.node.c.mu.Lock()
	defer l.node.c.mu.Unlock()
	l.node.c.leases[l.name].released = true
	l.renewed = time.Time{}
	return nil
}
