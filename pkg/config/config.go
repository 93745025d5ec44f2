// Package config defines the operators' declarations and the numbered
// configuration built from them.
//
// Declarations are TOML files that are kept next to each service's code. Parse
// decodes the files, merges them into one Declarations value and validates it as
// a whole. A Snapshot is a validated configuration with its number; it is
// immutable and safe for concurrent use.
package config

import (
	"time"
)

// Duration is a time.Duration that is encoded as text in TOML, JSON and CBOR, for
// example "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// VersionRef identifies a version of a model.
type VersionRef struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// String returns "model@version".
func (r VersionRef) String() string { return r.Model + "@" + r.Version }

// MarshalText returns "model@version". It allows a VersionRef as a JSON map key.
func (r VersionRef) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText parses "model@version".
func (r *VersionRef) UnmarshalText(text []byte) error {
	ref, err := ParseVersionRef(string(text))
	if err != nil {
		return err
	}
	*r = ref
	return nil
}

// Declarations contains everything that operators declare.
type Declarations struct {
	Organisations  []Organisation  `toml:"organisation" json:"organisations,omitempty"`
	Classes        []Class         `toml:"class" json:"classes,omitempty"`
	Models         []Model         `toml:"model" json:"models,omitempty"`
	Upstreams      []Upstream      `toml:"upstream" json:"upstreams,omitempty"`
	Services       []Service       `toml:"service" json:"services,omitempty"`
	Rollouts       []Rollout       `toml:"rollout" json:"rollouts,omitempty"`
	Withdrawals    []Withdrawal    `toml:"withdrawal" json:"withdrawals,omitempty"`
	FailureDomains []FailureDomain `toml:"failure_domain" json:"failure_domains,omitempty"`
	Links          []Link          `toml:"link" json:"links,omitempty"`
	Limits         Limits          `toml:"limits" json:"limits"`
}

// Organisation is a customer with its keys, permissions and limits.
type Organisation struct {
	Name string `toml:"name" json:"name"`
	// KeySHA256 lists the hex SHA-256 hashes of the organisation's API keys.
	KeySHA256 []string `toml:"key_sha256" json:"key_sha256"`
	// Allow lists models ("model", any version) and versions
	// ("model@version") that the organisation may use.
	Allow []string `toml:"allow" json:"allow"`
	// Classes lists the request classes it may use; empty means all.
	Classes []string `toml:"classes" json:"classes,omitempty"`
	// DefaultClass applies to requests that specify no class.
	DefaultClass string `toml:"default_class" json:"default_class"`
	// Weight is its share under load relative to other organisations; 0 means 1.
	Weight float64 `toml:"weight" json:"weight,omitempty"`
	// RequestsPerSecond limits its request rate across all nodes; 0 means no
	// limit.
	RequestsPerSecond float64 `toml:"requests_per_second" json:"requests_per_second,omitempty"`
	// SpendPerHour limits its spend across all nodes, in price units; 0 means no
	// limit.
	SpendPerHour float64 `toml:"spend_per_hour" json:"spend_per_hour,omitempty"`
}

// CheckKind is the method by which a cascade checks the answer of its first step.
type CheckKind string

// The checks of a cascade.
const (
	CheckNone      CheckKind = "none"
	CheckHeuristic CheckKind = "heuristic"
	CheckRating    CheckKind = "rating"
)

// Class is a class of requests with its quality and latency targets.
type Class struct {
	Name string `toml:"name" json:"name"`
	// QualityTarget is the mean rating in [0,1] that answers must reach.
	QualityTarget float64 `toml:"quality_target" json:"quality_target"`
	// Deadline is the longest time until the answer is complete.
	Deadline Duration `toml:"deadline" json:"deadline"`
	// FirstToken is the longest time to the first token; 0 means no limit.
	FirstToken Duration `toml:"first_token" json:"first_token,omitempty"`
	// Priority is 0 (lowest) to 9.
	Priority int `toml:"priority" json:"priority"`
	// Check is the check that a cascade applies to a cheap answer.
	Check CheckKind `toml:"check" json:"check,omitempty"`
	// Explore allows a bounded share of requests to be used for exploration,
	// which improves the quality estimates.
	Explore bool `toml:"explore" json:"explore,omitempty"`
	// NonIdempotent marks requests that must not run more than once.
	NonIdempotent bool `toml:"non_idempotent" json:"non_idempotent,omitempty"`
}

