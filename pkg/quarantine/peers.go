package quarantine

import (
	"context"

	"cassiapin/pkg/peer"
)

// The messages between nodes: kindReport is flooded, kindObservation is for
// collectors.
const (
	kindReport      peer.Kind = "quarantine.report"
	kindObservation peer.Kind = "quarantine.observation"
)

// ProbeKey is the key of Probe in the probes between nodes.
const ProbeKey = "q"

// PeerFleet implements Fleet with the messages between nodes.
type PeerFleet struct {
	Messenger peer.Messenger
	Members   peer.Members
}

// Self implements Fleet.
func (f PeerFleet) Self() string { return string(f.Messenger.Self()) }

// Peers implements Fleet.
func (f PeerFleet) Peers() []string {
	var ids []string
	for _, m := range f.Members.Live() {
		if m.ID != f.Messenger.Self() {
			ids = append(ids, string(m.ID))
		}
	}
	return ids
}

// Flood implements Fleet.
func (f PeerFleet) Flood(m Message) error { return f.Messenger.Flood(kindReport, m) }

// Report implements Fleet.
func (f PeerFleet) Report(node string, m Message) error {
	return f.Messenger.Notify(peer.NodeID(node), kindObservation, m)
}

// Receive implements Fleet.
func (f PeerFleet) Receive(flooded, reported func(m Message)) {
	for kind, handle := range map[peer.Kind]func(m Message){kindReport: flooded, kindObservation: reported} {
		f.Messenger.Handle(kind, func(_ context.Context, _ peer.NodeID, body []byte) (any, error) {
			var m Message
			if err := peer.Decode(body, &m); err != nil {
				return nil, err
			}
			handle(m)
			return nil, nil
		})
	}
}

// Probe sends the parts in quarantine with each probe between nodes, for nodes
// that have started since or have missed a message. It implements
// membership.Piggyback.
type Probe struct{ Service *Service }

// ProbeData implements membership.Piggyback.
func (p Probe) ProbeData() []byte {
	m, ok := p.Service.State()
	if !ok {
		return nil
	}
	data, err := peer.Encode(m)
	if err != nil {
		return nil // Unreachable: the type encodes, and its lists are bounded.
	}
	return data
}

// ObserveProbe implements membership.Piggyback. A malformed value counts as none.
func (p Probe) ObserveProbe(_ peer.NodeID, data []byte) {
	var m Message
	if peer.Decode(data, &m) == nil {
		p.Service.Observe(m)
	}
}
