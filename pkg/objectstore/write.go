package objectstore

import (
	"context"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"cassiapin/pkg/result"
)

var (
	resolvedTotal   = metrics.NewCounter("cassiapin_platform_lost_answers_resolved_total")
	unresolvedTotal = metrics.NewCounter("cassiapin_platform_lost_answers_unresolved_total")
)

// change is one conditional write. All its tries have the same attempt ID.
type change struct {
	op      string
	method  string
	key     string
	path    string
	attempt string
	body    []byte
	// version is the expected version, 0 for a creation.
	version uint64
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, key string, value []byte) (Object, error) {
	return c.put(ctx, "create", key, value, 0)
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, key string, value []byte, version uint64) (Object, error) {
	if version == 0 {
		return Object{}, result.New(result.ObjectConflict, "object %q cannot have version 0", key)
	}
	return c.put(ctx, "update", key, value, version)
}

func (c *Client) put(ctx context.Context, op, key string, value []byte, version uint64) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, result.New(result.ObjectTooLarge, "the value of %q has %d bytes", key, len(value))
	}
	attempt := newAttempt()
	ch := change{
		op: op, method: http.MethodPut, key: key, version: version,
		attempt: attempt, body: addEnvelope(attempt, value),
	}
	newVersion, err := c.apply(ctx, ch)
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Value: value, Version: newVersion}, nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	if version == 0 {
		return result.New(result.ObjectConflict, "object %q cannot have version 0", key)
	}
	_, err := c.apply(ctx, change{op: "delete", method: http.MethodDelete, key: key, version: version})
	return err
}

// apply makes the change and returns the new version. After a lost response it
// reads the object back to determine the outcome. A Get that starts after apply
// returns does not share a call that started before.
func (c *Client) apply(ctx context.Context, ch change) (uint64, error) {
	path, err := objectPath(ch.key)
	if err != nil {
		return 0, err
	}
	ch.path = path
	defer c.shared.Forget(ch.key)
	ctx, cancel := context.WithTimeout(ctx, c.opts.OperationTimeout)
	defer cancel()

	// ambiguous is set once a try may have taken effect or may still do so.
	ambiguous := false
	var last error
	for try := range maxTries {
		if try > 0 && c.backoff(ctx, try) != nil {
			break
		}
		version, err, maybeApplied := c.try(ctx, ch)
		if err == nil {
			return version, nil
		}
		ambiguous = ambiguous || maybeApplied
		last = err
		if !ambiguous && !retriable(err) {
			return 0, err
		}
		if !ambiguous {
			continue
		}
		version, outcome := c.resolve(ctx, ch)
		switch outcome {
		case applied:
			return version, nil
		case conflicted:
			return 0, result.Wrap(last, result.ObjectConflict, result.Unknown, "object %q was written by another", ch.key)
		}
		// The object is unchanged or could not be read: retry.
	}
	return 0, c.finalError(ctx, last, ambiguous)
}

// finalError returns the error of a change after the last try.
func (c *Client) finalError(ctx context.Context, last error, ambiguous bool) error {
	if last == nil {
		last = ctx.Err()
	}
	if ambiguous {
		unresolvedTotal.Inc()
		return result.Wrap(last, result.PlatformUnavailable, result.Unknown, "the write's outcome could not be learned")
	}
	if result.CodeOf(last) == result.PlatformLimited {
		return last
	}
	return result.Wrap(last, result.PlatformUnavailable, result.NotRun, "the platform does not answer")
}

// try sends the change once. maybeApplied reports whether a failed try may have
// taken effect.
func (c *Client) try(ctx context.Context, ch change) (version uint64, err error, maybeApplied bool) {
	if err := c.writes.wait(ctx); err != nil {
		return 0, err, false
	}
	header := map[string]string{"If-Match": `"` + strconv.FormatUint(ch.version, 10) + `"`}
	if ch.version == 0 {
		header = map[string]string{"If-None-Match": "*"}
	}
	resp, err := c.call(ctx, request{
		op: ch.op, method: ch.method, path: ch.path, header: header, body: ch.body, limit: MaxObjectBytes,
	}, c.opts.CallTimeout)
	if err != nil {
		failed, ok := err.(*callError)
		maybeApplied = !ok || failed.sent
		return 0, result.Wrap(err, result.PlatformUnavailable, result.NotRun, "the platform does not answer"), maybeApplied
	}
	if resp.status/100 == 2 {
		return resp.version, nil, false
	}
	return 0, statusError(resp.status, ch.key), false
}

// writeOutcome is the outcome of a change according to a read-back.
type writeOutcome int

const (
	undetermined writeOutcome = iota
	applied
	notApplied
	conflicted
)

// resolve reads the object back within ResolveTimeout. It continues after the
// caller's context has ended, because an unresolved write costs more than the
// wait.
func (c *Client) resolve(ctx context.Context, ch change) (uint64, writeOutcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.opts.ResolveTimeout)
	defer cancel()
	s, err := c.read(ctx, ch.key)
	version, v := classify(ch, s, err)
	if v == applied || v == conflicted {
		resolvedTotal.Inc()
	}
	return version, v
}

// classify compares the object read back with the change.
func classify(ch change, s storedObject, err error) (uint64, writeOutcome) {
	missing := result.CodeOf(err) == result.ObjectNotFound
	switch {
	case err != nil && !missing:
		return 0, undetermined
	case ch.method == http.MethodDelete && missing:
		return 0, applied
	case missing && ch.version == 0:
		return 0, notApplied
	case missing:
		return 0, conflicted
	case ch.attempt != "" && s.attempt == ch.attempt:
		return s.Version, applied
	case s.Version == ch.version:
		return 0, notApplied
	}
	return 0, conflicted
}