// Model is a model with its versions.
type Model struct {
	Name     string    `toml:"name" json:"name"`
	Versions []Version `toml:"version" json:"versions"`
}

// Version is one version of a model with its prices and prior quality.
type Version struct {
	Name string `toml:"name" json:"name"`
	// PriceInput and PriceOutput are in price units per 1,000 tokens.
	PriceInput  float64 `toml:"price_input" json:"price_input"`
	PriceOutput float64 `toml:"price_output" json:"price_output"`
	// PriorQuality is the expected rating in [0,1] before there are any ratings.
	PriorQuality float64 `toml:"prior_quality" json:"prior_quality"`
	// ClassQuality overrides PriorQuality for individual classes.
	ClassQuality map[string]float64 `toml:"class_quality" json:"class_quality,omitempty"`
}

// Upstream is a runner: a model engine with the versions it serves.
type Upstream struct {
	Name string `toml:"name" json:"name"`
	// URL is the base URL, with an IP address as host.
	URL           string `toml:"url" json:"url"`
	Region        string `toml:"region" json:"region"`
	FailureDomain string `toml:"failure_domain" json:"failure_domain"`
	// Serves lists "model@version" entries.
	Serves []VersionRef `toml:"serves" json:"serves"`
	// Capacity is the number of concurrent requests it can run when warm.
	Capacity int `toml:"capacity" json:"capacity"`
	// ColdLimit is the number of concurrent requests it can run during a cold
	// start.
	ColdLimit int `toml:"cold_limit" json:"cold_limit"`
	// Fencing means that the engine rejects load and unload orders with an
	// outdated fencing token.
	Fencing bool `toml:"fencing" json:"fencing,omitempty"`
}

// Service is an upstream service that is not a model engine.
type Service struct {
	Name      string            `toml:"name" json:"name"`
	Endpoints []ServiceEndpoint `toml:"endpoint" json:"endpoints"`
	Routes    []ServiceRoute    `toml:"route" json:"routes,omitempty"`
	// Timeout bounds one call of the service.
	Timeout Duration `toml:"timeout" json:"timeout"`
	// Organisations lists the organisations that may call it; empty means all.
	Organisations []string `toml:"organisations" json:"organisations,omitempty"`
	// AttemptPath is the path under which the service reports the outcome of an
	// attempt ID, for example "/attempts/"; empty if it does not.
	AttemptPath string `toml:"attempt_path" json:"attempt_path,omitempty"`
	// PricePerCall is billed for each call that receives a response.
	PricePerCall float64 `toml:"price_per_call" json:"price_per_call,omitempty"`
}

// ServiceEndpoint is one address of a Service.
type ServiceEndpoint struct {
	URL           string `toml:"url" json:"url"`
	Region        string `toml:"region" json:"region"`
	FailureDomain string `toml:"failure_domain" json:"failure_domain"`
}

// ServiceRoute declares whether matching calls of a Service are idempotent. A
// call that matches no route is idempotent only if its method is GET or HEAD.
type ServiceRoute struct {
	Method string `toml:"method" json:"method"`
	// Prefix matches the path after the service name.
	Prefix     string `toml:"prefix" json:"prefix"`
	Idempotent bool   `toml:"idempotent" json:"idempotent"`
}

// Rollout moves the traffic of a model from one version to another.
type Rollout struct {
	ID    string        `toml:"id" json:"id"`
	Model string        `toml:"model" json:"model"`
	From  string        `toml:"from" json:"from"`
	To    string        `toml:"to" json:"to"`
	Steps []RolloutStep `toml:"step" json:"steps"`
	// MinQuality is the lowest permitted mean rating of the new version.
	MinQuality float64 `toml:"min_quality" json:"min_quality"`
	// MaxErrorRate is the highest permitted share of failed answers.
	MaxErrorRate float64 `toml:"max_error_rate" json:"max_error_rate"`
	// MaxFirstToken is the highest permitted mean time to the first token.
	MaxFirstToken Duration `toml:"max_first_token" json:"max_first_token,omitempty"`
	Paused        bool     `toml:"paused" json:"paused,omitempty"`
}

