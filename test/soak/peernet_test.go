package soak

import (
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// peerNet carries the messages between nodes and injects faults: each node advertises
// a UDP proxy, and the source address of a packet tells which node has sent it.
type peerNet struct {
	t *testing.T

	mu sync.Mutex
	// delay is that of all packets from and to a node, by its IP address.
	delay map[netip.Addr]time.Duration
	// cut is set while the two failure domains can't reach each other, and isolated is a
	// node that no other reaches; the zero value is none.
	cut      bool
	isolated netip.Addr
	domains  map[netip.Addr]string
}

func newPeerNet(t *testing.T) *peerNet {
	return &peerNet{t: t, delay: make(map[netip.Addr]time.Duration), domains: make(map[netip.Addr]string)}
}

// peerProxy is the proxy in front of one node.
type peerProxy struct {
	net    *peerNet
	target netip.AddrPort
	socket *net.UDPConn

	mu    sync.Mutex
	flows map[netip.AddrPort]*net.UDPConn
}

// add starts the proxy of a node and returns its address.
func (p *peerNet) add(ip, domain string, port, proxyPort int) (address string) {
	p.t.Helper()
	target := netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(port))
	listen := netip.AddrPortFrom(target.Addr(), uint16(proxyPort))
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		p.t.Fatal(err)
	}
	p.mu.Lock()
	p.domains[target.Addr()] = domain
	p.mu.Unlock()
	proxy := &peerProxy{net: p, target: target, socket: socket, flows: make(map[netip.AddrPort]*net.UDPConn)}
	p.t.Cleanup(proxy.close)
	go proxy.run()
	return listen.String()
}

func (p *peerProxy) close() {
	_ = p.socket.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, flow := range p.flows {
		_ = flow.Close()
	}
}

const maxDatagram = 64 << 10

// run forwards packets to the node until the proxy is closed.
func (p *peerProxy) run() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := p.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // The test is over.
		}
		flow, err := p.flow(from)
		if err != nil {
			continue // As a lost packet.
		}
		p.net.deliver(from.Addr(), p.target.Addr(), buffer[:n], func(packet []byte) { _, _ = flow.Write(packet) })
	}
}

// flow returns the socket for packets from one source, and starts the way back.
func (p *peerProxy) flow(from netip.AddrPort) (*net.UDPConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if flow := p.flows[from]; flow != nil {
		return flow, nil
	}
	flow, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(p.target))
	if err != nil {
		return nil, err
	}
	p.flows[from] = flow
	go func() {
		buffer := make([]byte, maxDatagram)
		for {
			n, err := flow.Read(buffer)
			if err != nil {
				p.mu.Lock()
				delete(p.flows, from) // The node has no process, or the test is over.
				p.mu.Unlock()
				_ = flow.Close()
				return
			}
			p.net.deliver(p.target.Addr(), from.Addr(), buffer[:n], func(packet []byte) { _, _ = p.socket.WriteToUDPAddrPort(packet, from) })
		}
	}()
	return flow, nil
}

// deliver sends a packet from one node to another, unless a fault loses it.
func (p *peerNet) deliver(from, to netip.Addr, packet []byte, send func([]byte)) {
	p.mu.Lock()
	lost := p.cut && p.domains[from] != p.domains[to] || from == p.isolated || to == p.isolated
	delay := p.delay[from] + p.delay[to]
	p.mu.Unlock()
	switch {
	case lost:
	case delay == 0:
		send(packet)
	default:
		held := append([]byte(nil), packet...)
		time.AfterFunc(delay, func() { send(held) })
	}
}

func (p *peerNet) setDelay(ip string, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay[netip.MustParseAddr(ip)] = delay
}

func (p *peerNet) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

func (p *peerNet) isolate(ip string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated = netip.MustParseAddr(ip)
}

func (p *peerNet) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut, p.isolated = false, netip.Addr{}
	clear(p.delay)
}

// peerFaultKey is the key of the times of faults between nodes.
const peerFaultKey = "peers"

const (
	// maxPeerDelay is the longest delay of the messages from and to a node.
	maxPeerDelay = 1200 * time.Millisecond
	// inFlightDelay is the shortest delay of messages that are on their way to a node
	// while it is cut off, and inFlightSpread the range above it.
	inFlightDelay  = 600 * time.Millisecond
	inFlightSpread = time.Second
)

// faultPeerPath injects a fault between nodes, and writes a configuration meanwhile.
func (f *fleet) faultPeerPath(random *rand.Rand) {
	defer f.recordFault(peerFaultKey)()
	defer f.peers.heal()
	n := f.nodes[random.Intn(len(f.nodes))]
	switch random.Intn(4) {
	case 0:
		delay := time.Duration(random.Int63n(int64(maxPeerDelay)))
		f.event("messages from and to %s are delayed by %v", n.host, delay)
		f.peers.setDelay(n.ip, delay)
		sleepRandom(random, time.Second)
		f.configure()
		sleepRandom(random, 4*time.Second)
	case 1:
		f.event("the failure domains are cut from each other")
		f.peers.setCut(true)
		sleepRandom(random, time.Second)
		f.configure()
		sleepRandom(random, 4*time.Second)
	default:
		f.isolateAfterDelay(n, random)
	}
}

// isolateAfterDelay cuts a node off from the store and the others while messages to it
// are still on their way, and changes the configuration at that moment.
func (f *fleet) isolateAfterDelay(n *node, random *rand.Rand) {
	if !n.faultMu.TryLock() {
		return
	}
	defer n.faultMu.Unlock()
	defer f.recordFault(n.storeProxy.address())()
	delay := inFlightDelay + time.Duration(random.Int63n(int64(inFlightSpread)))
	defer n.storeProxy.heal()
	f.event("messages from and to %s are delayed by %v, and it reaches no store", n.host, delay)
	n.storeProxy.injectFault(random)
	f.peers.setDelay(n.ip, delay)
	time.Sleep(delay)
	sleepRandom(random, 500*time.Millisecond)
	f.event("%s reaches no other node", n.host)
	n.storeProxy.dropAll()
	f.peers.isolate(n.ip)
	f.configure()
	time.Sleep(configurationBound + 2*time.Second)
}
