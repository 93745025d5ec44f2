package relay

import (
	"context"
	"time"

	"cassiapin/pkg/topology"
)

const (
	// silentUpstream is how long an upstream may send nothing to any of this
	// node's requests before it is asked whether it lives.
	silentUpstream = 1200 * time.Millisecond
	// aliveTimeout bounds that question, which upstreams answer at once.
	aliveTimeout = 500 * time.Millisecond
	// eventPatience is how many times the longest allowed pause a stream waits
	// for its next event at an upstream that lives.
	eventPatience = 2
	// readAllowance is added before the first event for each token of the
	// prompt: the largest model reads some 18 tokens in a millisecond on its
	// own and less beside other requests.
	readAllowance = 150 * time.Microsecond
	// firstEventShare is the part of the latency objective that a stream waits
	// for its first event; the rest is for another upstream, if the answer was
	// lost. delayAllowance is how many times the present delay of first events
	// is added, so that streams stay where they are while all are late.
	firstEventShare = 0.5
	delayAllowance  = 4
	// silencePoll is the precision of all.
	silencePoll = 100 * time.Millisecond
)

// silence cancels an attempt at a stream whose upstream does not go on, as
// long as the stream may go on elsewhere.
type silence struct {
	flow     *flow
	upstream *topology.Upstream
	events   chan struct{}
	done     chan struct{}
	hit      chan struct{}
}

// watchSilence starts the watch of an attempt. The last attempt of a request
// is not watched: any answer is better than none.
func (f *flow) watchSilence(ctx context.Context, cancel context.CancelFunc, u *topology.Upstream) *silence {
	w := &silence{flow: f, upstream: u, events: make(chan struct{}, 1), done: make(chan struct{}), hit: make(chan struct{})}
	if f.route.Repeats() && f.sends+1 < f.route.MaxUpstreams {
		go w.run(ctx, cancel)
	}
	return w
}

func (w *silence) run(ctx context.Context, cancel context.CancelFunc) {
	s, route := w.flow.service, w.flow.route
	last := s.clock.Now()
	asked := last
	patience := firstEventPatience(route.TargetLatency, w.flow.request.PromptTokens, s.opts.Delay.Current(w.flow.target, last))
	for {
		select {
		case <-w.done:
			return
		case <-ctx.Done():
			return
		case <-w.events:
			last, patience = s.clock.Now(), max(eventPatience*route.GapTarget, silentUpstream)
		case <-s.clock.After(silencePoll):
		}
		now := s.clock.Now()
		dead := false
		if now.Sub(last) > silentUpstream && now.Sub(asked) > silentUpstream && s.opts.Table.Silence(w.upstream, now) > silentUpstream {
			asked = now
			dead = !w.alive(ctx)
		}
		if dead || now.Sub(last) > patience {
			close(w.hit)
			cancel()
			return
		}
	}
}

// firstEventPatience is how long a stream waits for its first event before it
// goes to another upstream.
func firstEventPatience(target time.Duration, promptTokens int, delay time.Duration) time.Duration {
	patience := time.Duration(firstEventShare*float64(target)) + delayAllowance*delay
	return max(min(patience, target), silentUpstream) + time.Duration(promptTokens)*readAllowance
}

// alive asks the upstream whether it lives.
func (w *silence) alive(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	s := w.flow.service
	if s.opts.Exchange.Alive(ctx, w.upstream) != nil {
		return false
	}
	s.opts.Table.Heard(w.upstream, s.clock.Now())
	return true
}

// heard notes an event of the stream.
func (w *silence) heard() {
	w.flow.service.opts.Table.Heard(w.upstream, w.flow.service.clock.Now())
	select {
	case w.events <- struct{}{}:
	default:
	}
}

func (w *silence) stop() { close(w.done) }

// fired reports whether the watch ended the attempt.
func (w *silence) fired() bool {
	select {
	case <-w.hit:
		return true
	default:
		return false
	}
}