// RolloutStep is one step of a rollout.
type RolloutStep struct {
	// Share is the share of sessions on the new version, in (0,1].
	Share float64 `toml:"share" json:"share"`
	// MinRated is the number of rated answers required to complete the step.
	MinRated int `toml:"min_rated" json:"min_rated"`
	// MinTime is the minimum duration of the step.
	MinTime Duration `toml:"min_time" json:"min_time,omitempty"`
}

// Withdrawal permanently disables a version.
type Withdrawal struct {
	Version VersionRef `toml:"version" json:"version"`
	Reason  string     `toml:"reason" json:"reason,omitempty"`
}

// FailureDomain declares a failure domain and its region.
type FailureDomain struct {
	Name   string `toml:"name" json:"name"`
	Region string `toml:"region" json:"region"`
}

// Link is the connection between two regions.
type Link struct {
	Between []string `toml:"between" json:"between"`
	// BytesPerSecond is the bandwidth that requests may use in each direction.
	BytesPerSecond int64 `toml:"bytes_per_second" json:"bytes_per_second"`
}

// Limits bounds what a node accepts. Zero fields take the defaults.
type Limits struct {
	BodyBytes            int64    `toml:"body_bytes" json:"body_bytes,omitempty"`
	ConcurrentRequests   int      `toml:"concurrent_requests" json:"concurrent_requests,omitempty"`
	QueuePerOrganisation int      `toml:"queue_per_organisation" json:"queue_per_organisation,omitempty"`
	RetryRatio           float64  `toml:"retry_ratio" json:"retry_ratio,omitempty"`
	ExploreShare         float64  `toml:"explore_share" json:"explore_share,omitempty"`
	EntryTTL             Duration `toml:"entry_ttl" json:"entry_ttl,omitempty"`
	DrainTimeout         Duration `toml:"drain_timeout" json:"drain_timeout,omitempty"`
	TokenTimeout         Duration `toml:"token_timeout" json:"token_timeout,omitempty"`
	ShardsPerRegion      int      `toml:"shards_per_region" json:"shards_per_region,omitempty"`
	IdempotencyRetention Duration `toml:"once_retention" json:"once_retention,omitempty"`
	// PlatformWritesPerSecond is the write rate for all nodes together.
	PlatformWritesPerSecond float64 `toml:"platform_writes_per_second" json:"platform_writes_per_second,omitempty"`
	// WeightFetchesPerMinute is the rate limit of the weight store.
	WeightFetchesPerMinute float64 `toml:"weight_fetches_per_minute" json:"weight_fetches_per_minute,omitempty"`
}

// The defaults of Limits.
const (
	DefaultBodyBytes               = 1 << 20
	DefaultConcurrentRequests      = 4096
	DefaultQueuePerOrganisation    = 256
	DefaultRetryRatio              = 0.1
	DefaultExploreShare            = 0.02
	DefaultEntryTTL                = 5 * time.Second
	DefaultDrainTimeout            = 60 * time.Second
	DefaultTokenTimeout            = 10 * time.Second
	DefaultShardsPerRegion         = 32
	DefaultIdempotencyRetention    = 24 * time.Hour
	DefaultPlatformWritesPerSecond = 300
	DefaultWeightFetchesPerMinute  = 60
)

// WithDefaults returns l with zero fields replaced by the defaults.
func (l Limits) WithDefaults() Limits {
	setDefault(&l.BodyBytes, DefaultBodyBytes)
	setDefault(&l.ConcurrentRequests, DefaultConcurrentRequests)
	setDefault(&l.QueuePerOrganisation, DefaultQueuePerOrganisation)
	setDefault(&l.RetryRatio, DefaultRetryRatio)
	setDefault(&l.ExploreShare, DefaultExploreShare)
	setDefault(&l.EntryTTL, Duration(DefaultEntryTTL))
	setDefault(&l.DrainTimeout, Duration(DefaultDrainTimeout))
	setDefault(&l.TokenTimeout, Duration(DefaultTokenTimeout))
	setDefault(&l.ShardsPerRegion, DefaultShardsPerRegion)
	setDefault(&l.IdempotencyRetention, Duration(DefaultIdempotencyRetention))
	setDefault(&l.PlatformWritesPerSecond, DefaultPlatformWritesPerSecond)
	setDefault(&l.WeightFetchesPerMinute, DefaultWeightFetchesPerMinute)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
