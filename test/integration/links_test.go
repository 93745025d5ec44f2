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

// link is a TCP proxy that injects faults.
type link struct {
	proxy *toxiproxy.Proxy
	mu    sync.Mutex
}

// newLink starts a link to the target, an address with or without "http://".
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

// startProxy starts a proxy, with retries while its address is in use. A child
// process inherits the listeners of the test between fork and exec, so an
// address can remain in use briefly after its listener was closed.
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

// attributes are the parameters of a toxic.
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

// blackhole drops all data in both directions; connections stay open.
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

// heal closes all connections, removes the faults and accepts new connections.
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

// relayDelay and relayLoss always apply to the relay. A loss of 1% makes the
// transport retransmit packets in every test.
const (
	relayDelay = time.Millisecond
	relayLoss  = 0.01
)

// relay forwards UDP packets between nodes. A node advertises the address of its
// relay socket. A packet from node A to the relay socket of node B is sent to B
// from the relay socket of A, so that each node sees the others only at their
// relay sockets.
type relay struct {
	mu        sync.Mutex
	random    *rand.Rand
	endpoints []*relayEndpoint
	sources   map[string]int
	// group is the side of each node in a partition, by node index. Packets
	// between sides are dropped.
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

// add opens the relay socket of another node and returns its address. Nodes are
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

// maxPacketBytes is larger than any QUIC packet.
const maxPacketBytes = 4096

// forward relays the packets that arrive at the socket of node to.
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
			_, _ = out.WriteToUDP(packet, target) // Packet loss is one of the injected faults.
		})
	}
}

// route returns the socket from which a packet is sent and its target address.
// The socket is nil if the packet is to be dropped.
func (r *relay) route(from *net.UDPAddr, to int) (*net.UDPConn, *net.UDPAddr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	source, known := r.sources[from.String()]
	if !known || r.closed || r.group[source] != r.group[to] || r.random.Float64() < relayLoss {
		return nil, nil
	}
	return r.endpoints[source].socket, r.endpoints[to].target
}

// partition separates the given nodes from all others.
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
