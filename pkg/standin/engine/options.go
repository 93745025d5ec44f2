package engine

import (
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/standin"
)

// The defaults of Options. Durations are those of a mid-sized model on one
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
	// Speed divides the time for prefill and tokens; 0 means 1.
	Speed float64
	// NotLoaded leaves the version to an order.
	NotLoaded bool
}

// Options configure an Engine; zero fields take the defaults. Durations marked
// as scaled are multiplied by TimeScale.
type Options struct {
	// Name is the upstream's name in load reports.
	Name     string
	Versions []Version
	// Capacity is the number of requests that run at once, QueueLimit the
	// number that may wait; above it the engine falls over.
	Capacity   int
	QueueLimit int
	ColdLimit  int
	// Warm starts the engine warm.
	Warm bool

	// TimeScale below 1 makes the engine faster; 0 means 1.
	TimeScale float64
	// PrefillPerToken, TokenInterval and FirstTokenBase are scaled; they hold
	// for an empty engine. At full load they grow by the share LoadSlowdown,
	// and by the factor ColdSlowdown unless the engine is warm.
	PrefillPerToken time.Duration
	TokenInterval   time.Duration
	FirstTokenBase  time.Duration
	LoadSlowdown    float64
	ColdSlowdown    float64

	// ColdTime and WarmRequests set the cold start: a quarter of the progress
	// comes with ColdTime (scaled) and three quarters with WarmRequests served
	// requests, so an idle engine is warm after four times ColdTime.
	ColdTime     time.Duration
	WarmRequests int
	// OverloadDowntime (scaled) is the time in which an engine that was overloaded
	// refuses everything.
	OverloadDowntime time.Duration
	// ColdGrace is the real time after TurnCold in which requests above the
	// bound count as Unwarned and not as violations, because nobody can know.
	// It is also granted after the engine falls over.
	ColdGrace time.Duration

	// LoadTime (scaled) is the time to load weights. WeightsURL, if set, is the
	// weight store that must grant a token first.
	LoadTime   time.Duration
	WeightsURL string
	// Fencing refuses orders with an old number.
	Fencing bool

	// ReportLag is the real age of load reports.
	ReportLag time.Duration
	// CacheLag is the real delay of cache events, CacheGap the share that is
	// lost.
	CacheLag       time.Duration
	CacheEventLoss float64
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// ResumeWindow (scaled) is the time in which a stream may be resumed.
	ResumeWindow time.Duration
	// ChunkTokens is the number of tokens per streamed chunk.
	ChunkTokens int

	// Seed makes answers, faults and gaps deterministic. Engines that share
	// it give the same answers.
	Seed int64
	// Quality is the hidden truth, shared with the rating service.
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

// Faults are the switchable faults; the zero value has none. A token count of
// a fault is reached before the answer's end only if the answer is longer.
type Faults struct {
	// Requests is the number of requests that meet the faults before they are
	// switched off; 0 means no limit.
	Requests int
	// FailRate is the share of requests that fail with status 500 after they
	// began to run.
	FailRate float64
	// Refuse answers 503 without running the request.
	Refuse bool
	// Hang leaves the connection open and silent after HangAfter tokens; with
	// 0 tokens no header is sent. The slot stays in use.
	Hang      bool
	HangAfter int
	// Cut closes the connection after CutAfter tokens.
	Cut      bool
	CutAfter int
	// Delay delays the answer by this real time.
	Delay time.Duration
	// WrongAttempt echoes another attempt id.
	WrongAttempt bool
}

// Counters tell what really happened. Maps are copies.
type Counters struct {
	// Received counts chat requests, Answered those answered to the end.
	Received, Answered int64
	// Refused counts requests refused without running.
	Refused int64
	// ByVersion counts whole answers of each version.
	ByVersion map[config.VersionRef]int64
	// Executed counts how often each attempt id began to run.
	Executed map[string]int
	// ByOrganisation counts requests that name an organisation in the header
	// X-Organisation or the field metadata.organisation.
	ByOrganisation map[string]int64
	// ColdViolations counts requests above the bound of a cold start,
	// Unwarned those within the grace after an unannounced cold start.
	ColdViolations, RefusedInGrace int64
	// MaxWhileCold is the peak of requests at once in state cold, those from
	// before the cold start excepted.
	MaxWhileCold int
	// MaxRunning and MaxQueued are peaks over the whole life.
	MaxRunning, MaxQueued int
	// Cancelled counts requests whose client went away before the end.
	Cancelled int64
	// Overloads counts how often the engine fell over.
	Overloads int64
	// Resumed counts resumed streams.
	Resumed int64
	// TokensGenerated, PromptTokens and CachedTokens are sums.
	TokensGenerated, PromptTokens, CachedTokens int64
	// Orders counts accepted orders; StaleRefused and StaleObeyed those with
	// an old fencing number.
	Orders, StaleRefused, StaleAccepted int64
	// WeightFetches counts tokens taken from the weight store, WeightRefusals
	// its refusals.
	WeightFetches, WeightRefusals int64
	// LoadPolls counts load reports given.
	LoadPolls int64
}
