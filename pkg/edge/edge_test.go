package edge

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cassiapin/pkg/settings"
	"cassiapin/platform/platformtest"
)

// testFleet runs a store, runners and nodes in one process.
type testFleet struct {
	t     *testing.T
	store *platformtest.Store
	nodes []*Node
	// peerPort is the UDP port of all nodes.
	peerPort int
	// log is the log of nodes that start.
	log *slog.Logger
	// ran counts the requests handled by each runner.
	ran map[string]*atomic.Int64
}

func newFleet(t *testing.T, nodes int) *testFleet {
	t.Helper()
	f := &testFleet{t: t, store: platformtest.NewStore(t), peerPort: freePeerPort(t, nodes+1), log: slog.New(slog.DiscardHandler), ran: map[string]*atomic.Int64{}}
	f.configure(1, "/lookup/")
	f.runner("i-1", "v1")
	f.runner("i-2", "v1")
	for i := range nodes {
		f.start(i)
	}
	f.eventually("all nodes are ready and have joined", func() bool {
		for _, n := range f.nodes {
			if !n.Ready() || len(n.members.Live()) != nodes {
				return false
			}
		}
		return true
	})
	return f
}

// configure writes a configuration with one route for each path.
func (f *testFleet) configure(version int, paths ...string) {
	f.store.PutConfiguration(version, paths...)
}

func (f *testFleet) runner(id, release string) {
	count := &atomic.Int64{}
	f.ran[id] = count
	f.store.PutRunner(id, release, platformtest.PlainRunner(f.t, id, count))
}

// freePeerPort returns a UDP port that is free on the addresses of some nodes.
func freePeerPort(t *testing.T, nodes int) int {
	t.Helper()
	for range 20 {
		port := 0
		free := true
		for i := range nodes {
			c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, byte(10+i)), Port: port})
			if err != nil {
				free = false
				break
			}
			defer c.Close()
			port = c.LocalAddr().(*net.UDPAddr).Port
		}
		if free {
			return port
		}
	}
	t.Fatal("no UDP port is free on all addresses")
	return 0
}

// start adds a node. All nodes run on one host, so each uses its own loopback
// address.
func (f *testFleet) start(i int) *Node {
	f.t.Helper()
	return f.startWith(i, func(*Node) {})
}

// startWith adds a node that prepare changes before it runs.
func (f *testFleet) startWith(i int, prepare func(*Node)) *Node {
	f.t.Helper()
	return f.startSettings(i, func(*settings.Router) {}, prepare)
}

// startSettings adds a node with other settings.
func (f *testFleet) startSettings(i int, change func(*settings.Router), prepare func(*Node)) *Node {
	f.t.Helper()
	ip := fmt.Sprintf("127.0.0.%d", 10+i)
	ports := platformtest.FreePorts(f.t, ip, 4)
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	text := platformtest.Node{
		Host: fmt.Sprintf("front-%d", i), Domain: "z1", IP: ip,
		Entry: address(ports[0]), Ready: address(ports[1]), Directory: address(ports[2]),
		PeerPort: f.peerPort, MetricsPort: ports[3], Store: f.store.Address, Seeds: `["127.0.0.10:1"]`,
	}.Settings()
	s, err := settings.ParseRouter("node.toml", text)
	if err != nil {
		f.t.Fatal(err)
	}
	change(s)
	n, err := New(s, f.log)
	if err != nil {
		f.t.Fatal(err)
	}
	prepare(n)
	if err := n.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = n.kernel.Stop(context.Background()) })
	f.nodes = append(f.nodes, n)
	return n
}

func (f *testFleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("timed out after 10 s waiting until %s", what)
}

