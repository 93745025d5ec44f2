package session

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
)

var (
	oldKey = bytes.Repeat([]byte("o"), minKeyBytes)
	newKey = bytes.Repeat([]byte("n"), minKeyBytes)
	v1     = config.VersionRef{Model: "lyric", Version: "1.0"}
	v2     = config.VersionRef{Model: "lyric", Version: "2.0"}
)

// fleet joins keepers in one process. It is the Members of all of them.
type fleet struct {
	clock *clock.Fake
	nodes map[peer.NodeID]*fakeNode
	down  map[peer.NodeID]bool
	// order lists the members as given out; failure domains alternate.
	order    []peer.Member
	requests int
}

type fakeNode struct {
	fleet    *fleet
	id       peer.NodeID
	handlers map[peer.Kind]peer.Handler
	service  *Service
}

func (n *fakeNode) Self() peer.NodeID                        { return n.id }
func (n *fakeNode) Notify(peer.NodeID, peer.Kind, any) error { return nil }
func (n *fakeNode) Flood(peer.Kind, any) error               { return nil }
func (n *fakeNode) Handle(k peer.Kind, h peer.Handler)       { n.handlers[k] = h }

func (n *fakeNode) Request(ctx context.Context, to peer.NodeID, kind peer.Kind, body, reply any) error {
	n.fleet.requests++
	if n.fleet.down[to] {
		return result.New(result.PeerFailed, "no answer")
	}
	raw, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	answer, err := n.fleet.nodes[to].handlers[kind](ctx, n.id, raw)
	if err != nil {
		return err
	}
	if raw, err = cbor.Marshal(answer); err != nil {
		return err
	}
	return cbor.Unmarshal(raw, reply)
}

type fakeMembers struct {
	*fleet
	id peer.NodeID
}

func (m fakeMembers) Self() peer.Member          { return peer.Member{ID: m.id} }
func (m fakeMembers) All() []peer.Member         { return m.order }
func (m fakeMembers) Live() []peer.Member        { return m.order }
func (m fakeMembers) Isolated() bool             { return false }
func (m fakeMembers) SetReady(bool)              {}
func (m fakeMembers) Leave()                     {}
func (m fakeMembers) Subscribe() <-chan struct{} { return nil }

func (f *fleet) join(t testing.TB, id peer.NodeID) *Service {
	n := &fakeNode{fleet: f, id: id, handlers: map[peer.Kind]peer.Handler{}}
	s, err := New(Options{Keys: [][]byte{oldKey}, Clock: f.clock, Messenger: n, Members: fakeMembers{f, id}})
	if err != nil {
		t.Fatal(err)
	}
	s.registerHandlers()
	n.service = s
	f.nodes[id] = n
	f.order = append(f.order, peer.Member{ID: id, State: peer.Alive, FailureDomain: fmt.Sprint(len(f.order) % 3)})
	return s
}

func newFleet(t testing.TB, n int) (*fleet, []*Service) {
	f := &fleet{
		clock: clock.NewFake(time.Unix(1_000_000, 0)),
		nodes: map[peer.NodeID]*fakeNode{}, down: map[peer.NodeID]bool{},
	}
	var services []*Service
	for i := range n {
		services = append(services, f.join(t, peer.NodeID(fmt.Sprint("n", i))))
	}
	return f, services
}

