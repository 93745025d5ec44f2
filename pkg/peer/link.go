package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"cassiapin/pkg/result"
)

// outgoing is one encoded notification.
type outgoing struct {
	kind Kind
	raw  []byte
}

// link is the transport's state for one peer: its send queue and its current
// connection. Idle links are removed after Options.IdleTimeout.
type link struct {
	id       NodeID
	queue    chan outgoing
	stop     chan struct{}
	requests atomic.Int32
	lastUse  atomic.Int64 // Unix milliseconds of the last message.

	dialMu sync.Mutex // Held during a dial, so that at most one is in progress.

	mu         sync.Mutex
	conn       *connection
	retryAfter time.Time
	dialErr    error
}

func (l *link) current() *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.conn.quic.Context().Err() == nil {
		return l.conn
	}
	return nil
}

// link returns the link to a peer and starts its sender if it is new.
func (t *Transport) link(id NodeID) (*link, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, net.ErrClosed
	}
	l := t.links[id]
	if l == nil {
		l = &link{id: id, queue: make(chan outgoing, queueLength), stop: make(chan struct{})}
		t.links[id] = l
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			t.sendLoop(l)
		}()
	}
	l.lastUse.Store(t.clock.Now().UnixMilli())
	return l, nil
}

// enqueue queues a notification; it never blocks.
func (t *Transport) enqueue(to NodeID, kind Kind, raw []byte) error {
	l, err := t.link(to)
	if err != nil {
		return WrapTransportError(err, result.NotRun, to, kind)
	}
	select {
	case l.queue <- outgoing{kind, raw}:
		return nil
	default:
		t.dropped.Inc()
		return WrapTransportError(errors.New("send queue full"), result.NotRun, to, kind)
	}
}

// sendLoop sends the notifications of one link in order.
func (t *Transport) sendLoop(l *link) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-l.stop:
			return
		case m := <-l.queue:
			if err := t.sendNotification(l, m); err != nil {
				t.dropped.Inc()
			}
		}
	}
}

func (t *Transport) sendNotification(l *link, m outgoing) error {
	ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
	defer cancel()
	c, err := t.connect(ctx, l)
	if err != nil {
		return err
	}
	s, err := c.quic.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	if err := s.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	if _, err := s.Write(m.raw); err != nil {
		s.CancelWrite(0)
		return err
	}
	c.sent(t.clock.Now())
	t.router.CountSent(m.kind, len(m.raw))
	return s.Close()
}

// connect returns the open connection of the link or dials a new one, but not
// within dialBackoff of a failed dial.
func (t *Transport) connect(ctx context.Context, l *link) (*connection, error) {
	if c := l.current(); c != nil {
		return c, nil
	}
	l.dialMu.Lock()
	defer l.dialMu.Unlock()
	if c := l.current(); c != nil {
		return c, nil
	}
	now := t.clock.Now()
	l.mu.Lock()
	backingOff, last := now.Before(l.retryAfter), l.dialErr
	l.mu.Unlock()
	if backingOff {
		return nil, last
	}
	c, err := t.dial(ctx, l)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		t.dialErrors.Inc()
		l.retryAfter, l.dialErr = t.clock.Now().Add(dialBackoff), err
		return nil, err
	}
	l.conn = c
	return c, nil
}

// dial opens a connection and checks the id of the node that accepts it, since
// a restarted process has the same address but a new id.
func (t *Transport) dial(ctx context.Context, l *link) (*connection, error) {
	address, ok := t.router.Resolve(l.id)
	if !ok {
		return nil, errors.Newf("no known address for node %s", l.id)
	}
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve address %q", address)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	t.dials.Inc()
	qc, err := t.quic.Dial(ctx, udp, t.keys.client(), t.quicConfig())
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	id, err := exchangeIDs(ctx, qc, t.opts.Self)
	_, byAddress := AddressOf(l.id)
	if err == nil && !byAddress && id != l.id {
		err = errors.Newf("address %s now belongs to node %s", address, id)
	}
	if err != nil {
		qc.CloseWithError(0, "id exchange failed")
		return nil, err
	}
	c := t.newConnection(qc, id)
	if !t.serve(c) {
		return nil, net.ErrClosed
	}
	return c, nil
}

// hello is the first message on a connection, in each direction.
type hello struct {
	ID NodeID `cbor:"1,keyasint"`
}

func exchangeIDs(ctx context.Context, qc *quic.Conn, self NodeID) (NodeID, error) {
	s, err := qc.OpenStreamSync(ctx)
	if err != nil {
		return "", err
	}
	if deadline, ok := ctx.Deadline(); ok {
		if err := s.SetDeadline(deadline); err != nil {
			return "", err
		}
	}
	return exchangeHello(s, self, true)
}

// exchangeHello sends this node's id and reads that of the peer. The dialling
// side sends first.
func exchangeHello(s *quic.Stream, self NodeID, first bool) (NodeID, error) {
	raw, err := Encode(hello{self})
	if err != nil {
		return "", err
	}
	write := func() error {
		if _, err := s.Write(raw); err != nil {
			return err
		}
		return s.Close()
	}
	if first {
		if err := write(); err != nil {
			return "", err
		}
	}
	in, err := readMessage(s, maxHelloBytes)
	if err != nil {
		return "", err
	}
	var h hello
	if err := Decode(in, &h); err != nil {
		return "", err
	}
	if h.ID == "" || len(h.ID) > maxIDBytes {
		return "", result.New(result.BadMessage, "a node id of %d bytes", len(h.ID))
	}
	if first {
		return h.ID, nil
	}
	return h.ID, write()
}

// roundTrip sends a request and returns the body of the response.
func (t *Transport) roundTrip(ctx context.Context, to NodeID, kind Kind, body any) ([]byte, error) {
	raw, err := EncodeMessage(kind, body)
	if err != nil {
		return nil, err
	}
	l, err := t.link(to)
	if err != nil {
		return nil, WrapTransportError(err, result.NotRun, to, kind)
	}
	if l.requests.Add(1) > maxRequests {
		l.requests.Add(-1)
		return nil, WrapTransportError(errors.New("too many requests in flight to this peer"), result.NotRun, to, kind)
	}
	defer l.requests.Add(-1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(t.ctx, cancel)()
	c, err := t.connect(ctx, l)
	if err != nil {
		return nil, WrapTransportError(err, result.NotRun, to, kind)
	}
	s, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, WrapTransportError(err, result.NotRun, to, kind)
	}
	defer context.AfterFunc(ctx, func() {
		s.CancelRead(0)
		s.CancelWrite(0)
	})()
	answer, err := t.exchange(s, c, kind, raw)
	if err != nil {
		return nil, WrapTransportError(errors.CombineErrors(ctx.Err(), err), result.Unknown, to, kind)
	}
	return DecodeResponse(answer, to, kind)
}

func (t *Transport) exchange(s *quic.Stream, c *connection, kind Kind, raw []byte) ([]byte, error) {
	defer s.CancelRead(0)
	if _, err := s.Write(raw); err != nil {
		return nil, err
	}
	if err := s.Close(); err != nil {
		return nil, err
	}
	c.sent(t.clock.Now())
	t.router.CountSent(kind, len(raw))
	answer, err := readMessage(s, MaxMessageBytes)
	t.router.CountReceived(kind, len(answer))
	return answer, err
}
