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
	// A silent long poll is found only after DefaultWatchTimeout, and a
	// configuration must be in force everywhere within 12 s.
	DefaultWatchTimeout    = 5 * time.Second
	DefaultLimitWait       = time.Second
	DefaultProbeInterval   = 2 * time.Second
	DefaultReadsPerSecond  = 20
	DefaultWritesPerSecond = 10
)

const (
	// maxTries bounds the tries of one operation.
	maxTries = 3
	// awayAfter is the number of failed calls in a row after which the platform
	// counts as away; one lost call is common and no outage.
	awayAfter = 2
	// backoffBase and backoffMax bound the jittered wait between tries.
	backoffBase = 50 * time.Millisecond
	backoffMax  = 5 * time.Second
	// probeKey is read while the platform is away; it need not exist.
	probeKey = "probe"
)

// Options configure a Client; zero fields have the defaults above.
type Options struct {
	// BaseURLs are the addresses of one object store, tried in turn.
	BaseURLs []string
	// ReadsPerSecond and WritesPerSecond limit the calls of this node.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// CallTimeout bounds one HTTP call, OperationTimeout one Store method with
	// its retries, and ResolveTimeout one read-back after an ambiguous failure.
	CallTimeout      time.Duration
	OperationTimeout time.Duration
	ResolveTimeout   time.Duration
	// WatchTimeout is the time that the platform may hold one long poll.
	WatchTimeout time.Duration
	// LimitWait is the longest wait for the client-side limit.
	LimitWait time.Duration
	// ProbeInterval is the mean time between probes while the platform is away.
	ProbeInterval time.Duration
	TLS           *tls.Config
	// Dial opens connections; nil means the operating system's.
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
	Clock clock.Clock
	// Rand is the source of the jitter.
	Rand *rand.Rand
	// Recorder and Log are taken from the kernel when nil.
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

// Availability tells whether the platform answers.
type Availability interface {
	Available() bool
}

// Client is the HTTP client of the object API. It is safe for concurrent use
// and works before Run, which only adds the probes during an outage.
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

	stateMu  sync.Mutex
	failures int
	away     bool
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

// Provision takes the recorder and the log of the kernel.
func (c *Client) Provision(k *kernel.Kernel) error {
	f := kernel.Find(k)
	if c.opts.Log == nil {
		c.opts.Log = k.Log
	}
	kernel.Require(f, timeline.ServiceName, &c.opts.Recorder)
	return f.Err()
}

// Run starts the probe duty.
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

// SetRates changes the client-side limits, in calls per second.
func (c *Client) SetRates(reads, writes float64) {
	c.reads.set(reads)
	c.writes.set(writes)
}

// Available reports whether the latest calls were answered.
func (c *Client) Available() bool {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return !c.away
}

// probe reads a key while the platform is away, so that its return is noticed
// without other calls. The jitter spreads the returning nodes.
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

// jitter returns a duration between half of d and one and a half of d.
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

// note updates the availability after one call.
func (c *Client) note(answered bool, cause error) {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	if answered {
		c.failures = 0
		if c.away {
			c.away = false
			c.event(timeline.PlatformRecovered, nil)
		}
		return
	}
	c.failures++
	if c.failures >= awayAfter && !c.away {
		c.away = true
		c.event(timeline.PlatformUnavailable, cause)
	}
}

func (c *Client) event(kind timeline.Kind, cause error) {
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
