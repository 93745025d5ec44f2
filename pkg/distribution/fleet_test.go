package distribution

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/membership"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/peer/memnet"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

// fakeStore is an in-memory objectstore.Store that can be made unavailable.
type fakeStore struct {
	kernel.Base
	mu          sync.Mutex
	objects     map[string]objectstore.Object
	version     uint64
	unavailable bool
	watchers    map[chan objectstore.Object]string
	onWrite     func(objectstore.Object)
	reads       int
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string]objectstore.Object{}, watchers: map[chan objectstore.Object]string{}}
}

func (*fakeStore) Name() string { return objectstore.ServiceName }

func (f *fakeStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.unavailable {
		return objectstore.Object{}, result.New(result.PlatformUnavailable, "object store unavailable")
	}
	o, ok := f.objects[key]
	if !ok {
		return o, result.New(result.ObjectNotFound, "%s", key)
	}
	return o, nil
}

func (f *fakeStore) List(context.Context, string) ([]objectstore.Object, error) { return nil, nil }

func (f *fakeStore) ListPage(context.Context, string, string, int) ([]objectstore.Object, string, error) {
	return nil, "", nil
}

func (f *fakeStore) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	return f.Update(ctx, key, value, 0)
}

func (f *fakeStore) Update(_ context.Context, key string, value []byte, version uint64) (objectstore.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return objectstore.Object{}, result.New(result.PlatformUnavailable, "object store unavailable")
	}
	if f.objects[key].Version != version {
		return objectstore.Object{}, result.New(result.ObjectConflict, "%s", key)
	}
	f.version++
	o := objectstore.Object{Key: key, Value: value, Version: f.version}
	f.objects[key] = o
	for ch, prefix := range f.watchers {
		if strings.HasPrefix(key, prefix) {
			ch <- o
		}
	}
	if f.onWrite != nil {
		f.onWrite(o)
	}
	return o, nil
}

func (f *fakeStore) Delete(context.Context, string, uint64) error { return nil }

func (f *fakeStore) Watch(ctx context.Context, prefix string, after uint64) (<-chan objectstore.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan objectstore.Object, 64)
	for key, o := range f.objects {
		if strings.HasPrefix(key, prefix) && o.Version > after {
			ch <- o
		}
	}
	f.watchers[ch] = prefix
	context.AfterFunc(ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.watchers, ch)
		close(ch)
	})
	return ch, nil
}

// put writes unconditionally.
func (f *fakeStore) put(key string, value []byte) {
	f.mu.Lock()
	version := f.objects[key].Version
	f.mu.Unlock()
	if _, err := f.Update(context.Background(), key, value, version); err != nil {
		panic(err)
	}
}

func (f *fakeStore) setUnavailable(unavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable = unavailable
}

// declarations returns declarations with the given number of organisations, whose
// names start with tag.
func declarations(tag string, organisations int) config.Declarations {
	var d config.Declarations
	for i := range organisations {
		d.Organisations = append(d.Organisations, config.Organisation{
			Name: fmt.Sprintf("%s-%d", tag, i), Allow: []string{fmt.Sprintf("model-%x", i*7919)},
		})
	}
	return d
}

var errInvalid = errors.New("organisation name starts with invalid")

func validate(d config.Declarations) error {
	if slices.ContainsFunc(d.Organisations, func(o config.Organisation) bool { return strings.HasPrefix(o.Name, "invalid") }) {
		return errInvalid
	}
	return nil
}

