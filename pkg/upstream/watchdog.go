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
	errFirstByteTimeout = errors.New("no response headers within the first-byte timeout")
	errReadTimeout      = errors.New("no data within the read timeout")
	errClosed           = errors.New("closed by the caller")
	errTooLarge         = errors.New("response exceeds the size limit")
	errUnframed         = errors.New("response has no content length, chunked encoding or final status")
)

// watchdog cancels an exchange that makes no progress within a limit.
type watchdog struct {
	clock  clock.Clock
	cancel context.CancelCauseFunc
	// shortened wakes the watchdog when the limit becomes shorter than the one
	// it is waiting for.
	shortened chan struct{}

	mu    sync.Mutex
	since time.Time
	limit time.Duration
	cause error
}

// startWatchdog starts a watchdog that limits the time to the first call of
// progress. It stops when ctx is done; cancel must cancel ctx.
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

// progress records activity and sets the limit for the time to the next
// activity.
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

// watchedBody reports each read to the watchdog and limits the total size.
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
