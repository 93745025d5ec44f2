package rollout

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/lease"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
)

// testCluster is the environment shared by the nodes of one test.
type testCluster struct {
	t           *testing.T
	mu          sync.Mutex // Guards marks, objects and log.
	clock       *clock.Fake
	marks       config.Marks
	snapshot    *config.Snapshot
	rollouts    []config.Rollout // Rollouts of the snapshot; tests may pause them.
	objects     map[string]objectstore.Object
	storeDown   bool
	leaseHolder *node
	epoch       uint64
	nodes       []*node
	log         []string
}

// node is one node with fakes of the other services.
type node struct {
	*Service
	cluster  *testCluster
	id       peer.NodeID
	handlers map[peer.Kind]peer.Handler
}

type fakeService struct {
	kernel.Base
	*node
	name string
}

func (s fakeService) Name() string { return s.name }

type fakeSource struct{ fakeService }

func (f fakeSource) Current() *config.Snapshot {
	return f.cluster.snapshot
}
func (f fakeSource) Marks() config.Marks {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	return f.cluster.marks
}
func (f fakeSource) Subscribe() <-chan struct{} { return nil }
func (f fakeSource) SetMark(key string, state config.MarkState, _ string) error {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	f.cluster.marks = config.Marks{key: {State: state}}
	f.cluster.log = append(f.cluster.log, "mark")
	return nil
}

type fakeMessenger struct {
	fakeService
	peer.Messenger
}

func (f fakeMessenger) Name() string                       { return f.name }
func (f fakeMessenger) Self() peer.NodeID                  { return f.id }
func (f fakeMessenger) Handle(k peer.Kind, h peer.Handler) { f.handlers[k] = h }
func (f fakeMessenger) Request(ctx context.Context, to peer.NodeID, kind peer.Kind, body, reply any) error {
	raw, err := cbor.Marshal(body)
	for _, n := range f.cluster.nodes {
		if n.id == to && err == nil {
			var answer any
			if answer, err = n.handlers[kind](ctx, f.id, raw); err == nil {
				raw, _ = cbor.Marshal(answer)
				return cbor.Unmarshal(raw, reply)
			}
		}
	}
	return result.New(result.PeerFailed, "no answer: %v", err)
}
func (f fakeMessenger) Flood(kind peer.Kind, body any) error {
	raw, err := cbor.Marshal(body)
	for _, n := range f.cluster.nodes {
		if n != f.node {
			_, _ = n.handlers[kind](context.Background(), f.id, raw)
		}
	}
	return err
}

type fakeMembers struct {
	fakeService
	peer.Members
}

func (f fakeMembers) Name() string { return f.name }
func (f fakeMembers) Live() (members []peer.Member) {
	for _, n := range f.cluster.nodes {
		members = append(members, peer.Member{ID: n.id})
	}
	return members
}

type fakeLeases struct {
	fakeService
	lease.Lease
	epoch uint64
}

func (f fakeLeases) Name() string                  { return f.name }
func (f fakeLeases) Held() bool                    { return f.cluster.leaseHolder == f.node && f.cluster.epoch == f.epoch }
func (f fakeLeases) Epoch() uint64                 { return f.epoch }
func (f fakeLeases) Release(context.Context) error { f.cluster.leaseHolder = nil; return nil }
func (f fakeLeases) Acquire(context.Context, string, func([]byte, bool) []byte) (lease.Lease, error) {
	if f.cluster.leaseHolder != nil || f.cluster.storeDown {
		return nil, result.New(result.LeaseLost, "held")
	}
	f.cluster.leaseHolder = f.node
	f.cluster.epoch++
	f.epoch = f.cluster.epoch
	return f, nil
}

type fakeStore struct {
	fakeService
	objectstore.Store
}

func (f fakeStore) Name() string { return f.name }
func (f fakeStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	o, ok := f.cluster.objects[key]
	switch {
	case f.cluster.storeDown:
		return o, result.New(result.PlatformUnavailable, "away")
	case !ok:
		return o, result.New(result.ObjectNotFound, "none")
	}
	return o, nil
}
func (f fakeStore) List(context.Context, string) (objects []objectstore.Object, err error) {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	for _, o := range f.cluster.objects {
		objects = append(objects, o)
	}
	return objects, nil
}
func (f fakeStore) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	return f.Update(ctx, key, value, 0)
}
func (f fakeStore) Update(_ context.Context, key string, value []byte, version uint64) (objectstore.Object, error) {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	if f.cluster.storeDown {
		return objectstore.Object{}, result.New(result.PlatformUnavailable, "away")
	}
	if f.cluster.objects[key].Version != version {
		return objectstore.Object{}, result.New(result.ObjectConflict, "version")
	}
	o := objectstore.Object{Key: key, Value: value, Version: version + 1}
	f.cluster.objects[key] = o
	if strings.Contains(string(value), `"halted"`) {
		f.cluster.log = append(f.cluster.log, "state")
	}
	return o, nil
}

func newTestCluster(t *testing.T, rollouts ...config.Rollout) *testCluster {
	return &testCluster{
		t: t, clock: clock.NewFake(time.Unix(1000, 0)), objects: map[string]objectstore.Object{}, rollouts: rollouts,
		snapshot: config.NewSnapshot(1, "", config.Declarations{Rollouts: rollouts}),
	}
}

// newNode returns a node and a kernel with all services that the node looks up.
func (cluster *testCluster) newNode() (*node, *kernel.Kernel) {
	n := &node{cluster: cluster, id: peer.NodeID(fmt.Sprintf("n%03d", cluster.epoch*1000+uint64(len(cluster.nodes)))), handlers: map[peer.Kind]peer.Handler{}}
	n.Service = New(Options{})
	k := kernel.New(cluster.clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
	as := func(name string) fakeService { return fakeService{node: n, name: name} }
	err := k.Register(fakeSource{as(config.SourceServiceName)}, fakeMessenger{fakeService: as(peer.TransportServiceName)},
		fakeMembers{fakeService: as(peer.MembershipServiceName)}, fakeLeases{fakeService: as(lease.ServiceName)},
		fakeStore{fakeService: as(objectstore.ServiceName)}, n.Service)
	if err != nil {
		cluster.t.Fatal(err)
	}
	return n, k
}

func (cluster *testCluster) addNode() *node {
	n, k := cluster.newNode()
	if err := n.Provision(k); err != nil {
		cluster.t.Fatal(err)
	}
	n.readViews(context.Background())
	cluster.nodes = append(cluster.nodes, n)
	return n
}

// tick advances the clock by one second and runs the periodic work of every node.
func (cluster *testCluster) tick() {
	cluster.clock.Advance(tickInterval)
	for _, n := range cluster.nodes {
		n.sendSamples(context.Background())
		n.haltTripped()
		n.reconcile(context.Background())
	}
}
