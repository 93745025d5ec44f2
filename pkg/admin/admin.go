// Package admin serves the operator API of a node: status, timeline, and marks
// on failure domains and model versions.
package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/listen"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
	"cassiapin/pkg/runners"
	"cassiapin/pkg/timeline"
)

// ServiceName is the name of the operator API service.
const ServiceName = "admin.http"

// Limits on operator connections.
const (
	maxBodyBytes      = 16 << 10
	readHeaderTimeout = 5 * time.Second
	requestTimeout    = 30 * time.Second
)

// Options configure the operator API.
type Options struct {
	// Listener is the open listener; the service closes it.
	Listener net.Listener
	// Certificate and Key are paths of PEM files; empty means plain HTTP.
	Certificate string
	Key         string
	// OperatorKeySHA256 lists the SHA-256 hashes of operator keys in hex.
	OperatorKeySHA256 []string
	Node              string
	Region            string
	FailureDomain     string
}

// Refusals reports the last rejected configuration that is newer than the
// active one, with the reason. The distribution service implements it.
type Refusals interface {
	Refused() (number uint64, reason string)
}

// Availability reports whether the platform's object API is reachable. The
// object store client implements it.
type Availability interface {
	Available() bool
}

// Service is the HTTP server of the operator API.
type Service struct {
	kernel.Base
	options   Options
	keyHashes [][]byte
	clock     clock.Clock
	log       *slog.Logger
	config    config.Source
	marks     config.MarkSetter
	refusals  Refusals
	platform  Availability
	members   peer.Members
	table     runners.Table
	events    *timeline.Service
	listener  net.Listener
	server    *http.Server
}

// New returns the operator API service.
func New(o Options) *Service { return &Service{options: o} }

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision implements kernel.Service.
func (s *Service) Provision(k *kernel.Kernel) error {
	s.clock, s.log = k.Clock, k.Log
	for _, text := range s.options.OperatorKeySHA256 {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != sha256.Size {
			return errors.New("an operator key hash is not 64 hexadecimal digits")
		}
		s.keyHashes = append(s.keyHashes, raw)
	}
	f := kernel.Find(k)
	kernel.Require(f, config.SourceServiceName, &s.config)
	kernel.Require(f, runners.ServiceName, &s.table)
	kernel.Require(f, timeline.ServiceName, &s.events)
	kernel.Optional(f, config.SourceServiceName, &s.marks)
	kernel.Optional(f, config.SourceServiceName, &s.refusals)
	kernel.Optional(f, peer.MembershipServiceName, &s.members)
	kernel.Optional(f, objectstore.ServiceName, &s.platform)
	if f.Err() != nil {
		return f.Err()
	}
	return s.listen()
}

func (s *Service) listen() error {
	var err error
	s.listener, err = listen.WithTLS(s.options.Listener, s.options.Certificate, s.options.Key)
	if err != nil {
		return err
	}
	s.server = &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	return nil
}

// Address returns the bound address.
func (s *Service) Address() string { return s.listener.Addr().String() }

// Run implements kernel.Service.
func (s *Service) Run(t *tomb.Tomb) error {
	listen.Serve(t, s.server, s.listener)
	return nil
}

// Cleanup implements kernel.Service.
func (s *Service) Cleanup() error {
	if s.listener != nil {
		_ = s.listener.Close() // Serve may have closed it.
	}
	return nil
}

func (s *Service) handler() http.Handler {
	mux := goji.NewMux()
	mux.Use(s.authenticate)
	mux.HandleFunc(pat.Get("/admin/status"), s.status)
	mux.HandleFunc(pat.Get("/admin/timeline"), s.timeline)
	mux.HandleFunc(pat.Post("/admin/marks"), s.setMark)
	return mux
}

