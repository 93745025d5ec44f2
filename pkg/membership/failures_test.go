package membership

import (
	"testing"
	"time"

	"cassiapin/pkg/peer"
	"cassiapin/pkg/peer/memnet"
)

// TestMassFailureCost answers the loss of half of the nodes at once: although floods of
// known changes end early, all live nodes learn of each loss, and a node sends less than
// the two changes of each lost node (suspect, dead) to each of its neighbours.
func TestMassFailureCost(t *testing.T) {
	const (
		nodes, lost = 64, 32
		// neighbours is the largest number of neighbours, relays of the other region
		// included, and recordBytes the size of an update with one record.
		neighbours, recordBytes = 10, 160
		// probes is the number of bytes of probes and digests that a node sends in the
		// time of the test.
		probes = 64 << 10
	)
	f := newFleet(t, memnet.Options{Seed: 3, Delay: 3 * time.Millisecond, Jitter: 2 * time.Millisecond})
	f.preload(nodes)
	f.net.Run(3 * time.Second)
	before := make([]uint64, nodes)
	for i, n := range f.nodes {
		before[i] = n.endpoint.Traffic().SentBytes
	}
	for _, n := range f.nodes[:lost] {
		f.kill(n)
	}
	took, ok := f.net.RunUntil(20*time.Second, 250*time.Millisecond, func() bool {
		for _, n := range f.nodes[lost:] {
			for _, m := range n.All() {
				gone := false
				for _, d := range f.nodes[:lost] {
					gone = gone || m.ID == d.Self().ID
				}
				if gone != (m.State == peer.Dead) {
					return false
				}
			}
		}
		return true
	})
	if !ok {
		t.Fatalf("the live nodes do not agree after %s", took)
	}
	var total uint64
	for i, n := range f.nodes[lost:] {
		total += n.endpoint.Traffic().SentBytes - before[lost+i]
	}
	mean := total / lost
	t.Logf("agreed after %s, %d KB sent by a node on average", took, mean>>10)
	if most := uint64(lost*2*neighbours*recordBytes + probes); mean > most {
		t.Errorf("%d KB sent by a node on average, want at most %d", mean>>10, most>>10)
	}
}

// TestSameNewsIsForwardedOnce answers many nodes that notice the same failure at the
// same moment: a node passes the news on to each of its neighbours about once, however
// many floods bring it.
func TestSameNewsIsForwardedOnce(t *testing.T) {
	const nodes, neighbours = 64, 10
	f := newFleet(t, memnet.Options{Seed: 5, Delay: 3 * time.Millisecond, Jitter: 2 * time.Millisecond})
	f.preload(nodes)
	f.net.Run(3 * time.Second)
	gone := f.nodes[0].Self()
	f.kill(f.nodes[0])
	sent := func() (messages uint64) {
		for _, n := range f.nodes[1:] {
			messages += n.endpoint.Traffic().SentMessages
		}
		return messages
	}
	before := sent()
	for _, n := range f.nodes[1:] {
		n.withLock(func(now time.Time) {
			suspected := compactRecord(gone)
			suspected.State = peer.Suspect
			n.merge(suspected, now)
			n.flood(suspected)
		})
	}
	f.net.Run(100 * time.Millisecond)
	if messages, most := sent()-before, uint64(2*nodes*neighbours); messages > most {
		t.Errorf("%d messages for news that all nodes have, want at most %d", messages, most)
	}
}

// TestLearnedOtherwiseIsForwarded guards against a change that ends at a node which has
// learned it in another way, from a join for instance, and has told nobody.
func TestLearnedOtherwiseIsForwarded(t *testing.T) {
	f := newFleet(t, memnet.Options{Seed: 6, Delay: 3 * time.Millisecond})
	f.preload(8)
	f.net.Run(3 * time.Second)
	n := f.nodes[0]
	joined := testMember(20)
	body, err := peer.Encode(updateMessage{Records: []record{fullRecord(joined)}})
	if err != nil {
		t.Fatal(err)
	}
	n.withLock(func(now time.Time) { n.merge(fullRecord(joined), now) })
	if len(n.news(body)) == 0 {
		t.Error("a change that this node has learned and not passed on is not forwarded")
	}
	if len(n.news(body)) > 0 {
		t.Error("a change is forwarded twice")
	}
	f.net.Run(passedOnTTL + time.Second)
	if len(n.news(body)) == 0 {
		t.Error("a change that is flooded again later is not forwarded")
	}
}

// TestKnownChangesAreNotForwarded guards against a node that forwards all records of an
// update because one of them is new.
func TestKnownChangesAreNotForwarded(t *testing.T) {
	const nodes, neighbours, recordBytes = 64, 10, 160
	f := newFleet(t, memnet.Options{Seed: 7, Delay: 3 * time.Millisecond})
	f.preload(nodes)
	f.net.Run(3 * time.Second)
	var known []record
	for _, n := range f.nodes {
		known = append(known, fullRecord(n.Self()))
	}
	for _, n := range f.nodes {
		n.withLock(func(time.Time) { n.notePassedOn(known) })
	}
	sent := func() (bytes uint64) {
		for _, n := range f.nodes[1:] {
			bytes += n.endpoint.SentBytes(kindUpdate)
		}
		return bytes
	}
	before := sent() // Of all but the origin.
	joined := testMember(nodes)
	f.nodes[0].withLock(func(time.Time) { f.nodes[0].flood(append(known, fullRecord(joined))...) })
	f.net.Run(100 * time.Millisecond)
	for _, n := range f.nodes[1:] {
		if member(n, joined.ID).ID == "" {
			t.Errorf("%s has not learned of the new member", n.endpoint.Self())
		}
	}
	bytes, most := sent()-before, uint64(nodes*neighbours*recordBytes)
	t.Logf("%d KB forwarded", bytes>>10)
	if bytes > most {
		t.Errorf("%d KB forwarded for one new member, want at most %d", bytes>>10, most>>10)
	}
}
