package budget

import (
	"container/list"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/hangup"
)

const (
	// crowdedShare is the share of the connections from which on they count as
	// crowded.
	crowdedShare = 0.9
	// idleSweepInterval is the period at which idle connections are checked.
	idleSweepInterval = time.Second
)

var (
	connectionsEvicted = metrics.GetOrCreateCounter(`cassiapin_caller_connections_closed_total{reason="evicted"}`)
	connectionsExpired = metrics.GetOrCreateCounter(`cassiapin_caller_connections_closed_total{reason="idle"}`)
	connectionsRefused = metrics.GetOrCreateCounter(`cassiapin_caller_connections_closed_total{reason="refused"}`)
)

// Connections bounds the open connections of one HTTP server. At the bound it
// closes the connection that has been idle longest to accept a new one; without an
// idle one it closes the new one unread, which callers may retry elsewhere. The
// server needs ConnState.
type Connections struct {
	limit int
	// headAccount returns the account of a connection's heads while they are read;
	// nil is no bound.
	headAccount func() Account

	mu   sync.Mutex
	open int
	// unclosed counts the connections that their server has not closed, evicted ones
	// included.
	unclosed int
	// idle are the connections on which no request is at work, the longest idle
	// first.
	idle *list.List
	// refusing is when a connection was first refused since one was last accepted;
	// zero is never.
	refusing time.Time
}

// NewConnections returns a bound of limit connections.
func NewConnections(limit int) *Connections {
	return &Connections{limit: max(limit, 1), idle: list.New()}
}

// Export makes the state of the process's callers' Connections metrics.
func (c *Connections) Export() {
	metrics.GetOrCreateGauge("cassiapin_caller_connections", func() float64 { return float64(c.Open()) })
	metrics.GetOrCreateGauge("cassiapin_caller_connections_limit", func() float64 { return float64(c.limit) })
}

// Open returns the number of open connections.
func (c *Connections) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// Crowded reports whether callers should close their connections after the answer,
// because few more can be opened.
func (c *Connections) Crowded() bool { return float64(c.Open()) > crowdedShare*float64(c.limit) }

// RefusingFor returns for how long no new connection has been accepted although
// callers tried.
func (c *Connections) RefusingFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusing.IsZero() || c.open < c.limit || c.idle.Len() > 0 {
		return 0
	}
	return time.Since(c.refusing)
}

// Listener returns a listener whose connections count.
func (c *Connections) Listener(l net.Listener) net.Listener { return boundListener{l, c} }

type boundListener struct {
	net.Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l boundListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		if out := l.connections.accept(tcp); out != nil {
			return out, nil
		}
		_ = tcp.Close() // It is refused.
	}
}

// accept adds a connection. It returns nil if there is no room for it.
func (c *Connections) accept(tcp *net.TCPConn) *boundConn {
	var evicted *boundConn
	defer func() {
		if evicted != nil {
			evicted.endReading()
		}
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open >= c.limit {
		if evicted = c.evictOldest(); evicted == nil {
			connectionsRefused.Inc()
			if c.refusing.IsZero() {
				c.refusing = time.Now()
			}
			return nil
		}
		connectionsEvicted.Inc()
	}
	c.refusing = time.Time{}
	c.open++
	c.unclosed++
	out := &boundConn{TCPConn: tcp, connections: c, idleSince: time.Now(), head: c.newHeadMeter()}
	out.element = c.idle.PushBack(out)
	return out
}

// evictOldest takes the connection out that has been idle longest; it returns nil
// without one. The caller holds the lock and then calls endReading.
func (c *Connections) evictOldest() *boundConn { return c.evictIdle(0) }

// evictIdle is evictOldest for connections that have been idle for a time. One with
// unread bytes is not idle.
func (c *Connections) evictIdle(after time.Duration) *boundConn {
	for e := c.idle.Front(); e != nil; e = e.Next() {
		out := e.Value.(*boundConn)
		if time.Since(out.idleSince) < after {
			return nil
		}
		if out.hasUnread() {
			continue
		}
		c.idle.Remove(e)
		out.element, out.evicted = nil, true
		c.leave(out)
		return out
	}
	return nil
}

// leave stops counting a connection. The caller holds the lock.
func (c *Connections) leave(conn *boundConn) {
	if !conn.left {
		conn.left = true
		c.open--
	}
	if conn.element != nil {
		c.idle.Remove(conn.element)
		conn.element = nil
	}
}

// ConnState is the http.Server.ConnState of the server.
func (c *Connections) ConnState(conn net.Conn, state http.ConnState) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	b, ok := conn.(*boundConn)
	if !ok {
		return
	}
	if state == http.StateActive {
		// The request may have been read together with the one before it.
		b.begin(time.Time{})
		return
	}
	if state != http.StateIdle {
		return // Read and Close notice the other changes.
	}
	b.head.Begin()
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.element == nil && !b.left {
		b.idleSince = time.Now()
		b.element = c.idle.PushBack(b)
	}
}

