// Package kernel manages the services of a process: it registers them by dotted
// name, starts them in order, resolves dependencies by name and stops them in
// reverse order.
package kernel

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/clock"
)

// Service is a component with a managed life cycle.
//
// The kernel calls Provision once, in order of registration, then Run once.
// Run starts the service's goroutines with t.Go and returns; the goroutines end
// when t is dying. Cleanup is called once after all goroutines of the service
// have ended; it releases what Provision acquired.
type Service interface {
	// Name is the dotted name, for example "route.balance".
	Name() string
	// Provision looks up other services and validates the service's settings.
	Provision(k *Kernel) error
	// Run starts the service's goroutines and returns without blocking.
	Run(t *tomb.Tomb) error
	// Cleanup releases resources.
	Cleanup() error
}

// Drainer is implemented by services that must finish work before shutdown.
// The kernel calls Drain on all of them, in reverse order of registration,
// before it stops any service.
type Drainer interface {
	// Drain returns when the work is finished or ctx ends.
	Drain(ctx context.Context) error
}

// Base provides no-op implementations of all Service methods except Name, for
// embedding.
type Base struct{}

// Provision does nothing.
func (Base) Provision(*Kernel) error { return nil }

// Run does nothing.
func (Base) Run(*tomb.Tomb) error { return nil }

// Cleanup does nothing.
func (Base) Cleanup() error { return nil }

// entry is a registered service and the tomb its goroutines run under.
type entry struct {
	service Service
	tomb    *tomb.Tomb
	running bool
}

// Kernel holds the services of one process.
type Kernel struct {
	// Clock is the time source of all services.
	Clock clock.Clock
	// HLC stamps events and messages.
	HLC *clock.HLC
	// Log is the logger of all services.
	Log *slog.Logger

	mu      sync.Mutex
	entries []*entry
	byName  map[string]Service
	failed  chan error
}

// New returns a kernel without services.
func New(c clock.Clock, log *slog.Logger) *Kernel {
	return &Kernel{
		Clock:  c,
		HLC:    clock.NewHLC(c),
		Log:    log,
		byName: make(map[string]Service),
		failed: make(chan error, 1),
	}
}

// Register adds services in start order. A name may be used once.
func (k *Kernel) Register(services ...Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range services {
		if _, exists := k.byName[s.Name()]; exists {
			return errors.Newf("service %q is registered twice", s.Name())
		}
		k.byName[s.Name()] = s
		k.entries = append(k.entries, &entry{service: s, tomb: &tomb.Tomb{}})
	}
	return nil
}

// Lookup returns the service with the given name as type T. It fails when
// there is no such service or when it does not implement T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var zero T
	s, ok := k.byName[name]
	if !ok {
		return zero, errors.Newf("no service is named %q", name)
	}
	typed, ok := s.(T)
	if !ok {
		return zero, errors.Newf("service %q is a %T and does not implement %T", name, s, &zero)
	}
	return typed, nil
}

// Start provisions and runs all services. When one fails, those already
// started are stopped again and the first error is returned.
func (k *Kernel) Start() error {
	for _, e := range k.entries {
		if err := e.service.Provision(k); err != nil {
			k.Stop(context.Background())
			return errors.Wrapf(err, "provision %s", e.service.Name())
		}
	}
	for _, e := range k.entries {
		if err := k.startOne(e); err != nil {
			k.Stop(context.Background())
			return errors.Wrapf(err, "run %s", e.service.Name())
		}
	}
	return nil
}

func (k *Kernel) startOne(e *entry) error {
	// This goroutine keeps the tomb alive until Stop, because tomb forbids Go
	// after the last goroutine has ended.
	e.tomb.Go(func() error {
		<-e.tomb.Dying()
		return nil
	})
	e.running = true
	if err := e.service.Run(e.tomb); err != nil {
		return err
	}
	go k.watch(e)
	return nil
}

// watch reports a service whose goroutine returned an error.
func (k *Kernel) watch(e *entry) {
	<-e.tomb.Dying()
	err := e.tomb.Err()
	if err == nil || errors.Is(err, tomb.ErrStillAlive) {
		return
	}
	select {
	case k.failed <- errors.Wrapf(err, "service %s", e.service.Name()):
	default:
	}
}

// Failed returns a channel with the first error of a running service.
func (k *Kernel) Failed() <-chan error { return k.failed }

// Drain calls Drain on every Drainer in reverse order and returns the first
// error.
func (k *Kernel) Drain(ctx context.Context) error {
	var first error
	for i := len(k.entries) - 1; i >= 0; i-- {
		d, ok := k.entries[i].service.(Drainer)
		if !ok {
			continue
		}
		if err := d.Drain(ctx); err != nil && first == nil {
			first = errors.Wrapf(err, "drain %s", k.entries[i].service.Name())
		}
	}
	return first
}

// stopTimeout limits the wait for the goroutines of one service.
const stopTimeout = 10 * time.Second

// Stop stops all services in reverse order and returns the first error.
func (k *Kernel) Stop(ctx context.Context) error {
	var first error
	for i := len(k.entries) - 1; i >= 0; i-- {
		if err := k.stopOne(ctx, k.entries[i]); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (k *Kernel) stopOne(ctx context.Context, e *entry) error {
	name := e.service.Name()
	if e.running {
		e.running = false
		e.tomb.Kill(nil)
		select {
		case <-e.tomb.Dead():
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "stop %s", name)
		case <-time.After(stopTimeout):
			return errors.Newf("stop %s: goroutines did not end within %s", name, stopTimeout)
		}
	}
	if err := e.service.Cleanup(); err != nil {
		return errors.Wrapf(err, "clean up %s", name)
	}
	return nil
}

// Finder looks up services in Provision. It records the first error, so that
// Provision checks for errors only once.
type Finder struct {
	kernel *Kernel
	err    error
}

// Find returns a finder for the services of k.
func Find(k *Kernel) *Finder { return &Finder{kernel: k} }

// Err returns the first error of Require.
func (f *Finder) Err() error { return f.err }

// Require sets *field to the service with the given name, unless the field is
// already set. A missing service is reported by f.Err.
func Require[T any](f *Finder, name string, field *T) {
	var unset T
	if any(*field) != any(unset) {
		return
	}
	service, err := Lookup[T](f.kernel, name)
	if err != nil && f.err == nil {
		f.err = err
	}
	*field = service
}

// Optional sets *field to the service with the given name, if there is one.
func Optional[T any](f *Finder, name string, field *T) {
	if service, err := Lookup[T](f.kernel, name); err == nil {
		*field = service
	}
}
