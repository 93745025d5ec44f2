package relay

import (
	"context"
	"time"

	"cassiapin/pkg/topology"
)

const (
	// idleBeforeProbe is how long an upstream may send no bytes on any of this
	// node's requests before it is probed.
	idleBeforeProbe = 1200 * time.Millisecond
	// probeTimeout bounds a probe, which healthy upstreams answer at once.
	probeTimeout = 500 * time.Millisecond
	// eventGapFactor times the route's longest pause between events is how long a
	// stream waits for its next event while probes succeed.
	eventGapFactor = 2
	// prefillAllowance is added to the timeout of the first event for each token
	// of the prompt: the largest model processes some 18 prompt tokens per
	// millisecond when idle, and fewer beside other requests.
	prefillAllowance = 150 * time.Microsecond
	// firstEventShare is the share of the latency objective that a stream waits
	// for its first event; the rest is left for another upstream in case the
	// answer was lost. delayFactor times the current delay of first events is
	// added, so that streams do not fail over while all upstreams are late.
	firstEventShare = 0.5
	delayFactor     = 4
	// reservePause is the time between two attempts to reserve a replacement: each looks
	// at all upstreams, and attempts that have failed are to find some of the budget.
	reservePause = 500 * time.Millisecond
	// watchdogInterval is how often the watchdog checks these limits.
	watchdogInterval = 100 * time.Millisecond
)

// watchdog cancels a stream attempt whose upstream has stalled, once the stream may be
// resumed at another upstream.
type watchdog struct {
	flow     *flow
	upstream *topology.Upstream
	// replacement is what the attempt gives way to.
	replacement replacement
	events      chan struct{}
	done        chan struct{}
	expired     chan struct{}
}

// startWatchdog starts the watchdog of an attempt. The last attempt of a request
// has none, as a late answer is better than none.
func (f *flow) startWatchdog(ctx context.Context, cancel context.CancelFunc, u *topology.Upstream) *watchdog {
	w := &watchdog{flow: f, upstream: u, replacement: f.replacementOf(u), events: make(chan struct{}, 1), done: make(chan struct{}), expired: make(chan struct{})}
	if f.route.Retryable() && f.sends+1 < f.route.MaxUpstreams {
		go w.run(ctx, cancel)
	}
	return w
}

func (w *watchdog) run(ctx context.Context, cancel context.CancelFunc) {
	s, route := w.flow.service, w.flow.route
	lastEvent := s.clock.Now()
	probedAt, reservedAt := lastEvent, time.Time{}
	timeout := firstEventTimeout(route.TargetLatency, w.flow.request.PromptTokens, s.opts.Delay.Current(w.flow.target, lastEvent))
	for {
		waited := s.clock.Now()
		select {
		case <-w.done:
			return
		case <-ctx.Done():
			return
		case <-w.events:
			lastEvent, timeout = s.clock.Now(), max(eventGapFactor*route.GapTarget, idleBeforeProbe)
		case <-s.clock.After(watchdogInterval):
		}
		now := s.clock.Now()
		if late := now.Sub(waited) - watchdogInterval; late > watchdogInterval {
			// While the process does not run, it reads no events either.
			lastEvent, probedAt = lastEvent.Add(late), probedAt.Add(late)
		}
		dead := false
		if now.Sub(lastEvent) > idleBeforeProbe && now.Sub(probedAt) > idleBeforeProbe && s.opts.Table.IdleTime(w.upstream, now) > idleBeforeProbe {
			probedAt = now
			dead = !w.probe(ctx)
		}
		if !dead && now.Sub(lastEvent) <= timeout || now.Sub(reservedAt) < reservePause {
			continue
		}
		if reservedAt = now; w.replacement.reserve() {
			close(w.expired)
			cancel()
			return
		}
	}
}

// firstEventTimeout is how long a stream waits for its first event before it
// fails over.
func firstEventTimeout(target time.Duration, promptTokens int, delay time.Duration) time.Duration {
	timeout := time.Duration(firstEventShare*float64(target)) + delayFactor*delay
	return max(min(timeout, target), idleBeforeProbe) + time.Duration(promptTokens)*prefillAllowance
}

// probe reports whether the upstream answers a health probe. One that fails late says
// nothing, because the process may have read its answer too late.
func (w *watchdog) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s := w.flow.service
	start := s.clock.Now()
	if s.opts.Client.Probe(ctx, w.upstream) != nil {
		return s.clock.Since(start) > probeTimeout+watchdogInterval
	}
	s.opts.Table.Received(w.upstream, s.clock.Now())
	return true
}

// recordEvent records the arrival of an event.
func (w *watchdog) recordEvent() {
	w.flow.service.opts.Table.Received(w.upstream, w.flow.service.clock.Now())
	select {
	case w.events <- struct{}{}:
	default:
	}
}

func (w *watchdog) stop() { close(w.done) }

// timedOut reports whether the watchdog cancelled the attempt.
func (w *watchdog) timedOut() bool {
	select {
	case <-w.expired:
		return true
	default:
		return false
	}
}
