package engine

import (
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/standin"
)

// Defaults of Options. Durations correspond to a mid-sized model on one
// accelerator; Options.TimeScale shortens them for demos and tests.
const (
	DefaultCapacity         = 8
	DefaultColdLimit        = 2
	DefaultQueueFactor      = 8
	DefaultPrefillPerToken  = 200 * time.Microsecond
	DefaultTokenInterval    = 20 * time.Millisecond
	DefaultFirstTokenBase   = 40 * time.Millisecond
	DefaultLoadSlowdown     = 0.4
	DefaultColdSlowdown     = 2.0
	DefaultColdTime         = 20 * time.Second
	DefaultWarmRequests     = 20
	DefaultOverloadDowntime = 5 * time.Second
	DefaultLoadTime         = 10 * time.Second
	DefaultResumeWindow     = 10 * time.Second
	DefaultColdGrace        = 2 * time.Second
	DefaultCacheTokens      = 64 << 10
	DefaultChunkTokens      = 4
)

// Version is a model version that the engine can serve.
type Version struct {
	Ref config.VersionRef
	// Speed divides the durations of prefill and token generation; 0 means 1.
	Speed float64
	// NotLoaded leaves the version unloaded until an order loads it.
	NotLoaded bool
}

// Options configure an Engine; zero fields take the defaults. Durations marked
// as scaled are multiplied by TimeScale.
type Options struct {
	// Name is the upstream's name in load reports.
	Name     string
	Versions []Version
	// Capacity is the number of requests that run concurrently, QueueLimit the
	// number that may wait, by default DefaultQueueFactor times Capacity. A
	// request above QueueLimit crashes the engine. ColdLimit is the concurrency
	// limit at the beginning of a cold start.
	Capacity   int
	QueueLimit int
	ColdLimit  int
	// Warm starts the engine warm.
	Warm bool

	// TimeScale below 1 makes the engine faster; 0 means 1.
	TimeScale float64
	// PrefillPerToken, TokenInterval and FirstTokenBase (scaled) apply to an
	// idle engine. At full load they grow by the fraction LoadSlowdown, and
	// unless the engine is warm they are multiplied by ColdSlowdown.
	PrefillPerToken time.Duration
	TokenInterval   time.Duration
	FirstTokenBase  time.Duration
	LoadSlowdown    float64
	ColdSlowdown    float64

	// ColdTime and WarmRequests define the cold start: ColdTime (scaled)
	// contributes a quarter of the progress and WarmRequests served requests
	// three quarters. An idle engine is therefore warm after four times ColdTime.
	ColdTime     time.Duration
	WarmRequests int
	// OverloadDowntime (scaled) is the time for which an engine refuses all
	// requests after an overload.
	OverloadDowntime time.Duration
	// ColdGrace is the unscaled time after ForceCold in which requests above the
	// concurrency limit count as RefusedInGrace and not as violations, because
	// clients cannot know of the cold start yet. It also applies after an
	// overload.
	ColdGrace time.Duration

	// LoadTime (scaled) is the time to load weights. WeightsURL, if set, is the
	// weight store that must grant a token before loading.
	LoadTime   time.Duration
	WeightsURL string
	// Fencing refuses orders with a stale fencing number.
	Fencing bool

	// ReportLag is the unscaled age of load reports.
	ReportLag time.Duration
	// CacheLag is the unscaled delay of cache events, CacheEventLoss the
	// fraction of them that is lost.
	CacheLag       time.Duration
	CacheEventLoss float64
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// ResumeWindow (scaled) is the time within which a stream may be resumed.
	ResumeWindow time.Duration
	// ChunkTokens is the number of tokens per streamed chunk.
	ChunkTokens int

	// Seed makes answers, faults and lost events deterministic. Engines with
	// the same seed give the same answers.
	Seed int64
	// Quality is the hidden true quality, shared with the rating service.
	Quality *standin.QualityModel
	Clock   clock.Clock
}

