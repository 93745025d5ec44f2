package runners

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"cassiapin/pkg/config"
)

var pollFailures = metrics.GetOrCreateCounter("cassiapin_runner_poll_failures_total")

// Limits on polls.
const (
	pollTimeout     = 400 * time.Millisecond
	maxPolls        = 32
	maxReportBytes  = 64 << 10
	pollIdleTimeout = 30 * time.Second
)

// newHTTPFetcher returns a Fetcher that sends GET URL/load. The transport may
// retry a poll.
func newHTTPFetcher(dial Dial) Fetcher {
	client := &http.Client{
		Transport: &http.Transport{
			DialContext: dial, IdleConnTimeout: pollIdleTimeout, MaxIdleConnsPerHost: 1, DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return func(ctx context.Context, u *config.Upstream) (Report, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(u.URL, "/")+"/load", nil)
		if err != nil {
			return Report{}, err
		}
		response, err := client.Do(request)
		if err != nil {
			// Other idle connections may be dead, too.
			client.CloseIdleConnections()
			return Report{}, err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return Report{}, errors.Newf("load request returned status %d", response.StatusCode)
		}
		var rep Report
		if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&rep); err != nil {
			return Report{}, err
		}
		return rep, nil
	}
}

// pollOwned polls the runners that this node owns and publishes their reports.
func (t *Service) pollOwned(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxPolls)
	for _, r := range t.view.Load().ordered {
		epoch, ok := t.owns(r)
		if !ok {
			continue
		}
		group.Go(func() error {
			t.poll(ctx, r, true)
			t.publish(r, epoch, false)
			return nil
		})
	}
	_ = group.Wait() // the polls never return an error
	t.owned.mu.Lock()
	t.expirePermits(t.clock.Now())
	t.owned.mu.Unlock()
}

// pollDirect polls the runners of this node's subset for which no fresh owner
// reports arrive.
func (t *Service) pollDirect(ctx context.Context) {
	now := t.clock.Now()
	var group errgroup.Group
	group.SetLimit(maxPolls)
	for _, r := range t.view.Load().used(t.usesRemote(now)) {
		if _, own := t.owns(r); own {
			continue
		}
		r.mu.Lock()
		stale := r.ownerReportedAt.IsZero() || now.Sub(r.ownerReportedAt) >= ownerReportTimeout
		due := stale && now.Sub(r.directPolledAt) >= directPollPeriod
		if due {
			r.directPolledAt = now
		}
		r.mu.Unlock()
		if !due {
			t.recordTransition(r)
			continue
		}
		group.Go(func() error {
			t.poll(ctx, r, false)
			return nil
		})
	}
	_ = group.Wait() // the polls never return an error
}

// poll fetches the load report of one runner. A refused connection counts as a
// cold start; after any other failure the last report stays until it expires.
func (t *Service) poll(parent context.Context, r *runner, owner bool) {
	ctx, cancel := context.WithTimeout(parent, pollTimeout)
	defer cancel()
	r.mu.Lock()
	decl := r.decl
	r.mu.Unlock()
	rep, err := t.options.Fetch(ctx, decl)
	if err == nil && rep.Upstream != "" && rep.Upstream != decl.Name {
		err = errors.Newf("load report from the address of runner %s names runner %s", decl.Name, rep.Upstream)
	}
	if err != nil {
		pollFailures.Inc()
		if errors.Is(err, syscall.ECONNREFUSED) {
			t.reportColdStart(r)
		}
		t.recordTransition(r)
		return
	}
	r.mu.Lock()
	if owner {
		r.ownerReportedAt = time.Time{} // the owner's poll takes precedence over peers' reports
		r.owner = t.options.Node
	}
	rep.AgeMS = 0
	r.accept(rep, "", false, t.clock.Now())
	r.mu.Unlock()
	t.recordTransition(r)
}
