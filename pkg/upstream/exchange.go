package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"cassiapin/pkg/holdoff"
	"cassiapin/pkg/result"
)

// nonRewindableBody is a request body that the transport cannot rewind. With a
// non-nil body and no http.Request.GetBody, the transport never retries a
// request that may have been sent, whatever its method.
type nonRewindableBody struct{ r *bytes.Reader }

func (b nonRewindableBody) Read(p []byte) (int, error) { return b.r.Read(p) }
func (b nonRewindableBody) Close() error               { return nil }

// outboundRequest is one HTTP request.
type outboundRequest struct {
	// name is the upstream name recorded in timeline events.
	name             string
	method, url      string
	header           http.Header
	body             []byte
	attempt          string
	firstByteTimeout time.Duration
	readTimeout      time.Duration
	maxResponseBytes int64
	// echoOptional accepts responses without an attempt id.
	echoOptional bool
}

// exchange is one HTTP request with its response.
type exchange struct {
	ctx       context.Context
	cancel    context.CancelCauseFunc
	watchdog  *watchdog
	response  *http.Response
	body      *watchedBody
	sent      time.Time
	firstByte time.Duration
	// wish is what the answer says that its upstream wants.
	wish holdoff.Wish
}

// maxUnsentTries limits the tries of a request that failed on a stale reused
// connection before any byte was sent.
const maxUnsentTries = 2

// open sends the request, waits for the response headers and verifies the
// attempt id.
func (c *HTTPClient) open(parent context.Context, o outboundRequest) (*exchange, *result.Error) {
	for try := 1; ; try++ {
		x, stale, err := c.openOnce(parent, o)
		if err == nil {
			return x, nil
		}
		if !stale || try == maxUnsentTries {
			return nil, err
		}
	}
}

// openOnce sends the request once. stale reports that a reused connection was
// broken and no byte was sent.
func (c *HTTPClient) openOnce(parent context.Context, o outboundRequest) (x *exchange, stale bool, failure *result.Error) {
	transport := c.transports.get(o.url)
	ctx, cancel := context.WithCancelCause(parent)
	x = &exchange{ctx: ctx, cancel: cancel, sent: c.clock.Now()}
	x.watchdog = startWatchdog(ctx, c.clock, cancel, o.firstByteTimeout)
	trace := &sendTrace{caller: ctx}
	request, err := o.request(httptrace.WithClientTrace(ctx, trace.hooks()))
	if err != nil {
		cancel(errClosed)
		return nil, false, result.Wrap(err, result.Internal, result.NotRun, "the upstream request is invalid")
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		failure = classify(ctx, err, trace.runState())
		stale = failure.Code == result.ConnectFailed && trace.connReused()
		cancel(errClosed)
		c.recordTimeout(transport, failure, o)
		return nil, stale, failure
	}
	x.response, x.firstByte = response, c.clock.Since(x.sent)
	x.watchdog.progress(o.readTimeout)
	x.body = &watchedBody{body: response.Body, watchdog: x.watchdog, readTimeout: o.readTimeout, remaining: o.maxResponseBytes}
	echo := response.Header.Get(HeaderAttempt)
	if echo != o.attempt && !(echo == "" && o.echoOptional) {
		x.close()
		trace.closeConn()
		return nil, false, attemptMismatch(response.StatusCode, echo)
	}
	x.wish = wishOf(response)
	if !o.echoOptional && x.wish != (holdoff.Wish{}) {
		c.wishes.UpstreamWish(o.name, x.wish)
	}
	return x, false, nil
}

func (o outboundRequest) request(ctx context.Context) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, o.method, o.url, nil)
	if err != nil {
		return nil, err
	}
	for name, values := range o.header {
		r.Header[name] = values
	}
	r.Header.Set(HeaderAttempt, o.attempt)
	r.Body = nonRewindableBody{bytes.NewReader(o.body)}
	r.ContentLength = int64(len(o.body))
	return r, nil
}

// readAll reads the response body.
func (x *exchange) readAll() ([]byte, *result.Error) {
	data, err := io.ReadAll(x.body)
	if err != nil {
		return nil, classify(x.ctx, err, result.Ran)
	}
	return data, nil
}

// Limits on draining a response after its end, so that the connection can be
// reused.
const (
	maxDrainBytes = 4 << 10
	drainTimeout  = 100 * time.Millisecond
)

// finish drains a complete response, so that the connection can be reused. The body
// of a 101 is the connection, which does not end with the context.
func (x *exchange) finish() {
	if x.response.StatusCode < http.StatusOK {
		x.close()
		return
	}
	x.watchdog.progress(drainTimeout)
	x.body.readTimeout = drainTimeout
	_, _ = io.CopyN(io.Discard, x.body, maxDrainBytes)
	x.close()
}

// close ends the exchange. An incomplete response is aborted by closing its
// connection.
func (x *exchange) close() {
	x.cancel(errClosed)
	_ = x.response.Body.Close()
}
