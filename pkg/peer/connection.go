package peer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

// Limits on the id exchange.
const (
	maxIDBytes    = 128
	maxHelloBytes = 256
)

// connection is a QUIC connection after the id exchange.
type connection struct {
	quic *quic.Conn
	peer NodeID

	mu          sync.Mutex
	lastMessage time.Time
	// unackedSince is when the first message after the last packet from the
	// peer was sent; zero when nothing is outstanding.
	unackedSince time.Time
	packets      uint64
	// wireSent and wireReceived are the UDP payload bytes already added to the
	// metrics.
	wireSent, wireReceived uint64
}

func (t *Transport) newConnection(qc *quic.Conn, peer NodeID) *connection {
	return &connection{quic: qc, peer: peer, lastMessage: t.clock.Now()}
}

func (c *connection) close(reason string) { _ = c.quic.CloseWithError(0, reason) }

// sent records that a message was sent, which the peer must acknowledge.
func (c *connection) sent(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastMessage = now
	if c.unackedSince.IsZero() {
		c.unackedSince = now
	}
}

func (c *connection) received(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastMessage = now
	c.unackedSince = time.Time{}
}

// check returns how long the peer has sent no packet while an acknowledgement
// is outstanding, and how long the connection has carried no message.
func (c *connection) check(now time.Time) (silent, idle time.Duration) {
	packets := c.quic.ConnectionStats().PacketsReceived
	c.mu.Lock()
	defer c.mu.Unlock()
	if packets != c.packets {
		c.packets = packets
		c.unackedSince = time.Time{}
	}
	if !c.unackedSince.IsZero() {
		silent = now.Sub(c.unackedSince)
	}
	return silent, now.Sub(c.lastMessage)
}

// countWire adds the UDP payload bytes of a connection to the metrics. They
// include handshakes, acknowledgements and encryption overhead.
func (t *Transport) countWire(c *connection) {
	stats := c.quic.ConnectionStats()
	c.mu.Lock()
	defer c.mu.Unlock()
	t.wireSent.Add(int(stats.BytesSent - c.wireSent))
	t.wireReceived.Add(int(stats.BytesReceived - c.wireReceived))
	c.wireSent, c.wireReceived = stats.BytesSent, stats.BytesReceived
}

// checkConnections closes silent and idle connections and removes unused links.
func (t *Transport) checkConnections() {
	now := t.clock.Now()
	t.mu.Lock()
	conns := make([]*connection, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	for id, l := range t.links {
		used := time.UnixMilli(l.lastUse.Load())
		if now.Sub(used) > t.opts.IdleTimeout && len(l.queue) == 0 && l.requests.Load() == 0 {
			close(l.stop)
			delete(t.links, id)
		}
	}
	t.mu.Unlock()
	for _, c := range conns {
		t.countWire(c)
		silent, idle := c.check(now)
		switch {
		case silent >= silentIntervals*t.opts.CheckInterval:
			t.silent.Inc()
			t.events.Record(timeline.Event{Kind: timeline.ConnectionSilent, Detail: string(c.peer)})
			c.close("silent")
		case idle > t.opts.IdleTimeout:
			c.close("idle")
		}
	}
}

func (t *Transport) acceptLoop() error {
	for {
		qc, err := t.listener.Accept(t.ctx)
		if err != nil {
			return nil // The listener was closed by shutdown.
		}
		if !t.spawn(func() { t.handleIncoming(qc) }) {
			_ = qc.CloseWithError(0, "shutdown")
		}
	}
}

// handleIncoming exchanges ids on an incoming connection, serves it and makes it
// available for sending.
func (t *Transport) handleIncoming(qc *quic.Conn) {
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	id, err := t.acceptIDs(ctx, qc)
	if err != nil {
		_ = qc.CloseWithError(0, "id exchange failed")
		return
	}
	c := t.newConnection(qc, id)
	if !t.serve(c) {
		return
	}
	if l, err := t.link(id); err == nil {
		l.useIncoming(c)
	}
}

func (t *Transport) acceptIDs(ctx context.Context, qc *quic.Conn) (NodeID, error) {
	s, err := qc.AcceptStream(ctx)
	if err != nil {
		return "", err
	}
	if err := s.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return "", err
	}
	return exchangeHello(s, t.opts.Self, false)
}

// useIncoming uses an incoming connection for sending unless the link already
// has an open one.
func (l *link) useIncoming(c *connection) {
	if l.current() != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.retryAfter = c, time.Time{}
}

// serve starts the receiving goroutines of a connection. It reports false and
// closes the connection when the transport is shutting down.
func (t *Transport) serve(c *connection) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		c.close("shutdown")
		return false
	}
	t.conns[c] = struct{}{}
	t.wg.Add(2)
	go func() {
		defer t.wg.Done()
		t.acceptRequests(c)
		t.countWire(c)
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
	}()
	go func() {
		defer t.wg.Done()
		t.acceptNotifications(c)
	}()
	return true
}

func (t *Transport) acceptRequests(c *connection) {
	for {
		s, err := c.quic.AcceptStream(t.ctx)
		if err != nil {
			return
		}
		if !t.spawn(func() { t.serveRequest(c, s) }) {
			return
		}
	}
}

func (t *Transport) acceptNotifications(c *connection) {
	for {
		s, err := c.quic.AcceptUniStream(t.ctx)
		if err != nil {
			return
		}
		if !t.spawn(func() { t.serveNotification(c, s) }) {
			return
		}
	}
}

func (t *Transport) serveRequest(c *connection, s *quic.Stream) {
	defer s.CancelRead(0)
	_ = s.SetReadDeadline(time.Now().Add(receiveTimeout))
	raw, err := readMessage(s, MaxMessageBytes)
	if err != nil {
		s.CancelWrite(0)
		return
	}
	c.received(t.clock.Now())
	ctx, cancel := context.WithTimeout(s.Context(), handlerTimeout)
	defer cancel()
	answer := t.router.Serve(ctx, c.peer, raw)
	_ = s.SetWriteDeadline(time.Now().Add(sendTimeout))
	if _, err := s.Write(answer); err != nil {
		s.CancelWrite(0)
		return
	}
	_ = s.Close()
}

func (t *Transport) serveNotification(c *connection, s *quic.ReceiveStream) {
	defer s.CancelRead(0)
	_ = s.SetReadDeadline(time.Now().Add(receiveTimeout))
	raw, err := readMessage(s, MaxMessageBytes)
	if err != nil {
		return
	}
	c.received(t.clock.Now())
	ctx, cancel := context.WithTimeout(t.ctx, handlerTimeout)
	defer cancel()
	if _, err := t.router.Receive(ctx, c.peer, raw); err != nil {
		t.opts.Metrics.GetOrCreateCounter("cassiapin_peer_handler_errors_total").Inc()
	}
}

// readMessage reads a message of at most limit bytes up to the end of r.
func readMessage(r io.Reader, limit int) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > limit {
		return nil, result.New(result.BadMessage, "a peer message exceeds %d bytes", limit)
	}
	return raw, nil
}
