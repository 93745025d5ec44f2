package upstream

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/holdoff"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/result"
	"cassiapin/pkg/runners"
	"cassiapin/pkg/timeline"
)

// The HTTP paths of a model engine.
const (
	completionsPath = "/v1/chat/completions"
	streamsPath     = "/v1/streams/"
)

// Defaults for zero fields of a Call.
const (
	defaultFirstByteTimeout = 60 * time.Second
	defaultMaxResponseBytes = 16 << 20
)

var (
	attemptsTotal          = metrics.GetOrCreateCounter("cassiapin_upstream_attempts_total")
	silentConnectionsTotal = metrics.GetOrCreateCounter("cassiapin_upstream_silent_connections_total")
	resumesTotal           = metrics.GetOrCreateCounter("cassiapin_upstream_resumes_total")
	firstByteSeconds       = metrics.GetOrCreateHistogram("cassiapin_upstream_first_byte_seconds")
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure the client.
type Options struct {
	// Clock defaults to the kernel's clock.
	Clock clock.Clock
	// Dial opens connections; nil means net.Dialer.
	Dial DialFunc
}

// HTTPClient implements Client over HTTP/1.1.
type HTTPClient struct {
	kernel.Base
	clock      clock.Clock
	source     config.Source
	events     timeline.Recorder
	transports *transportPool
	wishes     WishListener
}

// WishListener learns what runners say that they want.
type WishListener interface {
	UpstreamWish(name string, w holdoff.Wish)
}

// ignoreWishes is the listener of a client without a runner table.
type ignoreWishes struct{}

func (ignoreWishes) UpstreamWish(string, holdoff.Wish) {}

// NewClient returns the upstream client's service.
func NewClient(o Options) *HTTPClient {
	return &HTTPClient{clock: o.Clock, events: timeline.Discard{}, transports: newTransportPool(o.Dial), wishes: ignoreWishes{}}
}

// Name implements kernel.Service.
func (*HTTPClient) Name() string { return ServiceName }

// Provision implements kernel.Service.
func (c *HTTPClient) Provision(k *kernel.Kernel) error {
	f := kernel.Find(k)
	if c.clock == nil {
		c.clock = k.Clock
	}
	kernel.Optional(f, timeline.ServiceName, &c.events)
	kernel.Optional(f, config.SourceServiceName, &c.source)
	kernel.Optional(f, runners.ServiceName, &c.wishes)
	return nil
}

// Run implements kernel.Service. It closes idle connections to upstreams that
// are removed from the configuration.
func (c *HTTPClient) Run(t *tomb.Tomb) error {
	if c.source == nil {
		return nil
	}
	changes := c.source.Subscribe()
	t.Go(func() error {
		for {
			select {
			case <-changes:
				c.transports.retainDeclared(c.source.Current())
			case <-t.Dying():
				return nil
			}
		}
	})
	return nil
}

// Cleanup implements kernel.Service.
func (c *HTTPClient) Cleanup() error {
	c.transports.closeIdle()
	return nil
}

// start validates the ticket and sends the request.
func (c *HTTPClient) start(ctx context.Context, call Call, accept string) (*exchange, outboundRequest, *result.Error) {
	if !call.Ticket.Valid(c.clock.Now()) {
		return nil, outboundRequest{}, result.New(result.TicketExpired, "the policy decision is missing or too old")
	}
	attemptsTotal.Inc()
	o := call.outboundRequest(accept)
	x, err := c.open(ctx, o)
	if err != nil {
		return nil, o, err
	}
	firstByteSeconds.Update(x.firstByte.Seconds())
	if err := statusError(x.response); err != nil {
		x.finish()
		return nil, o, err
	}
	return x, o, nil
}

func (call Call) outboundRequest(accept string) outboundRequest {
	attempt, up := call.Ticket.Attempt(), call.Ticket.Upstream()
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set("Accept", accept)
	header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	header.Set(HeaderVersion, attempt.Version.String())
	return outboundRequest{
		name:             up.Name,
		method:           http.MethodPost,
		url:              strings.TrimSuffix(up.URL, "/") + completionsPath,
		header:           header,
		body:             call.Body,
		attempt:          attempt.AttemptID,
		firstByteTimeout: orDefault(call.FirstByteTimeout, defaultFirstByteTimeout),
		readTimeout:      orDefault(call.TokenTimeout, config.DefaultTokenTimeout),
		maxResponseBytes: orDefault(call.MaxResponseBytes, defaultMaxResponseBytes),
	}
}

func orDefault[T ~int64](v, fallback T) T {
	if v <= 0 {
		return fallback
	}
	return v
}

// Complete implements Client.
func (c *HTTPClient) Complete(ctx context.Context, call Call) (Response, error) {
	x, o, failure := c.start(ctx, call, "application/json")
	if failure != nil {
		return Response{}, c.countFailure(failure, o)
	}
	defer x.close()
	body, failure := x.readAll()
	if failure != nil {
		return Response{}, c.countFailure(failure, o)
	}
	var parsed completion
	if err := json.Unmarshal(body, &parsed); err != nil {
		return Response{}, c.countFailure(result.Wrap(err, result.StreamCut, result.Ran, "the answer is not whole"), o)
	}
	if parsed.hasError() || len(parsed.Choices) == 0 {
		return Response{}, c.countFailure(result.New(result.UpstreamError, "the answer has no completion").WithRun(result.Ran), o)
	}
	answer := Response{
		Body:        body,
		Text:        parsed.Choices[0].Message.Content,
		EngineState: x.response.Header.Get(HeaderEngineState),
		FirstByte:   x.firstByte,
		Total:       c.clock.Since(x.sent),
	}
	if parsed.Usage != nil {
		answer.Usage = parsed.Usage.usage()
	}
	return answer, nil
}

// countFailure counts a failure. After a read timeout it also closes the idle
// connections to the upstream, because connections of the same age may be
// stalled as well.
func (c *HTTPClient) countFailure(failure *result.Error, o outboundRequest) error {
	metrics.GetOrCreateCounter(`cassiapin_upstream_failures_total{code="` + failure.Code.String() + `"}`).Inc()
	if failure.Code == result.UpstreamSilent {
		c.recordTimeout(c.transports.get(o.url), failure, o)
	}
	return failure
}

func (c *HTTPClient) recordTimeout(t *http.Transport, failure *result.Error, o outboundRequest) {
	if failure.Code != result.UpstreamSilent && failure.Code != result.UpstreamTimeout {
		return
	}
	silentConnectionsTotal.Inc()
	t.CloseIdleConnections()
	c.events.Record(timeline.Event{
		Kind:      timeline.ConnectionSilent,
		AttemptID: o.attempt,
		Upstream:  o.name,
		Code:      int(failure.Code),
		Run:       string(failure.Run),
	})
}

var _ Client = (*HTTPClient)(nil)
