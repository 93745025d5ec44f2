package node

import (
	"time"

	"gopkg.in/tomb.v2"

	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/peer"
)

// rateAllocatorName is the name of the rate allocator service.
const rateAllocatorName = "platform.rates"

const (
	// rateInterval is the time between two checks of the number of members.
	rateInterval = time.Second
	// readsPerWrite is the ratio of the platform's read limit, about 2,000 per
	// second, to its write limit of several hundred.
	readsPerWrite = 4
)

// rateAllocator divides the configured platform rate limit evenly among the
// live members, so that all nodes together stay below it.
type rateAllocator struct {
	kernel.Base
	kernel  *kernel.Kernel
	config  config.Source
	members peer.Members
	store   *objectstore.Client
}

// Name implements kernel.Service.
func (*rateAllocator) Name() string { return rateAllocatorName }

// Provision implements kernel.Service.
func (r *rateAllocator) Provision(k *kernel.Kernel) error {
	r.kernel = k
	f := kernel.Find(k)
	kernel.Require(f, config.SourceServiceName, &r.config)
	kernel.Require(f, objectstore.ServiceName, &r.store)
	kernel.Require(f, peer.MembershipServiceName, &r.members)
	return f.Err()
}

// Run implements kernel.Service.
func (r *rateAllocator) Run(t *tomb.Tomb) error {
	t.Go(func() error {
		last := 0.0
		for {
			if share := r.share(); share != last {
				last = share
				r.store.SetRates(share*readsPerWrite, share)
			}
			select {
			case <-t.Dying():
				return nil
			case <-r.kernel.Clock.After(rateInterval):
			}
		}
	})
	return nil
}

// share returns this node's share of the platform writes per second.
func (r *rateAllocator) share() float64 {
	limits := config.Limits{}.WithDefaults()
	if snapshot := r.config.Current(); snapshot != nil {
		limits = snapshot.Limits
	}
	return limits.PlatformWritesPerSecond / float64(max(len(r.members.Live()), 1))
}
