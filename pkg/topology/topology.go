// Package topology defines a node's view of the fleet: the active configuration,
// the upstreams, the evacuated failure domains and the rollouts. The types are
// immutable once published.
package topology

import (
	"strings"
	"time"
)

// RouteKind is the kind of a route: it determines how often a request may run
// and whether the answer is a stream.
type RouteKind int

// The kinds of routes.
const (
	// Repeatable requests may run any number of times.
	Repeatable RouteKind = iota
	// AtMostOnce requests may run once per attempt of the caller.
	AtMostOnce
	// EventStream requests are answered with a stream of numbered events. They
	// run at most once, unless the route is resumable.
	EventStream
)

// String returns the name of the kind in logs and metrics.
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

// Route configures how requests for a host and path prefix are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout limits the time to answer a request; zero is no limit.
	Timeout time.Duration
	// TargetLatency is the latency objective for the answer, or for the first
	// event of a stream; GapTarget is the longest pause between events.
	TargetLatency time.Duration
	GapTarget     time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Models are the models that the router may choose from, smallest first.
	Models []string
	// Targets are the services over which the route's traffic is split.
	Targets []WeightedService
	// MaxUpstreams is the largest number of upstreams that one request may be
	// sent to.
	MaxUpstreams int
	// Public routes need no API key.
	Public bool
	// Resumable is set if a stream may be resumed at another upstream after a
	// given event.
	Resumable bool
	// Regions are the regions that may serve the route; empty is all.
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
	// ColdStart is how long an upstream stays cold after its start;
	// ColdPerSecond is the rate limit of requests from all nodes together until
	// then, zero for no limit.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine is set for model engines.
	Engine *Engine
}

// Engine describes a service's model engines.
type Engine struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// CacheTokens is the memory that requests and cached prefixes share.
	CacheTokens int
	// TokensPerEvent is the number of output tokens in one event.
	TokensPerEvent int
	// Cost is the price of 1,000 generated tokens by model.
	Cost map[string]float64
}

// Organisation is a customer and its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides that of the route when HasPriority is set.
	Priority    int
	HasPriority bool
	Regions     []string
}

// CallerLimits limit the requests of callers; zero is no limit.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is a version of the operators' configuration.
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

// Index builds the lookup tables. It must be called once, before the
// configuration is published.
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

// Route returns the route of the host with the longest prefix that matches the
// path, or nil.
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

// Organisation returns the organisation to which an API key belongs, or nil.
func (c *Config) Organisation(key string) *Organisation { return c.byKey[key] }

// Authenticated reports whether requests need an API key.
func (c *Config) Authenticated() bool { return len(c.Organisations) > 0 }

// Upstream is one incarnation of a registered upstream.
type Upstream struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Region        string
	// Release is the version of the software or of the model weights.
	Release string
	Slots   int
	// Draining is set if the upstream finishes its requests and accepts no more.
	Draining bool
	// ColdFor is the remaining cold start when the entry was read; ColdUntil is
	// its end.
	ColdFor   time.Duration
	ColdUntil time.Time
	// StartedMS is the start time in Unix milliseconds; zero is unknown. A
	// different value under the same id is a different incarnation.
	StartedMS int64
	// Revision is that of the entry.
	Revision Revision
}

// Incarnation identifies one run of an upstream.
type Incarnation struct {
	ID        string
	StartedMS int64
}

// Incarnation returns the identity of this run.
func (u *Upstream) Incarnation() Incarnation { return Incarnation{u.ID, u.StartedMS} }

// RolloutState is the state of a rollout.
type RolloutState int

// The states of a rollout; the last two are final.
const (
	RolloutRequested RolloutState = iota
	RolloutRunning
	RolloutCompleted
	RolloutRolledBack
)

// Final reports whether the rollout has ended.
func (s RolloutState) Final() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// String returns the name of the state in logs.
func (s RolloutState) String() string {
	return [...]string{"requested", "running", "completed", "rolled_back"}[s]
}

// Rollout is an operator's order to shift a service's traffic to another
// release.
type Rollout struct {
	Service string
	Target  string
	// Duration is the time over which the traffic is to be shifted.
	Duration time.Duration
	// State is the state that this node knows, Stored that in the store. State may be
	// further than Stored if the store has come back from an older copy.
	State, Stored RolloutState
	// Created identifies the rollout; Revision is that of its last change.
	Created  Revision
	Revision Revision
	// Appeared is the estimated time at which the rollout was requested if this
	// node learnt of it late; zero if it learnt of it at once.
	Appeared time.Time
}

// View is a snapshot of a node's view of the fleet.
type View struct {
	// Config is nil until a configuration has been loaded.
	Config *Config
	// Upstreams are grouped by service.
	Upstreams map[string][]*Upstream
	// Evacuated are the failure domains whose upstreams get no requests.
	Evacuated map[string]bool
	// ColdUntil has the failure domains that recently returned to service. Their
	// upstreams are treated as cold until the given time, since they may have
	// become cold without reporting it.
	ColdUntil map[string]time.Time
	// Rollouts are keyed by service.
	Rollouts map[string]*Rollout
}
