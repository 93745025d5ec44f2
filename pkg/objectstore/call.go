package objectstore

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"cassiapin/pkg/result"
)

const (
	dialTimeout     = 500 * time.Millisecond
	idleConnTimeout = 30 * time.Second
	idleConns       = 8
	// maxListBytes bounds the response to a list or a watch.
	maxListBytes = 64 << 20
	// maxPageBytes bounds the response to one page: 1 MB of values in base64 and
	// the keys of its objects.
	maxPageBytes = 4 << 20
)

// newTransport returns an HTTP/1.1 transport. The response header timeout ends
// calls on dead connections.
func newTransport(o Options, headerTimeout time.Duration) *http.Transport {
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Transport{
		DialContext:           dial,
		TLSClientConfig:       o.TLS,
		TLSHandshakeTimeout:   dialTimeout,
		ResponseHeaderTimeout: headerTimeout,
		IdleConnTimeout:       idleConnTimeout,
		MaxIdleConnsPerHost:   idleConns,
		DisableCompression:    true,
	}
}

// callError is the error of a call without a valid response.
type callError struct {
	// sent reports whether a part of the request may have been sent.
	sent  bool
	cause error
}

func (e *callError) Error() string { return e.cause.Error() }
func (e *callError) Unwrap() error { return e.cause }

// response is an HTTP response of the platform.
type response struct {
	status  int
	version uint64
	body    []byte
}

// request is one call of the object API.
type request struct {
	op     string
	method string
	// path is escaped and may include a query.
	path   string
	header map[string]string
	body   []byte
	limit  int64
	// poll selects the transport for long polls.
	poll bool
}

// objectPath returns the escaped path of a key. It rejects empty and dot
// segments, because HTTP servers rewrite such paths.
func objectPath(key string) (string, error) {
	for _, seg := range strings.Split(key, "/") {
		if seg == "" || seg == "." || seg == ".." {
			return "", result.New(result.Internal, "%q is not a valid object key", key)
		}
	}
	u := url.URL{Path: "/objects/" + key}
	return u.EscapedPath(), nil
}

// call makes one HTTP call within timeout. The error is a *callError, also for a
// server error (5xx).
func (c *Client) call(ctx context.Context, r request, timeout time.Duration) (response, error) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	resp, err := c.exchange(limited, r)
	outcome := strconv.Itoa(resp.status)
	if err != nil {
		outcome = "failed"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`cassiapin_platform_calls_total{op=%q,outcome=%q}`, r.op, outcome)).Inc()
	if !r.poll {
		metrics.GetOrCreateHistogram(fmt.Sprintf(`cassiapin_platform_call_duration_seconds{op=%q}`, r.op)).UpdateDuration(start)
	}
	// A call that its caller canceled is no evidence of an outage.
	if err == nil || ctx.Err() == nil {
		c.recordOutcome(err == nil, err)
	}
	return resp, err
}

func (c *Client) exchange(ctx context.Context, r request) (response, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	index := c.base.Load()
	base := c.opts.BaseURLs[int(index)%len(c.opts.BaseURLs)]
	req, err := http.NewRequestWithContext(ctx, r.method, base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return response{}, &callError{cause: err}
	}
	for k, v := range r.header {
		req.Header.Set(k, v)
	}
	transport := c.calls
	if r.poll {
		transport = c.polls
	}
	resp, err := roundTrip(transport, req, r.limit)
	if err != nil {
		c.switchBaseURL(index, transport)
		return resp, &callError{sent: sent.Load(), cause: err}
	}
	return resp, nil
}

// switchBaseURL selects the next base URL and closes idle connections, because
// other connections are likely dead too.
func (c *Client) switchBaseURL(index uint32, t *http.Transport) {
	c.base.CompareAndSwap(index, index+1)
	t.CloseIdleConnections()
}

func roundTrip(t *http.Transport, req *http.Request, limit int64) (response, error) {
	res, err := t.RoundTrip(req)
	if err != nil {
		return response{}, err
	}
	defer res.Body.Close()
	// net/http passes on any three digits. The body of a 101 is the connection, which
	// does not end with the request's context.
	if res.StatusCode < http.StatusOK || res.StatusCode > 599 {
		return response{}, errors.Newf("status %03d is no answer", res.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return response{}, errors.Wrap(err, "read response")
	}
	if int64(len(body)) > limit {
		return response{}, errors.Newf("response exceeds %d bytes", limit)
	}
	if res.StatusCode >= 500 {
		return response{status: res.StatusCode}, errors.Newf("status %d", res.StatusCode)
	}
	resp := response{status: res.StatusCode, body: body}
	if tag := strings.Trim(res.Header.Get("ETag"), `"`); tag != "" {
		if resp.version, err = strconv.ParseUint(tag, 10, 64); err != nil {
			return response{}, errors.Wrap(err, "parse ETag")
		}
	}
	return resp, nil
}
