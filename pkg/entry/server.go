// Package entry serves the client API: OpenAI-compatible endpoints, plain
// services and the list of node addresses.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/budget"
	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/dispatch"
	"cassiapin/pkg/hangup"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/listen"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
)

// ServiceName is the name of the client API service.
const ServiceName = "entry.http"

// Limits on client connections.
const (
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 30 * time.Second
	idleTimeout       = 60 * time.Second
)

// DefaultWriteTimeout limits one write, so that a caller that stops reading
// is disconnected.
const DefaultWriteTimeout = 30 * time.Second

// DefaultBodyMemory is the memory for the bodies of all requests in bytes.
const DefaultBodyMemory = 64 << 20

// Dispatcher routes and executes requests.
type Dispatcher interface {
	Chat(ctx context.Context, r *dispatch.ChatRequest) (*dispatch.ChatResult, error)
	CallService(ctx context.Context, r *dispatch.ServiceRequest) (*dispatch.ServiceResult, error)
}

// Options configure the client API.
type Options struct {
	// Listener is the open listener; the service closes it.
	Listener net.Listener
	// Certificate and Key are paths of PEM files; empty means plain HTTP.
	Certificate string
	Key         string
	Region      string
	// WriteTimeout limits one write; 0 means DefaultWriteTimeout.
	WriteTimeout time.Duration
	// BodyMemory is the memory for the bodies of all requests in bytes; 0 means
	// DefaultBodyMemory.
	BodyMemory int64
	// Connections is the number of callers' connections; 0 means a share of the files
	// that the process may open.
	Connections int
	// SelfURL is this node's base URL. /v1/entries returns it when there is no
	// membership service.
	SelfURL string
}

// Service is the HTTP server of the client API.
type Service struct {
	kernel.Base
	options Options
	clock   clock.Clock
	log     *slog.Logger

	config     config.Source
	dispatcher Dispatcher
	members    peer.Members

	listener net.Listener
	server   *http.Server
	// hangups watches the connections of callers with open requests.
	hangups *hangup.Watcher
	// connections bounds the connections of callers, bodies the memory of their
	// requests' heads and bodies.
	connections  *budget.Connections
	bodies       *budget.SharedMemory
	openRequests atomic.Int64
	// draining is set when the node is no longer advertised.
	draining atomic.Bool
}

