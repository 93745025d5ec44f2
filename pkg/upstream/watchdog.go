package upstream

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/clock"
)

var (
	errFirstByteTimeout = errors.New("no answer within the first-byte limit")
	errReadTimeout      = errors.New("no byte within the silence limit")
	errClosed           = errors.New("closed by the caller")
	errTooLarge         = errors.New("the answer exceeds its limit")
	errUnframed         = errors.New("the end of the answer cannot be known")
)

// watchdog cancels an exchange that makes no progress within a limit.
type watchdog struct {
	clock  clock.Clock
	cancel context.CancelCauseFunc
	// shortened wakes the watchdog when a shorter limit applies than the one
	// it sleeps for.
	shortened chan struct{}

	mu    sync.Mutex
	since time.Time
	limit time.Duration
	cause error
}

// startWatchdog bounds the time to the first call of progress. It ends with
// ctx, which cancel must cancel.
func startWatchdog(ctx context.Context, c clock.Clock, cancel context.CancelCauseFunc, limit time.Duration) *watchdog {
	w := &watchdog{clock: c, cancel: cancel, since: c.Now(), limit: limit, cause: errFirstByteTimeout}
	w.shortened = make(chan struct{}, 1)
	go w.run(ctx)
	return w
}

func (w *watchdog) run(ctx context.Context) {
	for {
		w.mu.Lock()
		rest, cause := w.limit-w.clock.Since(w.since), w.cause
		w.mu.Unlock()
		if rest <= 0 {
			w.cancel(cause)
			return
		}
		select {
		case <-w.clock.After(rest):
		case <-w.shortened:
		case <-ctx.Done():
			return
		}
	}
}

// progress notes activity; from now on limit bounds the silence.
func (w *watchdog) progress(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	shorter := limit < w.limit
	w.since, w.limit, w.cause = w.clock.Now(), limit, errReadTimeout
	if !shorter {
		return
	}
	select {
	case w.shortened <- struct{}{}:
	default:
	}
}

// watchedBody reports each read to the watchdog and bounds the total size.
type watchedBody struct {
	body        io.Reader
	watchdog    *watchdog
	readTimeout time.Duration
	remaining   int64
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n > 0 {
		b.watchdog.progress(b.readTimeout)
		b.remaining -= int64(n)
		if b.remaining < 0 {
			return 0, errTooLarge
		}
	}
	return n, err
}
