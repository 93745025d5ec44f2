package distribution

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/peer/memnet"
	"cassiapin/pkg/timeline"
)

var lan = memnet.Options{Seed: 1, Delay: time.Millisecond, Jitter: 4 * time.Millisecond}

const (
	markBound   = 3 * time.Second
	configBound = 12 * time.Second
)

// Guards against a control budget that is exceeded at the design size, and
// against configurations and marks that reach some of 410 nodes late, also with
// the platform away.
func TestDesignSize(t *testing.T) {
	t.Parallel()
	f := newFleet(t, lan)
	f.store.put(ConfigKey, stored(t, 1, "a", 100))
	f.start(410)
	f.within("the first configuration", configBound, hasNumber(1))
	f.net.Run(5 * time.Second)

	before := make([]memnet.Traffic, len(f.nodes))
	for i, n := range f.nodes {
		before[i] = n.end.Traffic()
	}
	const window = 12 * time.Second
	f.net.Run(window)
	f.checkTraffic(before, window)

	f.store.put(ConfigKey, stored(t, 2, "b", 1000))
	f.within("a new configuration", configBound, hasNumber(2))
	f.store.setAway(true)
	key := config.DomainKey("domain-1")
	if err := f.nodes[17].SetMark(key, config.MarkOut, "power"); err != nil {
		t.Fatal(err)
	}
	f.within("a mark with the platform away", markBound, func(n *node) bool { return n.Marks().DomainOut("domain-1") })
}

// checkTraffic compares the control traffic with the budget of 9 KB/s per
// node, for sent and received bytes together.
func (f *fleet) checkTraffic(before []memnet.Traffic, window time.Duration) {
	f.t.Helper()
	const budget = 9000
	var sum, highest, messages float64
	for i, n := range f.nodes {
		now := n.end.Traffic()
		bytes := float64(now.SentBytes-before[i].SentBytes+now.ReceivedBytes-before[i].ReceivedBytes) / window.Seconds()
		messages += float64(now.SentMessages-before[i].SentMessages) / window.Seconds()
		sum += bytes
		highest = max(highest, bytes)
	}
	count := float64(len(f.nodes))
	f.t.Logf("control traffic of a node: mean %.0f B/s, highest %.0f B/s, mean %.1f messages/s sent", sum/count, highest, messages/count)
	if highest > budget {
		f.t.Errorf("a node has %.0f B/s of control traffic, the bound is %d", highest, budget)
	}
}

// Guards against configuration numbers that go back under late, duplicated,
// reordered and lost notices, under a platform that shows old values, and
// against a repair that leaves a node behind.
func TestNumbersNeverGoBack(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 3; seed++ {
		f := newFleet(t, memnet.Options{Seed: seed, Delay: time.Millisecond, Jitter: 400 * time.Millisecond, Loss: 0.05, Duplicate: 0.2})
		f.start(12)
		last := make([]uint64, len(f.nodes))
		check := func() {
			for i, n := range f.nodes {
				if now := n.number(); now < last[i] {
					t.Fatalf("seed %d: node %d went from %d back to %d", seed, i, last[i], now)
				} else {
					last[i] = now
				}
			}
		}
		const numbers = 20
		for number := uint64(1); number <= numbers; number++ {
			f.store.put(ConfigKey, stored(t, number, "x", 5))
			f.net.RunUntil(500*time.Millisecond, 20*time.Millisecond, func() bool { check(); return false })
			if number%5 == 0 {
				f.nodes[number%12].accept(f.net.Clock().Now(), stored(t, number-3, "x", 5), true)
				check()
			}
		}
		f.net.RunUntil(configBound, 20*time.Millisecond, func() bool { check(); return false })
		f.within("the last configuration", 0, hasNumber(numbers))
		for _, n := range f.nodes {
			events, _ := n.ring.Snapshot()
			var previous uint64
			for _, e := range timeline.Select(events, timeline.Filter{Kind: timeline.ConfigActivated}) {
				if e.Config <= previous {
					t.Fatalf("seed %d: configuration %d came in force after %d", seed, e.Config, previous)
				}
				previous = e.Config
			}
		}
	}
}

// Guards against an invalid configuration that is put in force or that stops
// later valid ones, and against a refusal without a reason.
func TestInvalidConfigurationIsRefused(t *testing.T) {
	t.Parallel()
	f := newFleet(t, lan)
	f.store.put(ConfigKey, stored(t, 1, "a", 3))
	f.start(12)
	f.within("the first configuration", configBound, hasNumber(1))
	damaged := stored(t, 2, "b", 3)
	damaged[len(damaged)/2] ^= 1
	for i, bad := range [][]byte{stored(t, 2, "invalid", 3), damaged, []byte("{}"), nil} {
		f.store.put(ConfigKey, bad)
		f.net.Run(3 * time.Second)
		refusals := 0
		for _, n := range f.nodes {
			if n.number() != 1 {
				t.Fatalf("case %d: configuration %d is in force", i, n.number())
			}
			if r := n.Status().Refused; r != nil && r.Reason != "" {
				refusals++
			}
		}
		if refusals == 0 {
			t.Fatalf("case %d: no node shows a refusal", i)
		}
	}
	f.store.put(ConfigKey, stored(t, 3, "c", 3))
	f.within("a valid configuration", configBound, func(n *node) bool { return n.number() == 3 && n.Status().Refused == nil })
}

