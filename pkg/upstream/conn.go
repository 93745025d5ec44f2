package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/hangup"
	"cassiapin/pkg/result"
)

// Limits on connections to one upstream.
const (
	// connectTimeout bounds the dial. Together with policy.TicketLifetime it
	// ensures that an attempt approved before a mark was set starts at most
	// 3 s after the mark.
	connectTimeout         = time.Second
	maxIdleConnections     = 64
	idleTimeout            = 20 * time.Second
	maxResponseHeaderBytes = 64 << 10
)

var errSealed = errors.New("the connection was abandoned before the request was written")

// trackedConn counts writes, so that a failed request is reported as not run
// only if none of it was written.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
	// caller is the context of the request to be written; nil once its first byte
	// is written.
	caller context.Context
}

// Write counts the write before any byte is sent. It writes nothing of a request
// whose caller has left.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.caller != nil {
		c.sealed = c.sealed || hangup.Left(c.caller)
		c.caller = nil
	}
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// startRequest sets the context of the request that is written next.
func (c *trackedConn) startRequest(caller context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.caller = caller
}

func (c *trackedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealUnwritten rejects all further writes if the write count still equals
// writesBefore, and reports whether it did.
func (c *trackedConn) sealUnwritten(writesBefore uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writesBefore {
		return false
	}
	c.sealed = true
	return true
}

// newTransport returns the transport for one upstream. HTTP/2 is disabled
// because its transport retries requests automatically.
func newTransport(dial DialFunc) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectTimeout, KeepAlive: idleTimeout}).DialContext
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: c}, nil
		},
		TLSHandshakeTimeout:    connectTimeout,
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
		Protocols:              protocols,
	}
}

// sendTrace records through httptrace how far one request got.
type sendTrace struct {
	// caller is the context of the request.
	caller          context.Context
	mu              sync.Mutex
	gotConn         bool
	reused          bool
	conn            *trackedConn
	writesBefore    uint64
	responseStarted atomic.Bool
}

func (s *sendTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:              s.onConn,
		GotFirstResponseByte: func() { s.responseStarted.Store(true) },
	}
}

func (s *sendTrace) onConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gotConn = true
	s.reused = info.Reused
	conn := info.Conn
	if t, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = t.NetConn()
	}
	if t, ok := conn.(*trackedConn); ok {
		t.startRequest(s.caller)
		s.conn, s.writesBefore = t, t.writeCount()
	}
}

// runState returns the run state of a failed request. It is called after
// RoundTrip returned; sealing the connection prevents a late write from
// invalidating not_run.
func (s *sendTrace) runState() result.RunState {
	if s.responseStarted.Load() {
		return result.Ran
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.gotConn || (s.conn != nil && s.conn.sealUnwritten(s.writesBefore)) {
		return result.NotRun
	}
	return result.Unknown
}

// connReused reports whether the request used a reused connection. If the
// request also did not run, a new connection may succeed.
func (s *sendTrace) connReused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reused
}

// closeConn closes the connection even if the transport would reuse it.
func (s *sendTrace) closeConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
	}
}
