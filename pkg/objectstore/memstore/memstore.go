// Package memstore is an in-memory objectstore.Store with injectable faults, for
// unit tests. Several clients share one store and fail independently.
package memstore

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/result"
)

// Fault is a fault injected into one call.
type Fault int

// The faults. Lost, Dropped and Delayed apply to writes only and end in
// PlatformUnavailable with run state unknown.
const (
	// None lets the call succeed.
	None Fault = iota
	// Unavailable fails the call with run state not_run.
	Unavailable
	// Lost applies the write and loses the response.
	Lost
	// Dropped loses the request before it takes effect.
	Dropped
	// Delayed loses the response and applies the write at a later call of
	// Store.ApplyDelayed, like a request delayed in the network.
	Delayed
)

// Store is the shared state of the clients.
type Store struct {
	clock clock.Clock

	mu      sync.Mutex
	objects map[string]objectstore.Object
	// log contains the latest change of each key, including deletions.
	log     map[string]objectstore.Object
	version uint64
	delayed []func()
	changed chan struct{}
	writes  int
}

// New returns an empty store.
func New(c clock.Clock) *Store {
	return &Store{
		clock:   c,
		objects: make(map[string]objectstore.Object),
		log:     make(map[string]objectstore.Object),
		changed: make(chan struct{}),
	}
}

// ApplyDelayed applies the delayed writes whose version conditions are still met.
func (s *Store) ApplyDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := s.delayed
	s.delayed = nil
	for _, apply := range pending {
		apply()
	}
}

// Pending returns the number of delayed writes.
func (s *Store) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.delayed)
}

// Writes returns the number of writes that took effect.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// Client returns a client without faults.
func (s *Store) Client() *Client { return &Client{store: s} }

// Client is an objectstore.Store over a shared Store. It is also a kernel.Service,
// so that tests can register it in a kernel.
type Client struct {
	kernel.Base
	store *Store

	mu          sync.Mutex
	unavailable bool
	latency     time.Duration
	hook        func(op, key string) Fault
}

var _ objectstore.Store = (*Client)(nil)

// Name implements kernel.Service.
func (*Client) Name() string { return objectstore.ServiceName }

// SetUnavailable sets whether every call fails with PlatformUnavailable and run
// state not_run.
func (c *Client) SetUnavailable(unavailable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailable = unavailable
}

// SetLatency makes every call sleep on the store's clock before it takes effect.
func (c *Client) SetLatency(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency = d
}

// SetHook sets a function that chooses the fault of each call; op is get,
// list, page, create, update or delete. A nil hook chooses None.
func (c *Client) SetHook(hook func(op, key string) Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hook = hook
}

// Available reports whether the platform is available to this client.
func (c *Client) Available() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.unavailable
}

// injectFault applies latency and chooses the fault of a call.
func (c *Client) injectFault(ctx context.Context, op, key string) (Fault, error) {
	c.mu.Lock()
	unavailable, latency, hook := c.unavailable, c.latency, c.hook
	c.mu.Unlock()
	if latency > 0 {
		if err := c.store.clock.Sleep(ctx, latency); err != nil {
			return None, result.Wrap(err, result.PlatformUnavailable, result.NotRun, "call ended")
		}
	}
	if err := ctx.Err(); err != nil {
		return None, result.Wrap(err, result.PlatformUnavailable, result.NotRun, "call ended")
	}
	fault := None
	if hook != nil {
		fault = hook(op, key)
	}
	if unavailable || fault == Unavailable {
		return Unavailable, result.New(result.PlatformUnavailable, "the platform is away")
	}
	return fault, nil
}

// Get implements objectstore.Store.
func (c *Client) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if _, err := c.injectFault(ctx, "get", key); err != nil {
		return objectstore.Object{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	o, ok := c.store.objects[key]
	if !ok {
		return objectstore.Object{}, result.New(result.ObjectNotFound, "no object %q", key)
	}
	o.Value = slices.Clone(o.Value)
	return o, nil
}

// List implements objectstore.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	if _, err := c.injectFault(ctx, "list", prefix); err != nil {
		return nil, err
	}
	return c.store.list(prefix), nil
}

func (s *Store) list(prefix string) []objectstore.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return selectObjects(s.objects, prefix, 0, func(a, b objectstore.Object) int { return strings.Compare(a.Key, b.Key) })
}

