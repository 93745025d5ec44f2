package objectstore

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
)

// watchBuffer is the capacity of a watch's channel.
const watchBuffer = 16

// Watch implements Store. It returns immediately and polls the platform in the
// background.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (<-chan Object, error) {
	out := make(chan Object, watchBuffer)
	go func() {
		defer close(out)
		c.pollLoop(ctx, prefix, after, out)
	}()
	return out, nil
}

// pollLoop repeats long polls until ctx ends.
func (c *Client) pollLoop(ctx context.Context, prefix string, after uint64, out chan<- Object) {
	failures := 0
	for ctx.Err() == nil {
		l, err := c.poll(ctx, prefix, after)
		if err == nil && l.Version < after {
			// The store was restored to an earlier version: reload its current
			// state.
			err = errGone
		}
		if errors.Is(err, errGone) {
			after = 0
			l, err = c.list(ctx, prefix)
		}
		if err != nil {
			failures++
			if c.backoff(ctx, failures) != nil {
				return
			}
			continue
		}
		failures = 0
		if !deliver(ctx, l, after, out) {
			return
		}
		after = l.Version
	}
}

func (c *Client) poll(ctx context.Context, prefix string, after uint64) (listing, error) {
	q := url.Values{}
	q.Set("prefix", prefix)
	q.Set("after", strconv.FormatUint(after, 10))
	q.Set("timeout_ms", strconv.FormatInt(c.opts.WatchTimeout.Milliseconds(), 10))
	return c.fetchListing(ctx, request{
		op: "watch", method: http.MethodGet, path: "/watch?" + q.Encode(), limit: maxListBytes, poll: true,
	})
}

// deliver sends the objects newer than after in version order. It returns false
// if ctx ends first.
func deliver(ctx context.Context, l listing, after uint64, out chan<- Object) bool {
	objects := l.objects()
	slices.SortFunc(objects, func(a, b Object) int { return cmp.Compare(a.Version, b.Version) })
	for _, o := range objects {
		if o.Version <= after {
			continue
		}
		select {
		case out <- o:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
