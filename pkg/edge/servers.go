package edge

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/budget"
	"cassiapin/pkg/hangup"
	"cassiapin/pkg/kernel"
	"cassiapin/platform"
)

const (
	// headerTimeout bounds the time to read a request's headers; callers'
	// limits in the configuration are at most a few seconds.
	headerTimeout = 10 * time.Second
	// idleTimeout closes idle connections while there is no configuration, whose
	// limit holds afterwards.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes bounds the headers of a caller's request, maxAuxiliaryHeaderBytes
	// those of lookups, readiness checks and metrics, which need few.
	maxHeaderBytes          = 64 << 10
	maxAuxiliaryHeaderBytes = 8 << 10
)

// servers runs the HTTP listeners of a node.
type servers struct {
	kernel.Base
	all []*server
	// hangups watches the connections of callers with open requests.
	hangups *hangup.Watcher
	unread  *unread
	// idleLimit returns how long callers' connections may be idle; zero is not known.
	idleLimit func() time.Duration
}

func newServers(idleLimit func() time.Duration, log *slog.Logger) *servers {
	return &servers{hangups: hangup.NewWatcher(), unread: &unread{log: log}, idleLimit: idleLimit}
}

type server struct {
	http.Server
	listener net.Listener
	// connections bounds the open connections.
	connections *budget.Connections
	// callers marks the server whose requests are drained at shutdown.
	callers bool
}

func (*servers) Name() string { return "node.servers" }

func (s *servers) add(l net.Listener, handler http.Handler, connections *budget.Connections, callers bool) {
	out := &server{
		Server: http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxAuxiliaryHeaderBytes,
		},
		listener: connections.Listener(l), connections: connections, callers: callers,
	}
	out.ConnState = connections.ConnState
	if callers {
		out.MaxHeaderBytes = maxHeaderBytes
		out.DisableGeneralOptionsHandler = true // It would answer requests for * with 200.
		out.Handler = s.unread.handler(connections.Handler(s.hangups.Handler(handler)))
		out.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
			return budget.ConnContext(hangup.ConnContext(s.unread.connContext(ctx, conn), conn), conn)
		}
		out.ConnState = func(conn net.Conn, state http.ConnState) {
			connections.ConnState(conn, state)
			s.unread.connState(conn, state)
		}
	}
	s.all = append(s.all, out)
}

func (s *servers) closeListeners() {
	for _, server := range s.all {
		_ = server.listener.Close() // The node does not start; nothing is lost.
	}
}

// Run serves until the tomb dies.
func (s *servers) Run(t *tomb.Tomb) error {
	s.hangups.Run(t)
	for _, server := range s.all {
		server.connections.Run(t, s.idleLimit)
		t.Go(func() error {
			// A closed listener is that of a server that drains.
			if err := server.Serve(server.listener); !errors.IsAny(err, http.ErrServerClosed, net.ErrClosed) {
				return err
			}
			return nil
		})
	}
	t.Go(func() error {
		<-t.Dying()
		for _, server := range s.all {
			_ = server.Close() // Requests that have not been drained are aborted.
		}
		return nil
	})
	return nil
}

// drain stops accepting connections from callers and waits until those that are open
// have been closed or ctx ends.
func (s *servers) drain(ctx context.Context) error {
	var err error
	for _, server := range s.all {
		if server.callers {
			_ = server.listener.Close() // The second time it is closed already.
			err = errors.CombineErrors(err, server.connections.Drain(ctx))
		}
	}
	return err
}

// metricsHandler serves the process's metrics.
func metricsHandler(log *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return platform.RefuseMisdirected(mux, log)
}
