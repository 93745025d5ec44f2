// Package engine emulates a model engine over HTTP: continuous batching with
// priorities, a prefix cache with limited memory, cold starts, streams that can
// be cancelled and resumed, delayed load reports, and orders to load or unload
// a model version or to take a role.
//
// # Protocol
//
//	POST /v1/chat/completions
//	    OpenAI protocol, with or without "stream": true. Request headers:
//	    X-Attempt-Id (echoed), X-Priority (0 to 9), X-Model-Version ("version"
//	    or "model@version"; echoed in the same form), X-Class and
//	    X-Organisation (or the fields metadata.class and
//	    metadata.organisation). The field metadata.answer_tokens sets the
//	    natural length of the answer. Every response has X-Engine-State ("cold",
//	    "warming", "warm"). A 503 with X-Engine-State: cold and a 429 are
//	    returned only for requests that did not run.
//	GET /v1/streams/{attempt-id}?from=N
//	    Resumes a stream after its first N text chunks. A connection that
//	    still serves the stream is closed. 404 if the attempt is unknown or
//	    the resume window has expired.
//	GET /load
//	    The JSON form of runners.Report.
//	GET /cache/events?after=N
//	    {"events":[{"sequence","type":"stored"|"evicted","prefix","tokens",
//	    "attempt"}],"last":N}. A prefix is the hash of a prompt's first block
//	    of 16 words. Lost events leave gaps in the sequence numbers.
//	POST /orders
//	    {"action":"load"|"unload"|"role","version":"model@version","role":""}
//	    with X-Fencing-Number; 200 if the requested state is reached, 202 while
//	    weights load, 409 for a stale number if the engine checks fencing.
package engine

import (
	"context"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/standin"
)

// Engine is the emulated engine; it is safe for concurrent use.
type Engine struct {
	options Options
	mux     *http.ServeMux
	ctx     context.Context
	cancel  context.CancelFunc

	mu           sync.Mutex
	rng          *rand.Rand
	faults       Faults
	counters     Counters
	loaded       map[config.VersionRef]float64
	speeds       map[config.VersionRef]float64
	loading      map[config.VersionRef]bool
	loadOrder    []config.VersionRef
	role         string
	fencing      uint64
	orderHistory []OrderRecord
	leaving      bool

	cold    coldStart
	batch   batch
	cache   *prefixCache
	streams streamTable
	reports []timedReport
	polls   uint64
}

// New returns an engine. It is cold unless Options.Warm is set.
func New(o Options) *Engine {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		options: o, ctx: ctx, cancel: cancel,
		rng:     rand.New(rand.NewSource(o.Seed)),
		loaded:  make(map[config.VersionRef]float64),
		speeds:  make(map[config.VersionRef]float64),
		loading: make(map[config.VersionRef]bool),
		cache:   newPrefixCache(o.CacheTokens / blockTokens),
		streams: streamTable{byAttempt: make(map[string]*stream)},
	}
	e.counters.ByVersion = make(map[config.VersionRef]int64)
	e.counters.Executed = make(map[string]int)
	e.counters.ByOrganisation = make(map[string]int64)
	for _, v := range o.Versions {
		setDefault(&v.Speed, 1)
		e.speeds[v.Ref] = v.Speed
		if !v.NotLoaded {
			e.load(v.Ref)
		}
	}
	e.cold.begin(o.Clock.Now(), 1)
	e.cold.warm = o.Warm
	e.routes()
	return e
}

func (e *Engine) routes() {
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	e.mux.HandleFunc("GET /v1/streams/{attempt}", e.serveResume)
	e.mux.HandleFunc("GET /load", e.serveLoad)
	e.mux.HandleFunc("GET /cache/events", e.serveCacheEvents)
	e.mux.HandleFunc("POST /orders", e.serveOrder)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Start serves the engine on listenAddr. The stop function also cancels the
// loading of weights.
func (e *Engine) Start(listenAddr string) (url string, stop func(), err error) {
	url, stopServer, err := standin.Start(listenAddr, e)
	if err != nil {
		return "", nil, err
	}
	return url, func() { e.cancel(); stopServer() }, nil
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetLeaving sets whether the engine reports that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// ForceCold starts an unannounced cold start. Requests in progress continue and
// do not count against the concurrency limit.
func (e *Engine) ForceCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startCold(e.options.Clock.Now(), 1)
	e.cache.clear(e.options.Clock.Now(), e.dropEvent)
}

// ForceWarm ends a cold start immediately.
func (e *Engine) ForceWarm() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold.warm = true
}

// State returns the current state, without the lag of reports.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state(e.options.Clock.Now())
}

// Load returns the current load, without the lag of reports.
func (e *Engine) Load() Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report(e.options.Clock.Now())
}

// Counters returns a copy of the counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counters
	c.ByVersion = copyMap(c.ByVersion)
	c.Executed = copyMap(c.Executed)
	c.ByOrganisation = copyMap(c.ByOrganisation)
	return c
}

// ExecutedTwice returns the attempt ids that ran more than once.
func (e *Engine) ExecutedTwice() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for id, n := range e.counters.Executed {
		if n > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

func copyMap[K comparable, V any](m map[K]V) map[K]V {
	c := make(map[K]V, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.options.TimeScale)
}

// load makes a version available. The caller must hold the lock or have the
// only reference to e.
func (e *Engine) load(ref config.VersionRef) {
	if _, ok := e.loaded[ref]; ok {
		return
	}
	speed := e.speeds[ref]
	setDefault(&speed, 1)
	e.loaded[ref] = speed
	e.loadOrder = append(e.loadOrder, ref)
}