// ListPage implements objectstore.Store.
func (c *Client) ListPage(ctx context.Context, prefix, after string, limit int) ([]objectstore.Object, string, error) {
	if _, err := c.injectFault(ctx, "page", prefix); err != nil {
		return nil, "", err
	}
	all := c.store.list(prefix)
	first := 0
	for first < len(all) && all[first].Key <= after {
		first++
	}
	page, bytes := all[first:], 0
	for i, o := range page {
		bytes += len(o.Value)
		if i > 0 && (i >= limit || bytes > objectstore.MaxObjectBytes) {
			return page[:i], page[i-1].Key, nil
		}
	}
	return page, "", nil
}

func selectObjects(from map[string]objectstore.Object, prefix string, after uint64, order func(a, b objectstore.Object) int) []objectstore.Object {
	var out []objectstore.Object
	for key, o := range from {
		if strings.HasPrefix(key, prefix) && o.Version > after {
			o.Value = slices.Clone(o.Value)
			out = append(out, o)
		}
	}
	slices.SortFunc(out, order)
	return out
}

// Create implements objectstore.Store.
func (c *Client) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	return c.write(ctx, "create", objectstore.Object{Key: key, Value: slices.Clone(value)}, 0)
}

// Update implements objectstore.Store.
func (c *Client) Update(ctx context.Context, key string, value []byte, version uint64) (objectstore.Object, error) {
	return c.write(ctx, "update", objectstore.Object{Key: key, Value: slices.Clone(value)}, version)
}

// Delete implements objectstore.Store.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	_, err := c.write(ctx, "delete", objectstore.Object{Key: key, Deleted: true}, version)
	return err
}

func (c *Client) write(ctx context.Context, op string, o objectstore.Object, version uint64) (objectstore.Object, error) {
	fault, err := c.injectFault(ctx, op, o.Key)
	if err != nil {
		return objectstore.Object{}, err
	}
	if len(o.Value) > objectstore.MaxValueBytes {
		return objectstore.Object{}, result.New(result.ObjectTooLarge, "the value of %q is too large", o.Key)
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	responseLost := result.New(result.PlatformUnavailable, "the answer was lost").WithRun(result.Unknown)
	switch fault {
	case Dropped:
		return objectstore.Object{}, responseLost
	case Delayed:
		s.delayed = append(s.delayed, func() { _, _ = s.applyLocked(o, version) })
		return objectstore.Object{}, responseLost
	}
	written, err := s.applyLocked(o, version)
	if fault == Lost {
		return objectstore.Object{}, responseLost
	}
	return written, err
}

// applyLocked makes a conditional change; version 0 means creation. It requires
// s.mu.
func (s *Store) applyLocked(o objectstore.Object, version uint64) (objectstore.Object, error) {
	present, exists := s.objects[o.Key]
	if version > 0 && !exists {
		return objectstore.Object{}, result.New(result.ObjectNotFound, "no object %q", o.Key)
	}
	if present.Version != version {
		return objectstore.Object{}, result.New(result.ObjectConflict, "object %q has another version", o.Key)
	}
	s.version++
	s.writes++
	o.Version = s.version
	s.log[o.Key] = o
	if o.Deleted {
		delete(s.objects, o.Key)
	} else {
		s.objects[o.Key] = o
	}
	close(s.changed)
	s.changed = make(chan struct{})
	o.Value = slices.Clone(o.Value)
	return o, nil
}

// Changes returns the latest change of each key under prefix after the given
// version in version order, the version up to which they are complete, and a
// channel that is closed at the next change.
func (s *Store) Changes(prefix string, after uint64) ([]objectstore.Object, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byVersion := func(a, b objectstore.Object) int { return cmp.Compare(a.Version, b.Version) }
	return selectObjects(s.log, prefix, after, byVersion), s.version, s.changed
}

// watchBuffer is the capacity of a watch's channel.
const watchBuffer = 16

// Watch implements objectstore.Store. It sends nothing while the client is
// unavailable and checks again at the next change.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (<-chan objectstore.Object, error) {
	out := make(chan objectstore.Object, watchBuffer)
	go func() {
		defer close(out)
		for {
			objects, version, changed := c.store.Changes(prefix, after)
			if c.Available() {
				for _, o := range objects {
					select {
					case out <- o:
					case <-ctx.Done():
						return
					}
				}
				after = version
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out, nil
}