// Guards against a node that starts without the platform and serves nothing,
// against marks that are lost or not written after an outage, and against a
// write that overwrites marks of another node.
func TestOutageOfThePlatform(t *testing.T) {
	t.Parallel()
	f := newFleet(t, lan)
	f.store.put(ConfigKey, stored(t, 7, "a", 3))
	f.start(12)
	f.within("the first configuration", configBound, hasNumber(7))
	f.store.setAway(true)
	withdrawn := config.VersionRef{Model: "m", Version: "2"}
	set := func(n *node, key string, state config.MarkState) {
		t.Helper()
		if err := n.SetMark(key, state, "test"); err != nil {
			t.Fatal(err)
		}
	}
	set(f.nodes[1], config.DomainKey("domain-1"), config.MarkOut)
	set(f.nodes[4], config.VersionKey(withdrawn), config.MarkWithdrawn)
	f.within("marks", markBound, func(n *node) bool { return n.Marks().DomainOut("domain-1") && n.Marks().Withdrawn(withdrawn) })
	// The nodes that accepted the marks die before they could write them.
	for _, n := range []*node{f.nodes[1], f.nodes[4]} {
		n.down = true
		n.end.Close()
	}
	late := f.add()
	f.within("the configuration from members", configBound, hasNumber(7))
	f.within("the marks from members", markBound, func(n *node) bool { return len(n.Marks()) == 2 })
	set(late, config.DomainKey("domain-1"), config.MarkIn)
	f.within("the later mark", markBound, func(n *node) bool { return !n.Marks().DomainOut("domain-1") })
	f.net.Run(time.Minute)
	f.store.setAway(false)
	f.store.put(MarksKey, []byte(`{"domain/domain-2":{"state":"out","stamp":{"ms":1,"l":0},"node":"other"}}`))
	f.within("the marks of the platform", time.Minute, func(n *node) bool { return n.Marks().DomainOut("domain-2") })
	f.within("no pending marks", time.Minute, func(n *node) bool { return !n.Status().MarksPending })
	f.net.Run(30 * time.Second)
	var got config.Marks
	if err := json.Unmarshal(f.store.objects[MarksKey].Value, &got); err != nil {
		t.Fatal(err)
	}
	if len(got) != 3 || !got.Withdrawn(withdrawn) || !got.DomainOut("domain-2") || got.DomainOut("domain-1") {
		t.Fatalf("the platform holds %+v", got)
	}
}

// Guards against a node that missed the notices and floods during a short cut
// and is not repaired by probes while the platform is away.
func TestProbesRepair(t *testing.T) {
	t.Parallel()
	f := newFleet(t, lan)
	f.store.put(ConfigKey, stored(t, 1, "a", 3))
	f.start(12)
	f.within("the first configuration", configBound, hasNumber(1))
	at := slices.IndexFunc(f.nodes, func(n *node) bool { return !n.members.IsRelay() })
	cut, other := f.nodes[at], f.nodes[at+1]
	f.net.Partition(func(from, to peer.NodeID) bool { return from != cut.end.Self() && to != cut.end.Self() })
	f.store.put(ConfigKey, stored(t, 2, "b", 3))
	if err := other.SetMark(config.DomainKey("domain-1"), config.MarkOut, "test"); err != nil {
		t.Fatal(err)
	}
	f.net.Run(300 * time.Millisecond)
	f.store.setAway(true)
	f.net.Partition(nil)
	if cut.number() != 1 || len(cut.Marks()) != 0 {
		t.Fatal("the node was not cut off")
	}
	f.within("the repair", markBound, func(n *node) bool { return n.number() == 2 && n.Marks().DomainOut("domain-1") })
}

// Guards against a node that trusts relays that have stopped to confirm, and
// against nodes that read the platform although relays do confirm.
func TestFreshness(t *testing.T) {
	t.Parallel()
	f := newFleet(t, lan)
	f.store.put(ConfigKey, stored(t, 1, "a", 3))
	f.start(60)
	f.within("the first configuration", configBound, hasNumber(1))
	f.net.Run(10 * time.Second)
	reads := f.store.reads
	f.net.Run(time.Minute)
	// About one relay each 5 s reads two objects.
	if got := f.store.reads - reads; got > 60 {
		t.Errorf("%d reads in a minute with relays that confirm", got)
	}
	f.store.onWrite = nil // The watches are broken; reads still work.
	f.store.put(ConfigKey, stored(t, 2, "b", 3))
	f.within("a configuration without watches", configBound, hasNumber(2))
	f.store.setAway(true)
	f.net.Run(30 * time.Second)
	reads = f.store.reads
	f.net.Run(time.Minute)
	if got := f.store.reads - reads; got > 60*len(f.nodes)/5 {
		t.Errorf("%d reads in a minute by %d nodes with the platform away", got, len(f.nodes))
	}
}
