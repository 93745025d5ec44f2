package objectstore

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

// The defaults of Options.
const (
	DefaultCallTimeout      = time.Second
	DefaultOperationTimeout = 5 * time.Second
	DefaultResolveTimeout   = 2 * time.Second
	// A dead long poll is detected only after DefaultWatchTimeout, and a
	// configuration must be in force on all nodes within 12 s.
	DefaultWatchTimeout    = 5 * time.Second
	DefaultLimitWait       = time.Second
	DefaultProbeInterval   = 2 * time.Second
	DefaultReadsPerSecond  = 20
	DefaultWritesPerSecond = 10
)

const (
	// maxTries is the maximum number of tries of one operation.
	maxTries = 3
	// unavailableAfter is the number of consecutive failed calls after which the
	// platform counts as unavailable; a single lost call is common and no outage.
	unavailableAfter = 2
	// backoffBase and backoffMax bound the jittered wait between tries.
	backoffBase = 50 * time.Millisecond
	backoffMax  = 5 * time.Second
	// probeKey is read while the platform is unavailable; it need not exist.
	probeKey = "probe"
)

// Options configures a Client. Zero fields take the defaults above.
type Options struct {
	// BaseURLs are the addresses of one object store. After a failed call the
	// client switches to the next one.
	BaseURLs []string
	// ReadsPerSecond and WritesPerSecond limit the calls of this node.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// CallTimeout bounds one HTTP call, OperationTimeout one Store method with
	// its retries, and ResolveTimeout one read-back after an ambiguous failure.
	CallTimeout      time.Duration
	OperationTimeout time.Duration
	ResolveTimeout   time.Duration
	// WatchTimeout is the longest duration of one long poll.
	WatchTimeout time.Duration
	// LimitWait is the longest wait for the client-side rate limit.
	LimitWait time.Duration
	// ProbeInterval is the mean time between probes while the platform is
	// unavailable.
	ProbeInterval time.Duration
	TLS           *tls.Config
	// Dial opens connections; nil means net.Dialer.
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
	Clock clock.Clock
	// Rand is the source of the jitter.
	Rand *rand.Rand
	// Recorder and Log default to those of the kernel.
	Recorder timeline.Recorder
	Log      *slog.Logger
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

func (o Options) withDefaults() Options {
	o.CallTimeout = orDefault(o.CallTimeout, DefaultCallTimeout)
	o.OperationTimeout = orDefault(o.OperationTimeout, DefaultOperationTimeout)
	o.ResolveTimeout = orDefault(o.ResolveTimeout, DefaultResolveTimeout)
	o.WatchTimeout = orDefault(o.WatchTimeout, DefaultWatchTimeout)
	o.LimitWait = orDefault(o.LimitWait, DefaultLimitWait)
	o.ProbeInterval = orDefault(o.ProbeInterval, DefaultProbeInterval)
	o.ReadsPerSecond = orDefault(o.ReadsPerSecond, DefaultReadsPerSecond)
	o.WritesPerSecond = orDefault(o.WritesPerSecond, DefaultWritesPerSecond)
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewSource(time.Now().UnixNano()))
	}
	return o
}

// Availability reports whether the platform is available.
type Availability interface {
	Available() bool
}

// Client is the HTTP client of the object API. It is safe for concurrent use and
// works before Run, which only starts the probes during an outage.
type Client struct {
	kernel.Base
	opts   Options
	calls  *http.Transport
	polls  *http.Transport
	reads  *limiter
	writes *limiter
	shared singleflight.Group
	base   atomic.Uint32

	randMu sync.Mutex

	stateMu     sync.Mutex
	failures    int
	unavailable bool
}

var _ Store = (*Client)(nil)

// New returns a Client.
func New(o Options) (*Client, error) {
	if len(o.BaseURLs) == 0 {
		return nil, result.New(result.SettingsError, "no platform address is set")
	}
	o = o.withDefaults()
	urls := make([]string, len(o.BaseURLs))
	for i, u := range o.BaseURLs {
		urls[i] = strings.TrimRight(u, "/")
	}
	o.BaseURLs = urls
	return &Client{
		opts:   o,
		calls:  newTransport(o, o.CallTimeout),
		polls:  newTransport(o, o.WatchTimeout+o.CallTimeout),
		reads:  newLimiter(o.Clock, o.ReadsPerSecond, o.LimitWait),
		writes: newLimiter(o.Clock, o.WritesPerSecond, o.LimitWait),
	}, nil
}

// Name implements kernel.Service.
func (*Client) Name() string { return ServiceName }

// Provision sets the recorder and the log from the kernel.
func (c *Client) Provision(k *kernel.Kernel) error {
	f := kernel.Find(k)
	if c.opts.Log == nil {
		c.opts.Log = k.Log
	}
	kernel.Require(f, timeline.ServiceName, &c.opts.Recorder)
	return f.Err()
}

// Run starts the probe loop.
func (c *Client) Run(t *tomb.Tomb) error {
	t.Go(func() error { return c.probe(t.Context(context.Background())) })
	return nil
}

// Cleanup closes the connections.
func (c *Client) Cleanup() error {
	c.calls.CloseIdleConnections()
	c.polls.CloseIdleConnections()
	return nil
}

// SetRates changes the client-side rate limits, in calls per second.
func (c *Client) SetRates(reads, writes float64) {
	c.reads.set(reads)
	c.writes.set(writes)
}

// Available reports whether the platform responded to recent calls.
func (c *Client) Available() bool {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return !c.unavailable
}

// probe reads a key while the platform is unavailable, so that its recovery is
// detected without other calls. Jitter spreads the probes of the nodes.
func (c *Client) probe(ctx context.Context) error {
	for {
		if c.opts.Clock.Sleep(ctx, c.jitter(c.opts.ProbeInterval)) != nil {
			return nil
		}
		if !c.Available() {
			_, _ = c.readOnce(ctx, probeKey)
		}
	}
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (c *Client) jitter(d time.Duration) time.Duration {
	c.randMu.Lock()
	defer c.randMu.Unlock()
	return d/2 + time.Duration(c.opts.Rand.Int63n(int64(d)+1))
}

// backoff waits before the next try.
func (c *Client) backoff(ctx context.Context, try int) error {
	d := backoffMax
	if try < 7 {
		d = min(backoffBase<<try, backoffMax)
	}
	return c.opts.Clock.Sleep(ctx, c.jitter(d))
}

// recordOutcome updates the availability after a call.
func (c *Client) recordOutcome(answered bool, cause error) {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	if answered {
		c.failures = 0
		if c.unavailable {
			c.unavailable = false
			c.recordAvailability(timeline.PlatformRecovered, nil)
		}
		return
	}
	c.failures++
	if c.failures >= unavailableAfter && !c.unavailable {
		c.unavailable = true
		c.recordAvailability(timeline.PlatformUnavailable, cause)
	}
}

func (c *Client) recordAvailability(kind timeline.Kind, cause error) {
	detail := ""
	if cause != nil {
		detail = cause.Error()
	}
	if c.opts.Recorder != nil {
		c.opts.Recorder.Record(timeline.Event{Kind: kind, Detail: detail})
	}
	if c.opts.Log != nil {
		c.opts.Log.Info("platform availability changed", "state", string(kind), "cause", detail)
	}
}
