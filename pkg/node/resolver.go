package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/idempotency"
	"cassiapin/pkg/result"
)

// Limits on a request for the outcome of an attempt.
const (
	resolveTimeout  = 2 * time.Second
	maxOutcomeBytes = 1 << 20
)

// resolver queries plain services for the outcome of an attempt.
type resolver struct {
	config config.Source
	client *http.Client
}

func newResolver(source config.Source) *resolver {
	return &resolver{config: source, client: &http.Client{Timeout: resolveTimeout}}
}

// attemptOutcome is a service's response for an attempt that took effect.
type attemptOutcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// resolve implements idempotency.Resolver. Any endpoint may have run the
// attempt, so it returns idempotency.NotRun only if all endpoints report that it
// did not run.
func (r *resolver) resolve(ctx context.Context, target, attemptID string) (*idempotency.Outcome, idempotency.State, error) {
	snapshot := r.config.Current()
	if snapshot == nil {
		return nil, idempotency.Unknown, result.New(result.NoConfiguration, "the node has no configuration yet")
	}
	service, ok := snapshot.Service(target)
	if !ok || service.AttemptPath == "" {
		return nil, idempotency.Unknown, nil
	}
	var lastErr error
	for _, e := range service.Endpoints {
		outcome, err := r.fetchOutcome(ctx, strings.TrimSuffix(e.URL, "/")+service.AttemptPath+url.PathEscape(attemptID))
		if err != nil {
			lastErr = err
			continue
		}
		if outcome != nil {
			outcome.Upstream = target
			return outcome, idempotency.Done, nil
		}
	}
	if lastErr != nil {
		return nil, idempotency.Unknown, lastErr
	}
	return nil, idempotency.NotRun, nil
}

// fetchOutcome returns the outcome at one endpoint, nil if the attempt did not
// take effect there.
func (r *resolver) fetchOutcome(ctx context.Context, address string) (*idempotency.Outcome, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, result.Wrap(err, result.UpstreamTimeout, result.NotRun, "the service does not answer")
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return nil, nil
	}
	var a attemptOutcome
	if response.StatusCode != http.StatusOK ||
		json.NewDecoder(io.LimitReader(response.Body, maxOutcomeBytes)).Decode(&a) != nil ||
		a.Status < http.StatusOK || a.Status > 599 {
		return nil, result.New(result.UpstreamError, "the service cannot tell the outcome")
	}
	return &idempotency.Outcome{Status: a.Status, ContentType: a.ContentType, Body: a.Body}, nil
}
