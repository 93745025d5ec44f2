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

// fleetBed is a store, runners and nodes in one process.
type fleetBed struct {
	t     *testing.T
	store *platformtest.Store
	nodes []*Node
	// ran counts the requests that each runner ran.
	ran map[string]*atomic.Int64
}

func newFleet(t *testing.T, nodes int) *fleetBed {
	t.Helper()
	f := &fleetBed{t: t, store: platformtest.NewStore(t), ran: map[string]*atomic.Int64{}}
	f.configure(1, "/lookup/")
	f.runner("i-1", "v1")
	f.runner("i-2", "v1")
	for i := range nodes {
		f.start(i)
	}
	f.eventually("all nodes are ready and met", func() bool {
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
func (f *fleetBed) configure(version int, paths ...string) {
	f.store.PutConfiguration(version, paths...)
}

func (f *fleetBed) runner(id, release string) {
	count := &atomic.Int64{}
	f.ran[id] = count
	f.store.PutRunner(id, release, platformtest.PlainRunner(f.t, id, count))
}

func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// start adds a node. All nodes are on one host here, so each has an address of
// the loopback network.
func (f *fleetBed) start(i int) *Node {
	f.t.Helper()
	ip := fmt.Sprintf("127.0.0.%d", 10+i)
	address := func() string { return fmt.Sprintf("%s:%d", ip, freePort(f.t)) }
	text := platformtest.Node{
		Host: fmt.Sprintf("front-%d", i), Domain: "z1", IP: ip, Entry: address(), Ready: address(), Directory: address(),
		PeerPort: 17345, MetricsPort: freePort(f.t), Store: f.store.Address, Seeds: `["127.0.0.10:1"]`,
	}.Settings()
	s, err := settings.ParseRouter("node.toml", text)
	if err != nil {
		f.t.Fatal(err)
	}
	n, err := New(s, slog.New(slog.DiscardHandler))
	if err != nil {
		f.t.Fatal(err)
	}
	if err := n.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = n.kernel.Stop(context.Background()) })
	f.nodes = append(f.nodes, n)
	return n
}

func (f *fleetBed) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("not within 10 s: %s", what)
}

// get sends a request to a node.
func (f *fleetBed) get(n *Node, path, key string) (status int, body string) {
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

// TestFleetServes guards against a path from the settings to the answer that
// is broken anywhere, and against news that only the nodes learn that read the
// store.
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
	f.eventually("the news is at all nodes", func() bool {
		for _, n := range f.nodes {
			v := n.knowledge.View()
			if v.Config.Version != 5 || len(v.Upstreams["pool"]) != 1 {
				return false
			}
		}
		return true
	})
	if time.Now().After(within) {
		t.Error("the news took longer than the bound of 2.5 s")
	}
	before := f.ran["i-1"].Load()
	for _, n := range f.nodes {
		if status, body := f.get(n, "/added/1", "key"); status != 200 || body != "i-2" {
			t.Errorf("%s: %d %q", n.settings.Host, status, body)
		}
	}
	if f.ran["i-1"].Load() != before {
		t.Error("a runner without an entry got a request")
	}
}

// TestFleetLeaves guards against a node that goes without finishing its
// requests or that is still named to callers.
func TestFleetLeaves(t *testing.T) {
	f := newFleet(t, 3)
	gone := f.nodes[0]
	done := make(chan error, 1)
	go func() { done <- gone.Stop() }()
	f.eventually("the leaving node is not ready", func() bool { return !gone.Ready() })
	if status, _ := f.get(gone, "/lookup/1", "key"); status != 200 {
		t.Errorf("a leaving node answers %d to a caller with an old address", status)
	}
	f.eventually("the others do not name it", func() bool {
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
		t.Errorf("a node that has left answers %d %q", status, body)
	}
}

func (f *fleetBed) resolve(n *Node) string {
	f.t.Helper()
	addresses, err := platformtest.Resolve(n.settings.Directory, "r1", "z1")
	if err != nil {
		f.t.Fatal(err)
	}
	return strings.Join(addresses, " ")
}

// TestFleetWithoutStore guards against requests that fail because the store is
// away, and against a node that starts then and answers as if it knew the
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
	f.eventually("the late node serves", func() bool {
		status, _ := f.get(late, "/lookup/1", "key")
		return status == 200 && late.Ready()
	})
}

// TestStrangerRefused guards against messages from a process that is not in
// the store.
func TestStrangerRefused(t *testing.T) {
	f := newFleet(t, 2)
	r := f.nodes[0].registry
	if r.trusts("0123") {
		t.Error("an unknown certificate is trusted")
	}
	if !r.trusts(f.nodes[1].registry.own.Fingerprint) || r.count() != 2 {
		t.Errorf("the other node is not trusted, %d known", r.count())
	}
}
