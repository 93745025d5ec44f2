// Package topology holds what a node knows of its fleet: the configuration in
// force, the upstreams, the failure domains that are taken out and the version
// changes that operators ask for. The types are immutable once published.
package topology

import (
	"strings"
	"time"
)

// Revision orders the changes of the platform's store.
type Revision uint64

// RouteKind says how often a request of a route may run.
type RouteKind int

// The kinds of routes.
const (
	// Repeatable requests may run any number of times.
	Repeatable RouteKind = iota
	// AtMostOnce requests may run once for each attempt of the caller.
	AtMostOnce
	// EventStream requests are answered by a series of numbered events. They
	// run at most once, unless the route is resumable.
	EventStream
)

// String names the kind in logs and metrics.
func (k RouteKind) String() string {
	switch k {
	case Repeatable:
		return "repeatable"
	case AtMostOnce:
		return "at_most_once"
	case EventStream:
		return "stream"
	}
	return "invalid"
}

// Route says how requests of one host and path prefix are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout bounds the time that a request may be kept waiting; zero is no
	// bound.
	Timeout time.Duration
	// TargetLatency is the objective up to the answer, or to the first event
	// of a stream; GapTarget is the longest pause between events.
	TargetLatency time.Duration
	GapTarget     time.Duration
	// Priority is the urgency; 0 is the most urgent.
	Priority int
	// Models are the models that the router may choose from, smallest first.
	Models []string
	// Targets are the services that share the route's traffic.
	Targets []WeightedService
	// MaxUpstreams is the largest number of upstreams that one request may be
	// sent to.
	MaxUpstreams int
	// Public routes need no API key.
	Public bool
	// Resumable streams may go on at another upstream after a given event.
	Resumable bool
	// Regions are the only regions that may serve the route; empty is all.
	Regions []string
}

// Retryable reports whether a request of the route may run again.
func (r *Route) Retryable() bool {
	return r.Kind == Repeatable || r.Kind == EventStream && r.Resumable
}

// Streams reports whether the answers of the route are event streams.
func (r *Route) Streams() bool { return r.Kind == EventStream }

// WeightedService is one share of a route's traffic.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections one upstream accepts from all
	// nodes together.
	MaxConnections int
	// ColdStart is how long an upstream stays cold after its start, and
	// ColdPerSecond how many requests a second it bears from all nodes
	// together until then; zero is no limit.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine is set for model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// CacheTokens is the memory that requests and cached prefixes share.
	CacheTokens int
	// TokensPerEvent is the number of output tokens that one event holds.
	TokensPerEvent int
	// Cost is the price of 1,000 generated tokens by model.
	Cost map[string]float64
}

// Organisation is a caller and its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides that of the route when HasPriority is set.
	Priority    int
	HasPriority bool
	Regions     []string
}

// CallerLimits bound what a caller may send; zero is no limit.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version       uint64
	Revision      Revision
	Routes        []*Route
	Services      map[string]*Service
	Organisations []*Organisation
	Limits        CallerLimits

	routesByHost map[string][]*Route
	byKey        map[string]*Organisation
}

// Index builds the lookups. It is called once, before the configuration is
// published.
func (c *Config) Index() {
	c.routesByHost = make(map[string][]*Route)
	for _, r := range c.Routes {
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	c.byKey = make(map[string]*Organisation)
	for _, o := range c.Organisations {
		for _, key := range o.Keys {
			c.byKey[key] = o
		}
	}
}

// Route returns the route of the host whose prefix is the longest that begins
// the path, or nil.
func (c *Config) Route(host, path string) *Route {
	var best *Route
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// HasHost reports whether any route serves the host.
func (c *Config) HasHost(host string) bool { return len(c.routesByHost[host]) > 0 }

// Organisation returns the organisation that holds an API key, or nil.
func (c *Config) Organisation(key string) *Organisation { return c.byKey[key] }

// Authenticated reports whether requests need an API key at all.
func (c *Config) Authenticated() bool { return len(c.Organisations) > 0 }

// Upstream is one incarnation of a registered upstream.
type Upstream struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Region        string
	// Release is the version of the software or weights.
	Release string
	Slots   int
	// Draining upstreams finish their work and take no more.
	Draining bool
	// ColdFor is how long the upstream stays cold, counted from the moment at
	// which the entry was read; ColdUntil is the end of that time.
	ColdFor   time.Duration
	ColdUntil time.Time
	// StartedMS is the Unix millisecond of the start; another value under the same
	// id is another incarnation. Zero is unknown.
	StartedMS int64
}

// Incarnation identifies one run of an upstream.
type Incarnation struct {
	ID        string
	StartedMS int64
}

// Incarnation returns the identity of this run.
func (u *Upstream) Incarnation() Incarnation { return Incarnation{u.ID, u.StartedMS} }

// RolloutState is the progress of a version change.
type RolloutState int

// The states of a version change; the last two are final.
const (
	RolloutRequested RolloutState = iota
	RolloutRunning
	RolloutCompleted
	RolloutRolledBack
)

// Final reports whether the version change has ended.
func (s RolloutState) Final() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// String names the state in logs.
func (s RolloutState) String() string {
	return [...]string{"requested", "running", "completed", "rolled_back"}[s]
}

// Rollout is an order to move a service's traffic to another release.
type Rollout struct {
	Service string
	Target  string
	// Duration is the time in which the change is to be done.
	Duration time.Duration
	State    RolloutState
	// Created identifies the order; Revision is that of its last change.
	Created  Revision
	Revision Revision
}

// View is everything that a node knows at one moment.
type View struct {
	// Config is nil until a configuration has been read.
	Config *Config
	// Upstreams are by service.
	Upstreams map[string][]*Upstream
	// Evacuated are the failure domains whose upstreams get nothing.
	Evacuated map[string]bool
	// ColdUntil are the failure domains that came back lately; their upstreams
	// may have turned cold without a sign of it.
	ColdUntil map[string]time.Time
	// Rollouts are by service.
	Rollouts map[string]*Rollout
}