func encodedConfig(t testing.TB, number uint64, tag string, size int) []byte {
	t.Helper()
	raw, err := EncodeStored(Stored{Number: number, Publisher: "test", Declarations: declarations(tag, size)})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// fleet is a set of nodes on an in-memory network that share one object store.
type fleet struct {
	t       testing.TB
	net     *memnet.Network
	store   *fakeStore
	nodes   []*node
	members []peer.Member
	seed    int64
}

type node struct {
	*Service
	members  *membership.Service
	endpoint *memnet.Endpoint
	eventLog *timeline.Service
	down     bool
}

// watchDelay is the simulated latency of the object store's watch.
const watchDelay = 5 * time.Millisecond

func newFleet(t testing.TB, o memnet.Options) *fleet {
	f := &fleet{t: t, seed: o.Seed, store: newFakeStore()}
	f.net = memnet.New(clock.NewFake(time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)), o)
	// Watches are simulated: relays receive each write after watchDelay.
	f.store.onWrite = func(obj objectstore.Object) {
		f.net.After(watchDelay, func() {
			for _, n := range f.nodes {
				if !n.down && n.members.IsRelay() {
					n.handleObject(obj)
				}
			}
		})
	}
	return f
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250) }

// memberAt returns the member entry of the node with the given index.
func memberAt(i int) peer.Member {
	return peer.Member{
		ID:    peer.NodeID(fmt.Sprintf("n-%016x", uint64(i+1)*0x9e3779b97f4a7c15)),
		State: peer.Alive, Incarnation: 1,
		PeerAddress: address(i), EntryAddress: "http://" + address(i), AdminAddress: "http://" + address(i),
		Region: []string{"dakar", "dakar", "thies"}[i%3], FailureDomain: fmt.Sprint("domain-", i%3),
	}
}

func (f *fleet) add() *node {
	f.t.Helper()
	i := len(f.nodes)
	self := memberAt(i)
	id := self.ID
	k := kernel.New(f.net.Clock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	set := metrics.NewSet()
	seed := f.seed*1000 + int64(i) + 1
	n := &node{endpoint: f.net.AddNode(id, address(i)), eventLog: timeline.NewService(string(id), k.HLC, 64)}
	n.members = membership.New(membership.Options{Self: self, InitialMembers: f.members, Seeds: []string{address(0), address(1), address(2)}, Seed: seed, Metrics: set})
	n.Service = New(Options{Validate: validate, Seed: seed, Metrics: set})
	services := []kernel.Service{n.eventLog, n.endpoint, f.store, n.members, n.Service}
	if err := k.Register(services...); err != nil {
		f.t.Fatal(err)
	}
	for _, s := range services {
		if err := s.Provision(k); err != nil {
			f.t.Fatal(err)
		}
	}
	f.net.Every(n.endpoint, membership.TickInterval, n.members.Tick)
	f.net.Every(n.endpoint, TickInterval, n.Tick)
	f.nodes = append(f.nodes, n)
	return n
}

// start adds n nodes with a complete initial member list and waits until every
// node sees all others as live.
func (f *fleet) start(n int) {
	f.t.Helper()
	for i := range n {
		f.members = append(f.members, memberAt(i))
	}
	for range n {
		f.add()
	}
	f.members = nil
	f.net.Run(2 * time.Second)
	f.within("membership", 30*time.Second, func(x *node) bool { return len(x.members.Live()) == len(f.nodes) })
}

// within runs the network until ok holds on every running node.
func (f *fleet) within(what string, limit time.Duration, ok func(*node) bool) time.Duration {
	f.t.Helper()
	took, done := f.net.RunUntil(limit, 20*time.Millisecond, func() bool {
		return !slices.ContainsFunc(f.nodes, func(n *node) bool { return !n.down && !ok(n) })
	})
	if !done {
		missing := 0
		for _, n := range f.nodes {
			if !n.down && !ok(n) {
				missing++
			}
		}
		f.t.Fatalf("seed %d: %s not reached on %d of %d nodes after %s", f.seed, what, missing, len(f.nodes), limit)
	}
	f.t.Logf("seed %d: %s on %d nodes after %s", f.seed, what, len(f.nodes), took)
	return took
}

func hasNumber(number uint64) func(*node) bool {
	return func(n *node) bool { return n.number() == number }
}
