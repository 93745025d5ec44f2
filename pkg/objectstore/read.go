package objectstore

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/result"
)

// storedObject is an object with the ID of the attempt that wrote it.
type storedObject struct {
	Object
	attempt string
}

// listing is the response to a list or watch.
type listing struct {
	Objects []struct {
		Key     string `json:"key"`
		Value   []byte `json:"value"`
		Version uint64 `json:"version"`
		Deleted bool   `json:"deleted"`
	} `json:"objects"`
	// Version is the store version up to which the response is complete.
	Version uint64 `json:"version"`
	// Next is the key after which the next page starts.
	Next string `json:"next"`
}

// objects returns the objects without their envelopes.
func (l listing) objects() []Object {
	out := make([]Object, 0, len(l.Objects))
	for _, o := range l.Objects {
		_, value := splitEnvelope(o.Value)
		out = append(out, Object{Key: o.Key, Value: value, Version: o.Version, Deleted: o.Deleted})
	}
	return out
}

// Get implements Store. Concurrent Gets of one key share one call, so the
// value may be as old as the start of that call; a Get after a write of this
// client starts a new call.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	ch := c.shared.DoChan(key, func() (any, error) {
		// The end of one caller's context must not fail the others that share
		// the call.
		shared, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.opts.OperationTimeout)
		defer cancel()
		return c.read(shared, key)
	})
	select {
	case r := <-ch:
		if r.Err != nil {
			return Object{}, r.Err
		}
		o := r.Val.(storedObject).Object
		o.Value = slices.Clone(o.Value)
		return o, nil
	case <-ctx.Done():
		return Object{}, result.Wrap(ctx.Err(), result.PlatformUnavailable, result.NotRun, "the read was given up")
	}
}

// read gets an object with retries.
func (c *Client) read(ctx context.Context, key string) (storedObject, error) {
	var last error
	for try := range maxTries {
		if try > 0 && c.backoff(ctx, try) != nil {
			break
		}
		s, err := c.readOnce(ctx, key)
		if err == nil || !retriable(err) {
			return s, err
		}
		last = err
	}
	return storedObject{}, last
}

// retriable reports whether a failed read may succeed when repeated.
func retriable(err error) bool {
	code := result.CodeOf(err)
	if errors.Is(err, errClientLimit) {
		return false
	}
	return code == result.PlatformUnavailable || code == result.PlatformLimited
}

func (c *Client) readOnce(ctx context.Context, key string) (storedObject, error) {
	path, err := objectPath(key)
	if err != nil {
		return storedObject{}, err
	}
	if err := c.reads.wait(ctx); err != nil {
		return storedObject{}, err
	}
	resp, err := c.call(ctx, request{op: "get", method: http.MethodGet, path: path, limit: MaxObjectBytes}, c.opts.CallTimeout)
	if err != nil {
		return storedObject{}, result.Wrap(err, result.PlatformUnavailable, result.NotRun, "the platform does not answer")
	}
	if resp.status != http.StatusOK {
		return storedObject{}, statusError(resp.status, key)
	}
	attempt, value := splitEnvelope(resp.body)
	return storedObject{Object: Object{Key: key, Value: value, Version: resp.version}, attempt: attempt}, nil
}

// statusError returns the error for an unsuccessful status.
func statusError(status int, key string) error {
	switch status {
	case http.StatusNotFound:
		return result.New(result.ObjectNotFound, "no object %q", key)
	case http.StatusPreconditionFailed:
		return result.New(result.ObjectConflict, "object %q has another version", key)
	case http.StatusRequestEntityTooLarge:
		return result.New(result.ObjectTooLarge, "the value of %q is too large", key)
	case http.StatusTooManyRequests:
		return result.New(result.PlatformLimited, "the platform limits its callers")
	}
	return result.New(result.Internal, "the platform answered %d for %q", status, key)
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.OperationTimeout)
	defer cancel()
	l, err := c.list(ctx, prefix)
	if err != nil {
		return nil, err
	}
	return l.liveObjects(), nil
}

// liveObjects returns the objects that are not deleted in key order.
func (l listing) liveObjects() []Object {
	objects := slices.DeleteFunc(l.objects(), func(o Object) bool { return o.Deleted })
	slices.SortFunc(objects, func(a, b Object) int { return strings.Compare(a.Key, b.Key) })
	return objects
}

// ListPage implements Store. OperationTimeout applies to each page.
func (c *Client) ListPage(ctx context.Context, prefix, after string, limit int) ([]Object, string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.OperationTimeout)
	defer cancel()
	q := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(max(limit, 1))}}
	if after != "" {
		q.Set("start", after)
	}
	l, err := c.listWithRetry(ctx, q, maxPageBytes)
	if err != nil {
		return nil, "", err
	}
	if l.Next != "" && l.Next <= after {
		return nil, "", result.New(result.Internal, "the platform's page after %q leads back to %q", after, l.Next)
	}
	return l.liveObjects(), l.Next, nil
}

func (c *Client) list(ctx context.Context, prefix string) (listing, error) {
	return c.listWithRetry(ctx, url.Values{"prefix": {prefix}}, maxListBytes)
}

// listWithRetry fetches a listing with retries.
func (c *Client) listWithRetry(ctx context.Context, q url.Values, limit int64) (listing, error) {
	r := request{op: "list", method: http.MethodGet, limit: limit, path: "/objects?" + q.Encode()}
	var last error
	for try := range maxTries {
		if try > 0 && c.backoff(ctx, try) != nil {
			break
		}
		// A list may be large, so only OperationTimeout applies, not CallTimeout.
		l, err := c.fetchListing(ctx, r)
		if err == nil || !retriable(err) {
			return l, err
		}
		last = err
	}
	return listing{}, last
}

// errGone is the cause of a failed watch whose start version is older than the
// changes that the platform retains.
var errGone = errors.New("the platform no longer has the requested changes")

func (c *Client) fetchListing(ctx context.Context, r request) (listing, error) {
	if err := c.reads.wait(ctx); err != nil {
		return listing{}, err
	}
	timeout := c.opts.OperationTimeout
	if r.poll {
		timeout += c.opts.WatchTimeout
	}
	resp, err := c.call(ctx, r, timeout)
	if err != nil {
		return listing{}, result.Wrap(err, result.PlatformUnavailable, result.NotRun, "the platform does not answer")
	}
	if resp.status == http.StatusGone {
		return listing{}, result.Wrap(errGone, result.ObjectNotFound, result.NotRun, "watch")
	}
	if resp.status != http.StatusOK {
		return listing{}, statusError(resp.status, r.path)
	}
	var l listing
	if err := json.Unmarshal(resp.body, &l); err != nil {
		return listing{}, result.Wrap(err, result.PlatformUnavailable, result.NotRun, "the platform's answer is malformed")
	}
	return l, nil
}
