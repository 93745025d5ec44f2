package peer

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/goleak"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/peer/keys"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

const (
	testWait     = 20 * time.Second
	testInterval = 50 * time.Millisecond
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testAddressBook is an AddressBook whose entries the test sets.
type testAddressBook struct {
	mu         sync.Mutex
	addresses  map[NodeID]string
	neighbours []NodeID
}

func (b *testAddressBook) Resolve(id NodeID) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.addresses[id]
	return a, ok
}

func (b *testAddressBook) Neighbours() []NodeID { return b.neighbours }

// makeKeys writes a CA and one node certificate to dir.
func makeKeys(t *testing.T, dir string) KeyFiles {
	t.Helper()
	if err := keys.MakeCA(dir, time.Now()); err != nil {
		t.Fatal(err)
	}
	if err := keys.MakeNodeCert(dir, dir, "test", time.Now()); err != nil {
		t.Fatal(err)
	}
	return KeyFiles{filepath.Join(dir, keys.CAFile), filepath.Join(dir, keys.NodeFile), filepath.Join(dir, keys.NodeKeyFile)}
}

func startTransport(t *testing.T, id NodeID, files KeyFiles, prepare func(*Transport)) *Transport {
	t.Helper()
	k := kernel.New(clock.Real{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	tr := NewTransport(Options{
		Self: id, Listen: "127.0.0.1:0", Keys: files, Metrics: metrics.NewSet(),
		CheckInterval: testInterval, KeyReload: testInterval,
	})
	if prepare != nil {
		prepare(tr)
	}
	if err := k.Register(timeline.NewService(string(id), k.HLC, 64), tr); err != nil {
		t.Fatal(err)
	}
	if err := k.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := k.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return tr
}

func echo(_ context.Context, from NodeID, body []byte) (any, error) {
	var s string
	if err := Decode(body, &s); err != nil {
		return nil, err
	}
	if s == "refuse" {
		return nil, result.New(result.ColdStartLimited, "no permit")
	}
	return string(from) + ":" + s, nil
}

func requestEcho(tr *Transport, to NodeID, text string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	var reply string
	err := tr.Request(ctx, to, "echo", text, &reply)
	return reply, err
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testWait); !ok(); time.Sleep(testInterval / 5) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen within %s", what, testWait)
		}
	}
}

// Guards against lost responses and notifications, remote errors without their
// code, floods that are handled twice or not at all, a new process that serves
// requests for the id of its predecessor, and leaked goroutines.
func TestTransportRequestNotifyFlood(t *testing.T) {
	files := makeKeys(t, t.TempDir())
	const n = 5
	var counts [n]atomic.Int64
	var all [n]*Transport
	book := func(i int) *testAddressBook {
		b := &testAddressBook{addresses: map[NodeID]string{}}
		for _, step := range []int{1, 2} {
			b.neighbours = append(b.neighbours, NodeID(fmt.Sprint("n", (i+step)%n)))
		}
		return b
	}
	var books [n]*testAddressBook
	for i := range all {
		books[i] = book(i)
		all[i] = startTransport(t, NodeID(fmt.Sprint("n", i)), files, func(tr *Transport) {
			tr.Handle("echo", echo)
			tr.Handle("count", func(context.Context, NodeID, []byte) (any, error) {
				counts[i].Add(1)
				return nil, nil
			})
			tr.SetAddressBook(books[i])
		})
	}
	for i, b := range books {
		b.mu.Lock()
		for j, tr := range all {
			b.addresses[NodeID(fmt.Sprint("n", j))] = tr.Address()
		}
		b.addresses["former"] = all[(i+1)%n].Address()
		b.mu.Unlock()
	}
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			text := fmt.Sprint("m", i)
			if got, err := requestEcho(all[0], NodeID(fmt.Sprint("n", 1+i%4)), text); err != nil || got != "n0:"+text {
				t.Errorf("request %d: got %q, %v", i, got, err)
			}
		}()
	}
	wg.Wait()
	if got, err := requestEcho(all[0], "n3", "x"); err != nil || got != "n0:x" {
		t.Fatalf("got %q, %v", got, err)
	}
	_, err := requestEcho(all[0], "n1", "refuse")
	if remote, ok := RemoteFailure(err); !ok || remote.Code != result.ColdStartLimited || result.CodeOf(err) != result.PeerFailed {
		t.Fatalf("a remote error arrived as %v", err)
	}
	if _, err := requestEcho(all[0], "former", "x"); result.CodeOf(err) != result.PeerFailed {
		t.Fatalf("a process accepted a request for another node id: %v", err)
	}
	if got, err := requestEcho(all[0], AddressID(all[2].Address()), "seed"); err != nil || got != "n0:seed" {
		t.Fatalf("request by address: %q, %v", got, err)
	}
	const floods = 20
	for i := range floods {
		if err := all[i%n].Flood("count", i); err != nil {
			t.Fatal(err)
		}
	}
	if err := all[0].Notify("n1", "count", 0); err != nil {
		t.Fatal(err)
	}
	eventually(t, "every flood", func() bool {
		sum := int64(0)
		for i := range counts {
			sum += counts[i].Load()
		}
		return sum == floods*(n-1)+1
	})
}