// authenticate verifies the operator key in constant time.
func (s *Service) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(key))
		match := 0
		for _, h := range s.keyHashes {
			match |= subtle.ConstantTimeCompare(sum[:], h)
		}
		if match != 1 {
			writeError(w, result.New(result.OperatorKeyRequired, "the operator key is missing or unknown"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Status is the state of one node.
type Status struct {
	Node          string `json:"node"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Config is the number of the active configuration, 0 for none.
	Config     uint64 `json:"config"`
	ConfigHash string `json:"config_hash,omitempty"`
	// Refused is the number of the last configuration that was rejected and is
	// newer than the active one; 0 for none.
	Refused       uint64                 `json:"refused,omitempty"`
	RefusedReason string                 `json:"refused_reason,omitempty"`
	Platform      bool                   `json:"platform_available"`
	Isolated      bool                   `json:"isolated"`
	Marks         config.Marks           `json:"marks,omitempty"`
	Members       []peer.Member          `json:"members,omitempty"`
	Runners       []runners.RunnerStatus `json:"runners"`
}

func (s *Service) status(w http.ResponseWriter, _ *http.Request) {
	answer := Status{
		Node: s.options.Node, Region: s.options.Region, FailureDomain: s.options.FailureDomain,
		Marks: s.config.Marks(), Runners: s.table.Status(), Platform: true,
	}
	if snapshot := s.config.Current(); snapshot != nil {
		answer.Config, answer.ConfigHash = snapshot.Number, snapshot.Hash
	}
	if s.refusals != nil {
		answer.Refused, answer.RefusedReason = s.refusals.Refused()
	}
	if s.platform != nil {
		answer.Platform = s.platform.Available()
	}
	if s.members != nil {
		answer.Isolated, answer.Members = s.members.Isolated(), s.members.All()
	}
	writeJSON(w, answer)
}

// Timeline is the response of GET /admin/timeline.
type Timeline struct {
	Node   string           `json:"node"`
	Events []timeline.Event `json:"events"`
	// Dropped is the number of older events that were overwritten.
	Dropped uint64 `json:"dropped"`
}

func (s *Service) timeline(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	filter := timeline.Filter{
		Request: q.Get("request"), Upstream: q.Get("upstream"), Version: q.Get("version"),
		Domain: q.Get("domain"), Kind: timeline.Kind(q.Get("kind")),
	}
	if text := q.Get("after_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			writeError(w, result.New(result.BadRequest, "after_ms is not a number"))
			return
		}
		filter.After = clock.Stamp{WallMS: ms}
	}
	events, dropped := s.events.Snapshot()
	writeJSON(w, Timeline{Node: s.options.Node, Events: timeline.Select(events, filter), Dropped: dropped})
}

// MarkRequest is the body of POST /admin/marks: it takes a failure domain out
// of service or back in, or withdraws a model version.
type MarkRequest struct {
	Domain  string           `json:"domain,omitempty"`
	Version string           `json:"version,omitempty"`
	State   config.MarkState `json:"state"`
	Reason  string           `json:"reason,omitempty"`
}

// key returns the key of the mark after checking that its failure domain or
// version is declared.
func (m MarkRequest) key(snapshot *config.Snapshot) (string, error) {
	switch {
	case m.Domain != "" && m.Version == "" && (m.State == config.MarkOut || m.State == config.MarkIn):
		if _, ok := snapshot.FailureDomain(m.Domain); !ok {
			return "", result.New(result.NotFound, "failure domain %q is not declared", m.Domain)
		}
		return config.DomainKey(m.Domain), nil
	case m.Version != "" && m.Domain == "" && m.State == config.MarkWithdrawn:
		ref, err := config.ParseVersionRef(m.Version)
		if err != nil {
			return "", result.New(result.BadRequest, "%v", err)
		}
		if _, ok := snapshot.Version(ref); !ok {
			return "", result.New(result.NotFound, "version %s is not declared", ref)
		}
		return config.VersionKey(ref), nil
	}
	return "", result.New(result.BadRequest, "a mark is a domain with state in or out, or a version with state withdrawn")
}

func (s *Service) setMark(w http.ResponseWriter, r *http.Request) {
	var request MarkRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		writeError(w, result.New(result.BadRequest, "the body is not a mark"))
		return
	}
	snapshot := s.config.Current()
	if snapshot == nil || s.marks == nil {
		writeError(w, result.New(result.NoConfiguration, "the node has no configuration yet"))
		return
	}
	key, err := request.key(snapshot)
	if err == nil {
		err = s.marks.SetMark(key, request.State, request.Reason)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, s.config.Marks())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// ErrorResponse is the JSON body of an error response.
type ErrorResponse struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, err error) {
	e := result.From(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Code.HTTPStatus())
	_ = json.NewEncoder(w).Encode(ErrorResponse{Code: int(e.Code), Name: e.Code.String(), Message: e.Message})
}
