package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/membership"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/runners"
)

// hostWatchName is the name of the service that polls the host list.
const hostWatchName = "platform.hosts"

const (
	// kindLeaving is the message that lists the leaving upstreams.
	kindLeaving peer.Kind = "host.leaving"
	// hostPollInterval is the time between two reads of the host list by a relay
	// of the membership overlay. With 3 relays in each of 2 regions that is 6
	// reads a second.
	hostPollInterval = time.Second
	// leavingResendInterval is the time after which relays send an unchanged
	// set again, for nodes that missed it.
	leavingResendInterval = 10 * time.Second
)

// leavingHosts is the set of upstreams in state leaving in the host list.
type leavingHosts struct {
	Stamp clock.Stamp `cbor:"1,keyasint"`
	Names []string    `cbor:"2,keyasint"`
}

// leavingSetter is the part of the runner table that receives the set.
type leavingSetter interface {
	SetHostLeaving(leaving map[string]bool)
}

// hostWatch distributes the set of leaving upstreams. Only relays poll the host
// list and flood the set to all nodes, which limits the load on the list.
type hostWatch struct {
	kernel.Base
	kernel    *kernel.Kernel
	list      *hostList
	overlay   membership.Overlay
	messenger peer.Messenger
	table     leavingSetter

	mu   sync.Mutex
	last leavingHosts
}

// Name implements kernel.Service.
func (*hostWatch) Name() string { return hostWatchName }

// Provision implements kernel.Service.
func (h *hostWatch) Provision(k *kernel.Kernel) error {
	h.kernel = k
	f := kernel.Find(k)
	kernel.Require(f, peer.MembershipServiceName, &h.overlay)
	kernel.Require(f, peer.TransportServiceName, &h.messenger)
	kernel.Require(f, runners.ServiceName, &h.table)
	if f.Err() != nil {
		return f.Err()
	}
	h.messenger.Handle(kindLeaving, func(_ context.Context, _ peer.NodeID, body []byte) (any, error) {
		var m leavingHosts
		if err := peer.Decode(body, &m); err != nil {
			return nil, err
		}
		h.apply(m)
		return nil, nil
	})
	return nil
}

// apply activates a set unless a newer one is active.
func (h *hostWatch) apply(m leavingHosts) {
	h.kernel.HLC.Observe(m.Stamp)
	h.mu.Lock()
	if m.Stamp.Compare(h.last.Stamp) <= 0 {
		h.mu.Unlock()
		return
	}
	h.last = m
	h.mu.Unlock()
	leaving := make(map[string]bool, len(m.Names))
	for _, name := range m.Names {
		leaving[name] = true
	}
	h.table.SetHostLeaving(leaving)
}

// Run implements kernel.Service.
func (h *hostWatch) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	t.Go(func() error {
		lastSent := h.kernel.Clock.Now()
		for {
			if h.overlay.IsRelay() && h.poll(ctx, h.kernel.Clock.Since(lastSent) >= leavingResendInterval) {
				lastSent = h.kernel.Clock.Now()
			}
			if h.kernel.Clock.Sleep(ctx, hostPollInterval) != nil {
				return nil
			}
		}
	})
	return nil
}

// poll reads the list and floods the set to all nodes if it changed or repeat
// is set. When the list is unreachable, the last set stays active.
func (h *hostWatch) poll(ctx context.Context, repeat bool) (sent bool) {
	hosts, err := h.list.read(ctx)
	if err != nil {
		return false
	}
	var names []string
	for _, host := range hosts {
		if host.Kind != "node" && host.State == "leaving" {
			names = append(names, host.Name)
		}
	}
	slices.Sort(names)
	h.mu.Lock()
	changed := !slices.Equal(names, h.last.Names)
	h.mu.Unlock()
	if !changed && !repeat {
		return false
	}
	m := leavingHosts{Stamp: h.kernel.HLC.Next(), Names: names}
	h.apply(m)
	// A node that misses the message receives the next repetition.
	_ = h.messenger.Flood(kindLeaving, m)
	return true
}
