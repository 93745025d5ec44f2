package quality

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/goleak"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/lease"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
)

var ref1 = config.VersionRef{Model: "m", Version: "1"}

type fakeSource struct {
	kernel.Base
	config.Static
}

func (*fakeSource) Name() string { return config.SourceServiceName }

// fakePeers delivers messages between the nodes of one test.
type fakePeers struct {
	mu    sync.Mutex
	nodes map[peer.NodeID]*fakeMessenger
	order []*fakeMessenger // by id
}

// fakeMessenger is the Messenger of one node. It counts the bytes sent and
// received; a dead node does neither.
type fakeMessenger struct {
	kernel.Base
	peer.Messenger
	id       peer.NodeID
	region   string
	peers    *fakePeers
	handlers map[peer.Kind]peer.Handler
	dead     bool
	bytes    int
}

func (p *fakePeers) node(id peer.NodeID, region string) *fakeMessenger {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := &fakeMessenger{id: id, region: region, peers: p, handlers: map[peer.Kind]peer.Handler{}}
	p.nodes[id] = m
	p.order = append(p.order, m)
	slices.SortFunc(p.order, func(a, b *fakeMessenger) int { return strings.Compare(string(a.id), string(b.id)) })
	return m
}

// fakeMembers is a node's membership view: all nodes, including dead ones, except
// the hidden ones.
type fakeMembers struct {
	kernel.Base
	peer.Members
	peers  *fakePeers
	hidden map[peer.NodeID]bool
}

func (*fakeMembers) Name() string { return peer.MembershipServiceName }

func (f *fakeMembers) Live() []peer.Member {
	var live []peer.Member
	for _, n := range f.peers.order {
		if !f.hidden[n.id] {
			live = append(live, peer.Member{ID: n.id, Region: n.region})
		}
	}
	return live
}

func (*fakeMessenger) Name() string                         { return peer.TransportServiceName }
func (m *fakeMessenger) Self() peer.NodeID                  { return m.id }
func (m *fakeMessenger) Handle(k peer.Kind, h peer.Handler) { m.handlers[k] = h }

func (m *fakeMessenger) Request(ctx context.Context, to peer.NodeID, kind peer.Kind, body, reply any) error {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	target := m.peers.nodes[to]
	if m.bytes += len(raw); m.dead || target.dead {
		return result.New(result.PeerFailed, "node unreachable").WithRun(result.Unknown)
	}
	target.bytes += len(raw)
	answer, err := target.handlers[kind](ctx, m.id, raw)
	if err != nil {
		return err
	}
	if raw, err = cbor.Marshal(answer); err != nil {
		return err
	}
	target.bytes += len(raw)
	m.bytes += len(raw)
	return cbor.Unmarshal(raw, reply)
}

func (m *fakeMessenger) Notify(to peer.NodeID, kind peer.Kind, body any) error {
	raw, err := cbor.Marshal(body)
	target := m.peers.nodes[to]
	if m.bytes += len(raw); err != nil || m.dead || target.dead {
		return err
	}
	target.bytes += len(raw)
	_, err = target.handlers[kind](context.Background(), m.id, raw)
	return err
}

// fakeLeases grants every lease; stale makes all of them expire.
type fakeLeases struct {
	kernel.Base
	lease.Lease
	stale bool
	// epochOffset is added to the epoch.
	epochOffset uint64
}

func (*fakeLeases) Name() string                  { return lease.ServiceName }
func (f *fakeLeases) Held() bool                  { return !f.stale }
func (f *fakeLeases) Epoch() uint64               { return 3 + f.epochOffset }
func (*fakeLeases) Release(context.Context) error { return nil }
func (f *fakeLeases) Acquire(context.Context, string, func([]byte, bool) []byte) (lease.Lease, error) {
	if f.stale {
		return nil, result.New(result.LeaseLost, "held by another node")
	}
	return f, nil
}

type fakeStore struct {
	kernel.Base
	objectstore.Store
	object objectstore.Object
	writes int
}

func (*fakeStore) Name() string { return objectstore.ServiceName }

func (f *fakeStore) Get(_ context.Context, _ string) (objectstore.Object, error) {
	if f.object.Version == 0 {
		return f.object, result.New(result.ObjectNotFound, "none")
	}
	return f.object, nil
}

func (f *fakeStore) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	return f.Update(ctx, key, value, 0)
}

func (f *fakeStore) Update(_ context.Context, key string, value []byte, version uint64) (objectstore.Object, error) {
	if version != f.object.Version {
		return f.object, result.New(result.ObjectConflict, "version")
	}
	f.writes++
	f.object = objectstore.Object{Key: key, Value: value, Version: version + 1}
	return f.object, nil
}

