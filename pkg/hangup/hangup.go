// Package hangup detects that callers have closed their connections.
//
// net/http reads ahead on a connection while its request is at work and cancels
// the request's context at the end of the stream. That is not enough: the reading
// goroutine may run later than the one that sends the request on, and it stops
// reading when the caller has sent bytes of a next request. So the state of the
// connection is also queried before each send, and periodically.
package hangup

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"
)

// sweepInterval is the period at which the connections of open requests are
// queried.
const sweepInterval = 200 * time.Millisecond

// ErrCallerLeft is the cause of the cancellation of a request's context after its
// caller has closed the connection.
var ErrCallerLeft = errors.New("the caller has closed the connection")

var (
	noticedBeforeSend = metrics.GetOrCreateCounter(`cassiapin_hangups_total{noticed="before_send"}`)
	noticedBySweep    = metrics.GetOrCreateCounter(`cassiapin_hangups_total{noticed="sweep"}`)
)

type connKey struct{}

// ConnContext is the http.Server.ConnContext of servers whose requests are
// watched.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	if c, ok := conn.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			return context.WithValue(ctx, connKey{}, raw)
		}
	}
	return ctx
}

// call is an open request and its caller's connection.
type call struct {
	ctx    context.Context
	conn   syscall.RawConn
	cancel context.CancelCauseFunc
}

type callKey struct{}

// left reports whether the request's context has ended, and otherwise queries the
// connection. If the caller has closed it, the context is cancelled.
func (c *call) left(noticed *metrics.Counter) bool {
	if c.ctx.Err() != nil {
		return true
	}
	if !peerClosed(c.conn) {
		return false
	}
	noticed.Inc()
	c.cancel(ErrCallerLeft)
	return true
}

// Left reports whether the request's context has ended or its caller has closed
// the connection; the context is then cancelled with ErrCallerLeft. Without a
// watched connection only the context counts.
func Left(ctx context.Context) bool {
	c, ok := ctx.Value(callKey{}).(*call)
	return ctx.Err() != nil || ok && c.left(noticedBeforeSend)
}

// Watcher cancels the contexts of open requests whose callers have closed their
// connections.
type Watcher struct {
	mu   sync.Mutex
	open map[*call]struct{}
}

// NewWatcher returns a watcher without requests.
func NewWatcher() *Watcher { return &Watcher{open: make(map[*call]struct{})} }

// Handler returns a handler that watches the requests of next. The server needs
// ConnContext.
func (w *Watcher) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(syscall.RawConn)
		if !ok {
			next.ServeHTTP(rw, r)
			return
		}
		ctx, cancel := context.WithCancelCause(r.Context())
		c := &call{ctx: ctx, conn: conn, cancel: cancel}
		w.add(c)
		defer w.remove(c)
		next.ServeHTTP(rw, r.WithContext(context.WithValue(ctx, callKey{}, c)))
	})
}

func (w *Watcher) add(c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open[c] = struct{}{}
}

func (w *Watcher) remove(c *call) {
	w.mu.Lock()
	delete(w.open, c)
	w.mu.Unlock()
	c.cancel(nil)
}

// Run queries the connections of open requests until the tomb is dying.
func (w *Watcher) Run(t *tomb.Tomb) {
	t.Go(func() error {
		ticker := time.NewTicker(sweepInterval)
		defer ticker.Stop()
		var calls []*call
		for {
			select {
			case <-t.Dying():
				return nil
			case <-ticker.C:
			}
			calls = w.calls(calls[:0])
			for _, c := range calls {
				c.left(noticedBySweep)
			}
			clear(calls)
		}
	})
}

// calls appends the open requests to the slice.
func (w *Watcher) calls(to []*call) []*call {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.open {
		to = append(to, c)
	}
	return to
}
