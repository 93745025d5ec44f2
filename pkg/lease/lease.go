// Package lease provides leases with fencing tokens, stored in the platform's
// object store. Only durations are compared between nodes, never clock readings.
package lease

import (
	"context"
	"time"
)

// ServiceName is the name of the lease service.
const ServiceName = "platform.lease"

// Lease is an acquired lease.
type Lease interface {
	// Held reports whether the lease is certainly still held. Holders must call
	// it immediately before each action that the lease protects. It uses the
	// monotonic clock, so it returns false after a pause longer than the lease.
	Held() bool
	// Epoch is the fencing token; it increases with each acquisition.
	Epoch() uint64
	// Lost is closed when the lease has expired, was taken over or released.
	Lost() <-chan struct{}
	// RenewedAt is the local time of the start of the last successful renewal.
	RenewedAt() time.Time
	// Data returns the application data stored with the lease. SetData replaces
	// it at the next renewal. Sync renews immediately.
	Data() []byte
	SetData(data []byte)
	Sync(ctx context.Context) error
	// Release gives up the lease, so that another node can acquire it without
	// waiting for it to expire.
	Release(ctx context.Context) error
}

// Manager acquires leases.
type Manager interface {
	// Acquire tries once to get the lease with the given name. It fails with
	// result.LeaseLost if the lease is held, and with result.PlatformUnavailable
	// if the platform is unreachable. data is called with the application data of
	// the previous holder (nil if there is none) and whether that holder released
	// the lease, and returns the new data. A nil data stores none.
	Acquire(ctx context.Context, name string, data func(previous []byte, released bool) []byte) (Lease, error)
}

// Default lease durations. A holder renews three times within the time to live
// (TTL). Other nodes may take over a lease after its record has not changed for
// the TTL on their own clock.
const (
	DefaultTTL     = 30 * time.Second
	DefaultRenewal = 10 * time.Second
)
