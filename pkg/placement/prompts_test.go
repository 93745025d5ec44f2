package placement

import (
	"fmt"
	"testing"
	"time"

	"cassiapin/pkg/topology"
)

func pool(n int) []*topology.Upstream {
	var out []*topology.Upstream
	for i := range n {
		out = append(out, newUpstream(fmt.Sprintf("u%02d", i), "a", "r"))
	}
	return out
}

// TestSavingAgainstWait checks that an upstream which has the beginning of a prompt is
// chosen while reading it elsewhere takes longer than waiting there.
func TestSavingAgainstWait(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prefill time.Duration
		open    int  // Requests at the upstream that has the beginning.
		want    bool // Sent there.
	}{
		{"long beginning, idle", 300 * time.Millisecond, 0, true},
		{"long beginning, some load", 300 * time.Millisecond, 3, true},
		{"long beginning, full", 300 * time.Millisecond, 9, false},
		{"short beginning, some load", 10 * time.Millisecond, 1, false},
	} {
		table := NewTable()
		holds, other := newUpstream("u1", "a", "r"), newUpstream("u2", "a", "r")
		r := request(epoch, other, holds)
		r.Batched, r.Prompt = true, Prompt{Key: "m/1", Tokens: 6000, Prefill: tc.prefill}
		if home := table.home(r); home == other {
			holds, other = other, holds
		}
		table.PromptSent(holds, r.Prompt, epoch)
		for range tc.open {
			table.Opened(holds, 0, epoch)
		}
		c, _ := table.Choose(r, 0.5)
		if got := c.Upstream == holds; got != tc.want {
			t.Errorf("%s: sent to the upstream that has it: %t, want %t", tc.name, got, tc.want)
		}
		if tc.want != (c.Kept > 0) {
			t.Errorf("%s: %d tokens expected to be kept", tc.name, c.Kept)
		}
	}
}

// TestPromptForgotten guards against savings that are expected for ever, after a
// restart of the upstream or for another model.
func TestPromptForgotten(t *testing.T) {
	table := NewTable()
	u := newUpstream("u", "a", "r")
	p := Prompt{Key: "small/1", Tokens: 6000, Prefill: 20 * time.Millisecond}
	table.PromptSent(u, p, epoch)
	restarted := *u
	restarted.StartedMS++
	for _, tc := range []struct {
		name     string
		upstream *topology.Upstream
		key      string
		after    time.Duration
		kept     bool
	}{
		{"soon", u, "small/1", time.Second, true},
		{"late", u, "small/1", sentTTL + time.Second, false},
		{"another model", u, "large/1", time.Second, false},
		{"restarted", &restarted, "small/1", time.Second, false},
	} {
		r := request(epoch.Add(tc.after), tc.upstream)
		r.Prompt = Prompt{Key: tc.key, Tokens: p.Tokens, Prefill: p.Prefill}
		if c, _ := table.Choose(r, 0.5); (c.Kept > 0) != tc.kept {
			t.Errorf("%s: %d tokens expected to be kept", tc.name, c.Kept)
		}
	}
}

// TestHotPromptSpreads answers many requests at once with one long beginning: they go
// to its home first, and to others before the home is full.
func TestHotPromptSpreads(t *testing.T) {
	table := NewTable()
	upstreams := pool(6)
	p := Prompt{Key: "large/1", Tokens: 6000, Prefill: 300 * time.Millisecond}
	sent := map[string]int{}
	for i := range 30 {
		r := request(epoch, upstreams...)
		r.Batched, r.Prompt = true, p
		c, _ := table.Choose(r, float64(i)/30)
		table.Opened(c.Upstream, 0, epoch)
		table.PromptSent(c.Upstream, p, epoch)
		sent[c.Upstream.ID]++
		if i < 3 && len(sent) > 1 {
			t.Errorf("request %d left an idle home: %v", i, sent)
		}
	}
	for id, n := range sent {
		if n > newUpstream("", "", "").Slots {
			t.Errorf("%d requests at %s, which has %d slots", n, id, upstreams[0].Slots)
		}
	}
	if len(sent) < 3 {
		t.Errorf("30 requests used %d upstreams only", len(sent))
	}
}

// TestHomesMoveLittle guards against homes that all move when an upstream goes.
func TestHomesMoveLittle(t *testing.T) {
	upstreams := pool(20)
	const prompts = 400
	moved := 0
	for i := range prompts {
		home := func(list []*topology.Upstream) string {
			r := request(epoch, list...)
			r.Prompt = Prompt{Key: fmt.Sprint("m/", i), Tokens: 6000, Prefill: 300 * time.Millisecond}
			return NewTable().home(r).ID
		}
		if before := home(upstreams); before != home(upstreams[1:]) {
			moved++
			if before != upstreams[0].ID {
				t.Fatalf("prompt %d left %s, which stayed", i, before)
			}
		}
	}
	if moved > 2*prompts/len(upstreams) {
		t.Errorf("%d of %d homes moved with one of %d upstreams", moved, prompts, len(upstreams))
	}
}

// TestSentPromptsBounded guards against memory that grows with the prompts.
func TestSentPromptsBounded(t *testing.T) {
	table := NewTable()
	u := newUpstream("u", "a", "r")
	for i := range 10 * maxSentPrompts {
		table.PromptSent(u, Prompt{Key: fmt.Sprint(i)}, epoch.Add(time.Duration(i)*time.Millisecond))
	}
	s := table.state(u, epoch)
	if len(s.prompts) != maxSentPrompts {
		t.Errorf("%d prompts are remembered, want %d", len(s.prompts), maxSentPrompts)
	}
	last := fmt.Sprint(10*maxSentPrompts - 1)
	if s.held(Prompt{Key: last}, false, epoch.Add(10*maxSentPrompts*time.Millisecond)) == 0 {
		t.Error("the latest prompt is forgotten")
	}
}
