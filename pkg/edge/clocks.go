package edge

import (
	"log/slog"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/peer"
)

// clockKey is the key of the clock's stamp in the probes between nodes.
const clockKey = "c"

// clockSync makes the hybrid clocks of the nodes follow each other: each probe and
// its answer carry a stamp, so a step of one wall clock is known to all within
// some probes. It implements membership.Piggyback.
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
		c.log.Debug(eventlog.NoticeFailed, "peer", string(from), "reason", "a clock that cannot be followed", "stamp_of_sender", string(data))
	}
}
