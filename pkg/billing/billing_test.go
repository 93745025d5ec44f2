package billing

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/objectstore/memstore"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
	"cassiapin/pkg/upstream"
)

// network connects billing services in one process.
type network struct {
	nodes   map[peer.NodeID]*fakeNode
	members map[peer.NodeID]peer.Member
}

// fakeNode is the Messenger of one billing service.
type fakeNode struct {
	net      *network
	id       peer.NodeID
	handlers map[peer.Kind]peer.Handler
	client   *memstore.Client
	service  *Service
	// dropRequests drops outgoing requests; dropReplies drops only the replies to
	// them.
	dropRequests, dropReplies bool
}

func (n *fakeNode) Self() peer.NodeID                        { return n.id }
func (n *fakeNode) Notify(peer.NodeID, peer.Kind, any) error { return nil }
func (n *fakeNode) Flood(peer.Kind, any) error               { return nil }
func (n *fakeNode) Handle(k peer.Kind, h peer.Handler)       { n.handlers[k] = h }

func (n *fakeNode) Request(ctx context.Context, to peer.NodeID, kind peer.Kind, body, reply any) error {
	lost := result.New(result.PeerFailed, "no reply")
	target := n.net.nodes[to]
	if n.dropRequests || target == nil {
		return lost
	}
	raw, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	answer, err := target.handlers[kind](ctx, n.id, raw)
	if err != nil || n.dropReplies {
		return lost
	}
	raw, err = cbor.Marshal(answer)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(raw, reply)
}

type fakeMembers struct{ *fakeNode }

