package soak

import (
	"math/rand"
	"net"
	"sync"
	"testing"
	"time"
)

// faultProxy is a loopback TCP proxy that injects faults.
type faultProxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// refuse resets new connections. drop discards the data of one direction; a
	// connection that has discarded data remains stalled in that direction.
	refuse bool
	drop   [2]bool
	delay  [2]time.Duration
	conns  map[*net.TCPConn]bool
}

// Directions of a proxied connection, as indexes of drop.
const (
	toTarget = iota
	fromTarget
)

func newFaultProxy(t *testing.T, target string) *faultProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &faultProxy{listener: l, target: target, conns: make(map[*net.TCPConn]bool)}
	t.Cleanup(func() {
		_ = l.Close()
		p.reset()
	})
	go p.accept()
	return p
}

func (p *faultProxy) address() string { return p.listener.Addr().String() }

func (p *faultProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return // The test is over.
		}
		go p.forward(conn.(*net.TCPConn))
	}
}

func (p *faultProxy) forward(client *net.TCPConn) {
	p.mu.Lock()
	refuse := p.refuse
	p.mu.Unlock()
	conn, err := net.Dial("tcp", p.target)
	if refuse || err != nil {
		abort(client)
		if err == nil {
			_ = conn.Close()
		}
		return
	}
	server := conn.(*net.TCPConn)
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var done sync.WaitGroup
	done.Go(func() { p.copy(server, client, toTarget) })
	done.Go(func() { p.copy(client, server, fromTarget) })
	done.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// copy forwards one direction until either end closes.
func (p *faultProxy) copy(to, from *net.TCPConn, direction int) {
	buffer := make([]byte, 16<<10)
	stalled := false
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		stalled = stalled || p.drop[direction]
		delay := p.delay[direction]
		p.mu.Unlock()
		if n > 0 && !stalled {
			time.Sleep(delay)
			if _, err := to.Write(buffer[:n]); err != nil {
				abort(from)
				return
			}
		}
		if err != nil {
			if !stalled {
				_ = to.CloseWrite() // It may be closed already.
			}
			return
		}
	}
}

func (p *faultProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		abort(conn)
	}
}

func abort(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // It may be closed already.
	_ = conn.Close()
}

// injectFault sets a random fault and returns a description of it.
func (p *faultProxy) injectFault(random *rand.Rand) string {
	p.mu.Lock()
	kind := random.Intn(len(faultNames))
	switch kind {
	case 0:
		delay := time.Duration(20+random.Intn(200)) * time.Millisecond
		p.delay = [2]time.Duration{delay, delay}
	case 5:
		p.delay[fromTarget] = time.Duration(200+random.Intn(1800)) * time.Millisecond
	case 1, 2:
		p.drop[kind-1] = true
	case 3:
		p.drop = [2]bool{true, true}
	case 4:
		p.refuse = true
	}
	p.mu.Unlock()
	if kind == 4 {
		p.reset()
	}
	return faultNames[kind]
}

var faultNames = []string{"delayed", "dropping requests", "dropping responses", "dropping all data", "refused", "with late responses"}

// dropAll discards all data, as after a cut.
func (p *faultProxy) dropAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop = [2]bool{true, true}
}

// heal ends all faults. Connections that have dropped data remain stalled.
func (p *faultProxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse, p.drop, p.delay = false, [2]bool{}, [2]time.Duration{}
}