// get sends a request to a node.
func (f *testFleet) get(n *Node, path, key string) (status int, body string) {
	f.t.Helper()
	request, err := platformtest.CallerRequest("http://"+n.settings.Entry+path, key)
	if err != nil {
		f.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(raw)
}

// TestFleetServes guards against a failure anywhere between the settings and an
// answer, and against changes that reach only the nodes that read the store.
func TestFleetServes(t *testing.T) {
	f := newFleet(t, 4)
	for _, n := range f.nodes {
		if status, body := f.get(n, "/lookup/1", "key"); status != 200 || !strings.HasPrefix(body, "i-") {
			t.Errorf("%s: %d %q", n.settings.Host, status, body)
		}
		if status, _ := f.get(n, "/lookup/1", "other"); status != 401 {
			t.Errorf("%s: unknown key gives %d", n.settings.Host, status)
		}
	}
	f.configure(5, "/lookup/", "/added/")
	f.store.RemoveRunner("i-1")
	within := time.Now().Add(2500 * time.Millisecond)
	f.eventually("all nodes have the change", func() bool {
		for _, n := range f.nodes {
			v := n.storeView.View()
			if v.Config.Version != 5 || len(v.Upstreams["pool"]) != 1 {
				return false
			}
		}
		return true
	})
	if time.Now().After(within) {
		t.Error("the change took longer than the limit of 2.5 s")
	}
	before := f.ran["i-1"].Load()
	for _, n := range f.nodes {
		if status, body := f.get(n, "/added/1", "key"); status != 200 || body != "i-2" {
			t.Errorf("%s: %d %q", n.settings.Host, status, body)
		}
	}
	if f.ran["i-1"].Load() != before {
		t.Error("a removed runner got a request")
	}
}

// TestFleetLeaves guards against a leaving node that rejects requests too early,
// that the directory still returns, or that still serves after it has stopped.
func TestFleetLeaves(t *testing.T) {
	f := newFleet(t, 3)
	gone := f.nodes[0]
	done := make(chan error, 1)
	go func() { done <- gone.Stop(time.Now()) }()
	f.eventually("the leaving node is not ready", func() bool { return !gone.Ready() })
	if status, _ := f.get(gone, "/lookup/1", "key"); status != 200 {
		t.Errorf("a leaving node answers %d to a caller with a cached address", status)
	}
	f.eventually("the directory of the other nodes omits it", func() bool {
		for _, n := range f.nodes[1:] {
			if strings.Contains(f.resolve(n), gone.settings.Entry) {
				return false
			}
		}
		return true
	})
	if err := <-done; err != nil {
		t.Error(err)
	}
	if status, body := f.get(gone, "/lookup/1", "key"); status != 0 {
		t.Errorf("a stopped node answers %d %q", status, body)
	}
}

func (f *testFleet) resolve(n *Node) string {
	f.t.Helper()
	addresses, err := platformtest.Resolve(n.settings.Directory, "r1", "z1")
	if err != nil {
		f.t.Fatal(err)
	}
	return strings.Join(addresses, " ")
}

// TestFleetWithoutStore guards against requests that fail because the store is
// unavailable, and against a node that starts in an outage and serves without a
// configuration.
func TestFleetWithoutStore(t *testing.T) {
	f := newFleet(t, 2)
	f.store.SetUnavailable(true)
	time.Sleep(3 * time.Second)
	for _, n := range f.nodes {
		if status, _ := f.get(n, "/lookup/1", "key"); status != 200 || !n.Ready() {
			t.Errorf("%s: %d, ready %v", n.settings.Host, status, n.Ready())
		}
	}
	late := f.start(2)
	if status, body := f.get(late, "/nowhere/", "key"); status != 503 || late.Ready() {
		t.Errorf("a node without a configuration: %d %q, ready %v", status, body, late.Ready())
	}
	f.store.SetUnavailable(false)
	f.eventually("the node started in the outage serves", func() bool {
		status, _ := f.get(late, "/lookup/1", "key")
		return status == 200 && late.Ready()
	})
}

// TestUnknownCertificate guards against trusting a process that has no entry in
// the store, or that names the host of another node.
func TestUnknownCertificate(t *testing.T) {
	f := newFleet(t, 2)
	r := f.nodes[0].registry
	host, fingerprint := f.nodes[1].registry.host, f.nodes[1].registry.own.Fingerprint
	for _, other := range []string{host, "front-9", "", "a certificate of an earlier release"} {
		if r.isTrusted(other, "0123") {
			t.Errorf("an unknown certificate that names host %q is trusted", other)
		}
	}
	if !r.isTrusted(host, fingerprint) || r.nodeCount() != 2 {
		t.Errorf("the other node is not trusted, %d known", r.nodeCount())
	}
	f.store.PutNode("front-8", "4567")
	if !r.isTrusted("cassiapin node", "4567") {
		t.Error("a registered node of an earlier release, whose certificate names no host, is not trusted")
	}
}

// TestCertificatesCostOneEntryEach guards against a list of all nodes for each new
// certificate: when many nodes start, these lists fill the links to the store.
func TestCertificatesCostOneEntryEach(t *testing.T) {
	f := newFleet(t, 1)
	register := func(i int) {
		f.store.PutNode(fmt.Sprintf("other-%d", i), fmt.Sprint("f", i))
	}
	for i := range 200 {
		register(100 + i)
	}
	r := f.nodes[0].registry
	lists := f.store.NodeLists()
	for i := range 5 {
		register(i) // The node starts after the latest list.
		if host := fmt.Sprintf("other-%d", i); !r.isTrusted(host, fmt.Sprint("f", i)) {
			t.Errorf("the certificate of %s is not trusted", host)
		}
	}
	// A node without others looks for them from time to time, which is one list.
	if n := f.store.NodeLists() - lists; n > 1.5 {
		t.Errorf("%.1f lists for five certificates, want one at most", n)
	}
}
