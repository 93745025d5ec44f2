package integration

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// resetLink is a TCP proxy that delivers answers slowly and resets connections
// in the middle of one. Toxiproxy 2.1.4 deadlocks if a connection with a
// bandwidth limit is closed while its other end is blocked.
type resetLink struct {
	t      *testing.T
	listen string
	target string

	mu       sync.Mutex
	listener net.Listener
	// bytesPerSecond limits answers; 0 means no limit.
	bytesPerSecond int
	conns          map[*net.TCPConn]bool
}

func newResetLink(t *testing.T, target string) *resetLink {
	t.Helper()
	l := &resetLink{
		t: t, listen: loopback(freePort(t)), target: strings.TrimPrefix(target, "http://"), conns: make(map[*net.TCPConn]bool),
	}
	l.heal()
	t.Cleanup(l.reset)
	return l
}

func (l *resetLink) url() string { return "http://" + l.listen }

// limit sets the rate of answers; open connections follow it.
func (l *resetLink) limit(bytesPerSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytesPerSecond = bytesPerSecond
}

// reset resets all connections and refuses new ones.
func (l *resetLink) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close() // It may be closed already.
	for conn := range l.conns {
		_ = conn.SetLinger(0) // It may be closed already.
		_ = conn.Close()
	}
}

// heal accepts new connections.
func (l *resetLink) heal() {
	listener, err := net.Listen("tcp", l.listen)
	for tries := 0; err != nil && tries < 50; tries++ {
		time.Sleep(20 * time.Millisecond) // See startProxy.
		listener, err = net.Listen("tcp", l.listen)
	}
	if err != nil {
		l.t.Errorf("heal %s: %v", l.listen, err)
		return
	}
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // The link is reset or the test is over.
			}
			go l.forward(conn.(*net.TCPConn))
		}
	}()
}

func (l *resetLink) forward(caller *net.TCPConn) {
	conn, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	target := conn.(*net.TCPConn)
	l.mu.Lock()
	l.conns[caller], l.conns[target] = true, true
	l.mu.Unlock()
	var done sync.WaitGroup
	done.Go(func() { l.copy(target, caller, false) })
	done.Go(func() { l.copy(caller, target, true) })
	done.Wait()
	l.mu.Lock()
	delete(l.conns, caller)
	delete(l.conns, target)
	l.mu.Unlock()
	_ = caller.Close()
	_ = target.Close()
}

// pieceBytes is the size of the pieces in which a limited answer is delivered.
const pieceBytes = 64

// copy forwards one direction until either end closes.
func (l *resetLink) copy(to, from *net.TCPConn, answers bool) {
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		rate := l.bytesPerSecond
		l.mu.Unlock()
		if answers && rate > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
			_ = from.Close()
			return
		}
		if err != nil {
			_ = to.CloseWrite() // It may be closed already.
			return
		}
	}
}
