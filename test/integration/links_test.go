package integration

import (
	"bytes"
	"encoding/json"
	"math/rand"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
)

// link is a TCP link with faults.
type link struct {
	proxy *toxiproxy.Proxy
	mu    sync.Mutex
}

// newLink starts a link to the address, given with or without a scheme.
func newLink(t *testing.T, name, target string) *link {
	t.Helper()
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = name, loopback(freePort(t)), strings.TrimPrefix(target, "http://")
	if err := startProxy(p); err != nil {
		t.Fatalf("link %s: %v", name, err)
	}
	l := &link{proxy: p}
	t.Cleanup(l.cut)
	return l
}

// startProxy starts a proxy at its address. A process that the test has just
// forked holds the listeners of the test until it runs the binary, so an
// address can stay in use for a moment after it was closed.
func startProxy(p *toxiproxy.Proxy) error {
	err := p.Start()
	for tries := 0; err != nil && tries < 50; tries++ {
		time.Sleep(20 * time.Millisecond)
		err = p.Start()
	}
	return err
}

func (l *link) address() string { return l.proxy.Listen }

func (l *link) url() string { return "http://" + l.proxy.Listen }

// attributes are those of a toxic.
type attributes map[string]any

// addToxic adds a toxic in one direction: "upstream" or "downstream".
func (l *link) addToxic(t *testing.T, kind, direction string, a attributes) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	raw, err := json.Marshal(map[string]any{"type": kind, "stream": direction, "attributes": a})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := l.proxy.Toxics.AddToxicJson(bytes.NewReader(raw)); err != nil {
		t.Fatalf("toxic %s on %s: %v", kind, l.proxy.Name, err)
	}
}

// blackhole lets no byte through in either direction; connections stay open.
func (l *link) blackhole(t *testing.T) {
	t.Helper()
	l.addToxic(t, "timeout", "downstream", attributes{"timeout": 0})
	l.addToxic(t, "timeout", "upstream", attributes{"timeout": 0})
}

// cut closes all connections and refuses new ones.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proxy.Stop()
}

// heal closes the connections that have met faults and lets new ones through.
func (l *link) heal(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proxy.Stop()
	l.proxy.Toxics.ResetToxics()
	if err := startProxy(l.proxy); err != nil {
		t.Errorf("heal %s: %v", l.proxy.Name, err)
	}
}

// relayDelay and relayLoss are the faults that the relay always has. A loss of
// 1% makes the transport repeat packets in every test.
const (
	relayDelay = time.Millisecond
	relayLoss  = 0.01
)

// relay forwards the packets between nodes. A node advertises the address of
// its relay socket. A packet from node A to the socket of node B goes to B from
// the socket of A, so that each node sees the others only at their relay
// sockets.
type relay struct {
	mu        sync.Mutex
	random    *rand.Rand
	endpoints []*relayEndpoint
	sources   map[string]int
	// group holds the side of a node in a partition; nodes of different sides
	// do not reach each other.
	group  map[int]int
	closed bool
}

type relayEndpoint struct {
	socket *net.UDPConn
	target *net.UDPAddr
}

func newRelay(t *testing.T, seed int64) *relay {
	r := &relay{random: rand.New(rand.NewSource(seed)), sources: make(map[string]int), group: make(map[int]int)}
	t.Cleanup(r.close)
	return r
}

// add opens the socket of one more node and returns its address. Nodes are
// numbered in the order of the calls.
func (r *relay) add(t *testing.T, port int) string {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	target := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port}
	r.mu.Lock()
	index := len(r.endpoints)
	r.endpoints = append(r.endpoints, &relayEndpoint{socket: socket, target: target})
	r.sources[target.String()] = index
	r.mu.Unlock()
	go r.forward(index, socket)
	return socket.LocalAddr().String()
}

// maxPacketBytes is larger than every packet of QUIC.
const maxPacketBytes = 4096

// forward sends on what arrives for node to.
func (r *relay) forward(to int, socket *net.UDPConn) {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, from, err := socket.ReadFromUDP(buffer)
		if err != nil {
			return // The relay is closed.
		}
		out, target := r.route(from, to)
		if out == nil {
			continue
		}
		packet := bytes.Clone(buffer[:n])
		time.AfterFunc(relayDelay, func() {
			_, _ = out.WriteToUDP(packet, target) // A lost packet is one of the faults.
		})
	}
}

// route returns the socket from which a packet goes on, nil for a lost one.
func (r *relay) route(from *net.UDPAddr, to int) (*net.UDPConn, *net.UDPAddr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	source, known := r.sources[from.String()]
	if !known || r.closed || r.group[source] != r.group[to] || r.random.Float64() < relayLoss {
		return nil, nil
	}
	return r.endpoints[source].socket, r.endpoints[to].target
}

// partition cuts the given nodes off from all others.
func (r *relay) partition(indexes ...int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range indexes {
		r.group[i] = 1
	}
}

// heal ends the partition.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.group)
}

func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, e := range r.endpoints {
		_ = e.socket.Close()
	}
}
