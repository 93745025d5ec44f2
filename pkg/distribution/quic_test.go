package distribution

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/goleak"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/membership"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/peer/keys"
	"cassiapin/pkg/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// quicNode is a node that uses the QUIC transport on loopback.
type quicNode struct {
	*Service
	members *membership.Service
	kernel  *kernel.Kernel
	set     *metrics.Set
	stopped bool
}

func freePort(t *testing.T) string {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

func startQUIC(t *testing.T, i int, files peer.KeyFiles, addresses []string, store *fakeStore) *quicNode {
	t.Helper()
	k := kernel.New(clock.Real{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	n := &quicNode{kernel: k, set: metrics.NewSet()}
	id := peer.NodeID(fmt.Sprintf("quic-%d", i))
	n.members = membership.New(membership.Options{
		Self:  peer.Member{PeerAddress: addresses[i], Region: []string{"dakar", "thies"}[i%2], FailureDomain: "d"},
		Seeds: addresses, Seed: int64(i + 1), Metrics: n.set,
	})
	n.Service = New(Options{Validate: validate, Seed: int64(i + 1), Metrics: n.set})
	transport := peer.NewTransport(peer.Options{Self: id, Listen: addresses[i], Keys: files, Metrics: n.set})
	if err := k.Register(timeline.NewService(string(id), k.HLC, 256), store, transport, n.members, n.Service); err != nil {
		t.Fatal(err)
	}
	if err := k.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.stop(t) })
	return n
}

func (n *quicNode) stop(t *testing.T) {
	if n.stopped {
		return
	}
	n.stopped = true
	if err := n.kernel.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}

// Guards against faults that the simulation hides: goroutine leaks, deadlocks,
// watches that are not established, and a stop that hangs.
func TestOverQUIC(t *testing.T) {
	dir := t.TempDir()
	if err := keys.MakeCA(dir, time.Now()); err != nil {
		t.Fatal(err)
	}
	if err := keys.MakeNodeCert(dir, dir, "test", time.Now()); err != nil {
		t.Fatal(err)
	}
	files := peer.KeyFiles{
		CA: filepath.Join(dir, keys.CAFile), Cert: filepath.Join(dir, keys.NodeFile), Key: filepath.Join(dir, keys.NodeKeyFile),
	}
	const count = 6
	var addresses []string
	for range count {
		addresses = append(addresses, freePort(t))
	}
	store := newFakeStore()
	store.put(ConfigKey, encodedConfig(t, 1, "a", 500))
	var nodes []*quicNode
	for i := range count {
		nodes = append(nodes, startQUIC(t, i, files, addresses, store))
	}
	eventually := func(what string, ok func(*quicNode) bool) {
		t.Helper()
		const limit = 30 * time.Second
		for end := time.Now().Add(limit); ; time.Sleep(10 * time.Millisecond) {
			all := true
			for _, n := range nodes {
				all = all && (n.stopped || ok(n))
			}
			if all {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%s not reached within %s", what, limit)
			}
		}
	}
	eventually("membership", func(n *quicNode) bool { return len(n.members.Live()) == count })
	eventually("the first configuration", func(n *quicNode) bool { return n.number() == 1 })
	store.put(ConfigKey, encodedConfig(t, 2, "b", 500))
	eventually("a new configuration", func(n *quicNode) bool { return n.number() == 2 })
	store.setUnavailable(true)
	if err := nodes[3].SetMark(config.DomainKey("d"), config.MarkOut, "test"); err != nil {
		t.Fatal(err)
	}
	eventually("a mark", func(n *quicNode) bool { return n.Marks().DomainOut("d") })
	nodes[5].stop(t)
	eventually("removal of the stopped node", func(n *quicNode) bool { return len(n.members.Live()) == count-1 })
	store.setUnavailable(false)
	eventually("the write of the mark", func(n *quicNode) bool { return !n.Status().MarksPending })
	for _, n := range nodes {
		t.Logf("wire bytes: sent %d, received %d",
			n.set.GetOrCreateCounter("cassiapin_peer_wire_sent_bytes_total").Get(),
			n.set.GetOrCreateCounter("cassiapin_peer_wire_received_bytes_total").Get())
	}
}