func startService(t *testing.T, c clock.Clock, o Options, services ...kernel.Service) *Service {
	t.Helper()
	s, k := newService(t, c, o, services...)
	if err := s.Provision(k); err != nil {
		t.Fatal(err)
	}
	return s
}

func newService(t *testing.T, c clock.Clock, o Options, services ...kernel.Service) (*Service, *kernel.Kernel) {
	t.Helper()
	k := kernel.New(c, slog.New(slog.NewTextHandler(io.Discard, nil)))
	source := &fakeSource{}
	source.Snapshot = config.NewSnapshot(1, "", config.Declarations{Models: []config.Model{{
		Name: "m", Versions: []config.Version{{Name: "1", PriceInput: 2, PriceOutput: 10, PriorQuality: 0.9,
			ClassQuality: map[string]float64{"tag": 0.7}}},
	}}})
	s := New(o)
	if err := k.Register(append(services, source, s)...); err != nil {
		t.Fatal(err)
	}
	return s, k
}

// Guards against estimates that ignore the prior, do not converge, report a
// lower bound above the mean, or do not follow a version that degrades.
func TestEstimateFollowsRatings(t *testing.T) {
	s := startService(t, clock.Real{}, Options{})
	prior := s.Estimate("tag", ref1)
	if prior.Mean != 0.7 || prior.Cost != 4 || prior.Time != 0 || s.Estimate("draft", ref1).Mean != 0.9 {
		t.Fatalf("prior estimate %+v", prior)
	}
	rng := rand.New(rand.NewSource(1))
	rate := func(mean float64, n int) Estimate {
		for range n {
			s.record(Sample{Class: "tag", Version: ref1}, ratingCell(min(1, max(0, mean+0.1*rng.NormFloat64()))))
		}
		return s.Estimate("tag", ref1)
	}
	good := rate(0.8, 400)
	if good.Mean < 0.77 || good.Mean > 0.83 || good.Lower >= good.Mean || good.Lower < good.Mean-0.04 {
		t.Fatalf("after 400 ratings around 0.8: %+v", good)
	}
	if bad := rate(0.64, 400); bad.Mean > 0.68 {
		t.Fatalf("after 400 ratings around 0.64: %+v", bad)
	}
}

// Guards against ratings counted twice or lost, unrated answers counted as
// rated, and errors without their result code.
func TestRatingService(t *testing.T) {
	var mu sync.Mutex
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		calls++
		var body map[string]string
		if json.NewDecoder(r.Body).Decode(&body) != nil || r.URL.Path != "/rate" || body["version"] != "1" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		switch body["answer"] {
		case "none":
			w.WriteHeader(http.StatusNoContent)
		case "wild":
			_, _ = w.Write([]byte(`{"rating":7}`))
		default:
			_, _ = w.Write([]byte(`{"rating":0.5}`))
		}
	}))
	defer server.Close()
	s := startService(t, clock.Real{}, Options{RatingURL: server.URL, SampleShare: 1})
	sample := func(answer string) Sample {
		return Sample{RequestID: answer, Class: "tag", Version: ref1, Answer: answer, Time: time.Second}
	}
	if x, err := s.Rate(sample("fine"), time.Minute); err != nil || x != 0.5 {
		t.Fatal(x, err)
	}
	if s.Observe(sample("fine")); len(s.queue) != 0 {
		t.Fatal("answer already rated by the check was queued for rating")
	}
	for _, answer := range []string{"none", "wild"} {
		if _, err := s.Rate(sample(answer), time.Minute); result.CodeOf(err) != result.UpstreamError {
			t.Fatalf("%s: %v", answer, err)
		}
	}
	if _, err := s.Rate(sample("late"), 0); result.CodeOf(err) != result.UpstreamTimeout {
		t.Fatal(err)
	}
	s.Observe(sample("queued"))
	s.rateOne(context.Background(), <-s.queue)
	e := s.Estimate("tag", ref1)
	if calls != 4 || e.Rated < 1.99 || e.Rated > 2 || e.Time != time.Second {
		t.Fatalf("%d rating requests, estimate %+v", calls, e)
	}
}