// Guards against accepting a node whose certificate comes from another CA, and
// against a certificate change that takes effect only after a restart.
func TestTransportRejectsForeignNodesAndReloadsKeys(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	files, otherFiles := makeKeys(t, dir), makeKeys(t, other)
	server := startTransport(t, "server", files, func(tr *Transport) { tr.Handle("echo", echo) })
	foreign := startTransport(t, "stranger", otherFiles, nil)
	to := AddressID(server.Address())
	if _, err := requestEcho(foreign, to, "x"); result.CodeOf(err) != result.PeerFailed {
		t.Fatalf("request of a node of another fleet: got %v", err)
	}
	for _, pair := range [][2]string{{otherFiles.CA, files.CA}, {otherFiles.Key, files.Key}, {otherFiles.Cert, files.Cert}} {
		raw, err := os.ReadFile(pair[0])
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(pair[1], raw, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "the key change", func() bool {
		_, err := requestEcho(foreign, to, "x")
		return err == nil
	})
}

// blackhole is a UDP relay in front of a server that can drop all packets of
// the connections that exist at one moment.
type blackhole struct {
	front, back   *net.UDPConn
	mu            sync.Mutex
	client        *net.UDPAddr
	seen, dropped map[[4]byte]bool
}

// forwards reports whether a packet is forwarded. QUIC short headers carry the
// destination connection id, four bytes in quic-go, after the first byte.
func (b *blackhole) forwards(p []byte) bool {
	const longHeader = 0x80
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(p) < 5 || p[0]&longHeader != 0 {
		return true
	}
	id := [4]byte(p[1:5])
	b.seen[id] = true
	return !b.dropped[id]
}

func (b *blackhole) dropExisting() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropped, b.seen = b.seen, map[[4]byte]bool{}
}

func startBlackhole(t *testing.T, server string) *blackhole {
	t.Helper()
	target, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	b := &blackhole{seen: map[[4]byte]bool{}}
	if b.front, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		t.Fatal(err)
	}
	if b.back, err = net.DialUDP("udp", nil, target); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		buf := make([]byte, 2048)
		for {
			n, from, err := b.front.ReadFromUDP(buf)
			if err != nil {
				return
			}
			b.mu.Lock()
			b.client = from
			b.mu.Unlock()
			if b.forwards(buf[:n]) {
				_, _ = b.back.Write(buf[:n])
			}
		}
	}()
	go func() {
		defer wg.Done()
		buf := make([]byte, 2048)
		for {
			n, err := b.back.Read(buf)
			if err != nil {
				return
			}
			b.mu.Lock()
			client := b.client
			b.mu.Unlock()
			if b.forwards(buf[:n]) {
				_, _ = b.front.WriteToUDP(buf[:n], client)
			}
		}
	}()
	t.Cleanup(func() {
		b.front.Close()
		b.back.Close()
		wg.Wait()
	})
	return b
}

// Guards against continued use of a connection whose packets are all lost while
// new connections to the same node work.
func TestTransportReplacesSilentConnection(t *testing.T) {
	files := makeKeys(t, t.TempDir())
	server := startTransport(t, "server", files, func(tr *Transport) { tr.Handle("echo", echo) })
	relay := startBlackhole(t, server.Address())
	client := startTransport(t, "client", files, nil)
	to := AddressID(relay.front.LocalAddr().String())
	if _, err := requestEcho(client, to, "x"); err != nil {
		t.Fatal(err)
	}
	relay.dropExisting()
	eventually(t, "a new connection", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*testInterval)
		defer cancel()
		return client.Request(ctx, to, "echo", "x", nil) == nil
	})
	if client.silent.Get() == 0 {
		t.Fatal("no silent connection was counted")
	}
}
