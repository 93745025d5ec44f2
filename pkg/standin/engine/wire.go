package engine

import "cassiapin/pkg/config"

// Headers of the protocol. They are not imported from the client package, so
// that its tests can use the emulator.
const (
	headerAttempt = "X-Attempt-Id"
	headerState   = "X-Engine-State"
	headerPrio    = "X-Priority"
	headerVersion = "X-Model-Version"
	headerFencing = "X-Fencing-Number"
	headerClass   = "X-Class"
	headerOrg     = "X-Organisation"
	headerResume  = "X-Stream-Resume"
)

// State is the state of an engine.
type State string

// States of an engine.
const (
	Cold    State = "cold"
	Warming State = "warming"
	Warm    State = "warm"
	Leaving State = "leaving"
)

// Report is the load report. Its JSON form is that of runners.Report.
type Report struct {
	Upstream       string              `json:"upstream"`
	State          State               `json:"state"`
	Running        int                 `json:"running"`
	Queued         int                 `json:"queued"`
	Capacity       int                 `json:"capacity"`
	MaxConcurrency int                 `json:"can_bear"`
	Versions       []config.VersionRef `json:"versions"`
	Sequence       uint64              `json:"sequence,omitempty"`
}
