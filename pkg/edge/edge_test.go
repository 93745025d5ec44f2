package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
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
	var routes []map[string]any
	for _, p := range paths {
		routes = append(routes, map[string]any{
			"name": p, "host": "h", "path-prefix": p, "kind": "safe", "service": "pool", "attempts": 2,
			"timeout-ms": 2000, "target-latency-ms": 500,
		})
	}
	f.store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": []any{map[string]any{"name": "pool", "max-connections": 50}},
		"tenants": []any{map[string]any{"name": "studio", "api-keys": []string{"key"}}},
	})
}

func (f *fleetBed) runner(id, release string) {
	count := &atomic.Int64{}
	f.ran[id] = count
	address := platformtest.Runner(f.t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		if r.Header.Get("Expected-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		count.Add(1)
		w.Header().Set("Response-Stamp", "signed")
		_, _ = io.WriteString(w, id)
	})
	f.store.Put("servers", id, map[string]any{
		"service": "pool", "address": address, "zone": "z1", "version": release, "slots": 8, "state": "ready", "sequence": 1, "born": 1,
	})
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
	text := fmt.Sprintf(`
host = "front-%d"
region = "r1"
failure_domain = "z1"
entry = %q
ready = %q
directory = %q
ip = %q
peer_port = 17345
metrics_port = %d
seeds = ["127.0.0.10:1"]
heartbeat = "1200ms"
[domains]
z1 = "r1"
[store]
address = %q
[bounds]
grace = "2s"
drain = "2500ms"
config_lag = "2500ms"
rollback = "5s"
evacuation = "5s"
retry_ratio = 0.9
retry_extra = 56
retry_window = "10s"
exposure_share = 0.15
exposure_extra = 30
cold_factor = 1.5
cold_extra = 5
session_gap = "5s"
directory_ttl = "5s"
stability_window = "3s"
`, i, address(), address(), address(), ip, freePort(f.t), f.store.Address)
	s, err := settings.ParseRouter("node.toml", []byte(text))
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
	request, err := http.NewRequest(http.MethodGet, "http://"+n.settings.Entry+path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Request-Id", "7")
	request.Header.Set("Authorization", "Bearer "+key)
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
	f.store.Remove("servers", "i-1")
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
	response, err := http.Get("http://" + n.settings.Directory + "/-/resolve?region=r1&zone=z1")
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		f.t.Fatal(err)
	}
	return strings.Join(answer.Addresses, " ")
}

// TestFleetWithoutStore guards against requests that fail because the store is
// away, and against a node that starts then and answers as if it knew the
// configuration.
func TestFleetWithoutStore(t *testing.T) {
	f := newFleet(t, 2)
	f.store.SetAway(true)
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
	f.store.SetAway(false)
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

// TestTemplate guards against a template of the settings that does not fit the
// product's settings.
func TestTemplate(t *testing.T) {
	raw, err := os.ReadFile("../../platform/node.toml.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	for placeholder, value := range map[string]string{
		"{{node-name|json}}": `"front-1"`, "{{region|json}}": `"r1"`, "{{zone|json}}": `"z1"`,
		"{{listen-addresses.front|json}}": `"10.0.0.1:80"`, "{{listen-addresses.ready|json}}": `"10.0.0.1:81"`,
		"{{listen-addresses.directory|json}}": `"10.0.0.1:82"`, "{{ip-address|json}}": `"10.0.0.1"`,
		"{{internal-port-range.0}}": "7340", "{{internal-port-range.1}}": "7355",
		"{{#seed-nodes}}{{.|json}}{{,}}{{/seed-nodes}}": `"10.0.0.1:83","10.0.0.2:83"`,
		"{{heartbeat-ms}}": "1200", "{{#zones}}\n\"{{@}}\" = {{.|json}}\n{{/zones}}": `"z1" = "r1"`,
		"{{platform.address|json}}": `"10.9.0.1:90"`, "{{platform.reads-per-s}}": "2000", "{{platform.writes-per-s}}": "400",
		"{{platform.value-bytes}}": "1048576", "{{bounds.grace-period-s}}": "8", "{{bounds.drain-ms}}": "2500",
		"{{bounds.configuration-ms}}": "2500", "{{bounds.rollback-ms}}": "5000", "{{bounds.evacuation-ms}}": "5000",
		"{{bounds.retry-budget-ratio}}": "0.9", "{{bounds.budget-extra-retries}}": "56", "{{bounds.budget-window-s}}": "10",
		"{{bounds.exposure-share}}": "0.15", "{{bounds.exposure-slack}}": "30", "{{bounds.cold-overshoot}}": "1.5",
		"{{bounds.cold-slack}}": "5", "{{bounds.session-s}}": "6.5", "{{bounds.ttl_max_s}}": "5", "{{bounds.stability-window-ms}}": "3000",
	} {
		if !strings.Contains(text, placeholder) {
			t.Errorf("the template lacks %s", placeholder)
		}
		text = strings.ReplaceAll(text, placeholder, value)
	}
	s, err := settings.ParseRouter("node.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if s.Bounds.SessionGap.Std() != 6500*time.Millisecond || s.PeerSeeds()[1] != "10.0.0.2:7340" || s.Domains["z1"] != "r1" {
		t.Errorf("settings %+v", s)
	}
}
