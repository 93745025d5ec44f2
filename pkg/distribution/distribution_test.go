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
	markTimeout   = 3 * time.Second
	configTimeout = 12 * time.Second
)

// Guards against control traffic above the budget at the design size of 410
// nodes, and against configurations and marks that reach some nodes late, also
// while the object store is unavailable.
func TestTrafficAndPropagationAtDesignSize(t *testing.T) {
	t.Parallel()
	f := newFleet(t, lan)
	f.store.put(ConfigKey, encodedConfig(t, 1, "a", 100))
	f.start(410)
	f.within("the first configuration", configTimeout, hasNumber(1))
	f.net.Run(5 * time.Second)

	before := make([]memnet.Traffic, len(f.nodes))
	for i, n := range f.nodes {
		before[i] = n.endpoint.Traffic()
	}
	const window = 12 * time.Second
	f.net.Run(window)
	f.checkTraffic(before, window)

	f.store.put(ConfigKey, encodedConfig(t, 2, "b", 1000))
	f.within("a new configuration", configTimeout, hasNumber(2))
	f.store.setUnavailable(true)
	key := config.DomainKey("domain-1")
	if err := f.nodes[17].SetMark(key, config.MarkOut, "power"); err != nil {
		t.Fatal(err)
	}
	f.within("a mark while the object store is unavailable", markTimeout, func(n *node) bool { return n.Marks().DomainOut("domain-1") })
}

// checkTraffic checks that no node exceeds the control traffic budget of 9 KB/s,
// sent and received bytes together.
func (f *fleet) checkTraffic(before []memnet.Traffic, window time.Duration) {
	f.t.Helper()
	const budget = 9000
	var sum, highest, messages float64
	for i, n := range f.nodes {
		now := n.endpoint.Traffic()
		bytes := float64(now.SentBytes-before[i].SentBytes+now.ReceivedBytes-before[i].ReceivedBytes) / window.Seconds()
		messages += float64(now.SentMessages-before[i].SentMessages) / window.Seconds()
		sum += bytes
		highest = max(highest, bytes)
	}
	count := float64(len(f.nodes))
	f.t.Logf("control traffic per node: mean %.0f B/s, highest %.0f B/s, mean %.1f messages/s sent", sum/count, highest, messages/count)
	if highest > budget {
		f.t.Errorf("highest control traffic of a node is %.0f B/s, the budget is %d B/s", highest, budget)
	}
}

// Guards against configuration numbers that decrease when notices are late,
// duplicated, reordered or lost or the object store returns stale values, and
// against nodes that never catch up.
func TestConfigNumberNeverDecreases(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 3; seed++ {
		f := newFleet(t, memnet.Options{Seed: seed, Delay: time.Millisecond, Jitter: 400 * time.Millisecond, Loss: 0.05, Duplicate: 0.2})
		f.start(12)
		last := make([]uint64, len(f.nodes))
		check := func() {
			for i, n := range f.nodes {
				if now := n.number(); now < last[i] {
					t.Fatalf("seed %d: configuration number of node %d decreased from %d to %d", seed, i, last[i], now)
				} else {
					last[i] = now
				}
			}
		}
		const numbers = 20
		for number := uint64(1); number <= numbers; number++ {
			f.store.put(ConfigKey, encodedConfig(t, number, "x", 5))
			f.net.RunUntil(500*time.Millisecond, 20*time.Millisecond, func() bool { check(); return false })
			if number%5 == 0 {
				f.nodes[number%12].accept(f.net.Clock().Now(), encodedConfig(t, number-3, "x", 5), true)
				check()
			}
		}
		f.net.RunUntil(configTimeout, 20*time.Millisecond, func() bool { check(); return false })
		f.within("the last configuration", 0, hasNumber(numbers))
		for _, n := range f.nodes {
			events, _ := n.eventLog.Snapshot()
			var previous uint64
			for _, e := range timeline.Select(events, timeline.Filter{Kind: timeline.ConfigActivated}) {
				if e.Config <= previous {
					t.Fatalf("seed %d: configuration %d was activated after %d", seed, e.Config, previous)
				}
				previous = e.Config
			}
		}
	}
}

// Guards against an invalid configuration that is activated or that blocks later
// valid ones, and against a refusal without a reason.
func TestInvalidConfigurationIsRefused(t *testing.T) {
	t.Parallel()
	f := newFleet(t, lan)
	f.store.put(ConfigKey, encodedConfig(t, 1, "a", 3))
	f.start(12)
	f.within("the first configuration", configTimeout, hasNumber(1))
	damaged := encodedConfig(t, 2, "b", 3)
	damaged[len(damaged)/2] ^= 1
	for i, bad := range [][]byte{encodedConfig(t, 2, "invalid", 3), damaged, []byte("{}"), nil} {
		f.store.put(ConfigKey, bad)
		f.net.Run(3 * time.Second)
		refusals := 0
		for _, n := range f.nodes {
			if n.number() != 1 {
				t.Fatalf("case %d: configuration %d is active, want 1", i, n.number())
			}
			if r := n.Status().Refused; r != nil && r.Reason != "" {
				refusals++
			}
		}
		if refusals == 0 {
			t.Fatalf("case %d: no node reports a refusal", i)
		}
	}
	f.store.put(ConfigKey, encodedConfig(t, 3, "c", 3))
	f.within("a valid configuration", configTimeout, func(n *node) bool { return n.number() == 3 && n.Status().Refused == nil })
}

