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

// fleet connects session services in one process and provides their membership.
type fleet struct {
	clock *clock.Fake
	nodes map[peer.NodeID]*fakeNode
	down  map[peer.NodeID]bool
	// order lists the members as reported by Members; failure domains alternate.
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
func (m fakeMembers) Reachable() []peer.Member   { return m.Live() }
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

// Guards against accepting tokens that are forged, altered, from another
// organisation, expired or signed with a removed key, and against key rotations
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
		t.Fatal("token signed with a key that is still listed:", err)
	}
	renewed, _, _ := s.Bind(ctx, "berceuse", "draft", kept, v1)
	if err := s.SetKeys([][]byte{newKey}); err != nil {
		t.Fatal(err)
	}
	if _, err := resolve("berceuse", renewed); err != nil {
		t.Fatal("renewed token not signed with the new key:", err)
	}
	if _, err := resolve("berceuse", token); result.CodeOf(err) != result.BadSession {
		t.Fatal("token signed with a removed key is accepted")
	}
	fake.Advance(time.Hour + time.Second)
	if _, err := resolve("berceuse", renewed); result.CodeOf(err) != result.BadSession {
		t.Fatal("expired token is accepted")
	}
	for _, header := range []string{strings.Repeat("x", maxNameLen+1), "a\tb", "ä", "s1.", "s1.a.b.c.d"} {
		if _, err := resolve("berceuse", header); result.CodeOf(err) != result.BadSession {
			t.Errorf("%q is accepted", header)
		}
	}
}

// Guards against a named session whose version changes when two first requests
// race, one home is lost, a new member becomes a home, another organisation uses
// the same name, or no home is reachable; and against names that never expire.
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
			t.Fatal("second of two racing requests bound its own version")
		}
	}
	check("another node", nodes[2], nodes[3])
	if got := bind(nodes[2], "vaxmynd", "song 0", v2); got != v2 {
		t.Fatal("name is shared between organisations")
	}
	f.down["n4"] = true
	check("unreachable home", nodes[:4]...)
	f.order = f.order[:4]
	check("lost home", nodes[0])
	f.order = f.order[:3]
	f.down["n3"] = true
	check("another lost home", nodes[0])
	joined := f.join(t, "n5")
	check("new home", joined)
	for id := range f.nodes {
		f.down[id] = id != "n5"
	}
	check("no other node reachable", joined)
	f.down = map[peer.NodeID]bool{}
	f.clock.Advance(DefaultNameTTL)
	if got := bind(joined, "berceuse", "song 0", v2); got != v2 {
		t.Fatal("name outlived its TTL")
	}
}

// Guards against a first home that lost its names and rebinds one although the
// second home still has it, when the earlier lookup reached no home.
func TestSecondHomeKeepsTheVersion(t *testing.T) {
	ctx := context.Background()
	f, nodes := newFleet(t, 3)
	s := nodes[0]
	homes := s.homes("berceuse", "song")
	sess, _ := s.Resolve(ctx, "berceuse", "draft", "song")
	_, _, _ = s.Bind(ctx, "berceuse", "draft", sess, v1)
	first := f.nodes[homes[0]].service
	first.homeTable = newTable(DefaultMaxNames, DefaultNameTTL)
	_, _ = first.Resolve(ctx, "berceuse", "draft", "song") // Repairs the first home.
	if b, _ := first.homeTable.get(tableKey("berceuse", "song"), f.clock.Now()); b.ref != v1 {
		t.Fatal("first home not repaired by the lookup")
	}
	first.homeTable = newTable(DefaultMaxNames, DefaultNameTTL)
	// The pinned version is zero, as after a lookup that reached no home.
	if _, actual, _ := s.Bind(ctx, "berceuse", "draft", sess, v2); actual != v1 {
		t.Fatal("session changed its version")
	}
	first.homeTable = newTable(DefaultMaxNames, DefaultNameTTL)
	sess.Pinned = v1
	if _, actual, _ := s.Bind(ctx, "berceuse", "draft", sess, v2); actual != v2 {
		t.Fatal("session did not move")
	}
	for _, n := range nodes {
		if got, _ := n.Resolve(ctx, "berceuse", "draft", "song"); got.Pinned != v2 {
			t.Fatalf("homes disagree: session pinned to %s", got.Pinned)
		}
	}
}

// Guards against a move after a withdrawal that is lost or reverted by a late
// request, a write on every request of a session, tables that exceed their bound,
// and a single node that does not store names.
func TestMovesAndTableBounds(t *testing.T) {
	ctx := context.Background()
	f, nodes := newFleet(t, 3)
	sess, _ := nodes[0].Resolve(ctx, "berceuse", "draft", "song")
	_, _, _ = nodes[0].Bind(ctx, "berceuse", "draft", sess, v1)
	pinned, _ := nodes[1].Resolve(ctx, "berceuse", "draft", "song")
	late, _ := nodes[2].Resolve(ctx, "berceuse", "draft", "song")
	v3 := config.VersionRef{Model: "lyric", Version: "3.0"}
	if _, actual, _ := nodes[1].Bind(ctx, "berceuse", "draft", pinned, v2); actual != v2 {
		t.Fatal("session did not move to the new version")
	}
	if _, actual, _ := nodes[2].Bind(ctx, "berceuse", "draft", late, v3); actual != v2 {
		t.Fatal("late request moved the session again")
	}
	again, _ := nodes[1].Resolve(ctx, "berceuse", "draft", "song")
	before := f.requests
	_, _, _ = nodes[1].Bind(ctx, "berceuse", "draft", again, v2)
	if f.requests != before {
		t.Fatal("unchanged binding was rewritten")
	}

	const bound = 10
	alone, err := New(Options{Keys: [][]byte{oldKey}, Clock: f.clock, MaxNames: bound})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 * bound {
		sess, _ := alone.Resolve(ctx, "berceuse", "draft", fmt.Sprint(i))
		_, _, _ = alone.Bind(ctx, "berceuse", "draft", sess, v1)
	}
	if got, _ := alone.Resolve(ctx, "berceuse", "draft", fmt.Sprint(3*bound-1)); got.Pinned != v1 {
		t.Fatal("single node does not store names")
	}
	if alone.homeTable.len() != bound || alone.recentNames.len() != bound {
		t.Fatalf("%d home and %d recent names stored, want the bound", alone.homeTable.len(), alone.recentNames.len())
	}
}

// Guards against a named session that loses its version when its two homes are
// replaced one after the other, by planned shutdowns or by crashes with time for
// one handover in between.
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
