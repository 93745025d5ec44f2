package engine

import "cassiapin/pkg/config"

// The headers of the protocol. They are defined here and not imported from
// the client's package, so that the client's own tests can use the emulator.
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

// State is the state of the engine.
type State string

// The states of an engine.
const (
	Cold    State = "cold"
	Warming State = "warming"
	Warm    State = "warm"
	Leaving State = "leaving"
)

// Report is the load report; it has the JSON form of runners.Report.
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