// Guards against a node that starts during an object store outage and gets no
// configuration, against marks that are lost or not written after the outage, and
// against a write that overwrites marks of another node.
func TestObjectStoreOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, lan)
	f.store.put(ConfigKey, encodedConfig(t, 7, "a", 3))
	f.start(12)
	f.within("the first configuration", configTimeout, hasNumber(7))
	f.store.setUnavailable(true)
	withdrawn := config.VersionRef{Model: "m", Version: "2"}
	set := func(n *node, key string, state config.MarkState) {
		t.Helper()
		if err := n.SetMark(key, state, "test"); err != nil {
			t.Fatal(err)
		}
	}
	set(f.nodes[1], config.DomainKey("domain-1"), config.MarkOut)
	set(f.nodes[4], config.VersionKey(withdrawn), config.MarkWithdrawn)
	f.within("marks", markTimeout, func(n *node) bool { return n.Marks().DomainOut("domain-1") && n.Marks().Withdrawn(withdrawn) })
	// The nodes that accepted the marks crash before writing them.
	for _, n := range []*node{f.nodes[1], f.nodes[4]} {
		n.down = true
		n.endpoint.Close()
	}
	late := f.add()
	f.within("the configuration from members", configTimeout, hasNumber(7))
	f.within("the marks from members", markTimeout, func(n *node) bool { return len(n.Marks()) == 2 })
	set(late, config.DomainKey("domain-1"), config.MarkIn)
	f.within("the later mark", markTimeout, func(n *node) bool { return !n.Marks().DomainOut("domain-1") })
	f.net.Run(time.Minute)
	f.store.setUnavailable(false)
	f.store.put(MarksKey, []byte(`{"domain/domain-2":{"state":"out","stamp":{"ms":1,"l":0},"node":"other"}}`))
	f.within("the marks of the object store", time.Minute, func(n *node) bool { return n.Marks().DomainOut("domain-2") })
	f.within("no pending marks", time.Minute, func(n *node) bool { return !n.Status().MarksPending })
	f.net.Run(30 * time.Second)
	var got config.Marks
	if err := json.Unmarshal(f.store.objects[MarksKey].Value, &got); err != nil {
		t.Fatal(err)
	}
	if len(got) != 3 || !got.Withdrawn(withdrawn) || !got.DomainOut("domain-2") || got.DomainOut("domain-1") {
		t.Fatalf("unexpected marks in the object store: %+v", got)
	}
}

// Guards against a node that misses notices and floods during a short network
// partition and is not repaired by probes while the object store is unavailable.
func TestProbesRepairMissedUpdates(t *testing.T) {
	t.Parallel()
	f := newFleet(t, lan)
	f.store.put(ConfigKey, encodedConfig(t, 1, "a", 3))
	f.start(12)
	f.within("the first configuration", configTimeout, hasNumber(1))
	at := slices.IndexFunc(f.nodes, func(n *node) bool { return !n.members.IsRelay() })
	isolated, other := f.nodes[at], f.nodes[at+1]
	f.net.Partition(func(from, to peer.NodeID) bool {
		return from != isolated.endpoint.Self() && to != isolated.endpoint.Self()
	})
	f.store.put(ConfigKey, encodedConfig(t, 2, "b", 3))
	if err := other.SetMark(config.DomainKey("domain-1"), config.MarkOut, "test"); err != nil {
		t.Fatal(err)
	}
	f.net.Run(300 * time.Millisecond)
	f.store.setUnavailable(true)
	f.net.Partition(nil)
	if isolated.number() != 1 || len(isolated.Marks()) != 0 {
		t.Fatal("the node received updates during the partition")
	}
	f.within("the repair", markTimeout, func(n *node) bool { return n.number() == 2 && n.Marks().DomainOut("domain-1") })
}

// Guards against nodes that do not read the object store after relays stop
// confirming, and against nodes that read it while relays do confirm.
func TestFreshness(t *testing.T) {
	t.Parallel()
	f := newFleet(t, lan)
	f.store.put(ConfigKey, encodedConfig(t, 1, "a", 3))
	f.start(60)
	f.within("the first configuration", configTimeout, hasNumber(1))
	f.net.Run(10 * time.Second)
	reads := f.store.reads
	f.net.Run(time.Minute)
	// About one relay reads two objects every 5 s.
	if got := f.store.reads - reads; got > 60 {
		t.Errorf("%d reads per minute while relays confirm", got)
	}
	f.store.onWrite = nil // Watches fail; reads still work.
	f.store.put(ConfigKey, encodedConfig(t, 2, "b", 3))
	f.within("a configuration without watches", configTimeout, hasNumber(2))
	f.store.setUnavailable(true)
	f.net.Run(30 * time.Second)
	reads = f.store.reads
	f.net.Run(time.Minute)
	if got := f.store.reads - reads; got > 60*len(f.nodes)/5 {
		t.Errorf("%d reads per minute by %d nodes while the object store is unavailable", got, len(f.nodes))
	}
}
