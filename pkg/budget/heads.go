package budget

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

const (
	// headerLineBytes is the memory of a line of a parsed header besides its text: a
	// map entry with room to grow, a slice and the headers of two strings.
	headerLineBytes = 88
	// headExpansion times the bytes of a head bounds the memory that they take once
	// they are parsed; the shortest line has five bytes.
	headExpansion = 16
)

// HeaderBytes estimates the memory of one copy of a parsed header.
func HeaderBytes(h http.Header) int {
	total := 0
	for name, values := range h {
		total += len(name)
		for _, value := range values {
			total += headerLineBytes + len(value)
		}
	}
	return total
}

// HeadMeter counts the bytes of a head while they arrive, before the size of the
// parsed header is known, against an account. It answers many peers that send long
// heads, or heads without end, at once. It is safe for concurrent use; without an
// account there is no bound.
type HeadMeter struct {
	account Account
	// free is the number of bytes of each head that are not counted.
	free int

	mu      sync.Mutex
	reading bool
	// received are the bytes of the current head, taken what the account gave for
	// them.
	received, taken int
}

// NewHeadMeter returns a meter that counts nothing until Begin.
func NewHeadMeter(account Account, free int) *HeadMeter {
	return &HeadMeter{account: account, free: free}
}

// Begin starts to count the bytes of the next head.
func (m *HeadMeter) Begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reset()
	m.reading = true
}

// Add counts received bytes. It returns false if the account has no memory for them.
func (m *HeadMeter) Add(n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.reading || m.account == nil {
		return true
	}
	m.received += n
	need := headExpansion*max(m.received-m.free, 0) - m.taken
	if need <= 0 {
		return true
	}
	if !m.account.Take(need) {
		return false
	}
	m.taken += need
	return true
}

// End stops counting and returns the memory.
func (m *HeadMeter) End() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reset()
	m.reading = false
}

func (m *HeadMeter) reset() {
	if m.taken > 0 {
		m.account.Release(m.taken)
	}
	m.received, m.taken = 0, 0
}

// freeRequestHead is the part of each request's head that is not counted while it
// arrives, that is of a usual one.
const freeRequestHead = 2 << 10

var headsRefused = metrics.GetOrCreateCounter(`cassiapin_caller_connections_closed_total{reason="head_memory"}`)

// errHeadMemory ends a connection whose request has a head that there is no memory
// for. It is a read error, after which http.Server closes the connection silently:
// the request has not been read, so callers may repeat it.
var errHeadMemory = &net.OpError{Op: "read", Net: "tcp", Err: errors.Wrap(ErrNoMemory, "read a request's head")}

// LimitHeads takes the memory of requests' heads from an account for each connection
// while they are read. The server needs ConnContext and Handler. It is to be called
// before the first connection.
func (c *Connections) LimitHeads(account func() Account) { c.headAccount = account }

// newHeadMeter returns the meter of a new connection, which reads a head first.
func (c *Connections) newHeadMeter() *HeadMeter {
	var account Account
	if c.headAccount != nil {
		account = c.headAccount()
	}
	m := NewHeadMeter(account, freeRequestHead)
	m.Begin()
	return m
}

type connKey struct{}

// ConnContext is the http.Server.ConnContext of a server with LimitHeads.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	if b, ok := conn.(*boundConn); ok {
		return context.WithValue(ctx, connKey{}, b)
	}
	return ctx
}

// Handler returns a handler that ends the count of a request's head, which the
// server has read, and then calls next.
func (c *Connections) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if b, ok := r.Context().Value(connKey{}).(*boundConn); ok {
			b.head.End()
		}
		next.ServeHTTP(w, r)
	})
}