// CloseIdle closes the connections that have been idle for a time.
func (c *Connections) CloseIdle(after time.Duration) {
	for {
		c.mu.Lock()
		conn := c.evictIdle(after)
		c.mu.Unlock()
		if conn == nil {
			return
		}
		connectionsExpired.Inc()
		conn.endReading()
	}
}

// drainInterval is the period at which the connections of a server that drains are
// checked.
const drainInterval = 20 * time.Millisecond

// Drain closes connections as they become idle and waits until none is left or ctx
// ends. The server's listener has been closed. Unlike http.Server.Shutdown it drops no
// request that has arrived: what is read meanwhile is answered.
func (c *Connections) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		c.CloseIdle(0)
		c.mu.Lock()
		unclosed := c.unclosed
		c.mu.Unlock()
		if unclosed == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Run closes connections that have been idle for the limit, which may change, until
// the tomb is dying. A limit of zero closes none.
func (c *Connections) Run(t *tomb.Tomb, limit func() time.Duration) {
	t.Go(func() error {
		ticker := time.NewTicker(idleSweepInterval)
		defer ticker.Stop()
		for {
			select {
			case <-t.Dying():
				return nil
			case <-ticker.C:
			}
			if after := limit(); after > 0 {
				c.CloseIdle(after)
			}
		}
	})
}

// boundConn is a counted connection. The lock of its Connections guards the fields
// from element on.
type boundConn struct {
	*net.TCPConn
	connections *Connections
	// head counts the bytes of a request until its head has been read.
	head *HeadMeter
	// element is its place among the idle connections; nil while it is not idle.
	element   *list.Element
	idleSince time.Time
	// evicted is set while it is to be closed, left while it does not count.
	evicted, left bool
	closed        bool
}

// Read implements net.Conn.
func (b *boundConn) Read(p []byte) (int, error) {
	n, err := b.TCPConn.Read(p)
	if n > 0 {
		b.begin(time.Now().Add(lastHeadTimeout))
	}
	if n > 0 && !b.head.Add(n) {
		headsRefused.Inc()
		return 0, errHeadMemory
	}
	return n, err
}

// hasUnread reports whether bytes have arrived that have not been read.
func (b *boundConn) hasUnread() bool {
	raw, err := b.TCPConn.SyscallConn()
	return err == nil && hangup.HasUnread(raw)
}

// lastHeadTimeout bounds the time to read the rest of a head whose first bytes were
// read when the connection was to be closed.
const lastHeadTimeout = 5 * time.Second

// begin takes a connection with a request out of the idle ones. A request that was
// read while the connection was chosen to be closed is served: its caller can't tell
// that it isn't.
func (b *boundConn) begin(deadline time.Time) {
	c := b.connections
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.element != nil {
		c.idle.Remove(b.element)
		b.element = nil
	}
	if !b.evicted || b.closed {
		return
	}
	b.evicted, b.left = false, false
	c.open++
	_ = b.TCPConn.SetReadDeadline(deadline) // It fails only on closed connections.
}

// ended is a time limit that has passed.
var ended = time.Unix(1, 0)

// endReading makes the server of an evicted connection close it, unless a request is
// read first. Closing it here could drop a request that its server has just read.
func (b *boundConn) endReading() {
	b.connections.mu.Lock()
	defer b.connections.mu.Unlock()
	if b.evicted {
		_ = b.TCPConn.SetReadDeadline(ended) // It fails only on closed connections.
	}
}

// SetReadDeadline implements net.Conn. The server's time limits do not keep an evicted
// connection open.
func (b *boundConn) SetReadDeadline(t time.Time) error {
	b.connections.mu.Lock()
	defer b.connections.mu.Unlock()
	if b.evicted {
		t = ended
	}
	return b.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (b *boundConn) SetDeadline(t time.Time) error {
	return errors.CombineErrors(b.SetReadDeadline(t), b.SetWriteDeadline(t))
}

// Close implements net.Conn.
func (b *boundConn) Close() error {
	c := b.connections
	c.mu.Lock()
	c.leave(b)
	if !b.closed {
		b.closed = true
		c.unclosed--
	}
	c.mu.Unlock()
	b.head.End()
	return b.TCPConn.Close()
}