// Guards against a served quality that counts rejected answers, overrates
// accepted ones, or samples some versions more than others; and against new
// versions that are never rated because the class already has enough ratings.
func TestServedQuality(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"rating":0.9}`))
	}))
	defer server.Close()
	s := startService(t, clock.Real{}, Options{RatingURL: server.URL, SampleShare: 1e-9})
	rated := Sample{RequestID: "rejected", Class: "tag", Version: ref1}
	if _, err := s.Rate(rated, time.Minute); err != nil || s.Served("tag").Rated != 0 {
		t.Fatalf("%v, %+v", err, s.Served("tag"))
	}
	s.Observe(rated) // The answer is returned to the caller after all.
	if got := s.Served("tag"); got.Rated != 1 || got.Mean >= 0.9 || got.Lower >= got.Mean {
		t.Fatalf("served quality after one answer accepted with rating 0.9: %+v", got)
	}
	for range 2 * minClassRatings {
		s.record(Sample{Class: "tag", Version: ref1}, ratingCell(0.8))
		s.recordServed(Sample{Class: "tag"}, 0.8)
	}
	before := s.Served("tag")
	s.Observe(Sample{Class: "tag", Version: ref1})
	if len(s.queue) != 0 {
		t.Fatal("version and class with enough ratings are sampled above the sample share")
	}
	s.Observe(Sample{Class: "tag", Version: config.VersionRef{Model: "m", Version: "new"}})
	s.rateOne(context.Background(), <-s.queue)
	if got := s.Served("tag"); got != before {
		t.Fatalf("rating of a new version changed the served quality from %+v to %+v", before, got)
	}
}

// Guards against observations that do not reach the other nodes of the region,
// are counted twice, leak to another region, or are lost when the aggregator
// is replaced.
func TestRegionSharesObservations(t *testing.T) {
	ctx, fake := context.Background(), clock.NewFake(time.Unix(1000, 0))
	peers, store := &fakePeers{nodes: map[peer.NodeID]*fakeMessenger{}}, &fakeStore{}
	leases := &fakeLeases{}
	members := &fakeMembers{peers: peers}
	agg := startService(t, fake, Options{Region: "r"}, peers.node("agg", "r"), members, leases, store)
	node := startService(t, fake, Options{Region: "r"}, peers.node("node", "r"), members)
	third := startService(t, fake, Options{Region: "r"}, peers.node("third", "r"), members)
	far := startService(t, fake, Options{Region: "q"}, peers.node("far", "q"), members)
	all := []*Service{agg, node, third, far}
	round := func() {
		for _, s := range all {
			s.sharing.tick(ctx)
			s.sharing.fetch(ctx)
		}
		fake.Advance(minCycle)
	}
	round()
	for range 50 {
		node.record(Sample{Class: "tag", Version: ref1}, ratingCell(0.2))
	}
	for range 20 {
		round()
	}
	want := agg.Estimate("tag", ref1)
	if want.Rated < 40 || want.Rated > 50 {
		t.Fatalf("aggregator: %+v", want)
	}
	if got := third.Estimate("tag", ref1); got != want {
		t.Fatalf("third node: %+v, aggregator: %+v", got, want)
	}
	if far.Estimate("tag", ref1).Rated != 0 {
		t.Fatal("observations reached another region")
	}
	if store.writes != 1 || store.object.Key != "quality/r" {
		t.Fatalf("%d writes of %q in 100 s with one change", store.writes, store.object.Key)
	}
	next := startService(t, fake, Options{Region: "r"}, peers.node("next", "r"), &fakeLeases{}, store)
	next.sharing.tick(ctx)
	if got := next.Estimate("tag", ref1); got != want {
		t.Fatalf("successor: %+v, aggregator: %+v", got, want)
	}
	leases.stale = true
	node.record(Sample{Class: "tag", Version: ref1}, ratingCell(0.2))
	round()
	if len(node.sharing.pending) != 1 {
		t.Fatal("observations were delivered to a node whose lease has expired")
	}
}

// Guards against a rating queue that is not processed, an Observe that blocks
// when the queue is full, and workers that outlive the service.
func TestServiceRatesQueuedAnswers(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = w.Write([]byte(`{"rating":0.5}`))
	}))
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	s, k := newService(t, clock.Real{}, Options{RatingURL: server.URL, SampleShare: 1, Queue: 4, Workers: 2, HTTP: client})
	if err := k.Start(); err != nil {
		t.Fatal(err)
	}
	for range 100 {
		s.Observe(Sample{Class: "tag", Version: ref1})
	}
	close(release)
	for deadline := time.Now().Add(10 * time.Second); s.Estimate("tag", ref1).Rated < 3; {
		if time.Now().After(deadline) {
			t.Fatalf("estimate after 10 s: %+v", s.Estimate("tag", ref1))
		}
		time.Sleep(time.Millisecond)
	}
	if err := k.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
}