// Guards against tokens that are forged, altered, used by another
// organisation, expired or signed with a removed key, and against rotations
// that end running sessions.
func TestTokens(t *testing.T) {
	ctx := context.Background()
	fake := clock.NewFake(time.Unix(1_000_000, 0))
	s, err := New(Options{Keys: [][]byte{oldKey}, Clock: fake, MaxAge: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	fresh, err := s.Resolve(ctx, "berceuse", "draft", "new")
	if err != nil || fresh.ID == "" || fresh.Pinned != (config.VersionRef{}) || fresh.Cohort < 0 || fresh.Cohort >= 1 {
		t.Fatalf("%+v, %v", fresh, err)
	}
	token, _, err := s.Bind(ctx, "berceuse", "draft", fresh, v1)
	if err != nil {
		t.Fatal(err)
	}
	resolve := func(organisation, header string) (Session, error) {
		return s.Resolve(ctx, organisation, "draft", header)
	}
	if got, err := resolve("berceuse", token); err != nil || got.Pinned != v1 || got.ID != fresh.ID || got.Cohort != fresh.Cohort {
		t.Fatalf("%+v, %v", got, err)
	}
	if _, err := resolve("vaxmynd", token); result.CodeOf(err) != result.BadSession {
		t.Fatal("another organisation's token:", err)
	}
	rapid.Check(t, func(rt *rapid.T) {
		altered := []byte(token)
		i := rapid.IntRange(0, len(token)-1).Draw(rt, "index")
		altered[i] = rapid.Byte().Draw(rt, "byte")
		header := string(altered)
		if header == token {
			rt.Skip("not altered")
		}
		got, err := resolve("berceuse", header)
		if err != nil && result.CodeOf(err) != result.BadSession {
			rt.Fatal(err)
		}
		if err == nil && (strings.HasPrefix(header, tokenPrefix) || got.Pinned != (config.VersionRef{})) {
			rt.Fatalf("%q is accepted: %+v", header, got)
		}
	})
	if err := s.SetKeys([][]byte{newKey, oldKey}); err != nil {
		t.Fatal(err)
	}
	kept, err := resolve("berceuse", token)
	if err != nil {
		t.Fatal("the old key is still listed:", err)
	}
	renewed, _, _ := s.Bind(ctx, "berceuse", "draft", kept, v1)
	if err := s.SetKeys([][]byte{newKey}); err != nil {
		t.Fatal(err)
	}
	if _, err := resolve("berceuse", renewed); err != nil {
		t.Fatal("the renewed token has the old key:", err)
	}
	if _, err := resolve("berceuse", token); result.CodeOf(err) != result.BadSession {
		t.Fatal("the removed key verifies")
	}
	fake.Advance(time.Hour + time.Second)
	if _, err := resolve("berceuse", renewed); result.CodeOf(err) != result.BadSession {
		t.Fatal("an expired token is accepted")
	}
	for _, header := range []string{strings.Repeat("x", maxNameLen+1), "a\tb", "ä", "s1.", "s1.a.b.c.d"} {
		if _, err := resolve("berceuse", header); result.CodeOf(err) != result.BadSession {
			t.Errorf("%q is accepted", header)
		}
	}
}

// Guards against a named session that changes its version: when two first
// requests race, when one home is lost or a new member becomes a home, when
// another organisation uses the name, and while no home answers; and against a
// name that is kept for ever.
func TestNamesKeepTheirVersion(t *testing.T) {
	ctx := context.Background()
	const names = 60
	f, nodes := newFleet(t, 5)
	bind := func(s *Service, organisation, name string, ref config.VersionRef) config.VersionRef {
		sess, err := s.Resolve(ctx, organisation, "draft", name)
		if err != nil {
			t.Fatal(err)
		}
		if sess.Pinned != (config.VersionRef{}) {
			ref = sess.Pinned
		}
		_, actual, err := s.Bind(ctx, organisation, "draft", sess, ref)
		if err != nil {
			t.Fatal(err)
		}
		return actual
	}
	check := func(what string, nodes ...*Service) {
		t.Helper()
		for i := range names {
			s, name := nodes[i%len(nodes)], fmt.Sprint("song ", i)
			if got, _ := s.Resolve(ctx, "berceuse", "draft", name); got.Pinned != v1 {
				t.Fatalf("%s: name %d is pinned to %s", what, i, got.Pinned)
			}
			if got := bind(s, "berceuse", name, v2); got != v1 {
				t.Fatalf("%s: name %d has version %s", what, i, got)
			}
		}
	}
	for i := range names {
		name := fmt.Sprint("song ", i)
		first, _ := nodes[0].Resolve(ctx, "berceuse", "draft", name)
		second, _ := nodes[1].Resolve(ctx, "berceuse", "draft", name)
		_, _, _ = nodes[0].Bind(ctx, "berceuse", "draft", first, v1)
		if _, actual, _ := nodes[1].Bind(ctx, "berceuse", "draft", second, v2); actual != v1 {
			t.Fatal("the second request of a race got its own version")
		}
	}
	check("another node", nodes[2], nodes[3])
	if got := bind(nodes[2], "vaxmynd", "song 0", v2); got != v2 {
		t.Fatal("organisations share a name")
	}
	f.down["n4"] = true
	check("a silent home", nodes[:4]...)
	f.order = f.order[:4]
	check("a lost home", nodes[0])
	f.order = f.order[:3]
	f.down["n3"] = true
	check("one more lost home", nodes[0])
	joined := f.join(t, "n5")
	check("a new home", joined)
	for id := range f.nodes {
		f.down[id] = id != "n5"
	}
	check("no other node answers", joined)
	f.down = map[peer.NodeID]bool{}
	f.clock.Advance(DefaultNameTTL)
	if got := bind(joined, "berceuse", "song 0", v2); got != v2 {
		t.Fatal("a name outlives its time to live")
	}
}

// Guards against a first home that lost its names and binds them anew although
// the second one has them, when it could not be asked first.
func TestSecondHomeKeepsTheVersion(t *testing.T) {
	ctx := context.Background()
	f, nodes := newFleet(t, 3)
	s := nodes[0]
	homes := s.homes("berceuse", "song")
	sess, _ := s.Resolve(ctx, "berceuse", "draft", "song")
	_, _, _ = s.Bind(ctx, "berceuse", "draft", sess, v1)
	first := f.nodes[homes[0]].service
	first.homeTable = newTable(DefaultNames, DefaultNameTTL)
	_, _ = first.Resolve(ctx, "berceuse", "draft", "song") // Repairs the first home.
	if b, _ := first.homeTable.get(tableKey("berceuse", "song"), f.clock.Now()); b.ref != v1 {
		t.Fatal("the first home is not repaired")
	}
	first.homeTable = newTable(DefaultNames, DefaultNameTTL)
	// The zero version is what a request has that could ask no home.
	if _, actual, _ := s.Bind(ctx, "berceuse", "draft", sess, v2); actual != v1 {
		t.Fatal("the session has changed its version")
	}
	first.homeTable = newTable(DefaultNames, DefaultNameTTL)
	sess.Pinned = v1
	if _, actual, _ := s.Bind(ctx, "berceuse", "draft", sess, v2); actual != v2 {
		t.Fatal("the session cannot move")
	}
	for _, n := range nodes {
		if got, _ := n.Resolve(ctx, "berceuse", "draft", "song"); got.Pinned != v2 {
			t.Fatalf("the homes disagree: %s", got.Pinned)
		}
	}
}

// Guards against a move after a withdrawal that is not kept or that a late
// request undoes, writes on each request of a session, a table without bound,
// and a node alone that cannot keep names.
func TestMovesAndTableBounds(t *testing.T) {
	ctx := context.Background()
	f, nodes := newFleet(t, 3)
	sess, _ := nodes[0].Resolve(ctx, "berceuse", "draft", "song")
	_, _, _ = nodes[0].Bind(ctx, "berceuse", "draft", sess, v1)
	pinned, _ := nodes[1].Resolve(ctx, "berceuse", "draft", "song")
	late, _ := nodes[2].Resolve(ctx, "berceuse", "draft", "song")
	v3 := config.VersionRef{Model: "lyric", Version: "3.0"}
	if _, actual, _ := nodes[1].Bind(ctx, "berceuse", "draft", pinned, v2); actual != v2 {
		t.Fatal("the session did not move")
	}
	if _, actual, _ := nodes[2].Bind(ctx, "berceuse", "draft", late, v3); actual != v2 {
		t.Fatal("a late request moved the session again")
	}
	again, _ := nodes[1].Resolve(ctx, "berceuse", "draft", "song")
	before := f.requests
	_, _, _ = nodes[1].Bind(ctx, "berceuse", "draft", again, v2)
	if f.requests != before {
		t.Fatal("an unchanged binding was written again")
	}

	const bound = 10
	alone, err := New(Options{Keys: [][]byte{oldKey}, Clock: f.clock, Names: bound})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 * bound {
		sess, _ := alone.Resolve(ctx, "berceuse", "draft", fmt.Sprint(i))
		_, _, _ = alone.Bind(ctx, "berceuse", "draft", sess, v1)
	}
	if got, _ := alone.Resolve(ctx, "berceuse", "draft", fmt.Sprint(3*bound-1)); got.Pinned != v1 {
		t.Fatal("a node alone does not keep names")
	}
	if alone.homeTable.len() != bound || alone.recentNames.len() != bound {
		t.Fatalf("%d and %d names are kept", alone.homeTable.len(), alone.recentNames.len())
	}
}

// Guards against a named session that loses its version when both of its homes
// are replaced one after the other, by planned stops or by crashes that leave
// time for one handover.
func TestBindingsSurviveReplacementOfBothHomes(t *testing.T) {
	ctx := context.Background()
	for _, planned := range []bool{true, false} {
		f, services := newFleet(t, 6)
		const names = 100
		for i := range names {
			sess := Session{ID: "x", Name: fmt.Sprint("s", i)}
			if _, ref, err := services[0].Bind(ctx, "o", "", sess, v1); err != nil || ref != v1 {
				t.Fatal(ref, err)
			}
		}
		for i := range 6 {
			before := slices.Clone(f.order)
			services = append(services, f.join(t, peer.NodeID(fmt.Sprint("new", i))))
			rebalance(ctx, services, before, f.order)
			leaving := services[0]
			if planned {
				if err := leaving.Drain(ctx); err != nil {
					t.Fatal(err)
				}
			}
			before = slices.Clone(f.order)
			f.order = slices.Delete(slices.Clone(f.order), 0, 1)
			f.down[peer.NodeID(fmt.Sprint("n", i))] = true
			services = services[1:]
			rebalance(ctx, services, before, f.order)
		}
		for i := range names {
			sess, err := services[5].Resolve(ctx, "o", "", fmt.Sprint("s", i))
			if err != nil || sess.Pinned != v1 {
				t.Fatalf("planned %v: session %d has %v, %v", planned, i, sess.Pinned, err)
			}
		}
	}
}

func rebalance(ctx context.Context, services []*Service, before, after []peer.Member) {
	for _, s := range services {
		s.handOver(ctx, before, after)
	}
}
