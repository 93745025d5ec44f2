package node

import (
	"time"

	"gopkg.in/tomb.v2"

	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/timeline"
)

// readinessName is the name of the readiness service.
const readinessName = "node.readiness"

// readinessInterval is the time between two checks of the node's state.
const readinessInterval = 200 * time.Millisecond

// readiness publishes to the other members whether this node can serve
// requests, and records changes of its isolation.
type readiness struct {
	kernel.Base
	kernel  *kernel.Kernel
	config  config.Source
	members peer.Members
	events  timeline.Recorder
}

// Name implements kernel.Service.
func (*readiness) Name() string { return readinessName }

// Provision implements kernel.Service.
func (r *readiness) Provision(k *kernel.Kernel) error {
	r.kernel = k
	f := kernel.Find(k)
	kernel.Require(f, config.SourceServiceName, &r.config)
	kernel.Require(f, peer.MembershipServiceName, &r.members)
	kernel.Require(f, timeline.ServiceName, &r.events)
	return f.Err()
}

// Run implements kernel.Service.
func (r *readiness) Run(t *tomb.Tomb) error {
	t.Go(func() error {
		ready, isolated := false, false
		for {
			if now := r.config.Current() != nil; now != ready {
				ready = now
				r.members.SetReady(ready)
				r.events.Record(timeline.Event{Kind: timeline.NodeReady})
			}
			if now := r.members.Isolated(); now != isolated {
				isolated = now
				r.kernel.Log.Warn("isolation changed", "isolated", isolated)
				r.events.Record(timeline.Event{Kind: timeline.NodeIsolated, Detail: isolationText(isolated)})
			}
			select {
			case <-t.Dying():
				return nil
			case <-r.kernel.Clock.After(readinessInterval):
			}
		}
	})
	return nil
}

func isolationText(isolated bool) string {
	if isolated {
		return "most members cannot be reached"
	}
	return "most members can be reached again"
}
