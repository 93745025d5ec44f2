package quarantine

import (
	"fmt"
	"testing"
	"time"

	"cassiapin/pkg/peer"
)

// nodes are tables that exchange all their news.
type nodes []*table

func newNodes(n int) nodes {
	var all nodes
	for range n {
		all = append(all, newTable())
	}
	return all
}

// exchange sends the news of each table to all others, until there are none.
func (n nodes) exchange(t *testing.T, now time.Time) (messages int) {
	t.Helper()
	for more := true; more; {
		more = false
		for i, tab := range n {
			m := tab.news(now)
			if m.empty() {
				continue
			}
			more = true
			if messages++; messages > 20*len(n) {
				t.Fatal("the tables do not stop sending messages")
			}
			for j, other := range n {
				if i != j {
					other.receive(m, flooded, now)
				}
			}
		}
	}
	return messages
}

func (n nodes) held(part string, now time.Time) (count int) {
	for _, tab := range n {
		if held, _, _ := tab.blocked([]string{part}, now, first); held != "" {
			count++
		}
	}
	return count
}

// TestNodesAgree guards against nodes that each see a part of the crashes and
// never add them up, and against a part that only the node releases which got an
// answer.
func TestNodesAgree(t *testing.T) {
	all := newNodes(4)
	for i, tab := range all[:3] {
		tab.crashed(fmt.Sprint("u", i), at(float64(i)), uint64(i), []string{"sys", "bad"})
		all.exchange(t, at(float64(i)+0.1))
	}
	all[3].answer("sys", at(2.5))
	all.exchange(t, at(2.6))
	for _, tab := range all {
		tab.decide(at(3))
	}
	all.exchange(t, at(3.1))
	if bad, sys := all.held("bad", at(3.2)), all.held("sys", at(3.2)); bad != 4 || sys != 0 {
		t.Errorf("bad held at %d nodes, sys at %d", bad, sys)
	}
	late := newTable()
	late.receive(all[0].state(at(3.2)), attached, at(3.2))
	if held, _, _ := late.blocked([]string{"bad"}, at(3.3), first); held != "bad" {
		t.Error("a node that starts later sends requests with the part")
	}
	all[1].answer("bad", at(4))
	all.exchange(t, at(4.1))
	if bad := all.held("bad", at(4.2)); bad != 0 {
		t.Errorf("bad held at %d nodes after it was answered", bad)
	}
}

// TestDecisionWithoutTheAnswers guards against a node that has missed the answers to a
// part, as it was started since, and whose decision all others take over: sound
// requests were held back for 10 s.
func TestDecisionWithoutTheAnswers(t *testing.T) {
	for _, tc := range []struct {
		name     string
		crashes  int
		answered float64
		held     int
	}{
		{"answered before", 3, 0.5, 0},
		{"answered between the crashes", 6, 3.5, 0},
		{"answered before five crashes", 5, 0.5, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			all := newNodes(3)
			all[0].crashed("earlier", at(0.2), 99, []string{"topic"})
			all[0].answer("topic", at(tc.answered))
			all[:2].exchange(t, at(0.6)) // The third isn't there yet.
			for i := range tc.crashes {
				all[2].crashed(fmt.Sprint("u", i), at(float64(i+1)), uint64(i), []string{"topic"})
			}
			for _, now := range []float64{8, 10} {
				for _, tab := range all {
					tab.decide(at(now))
				}
				all.exchange(t, at(now+0.1))
				if held := all.held("topic", at(now+0.2)); held != tc.held {
					t.Errorf("held at %d nodes after %.1f s, want %d", held, now, tc.held)
				}
			}
		})
	}
}

// TestDecisionOfTheOneWhoKnowsMore guards against a node that has seen some of the
// crashes which led to a quarantine elsewhere, and blames a part that was there by
// chance instead.
func TestDecisionOfTheOneWhoKnowsMore(t *testing.T) {
	tab := newTable()
	tab.receive(Message{Entries: []Entry{{Part: "bad", SinceAge: 1, Crashes: 3, SupportAge: 2000}}}, flooded, at(3))
	tab.crashed("u0", at(1), 1, []string{"bad", "topic"})
	tab.crashed("u1", at(2), 2, []string{"topic"})
	tab.crashed("u2", at(2.9), 3, []string{"topic"})
	tab.decide(at(3.1))
	topic, _, _ := tab.blocked([]string{"topic"}, at(3.2), first)
	bad, _, _ := tab.blocked([]string{"bad"}, at(3.2), first)
	if topic != "" || bad != "bad" {
		t.Errorf("held by %q and %q", topic, bad)
	}
}

// TestAnswersAreReportedOnce guards against every node of a large fleet reporting
// the answers to a part that many requests share.
func TestAnswersAreReportedOnce(t *testing.T) {
	all := newNodes(50)
	for _, tab := range all {
		tab.answer("sys", at(0.5))
	}
	all[0].crashed("u", at(1), 1, []string{"sys", "bad"})
	if messages := all.exchange(t, at(1.1)); messages > 3 {
		t.Errorf("%d messages about one crash", messages)
	}
}

// TestReleaseStaysNews guards against a release that is news again with each probe,
// as its time grows by the delay of the messages.
func TestReleaseStaysNews(t *testing.T) {
	a, b := quarantined(), quarantined()
	a.answer("bad", at(4))
	b.receive(a.state(at(4.1)), attached, at(4.15))
	for i := range 20 {
		now := 5 + float64(i)
		if changed, news := a.receive(b.state(at(now)), attached, at(now+0.05)); len(changed) > 0 || news {
			t.Fatalf("exchange %d: changed %v, news %v", i, changed, news)
		}
		if changed, news := b.receive(a.state(at(now+0.5)), attached, at(now+0.55)); len(changed) > 0 || news {
			t.Fatalf("exchange %d: changed %v, news %v", i, changed, news)
		}
	}
}

// FuzzReceive guards against a malformed message from a peer that takes the
// process down.
func FuzzReceive(f *testing.F) {
	m := quarantined().state(at(3))
	m.Crashes = []CrashReport{{Upstream: "u", Age: 5, Suspects: []Suspect{{Part: "p", Depth: 1, Requests: []uint64{1, 2}}}}}
	m.Answers = []PartAge{{Part: "p", Age: 1}}
	seed, err := peer.Encode(m)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var m Message
		if peer.Decode(raw, &m) != nil {
			return
		}
		tab := quarantined()
		for from := flooded; from <= attached; from++ {
			tab.receive(m, from, at(4))
		}
		tab.decide(at(5))
		tab.blocked([]string{"bad", "p"}, at(6), first)
	})
}
