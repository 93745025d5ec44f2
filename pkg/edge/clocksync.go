package edge

import (
	"log/slog"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/peer"
)

// clockKey is the key of the clock stamp in the probes between nodes.
const clockKey = "c"

// clockSync synchronizes the hybrid clocks of the nodes: each probe and its
// answer carry a stamp, so a step of one wall clock reaches all nodes within a
// few probes. It implements membership.Piggyback.
type clockSync struct {
	hlc *clock.HLC
	log *slog.Logger
}

// ProbeData implements membership.Piggyback.
func (c *clockSync) ProbeData() []byte { return []byte(c.hlc.Next().Short()) }

// ObserveProbe implements membership.Piggyback.
func (c *clockSync) ObserveProbe(from peer.NodeID, data []byte) {
	stamp, err := clock.ParseStamp(string(data))
	if err != nil || !c.hlc.Observe(stamp) {
		c.log.Debug(eventlog.NoticeFailed, "peer", string(from), "reason", "stamp is malformed or too far ahead", "stamp_of_sender", string(data))
	}
}