// New returns the client API service.
func New(o Options) *Service {
	if o.WriteTimeout == 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	if o.BodyMemory == 0 {
		o.BodyMemory = DefaultBodyMemory
	}
	if o.Connections == 0 {
		o.Connections = budget.DivideFiles(0).Callers
	}
	return &Service{
		options: o, hangups: hangup.NewWatcher(),
		connections: budget.NewConnections(o.Connections), bodies: budget.NewSharedMemory(o.BodyMemory),
	}
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision implements kernel.Service.
func (s *Service) Provision(k *kernel.Kernel) error {
	s.clock, s.log = k.Clock, k.Log
	f := kernel.Find(k)
	kernel.Require(f, config.SourceServiceName, &s.config)
	kernel.Require(f, dispatch.ServiceName, &s.dispatcher)
	// Tests run without a membership service.
	kernel.Optional(f, peer.MembershipServiceName, &s.members)
	s.connections.LimitHeads(func() budget.Account { return s.bodies.Of(budget.ArrivingHeads) })
	s.listener = s.connections.Listener(s.options.Listener)
	s.server = &http.Server{
		Handler: s.connections.Handler(s.hangups.Handler(s.handler())),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return budget.ConnContext(hangup.ConnContext(ctx, conn), conn)
		},
		ConnState:         s.connections.ConnState,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	var err error
	s.listener, err = listen.WithTLS(s.listener, s.options.Certificate, s.options.Key)
	if f.Err() != nil {
		return f.Err()
	}
	return err
}

// Address returns the bound address.
func (s *Service) Address() string { return s.listener.Addr().String() }

// Run implements kernel.Service.
func (s *Service) Run(t *tomb.Tomb) error {
	s.hangups.Run(t)
	listen.Serve(t, s.server, s.listener)
	return nil
}

// Cleanup implements kernel.Service.
func (s *Service) Cleanup() error {
	if s.listener == nil {
		return nil
	}
	err := s.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// StopAdvertising removes the node from /v1/entries and makes /readyz fail. The
// node continues to serve requests and asks their callers to reconnect.
func (s *Service) StopAdvertising() { s.draining.Store(true) }

// Drain implements kernel.Drainer. The node serves requests until every
// /v1/entries response that lists it has expired, then closes connections as they
// become idle and waits until none is left.
func (s *Service) Drain(ctx context.Context) error {
	s.StopAdvertising()
	if err := s.clock.Sleep(ctx, s.entryTTL()+time.Second); err != nil {
		return err
	}
	_ = s.listener.Close() // Its server has not closed it before.
	return s.connections.Drain(ctx)
}

func (s *Service) entryTTL() time.Duration {
	if snapshot := s.config.Current(); snapshot != nil {
		return snapshot.Limits.EntryTTL.Std()
	}
	return config.DefaultEntryTTL
}

// handler returns the HTTP handler. Ambiguous paths are rejected before
// routing.
func (s *Service) handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/v1/chat/completions"), s.authenticated(s.chat))
	mux.HandleFunc(pat.Get("/v1/models"), s.authenticated(s.models))
	mux.HandleFunc(pat.Get("/v1/entries"), s.entries)
	mux.HandleFunc(pat.New("/services/:name/*"), s.authenticated(s.plainService))
	mux.HandleFunc(pat.Get("/healthz"), s.health)
	mux.HandleFunc(pat.Get("/readyz"), s.ready)
	mux.HandleFunc(pat.Get("/metrics"), func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc(pat.New("/*"), func(w http.ResponseWriter, r *http.Request) {
		if fixedPaths[r.URL.Path] {
			writeError(w, result.New(result.MethodNotAllowed, "the path does not accept %s", r.Method))
			return
		}
		writeError(w, result.New(result.NotFound, "no such path"))
	})
	return s.guard(mux)
}

// fixedPaths lists the paths without parameters, to distinguish status 405 from
// 404.
var fixedPaths = map[string]bool{
	"/v1/chat/completions": true, "/v1/models": true, "/v1/entries": true,
	"/healthz": true, "/readyz": true, "/metrics": true,
}

// guard rejects ambiguous requests and limits the number of concurrent
// requests.
func (s *Service) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() || s.connections.Crowded() {
			w.Header().Set("Connection", "close")
		}
		if err := rejectAmbiguousPath(r.URL.EscapedPath()); err != nil {
			writeError(w, err)
			return
		}
		if err := checkHeaders(r.Header); err != nil {
			writeError(w, err)
			return
		}
		limit := int64(config.DefaultConcurrentRequests)
		if snapshot := s.config.Current(); snapshot != nil {
			limit = int64(snapshot.Limits.ConcurrentRequests)
		}
		defer s.openRequests.Add(-1)
		if s.openRequests.Add(1) > limit {
			writeError(w, result.New(result.TooManyRequests, "the node is at its limit").WithRetryAfter(time.Second))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// authenticated looks up the organisation of the API key.
func (s *Service) authenticated(next func(http.ResponseWriter, *http.Request, *caller)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		snapshot := s.config.Current()
		if snapshot == nil {
			writeError(w, result.New(result.NoConfiguration, "the node has no configuration yet").WithRetryAfter(time.Second))
			return
		}
		organisation, ok := snapshot.OrganisationByKey(bearerToken(r))
		if !ok {
			writeError(w, result.New(result.Unauthenticated, "the API key is missing or unknown"))
			return
		}
		next(w, r, &caller{snapshot: snapshot, organisation: organisation, requestID: newRequestID()})
	}
}

// caller is the authenticated context of a request.
type caller struct {
	snapshot     *config.Snapshot
	organisation *config.Organisation
	requestID    string
}

// requestIDBytes is large enough for random request ids to be unique across
// nodes and over time.
const requestIDBytes = 12

func newRequestID() string {
	var raw [requestIDBytes]byte
	// crypto/rand does not fail since Go 1.24.
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}