func (o Options) withDefaults() Options {
	setDefault(&o.Name, "engine")
	setDefault(&o.Capacity, DefaultCapacity)
	setDefault(&o.QueueLimit, DefaultQueueFactor*o.Capacity)
	setDefault(&o.ColdLimit, DefaultColdLimit)
	setDefault(&o.TimeScale, 1)
	setDefault(&o.PrefillPerToken, DefaultPrefillPerToken)
	setDefault(&o.TokenInterval, DefaultTokenInterval)
	setDefault(&o.FirstTokenBase, DefaultFirstTokenBase)
	setDefault(&o.LoadSlowdown, DefaultLoadSlowdown)
	setDefault(&o.ColdSlowdown, DefaultColdSlowdown)
	setDefault(&o.ColdTime, DefaultColdTime)
	setDefault(&o.WarmRequests, DefaultWarmRequests)
	setDefault(&o.OverloadDowntime, DefaultOverloadDowntime)
	setDefault(&o.ColdGrace, DefaultColdGrace)
	setDefault(&o.LoadTime, DefaultLoadTime)
	setDefault(&o.CacheTokens, DefaultCacheTokens)
	setDefault(&o.ResumeWindow, DefaultResumeWindow)
	setDefault(&o.ChunkTokens, DefaultChunkTokens)
	if o.Quality == nil {
		o.Quality = standin.NewQualityModel()
	}
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Faults are the injectable faults; the zero value has none. A fault with a
// token count takes effect only if the answer is longer than that.
type Faults struct {
	// Requests is the number of requests affected by the faults before they are
	// cleared; 0 means no limit.
	Requests int
	// FailRate is the fraction of requests that fail with status 500 after they
	// started to run.
	FailRate float64
	// Refuse answers 503 without running the request.
	Refuse bool
	// Hang stops sending after HangAfter tokens but keeps the connection open;
	// with 0 tokens no header is sent. The slot stays in use.
	Hang      bool
	HangAfter int
	// Cut closes the connection after CutAfter tokens.
	Cut      bool
	CutAfter int
	// Delay delays the answer by this unscaled time.
	Delay time.Duration
	// WrongAttempt echoes another attempt id.
	WrongAttempt bool
	// CrashText crashes the engine when it begins to answer a request with a
	// message of this text other than the last. It is down as after an overload.
	CrashText string
}

// Counters record what actually happened. Maps are copies.
type Counters struct {
	// Received counts chat requests, Answered those with a complete answer.
	Received, Answered int64
	// Refused counts requests refused without running.
	Refused int64
	// ByVersion counts complete answers of each version.
	ByVersion map[config.VersionRef]int64
	// Executed counts how often each attempt id started to run.
	Executed map[string]int
	// ByOrganisation counts requests per organisation named in the header
	// X-Organisation or the field metadata.organisation.
	ByOrganisation map[string]int64
	// ColdViolations counts requests above the concurrency limit of a cold
	// start, RefusedInGrace those refused within ColdGrace after an unannounced
	// cold start.
	ColdViolations, RefusedInGrace int64
	// MaxWhileCold is the peak number of concurrent requests in state cold,
	// excluding those admitted before the cold start.
	MaxWhileCold int
	// MaxRunning and MaxQueued are peaks over the engine's lifetime.
	MaxRunning, MaxQueued int
	// Cancelled counts requests whose client disconnected before the end.
	Cancelled int64
	// Overloads counts crashes by overload.
	Overloads int64
	// PromptCrashes counts crashes by CrashText.
	PromptCrashes int64
	// Resumed counts resumed streams.
	Resumed int64
	// TokensGenerated, PromptTokens and CachedTokens are sums.
	TokensGenerated, PromptTokens, CachedTokens int64
	// Orders counts accepted orders, StaleRefused and StaleAccepted orders with
	// a stale fencing number.
	Orders, StaleRefused, StaleAccepted int64
	// WeightFetches counts tokens taken from the weight store, WeightRefusals
	// its refusals.
	WeightFetches, WeightRefusals int64
	// LoadPolls counts served load reports.
	LoadPolls int64
}
