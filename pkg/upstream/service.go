package upstream

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"cassiapin/pkg/result"
)

// hopByHop lists the hop-by-hop headers (RFC 9110, section 7.6.1) and
// Authorization, because the caller's API key must not reach an upstream.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Authorization",
}

// endToEnd returns a copy of h without hop-by-hop headers and Authorization.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		return http.Header{}
	}
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// CallService implements Client. A final status other than 2xx is not an
// error.
func (c *HTTPClient) CallService(ctx context.Context, call ServiceCall) (ServiceResponse, error) {
	attemptsTotal.Inc()
	limit := orDefault(call.Timeout, defaultFirstByteTimeout)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	o := outboundRequest{
		name:             call.Service,
		method:           call.Method,
		url:              call.target(),
		header:           endToEnd(call.Header),
		body:             call.Body,
		attempt:          call.AttemptID,
		firstByteTimeout: limit,
		readTimeout:      limit,
		maxResponseBytes: orDefault(call.MaxResponseBytes, defaultMaxResponseBytes),
		echoOptional:     true,
	}
	x, failure := c.open(ctx, o)
	if failure != nil {
		return ServiceResponse{}, c.countFailure(failure, o)
	}
	defer x.close()
	// Without a content length, chunked encoding or a final status, a
	// truncated response cannot be detected. net/http also passes on statuses
	// that HTTP does not define.
	r := x.response
	framed := r.ContentLength >= 0 || slices.Contains(r.TransferEncoding, "chunked") ||
		call.Method == http.MethodHead
	if r.StatusCode < http.StatusOK || r.StatusCode > 599 || !framed {
		return ServiceResponse{}, c.countFailure(classify(x.ctx, errUnframed, result.Ran), o)
	}
	body, failure := x.readAll()
	if failure != nil {
		return ServiceResponse{}, c.countFailure(failure, o)
	}
	return ServiceResponse{Status: r.StatusCode, Header: endToEnd(r.Header), Body: body, Wish: x.wish}, nil
}

func (call ServiceCall) target() string {
	target := strings.TrimSuffix(call.Endpoint.URL, "/") + "/" + strings.TrimPrefix(call.Path, "/")
	if call.Query != "" {
		target += "?" + call.Query
	}
	return target
}
