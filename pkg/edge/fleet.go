package edge

import (
	"context"
	"log/slog"
	"slices"

	"gopkg.in/tomb.v2"

	"cassiapin/pkg/cutover"
	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/membership"
	"cassiapin/pkg/peer"
)

// kindCutover is the message of the cutover service.
const kindCutover peer.Kind = "cutover.evidence"

// fleet joins members and messages to what the services need of the other
// nodes. It implements cutover.Fleet and relay.Fleet.
type fleet struct {
	kernel.Base
	members *membership.Service
	msgr    peer.Messenger
	log     *slog.Logger
}

func (*fleet) Name() string { return "fleet.nodes" }

func (f *fleet) Provision(k *kernel.Kernel) error {
	f.log = k.Log
	return nil
}

// Run logs the changes of the members.
func (f *fleet) Run(t *tomb.Tomb) error {
	changes := f.members.Subscribe()
	t.Go(func() error {
		for {
			select {
			case <-t.Dying():
				return nil
			case <-changes:
				f.log.Info(eventlog.MembersChanged, "serving", f.Nodes(), "live", len(f.members.Live()), "isolated", f.members.Isolated())
			}
		}
	})
	return nil
}

// Self implements cutover.Fleet.
func (f *fleet) Self() string { return string(f.msgr.Self()) }

// Peers implements cutover.Fleet.
func (f *fleet) Peers() []string {
	var ids []string
	for _, m := range f.members.Live() {
		if m.ID != f.msgr.Self() {
			ids = append(ids, string(m.ID))
		}
	}
	return ids
}

// Nodes implements relay.Fleet.
func (f *fleet) Nodes() []string {
	ids := append(f.Peers(), f.Self())
	slices.Sort(ids)
	return ids
}

// Known is the number of nodes that may send to upstreams: the live ones and
// those that this node may only have lost sight of.
func (f *fleet) Known() int {
	n := 0
	for _, m := range f.members.All() {
		if m.State != peer.Dead {
			n++
		}
	}
	return max(n, 1)
}

// Tell implements cutover.Fleet.
func (f *fleet) Tell(m cutover.Message) error { return f.msgr.Flood(kindCutover, m) }

// Receive implements cutover.Fleet.
func (f *fleet) Receive(handle func(m cutover.Message)) {
	f.msgr.Handle(kindCutover, func(_ context.Context, _ peer.NodeID, body []byte) (any, error) {
		var m cutover.Message
		if err := peer.Decode(body, &m); err != nil {
			return nil, err
		}
		handle(m)
		return nil, nil
	})
}
