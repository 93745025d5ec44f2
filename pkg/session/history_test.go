package session

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/peer"
)

// leave removes members, which then no longer reply.
func (f *fleet) leave(ids ...peer.NodeID) {
	f.order = slices.DeleteFunc(slices.Clone(f.order), func(m peer.Member) bool { return slices.Contains(ids, m.ID) })
	for _, id := range ids {
		f.down[id] = true
	}
}

// Guards against a name that is rebound silently after both homes were lost, also
// when resolved by a node that joined later; against new names reported as lost;
// and against a name lost because two members joined at once and became its homes.
func TestLostBindingsAreDistinguishedFromNewNames(t *testing.T) {
	ctx := context.Background()
	const names = 40
	f, nodes := newFleet(t, 12)
	resolve := func(s *Service, name string) Session {
		t.Helper()
		got, err := s.Resolve(ctx, "berceuse", "draft", name)
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	for i := range names {
		name := fmt.Sprint("song ", i)
		sess := resolve(nodes[0], name)
		if sess.BindingLost {
			t.Fatal("new name reported as lost although no member left")
		}
		_, _, _ = nodes[0].Bind(ctx, "berceuse", "draft", sess, v1)
	}
	homes := nodes[0].homes("berceuse", "song 0")
	observer := nodes[slices.IndexFunc(nodes, func(s *Service) bool {
		return !slices.Contains(homes, s.opts.Members.Self().ID)
	})]

	// For some names both homes are members that just joined.
	f.join(t, "n90")
	f.join(t, "n91")
	f.join(t, "n92")
	f.join(t, "n93")
	moved := 0
	for i := range names {
		name := fmt.Sprint("song ", i)
		if h := observer.homes("berceuse", name); slices.Min(h) >= "n90" {
			moved++
		}
		if got := resolve(observer, name); got.Pinned != v1 || got.BindingLost {
			t.Fatalf("after members joined, %q resolves to %+v", name, got)
		}
	}
	if moved == 0 {
		t.Fatal("no name has two new homes")
	}

	// Both homes of a name are lost at once, before a handover.
	homes = observer.homes("berceuse", "song 0")
	f.leave(homes...)
	late := f.join(t, "n99")
	lost := 0
	for _, s := range []*Service{observer, late} {
		if got := resolve(s, "song 0"); !got.BindingLost || got.Pinned != (config.VersionRef{}) {
			t.Fatalf("after the loss of both homes: %+v", got)
		}
	}
	for i := range names {
		if got := resolve(observer, fmt.Sprint("song ", i)); got.Pinned != v1 && !got.BindingLost {
			t.Fatalf("loss of name %d is not reported", i)
		}
		if resolve(observer, fmt.Sprint("new ", i)).BindingLost {
			lost++
		}
	}
	if lost > names/4 {
		t.Fatalf("%d of %d new names reported as lost", lost, names)
	}
	sess := resolve(observer, "song 0")
	_, _, _ = observer.Bind(ctx, "berceuse", "draft", sess, v2)
	if got := resolve(late, "song 0"); got.BindingLost || got.Pinned != v2 {
		t.Fatalf("after rebinding: %+v", got)
	}
	f.clock.Advance(DefaultNameTTL + time.Second)
	if got := resolve(observer, "song 1"); got.BindingLost {
		t.Fatal("loss reported after the TTL of names")
	}
}

// Guards against a name that is silently rebound after all nodes were replaced
// one by one while it was unused, because no remaining node was a member together
// with the name's homes.
func TestLostBindingsAreReportedAfterFullReplacement(t *testing.T) {
	ctx := context.Background()
	f, nodes := newFleet(t, 6)
	const names = 100
	for i := range names {
		sess, _ := nodes[0].Resolve(ctx, "berceuse", "draft", fmt.Sprint("song ", i))
		_, _, _ = nodes[0].Bind(ctx, "berceuse", "draft", sess, v1)
	}
	observe := func() {
		for _, m := range f.order {
			f.nodes[m.ID].service.history.observe(f.order, f.clock.Now())
		}
	}
	observe()
	var last *Service
	for i := range 6 {
		f.leave(peer.NodeID(fmt.Sprint("n", i)))
		observe()
		last = f.join(t, peer.NodeID(fmt.Sprint("r", i)))
		observe()
		if !last.fetchHistory(ctx) {
			t.Fatal("no member returned its history")
		}
		f.clock.Advance(time.Minute)
	}
	for i := range names {
		if got, _ := last.Resolve(ctx, "berceuse", "draft", fmt.Sprint("song ", i)); !got.BindingLost {
			t.Fatalf("loss of name %d is not reported: %+v", i, got)
		}
	}
	f.clock.Advance(DefaultNameTTL)
	observe()
	if got, _ := last.Resolve(ctx, "berceuse", "draft", "song 0"); got.BindingLost {
		t.Fatal("loss reported after the TTL of names")
	}
}
