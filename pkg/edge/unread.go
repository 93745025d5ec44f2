package edge

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"cassiapin/pkg/eventlog"
)

// unread logs requests that end before they reach the handler. net/http answers
// those whose head is malformed, too large or not supported by itself, with 400, 417,
// 431, 501 or 505, and tells no one their id or status.
type unread struct {
	log *slog.Logger
	// arriving has an *atomic.Bool for each open connection, which is set from the
	// first byte of a request until its handler is called.
	arriving sync.Map
}

type arrivingKey struct{}

// connContext is the http.Server.ConnContext of the server.
func (u *unread) connContext(ctx context.Context, conn net.Conn) context.Context {
	arriving := &atomic.Bool{}
	u.arriving.Store(conn, arriving)
	return context.WithValue(ctx, arrivingKey{}, arriving)
}

// connState is the http.Server.ConnState of the server.
func (u *unread) connState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateActive:
		if arriving, ok := u.arriving.Load(conn); ok {
			arriving.(*atomic.Bool).Store(true)
		}
	case http.StateClosed, http.StateHijacked:
		if arriving, ok := u.arriving.LoadAndDelete(conn); ok && arriving.(*atomic.Bool).Load() {
			u.log.Info(eventlog.RequestUnread, "remote", conn.RemoteAddr().String())
		}
	}
}

// handler returns a handler of next's requests that notes that they have arrived.
func (u *unread) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if arriving, ok := r.Context().Value(arrivingKey{}).(*atomic.Bool); ok {
			arriving.Store(false)
		}
		next.ServeHTTP(w, r)
	})
}
