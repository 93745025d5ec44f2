package peer_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/peer/memnet"
)

const floodKind peer.Kind = "test.flood"

// ring is an overlay in which each node's neighbours are at distances 1, 2, 4, ….
type ring struct {
	size, at int
}

func nodeID(i int) peer.NodeID { return peer.NodeID(fmt.Sprintf("node-%02d", i)) }

func (r ring) Resolve(id peer.NodeID) (string, bool) { return string(id), true }

func (r ring) Neighbours() []peer.NodeID {
	var ids []peer.NodeID
	for d := 1; d < r.size; d *= 2 {
		ids = append(ids, nodeID((r.at+d)%r.size))
	}
	return ids
}

// flooded is a network whose nodes count the floods that they handle.
type flooded struct {
	network *memnet.Network
	nodes   []*memnet.Endpoint
	handled []map[int]int
}

func newFlooded(size int, o memnet.Options) *flooded {
	f := &flooded{network: memnet.New(clock.NewFake(time.Unix(1_700_000_000, 0)), o)}
	for i := range size {
		e := f.network.AddNode(nodeID(i), string(nodeID(i)))
		e.SetAddressBook(ring{size, i})
		counts := map[int]int{}
		e.Handle(floodKind, func(_ context.Context, _ peer.NodeID, body []byte) (any, error) {
			var m flood
			if err := peer.Decode(body, &m); err != nil {
				return nil, err
			}
			counts[m.Number]++
			return nil, nil
		})
		f.nodes, f.handled = append(f.nodes, e), append(f.handled, counts)
	}
	return f
}

type flood struct {
	Number int    `cbor:"1,keyasint"`
	Text   string `cbor:"2,keyasint"`
}

// messageBytes is the size of a flood; larger ones are pulled.
const messageBytes = 3000

func (f *flooded) flood(t *testing.T, from, number, size int) {
	t.Helper()
	if err := f.nodes[from].Flood(floodKind, flood{number, strings.Repeat("x", size)}); err != nil {
		t.Fatal(err)
	}
}

// reached counts the nodes that handled a flood, and fails for those that handled it
// twice.
func (f *flooded) reached(t *testing.T, number int) int {
	t.Helper()
	n := 0
	for i, counts := range f.handled {
		if counts[number] > 0 {
			n++
		}
		if counts[number] > 1 {
			t.Errorf("node %d handled flood %d %d times", i, number, counts[number])
		}
	}
	return n
}

func (f *flooded) sentBytes() (total uint64) {
	for _, e := range f.nodes {
		total += e.Traffic().SentBytes
	}
	return total
}

// TestLazyPushCost answers many large floods of one node: each must cost less than
// twice the copies that the others need, where a plain flood costs one copy for each
// neighbour.
func TestLazyPushCost(t *testing.T) {
	const size, floods = 60, 20
	f := newFlooded(size, memnet.Options{Delay: 2 * time.Millisecond, Jitter: 3 * time.Millisecond, Seed: 1})
	f.flood(t, 0, 0, messageBytes)
	f.network.Run(time.Second)
	before := f.sentBytes()
	for i := 1; i <= floods; i++ {
		f.flood(t, 0, i, messageBytes)
		f.network.Run(time.Second)
	}
	for i := range floods + 1 {
		if n := f.reached(t, i); n != size-1 {
			t.Errorf("flood %d reached %d of %d nodes", i, n, size-1)
		}
	}
	copies := float64(f.sentBytes()-before) / floods / (size - 1) / messageBytes
	t.Logf("%.2f times the bytes of one copy for each node", copies)
	if copies > 2 {
		t.Errorf("%.2f times the bytes of one copy for each node, want at most 2", copies)
	}
}

