package timeline

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cassiapin/pkg/clock"
)

// Guards against a merged timeline in which an effect precedes its cause although
// nodes observe the timestamps of messages, when wall clocks differ.
func TestMergeKeepsCauseBeforeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 3
		rings := make([]*Ring, nodes)
		clocks := make([]*clock.HLC, nodes)
		fakes := make([]*clock.Fake, nodes)
		for i := range nodes {
			skew := rapid.IntRange(-5000, 5000).Draw(t, "skew")
			fakes[i] = clock.NewFake(time.Unix(1000, 0).Add(time.Duration(skew) * time.Millisecond))
			clocks[i] = clock.NewHLC(fakes[i])
			rings[i] = NewRing(string(rune('a'+i)), clocks[i], 1000)
		}
		steps := rapid.IntRange(1, 50).Draw(t, "steps")
		for i := range steps {
			at := rapid.IntRange(0, nodes-1).Draw(t, "node")
			fakes[at].Advance(time.Duration(rapid.IntRange(0, 3).Draw(t, "ms")) * time.Millisecond)
			rings[at].Record(Event{Epoch: uint64(i)})
			// The next event happens at a node that has seen this one.
			events, _ := rings[at].Snapshot()
			for _, other := range clocks {
				other.Observe(events[len(events)-1].Stamp)
			}
		}
		var sources [][]Event
		for _, r := range rings {
			events, _ := r.Snapshot()
			sources = append(sources, events)
		}
		for i, e := range Merge(sources...) {
			if e.Epoch != uint64(i) {
				t.Fatalf("event %d is at position %d", e.Epoch, i)
			}
		}
	})
}

// Guards against a ring that exceeds its capacity, loses the latest events or
// returns them out of order, and against filters that match everything.
func TestRing(t *testing.T) {
	r := NewRing("n", clock.NewHLC(clock.NewFake(time.Unix(1, 0))), 3)
	for i := range 5 {
		r.Record(Event{Epoch: uint64(i), Upstream: string(rune('a' + i%2))})
	}
	events, dropped := r.Snapshot()
	var got []uint64
	for _, e := range events {
		got = append(got, e.Epoch)
	}
	if d := cmp.Diff([]uint64{2, 3, 4}, got); d != "" || dropped != 2 {
		t.Errorf("%s, %d dropped", d, dropped)
	}
	if selected := Select(events, Filter{Upstream: "b"}); len(selected) != 1 || selected[0].Epoch != 3 {
		t.Errorf("selected %v", selected)
	}
}