func (m fakeMembers) Self() peer.Member { return m.net.members[m.id] }
func (m fakeMembers) All() []peer.Member {
	return slices.SortedFunc(maps.Values(m.net.members), func(a, b peer.Member) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
}
func (m fakeMembers) Live() []peer.Member {
	return slices.DeleteFunc(m.All(), func(p peer.Member) bool { return p.State != peer.Alive && p.State != peer.Leaving })
}
func (m fakeMembers) Reachable() []peer.Member   { return m.Live() }
func (m fakeMembers) Isolated() bool             { return false }
func (m fakeMembers) SetReady(bool)              {}
func (m fakeMembers) Leave()                     {}
func (m fakeMembers) Subscribe() <-chan struct{} { return nil }

// newNetwork returns n billing services, each in its own failure domain.
func newNetwork(n int, c clock.Clock, store *memstore.Store, limit int) (*network, []*fakeNode) {
	net := &network{nodes: map[peer.NodeID]*fakeNode{}, members: map[peer.NodeID]peer.Member{}}
	var nodes []*fakeNode
	for i := range n {
		node := &fakeNode{
			net: net, id: peer.NodeID(fmt.Sprintf("n%d", i)),
			handlers: map[peer.Kind]peer.Handler{}, client: store.Client(),
		}
		node.service = New(Options{
			Node: string(node.id), Boot: "b", Store: node.client, Messenger: node, Members: fakeMembers{node},
			Clock: c, Rand: rand.New(rand.NewSource(1)), LimitBytes: limit,
		})
		node.service.registerHandlers()
		net.nodes[node.id] = node
		net.members[node.id] = peer.Member{ID: node.id, Region: "r", FailureDomain: fmt.Sprint(i), State: peer.Alive}
		nodes = append(nodes, node)
	}
	return net, nodes
}

// kill removes a node, which loses its memory, and marks it dead for the others.
func (net *network) kill(id peer.NodeID) {
	delete(net.nodes, id)
	m := net.members[id]
	m.State = peer.Dead
	net.members[id] = m
}

func bill(id string) Bill {
	return Bill{
		ID: id, Organisation: "berceuse", Usage: upstream.Usage{CompletionTokens: 1}, Price: 1,
		Complete: true, Time: time.Unix(1000, 0),
	}
}

// Guards against bills that are lost or counted twice: after a lost write
// response, a crash with pending bills, a false death detection, copies dropped too
// early or too late, a planned stop during an object store outage, or the same
// request billed by two nodes.
func TestBilledOnce(t *testing.T) {
	// A missing copy is detected in only about 1 of 300 cases.
	const repetitions = 10
	for range repetitions {
		rapid.Check(t, checkBilledOnce)
	}
}

func checkBilledOnce(rt *rapid.T) {
	ctx := context.Background()
	fake := clock.NewFake(time.Unix(1000, 0))
	store := memstore.New(fake)
	net, _ := newNetwork(4, fake, store, 0)
	recorded := map[string]bool{}
	crashed := false
	runningNode := func(rt *rapid.T) *fakeNode {
		ids := slices.Sorted(maps.Keys(net.nodes))
		return net.nodes[rapid.SampledFrom(ids).Draw(rt, "node")]
	}
	rt.Repeat(map[string]func(*rapid.T){
		"record": func(rt *rapid.T) {
			n := runningNode(rt)
			id := fmt.Sprint(max(0, len(recorded)-rapid.IntRange(0, 2).Draw(rt, "back")))
			if err := n.service.Record(ctx, bill(id)); err != nil {
				rt.Fatal(err)
			}
			recorded[id] = true
		},
		"": func(*rapid.T) {
			for _, n := range net.nodes {
				select {
				case <-n.service.flushNow: // As in flushLoop.
					n.service.tick(ctx, true)
				default:
				}
			}
		},
		"outage": func(*rapid.T) {
			for _, n := range net.nodes {
				n.client.SetHook(func(string, string) memstore.Fault { return memstore.Unavailable })
			}
		},
		"store fault": func(rt *rapid.T) {
			fault := rapid.SampledFrom([]memstore.Fault{memstore.None, memstore.Unavailable, memstore.Lost, memstore.Dropped, memstore.Delayed}).Draw(rt, "fault")
			runningNode(rt).client.SetHook(func(string, string) memstore.Fault { return fault })
		},
		"drop replies": func(rt *rapid.T) { n := runningNode(rt); n.dropReplies = !n.dropReplies },
		"deliver":      func(*rapid.T) { store.ApplyDelayed() },
		"flush": func(rt *rapid.T) {
			fake.Advance(DefaultFlushInterval)
			runningNode(rt).service.tick(ctx, true)
		},
		"crash": func(rt *rapid.T) {
			n := runningNode(rt)
			if crashed || len(net.nodes) < 2 {
				rt.Skip("two crashes may lose bills")
			}
			crashed = true
			net.kill(n.id)
			for _, other := range net.nodes {
				other.service.tick(ctx, other.service.holderLost())
			}
		},
		"falsely detected as dead": func(rt *rapid.T) {
			n, other := runningNode(rt), runningNode(rt)
			m := net.members[n.id]
			net.members[n.id] = peer.Member{ID: n.id, State: peer.Dead}
			other.service.tick(ctx, true)
			net.members[n.id] = m
		},
		"stop": func(rt *rapid.T) {
			n := runningNode(rt)
			if len(net.nodes) < 3 {
				rt.Skip("fewer than three nodes are left")
			}
			if n.service.drainOnce(ctx) {
				net.kill(n.id)
			}
			for _, other := range net.nodes {
				other.service.tick(ctx, other.service.holderLost())
			}
		},
	})
	clearFaultsAndFlush(net, fake, store)
	checkBills(rt, store, recorded)
}

// clearFaultsAndFlush clears all faults and flushes every node twice.
func clearFaultsAndFlush(net *network, fake *clock.Fake, store *memstore.Store) {
	store.ApplyDelayed()
	for range 2 {
		fake.Advance(DefaultFlushInterval)
		for _, id := range slices.Sorted(maps.Keys(net.nodes)) {
			n := net.nodes[id]
			n.dropReplies = false
			n.client.SetHook(nil)
			n.service.tick(context.Background(), true)
		}
	}
}

func checkBills(rt *rapid.T, store *memstore.Store, recorded map[string]bool) {
	sum, err := Reconcile(context.Background(), store.Client(), Filter{})
	if err != nil || sum.Malformed > 0 {
		rt.Fatalf("%d malformed batches and bills, error %v", sum.Malformed, err)
	}
	total := sum.Organisations["berceuse"]
	if total.Bills != len(recorded) || total.Price != float64(len(recorded)) || total.Usage.CompletionTokens != len(recorded) {
		rt.Fatalf("%d requests recorded, total is %+v", len(recorded), total)
	}
}

// Guards against unbounded memory: copies kept after their bills are durable,
// copies that leave no memory for the node's own bills, and requests accepted
// above the limit. Also guards against a copy in the same failure domain.
func TestMemoryIsBounded(t *testing.T) {
	const limit = 10_000
	ctx := context.Background()
	fake := clock.NewFake(time.Unix(1000, 0))
	store := memstore.New(fake)
	net, nodes := newNetwork(3, fake, store, limit)
	a := nodes[0]
	near := net.members["n1"]
	near.FailureDomain = net.members["n0"].FailureDomain
	net.members["n1"] = near
	far := nodes[2].service.queue
	if err := a.service.Record(ctx, bill("1")); err != nil || far.size() == 0 || !a.service.HasCapacity() {
		t.Fatalf("no copy in the other failure domain, error %v", err)
	}
	a.dropReplies = true // The confirmation after this flush is not acknowledged.
	if err := a.service.Record(ctx, bill("2")); err != nil {
		t.Fatal(err)
	}
	a.service.tick(ctx, true)
	if store.Writes() != 1 || far.size() != 0 {
		t.Fatalf("%d writes and %d bytes of copies after a flush, want 1 and 0", store.Writes(), far.size())
	}
	a.client.SetUnavailable(true)
	a.dropReplies = false
	refused := 0
	for i := range limit {
		room := a.service.HasCapacity()
		err := a.service.Record(ctx, bill(fmt.Sprint("x", i)))
		if err == nil {
			continue
		}
		if result.CodeOf(err) != result.LedgerFull || room {
			t.Fatalf("HasCapacity returned %t, then Record returned %v", room, err)
		}
		refused++
	}
	if refused == 0 || far.size() > limit/2 || a.service.queue.size() > limit {
		t.Fatalf("%d bills refused, %d bytes of copies, %d bytes in the queue", refused, far.size(), a.service.queue.size())
	}
	a.client.SetUnavailable(false)
	a.service.tick(ctx, true)
	if far.size() != 0 || a.service.queue.size() != 0 {
		t.Fatal("the queues are not empty after the outage")
	}
}

// Guards against a running service that does not flush periodically, bills that
// are not written in a planned stop, and a filter that reads the wrong hours.
func TestServiceFlushesAndFilterSelects(t *testing.T) {
	store := memstore.New(clock.Real{})
	k := kernel.New(clock.Real{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	s := New(Options{Node: "n", FlushInterval: 20 * time.Millisecond})
	if err := k.Register(timeline.NewService("n", k.HLC, 64), store.Client(), s); err != nil {
		t.Fatal(err)
	}
	if err := k.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	now := time.Now()
	early, late := bill("early"), bill("late")
	early.Time, late.Time = now.Add(-5*time.Hour), now
	if err := s.Record(ctx, early); err != nil {
		t.Fatal(err)
	}
	for store.Writes() == 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if err := s.Record(ctx, late); err != nil {
		t.Fatal(err)
	}
	if err := k.Drain(ctx); err != nil {
		t.Fatal(err)
	}
	if err := k.Stop(ctx); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		filter Filter
		want   int
	}{
		{Filter{}, 2},
		{Filter{Organisation: "vaxmynd"}, 0},
		{Filter{From: now.Add(-6 * time.Hour), To: now}, 1},
		{Filter{From: now, To: now.Add(time.Hour)}, 1},
	} {
		sum, err := Reconcile(ctx, store.Client(), c.filter)
		if got := sum.Organisations["berceuse"].Bills; err != nil || got != c.want {
			t.Fatalf("filter %+v: got %d bills, want %d, error %v", c.filter, got, c.want, err)
		}
	}
}

// Guards against a reconciliation whose memory grows with the number of bills, and
// against passes that count a bill twice or not at all. The test reads more values
// than one list may return and more ids than one pass keeps.
func TestReconcileIsBounded(t *testing.T) {
	const batches, bills, maxIDs = 70, 20, 100
	ctx, fake := context.Background(), clock.NewFake(time.Unix(1000, 0))
	client := memstore.New(fake).Client()
	client.SetHook(func(op, _ string) memstore.Fault {
		if op == "list" {
			return memstore.Unavailable
		}
		return memstore.None
	})
	for b := range batches {
		var out batch
		for i := range bills {
			raw, err := encode(bill(fmt.Sprint(b/2*bills + i))) // Every bill is in two batches.
			if err != nil {
				t.Fatal(err)
			}
			out.Bills = append(out.Bills, raw)
		}
		raw, err := cbor.Marshal(out)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := client.Create(ctx, fmt.Sprintf("%s1970010100/n/%03d", keyPrefix, b), raw); err != nil {
			t.Fatal(err)
		}
	}
	sum, err := reconcile(ctx, client, Filter{}, maxIDs)
	if total := sum.Organisations["berceuse"]; err != nil || total.Bills != batches*bills/2 ||
		sum.Duplicates != batches*bills/2 || sum.Batches != batches {
		t.Fatalf("unexpected summary %+v, error %v", sum, err)
	}
	c := counter{high: partitionCount, maxIDs: maxIDs}
	for i := range batches * bills {
		if c.add(bill(fmt.Sprint(i))); c.ids > maxIDs {
			t.Fatalf("%d ids in memory, want at most %d", c.ids, maxIDs)
		}
	}
}