// TestLazyPushHeals guards against nodes that no longer get an origin's floods once
// nodes on the way to them have failed or messages are lost.
func TestLazyPushHeals(t *testing.T) {
	const size = 60
	for name, o := range map[string]memnet.Options{
		"sound":               {Delay: 2 * time.Millisecond, Jitter: 3 * time.Millisecond, Seed: 1},
		"a tenth is lost":     {Delay: 2 * time.Millisecond, Jitter: 3 * time.Millisecond, Seed: 2, Loss: 0.1},
		"a tenth comes twice": {Delay: 2 * time.Millisecond, Jitter: 3 * time.Millisecond, Seed: 3, Duplicate: 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFlooded(size, o)
			for i := range 5 {
				f.flood(t, 0, i, messageBytes)
				f.network.Run(time.Second)
			}
			// A fifth of the nodes fail; membership has not noticed yet.
			dead := 0
			for i := 3; i < size; i += 5 {
				f.nodes[i].Close()
				dead++
			}
			for i := 5; i < 10; i++ {
				f.flood(t, 0, i, messageBytes)
				f.network.Run(time.Second)
				if n, want := f.reached(t, i), size-1-dead; n != want {
					t.Errorf("flood %d reached %d of %d live nodes", i, n, want)
				}
			}
		})
	}
}

// TestPullCost answers large floods by many nodes, each of which floods once. They must
// cost less than twice the copies that the others need, and reach all live nodes.
func TestPullCost(t *testing.T) {
	const size, floods, large = 60, 20, 16000
	f := newFlooded(size, memnet.Options{Delay: 2 * time.Millisecond, Jitter: 3 * time.Millisecond, Seed: 4, Loss: 0.02})
	for i := range 3 { // Until the nodes know of each other that they pull.
		f.flood(t, i, i, messageBytes)
		f.network.Run(time.Second)
	}
	f.nodes[40].Close()
	before := f.sentBytes()
	for i := range floods {
		f.flood(t, 3+i, 3+i, large)
		f.network.Run(2 * time.Second)
		if n := f.reached(t, 3+i); n != size-2 {
			t.Errorf("flood %d reached %d of %d live nodes", i, n, size-2)
		}
	}
	copies := float64(f.sentBytes()-before) / floods / (size - 2) / large
	t.Logf("%.2f times the bytes of one copy for each node", copies)
	if copies > 2 {
		t.Errorf("%.2f times the bytes of one copy for each node, want at most 2", copies)
	}
}

// TestFilterPanics guards against a message that ends the process because the filter
// of floods fails on it.
func TestFilterPanics(t *testing.T) {
	f := newFlooded(4, memnet.Options{Delay: time.Millisecond, Seed: 6})
	for _, e := range f.nodes {
		e.FilterFlood(floodKind, func([]byte) []byte { panic("unexpected") })
	}
	f.flood(t, 0, 0, messageBytes)
	f.network.Run(time.Second)
	if n := f.reached(t, 0); n != 3 {
		t.Errorf("the flood reached %d of 3 nodes", n)
	}
}

// TestOddLazyPushMessages guards against a node that fails on messages that no sound
// node sends, or that keeps asking for what does not exist.
func TestOddLazyPushMessages(t *testing.T) {
	f := newFlooded(2, memnet.Options{Delay: time.Millisecond, Seed: 7})
	type odd struct {
		Origin string `cbor:"1,keyasint"`
		Seq    uint64 `cbor:"2,keyasint"`
		Now    bool   `cbor:"3,keyasint"`
	}
	for _, kind := range []peer.Kind{"flood.announce", "flood.fetch", "flood.prune"} {
		for i := range 3000 {
			for _, body := range []any{odd{Origin: "nobody", Seq: uint64(i), Now: i%2 == 0}, odd{Origin: strings.Repeat("x", 5000)}, "text", 7} {
				if err := f.nodes[0].Notify(nodeID(1), kind, body); err != nil {
					t.Fatal(err)
				}
			}
		}
		f.network.Run(3 * time.Second)
	}
	before := f.sentBytes()
	f.network.Run(10 * time.Second)
	if after := f.sentBytes(); after != before {
		t.Errorf("%d bytes sent for messages that do not exist", after-before)
	}
	f.flood(t, 0, 1, messageBytes)
	f.network.Run(time.Second)
	if n := f.reached(t, 1); n != 1 {
		t.Errorf("a flood reached %d of 1 node afterwards", n)
	}
}
