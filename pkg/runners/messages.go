package runners

import (
	"hash/fnv"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"cassiapin/pkg/config"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
)

// Kinds of messages between owners and other nodes.
const (
	kindReport    peer.Kind = "runner.report"
	kindSubscribe peer.Kind = "runner.subscribe"
	kindPermit    peer.Kind = "runner.permit"
	kindReturn    peer.Kind = "runner.return"
	kindColdStart peer.Kind = "runner.cold"
	kindRelease   peer.Kind = "runner.release"
)

// wireReport is the encoding of a Report between nodes, about 50 bytes without
// versions. At the design size a node sends and receives about 20 reports per
// second; with versions in each they would use up the control traffic budget of
// 9 KB/s.
type wireReport struct {
	_              struct{} `cbor:",toarray"`
	Upstream       string
	State          uint8
	Running        uint32
	Queued         uint32
	Capacity       uint32
	MaxConcurrency uint32
	Epoch          uint64
	Sequence       uint64
	AgeMS          uint32
	// VersionsHash is the hash of the list of versions; the list itself is sent
	// only in full reports.
	VersionsHash uint32
	Versions     []config.VersionRef
}

var wireStates = []State{Unknown, Cold, Warming, Warm, Leaving}

func versionsHash(versions []config.VersionRef) uint32 {
	h := fnv.New32a()
	for _, ref := range versions {
		h.Write([]byte(ref.Model + "@" + ref.Version + "\n"))
	}
	return h.Sum32()
}

func toWire(r Report, full bool) wireReport {
	clamp := func(n int) uint32 { return uint32(min(max(n, 0), math.MaxInt32)) }
	w := wireReport{
		Upstream: r.Upstream,
		State:    uint8(max(0, slices.Index(wireStates, r.State))),
		Running:  clamp(r.Running), Queued: clamp(r.Queued),
		Capacity: clamp(r.Capacity), MaxConcurrency: clamp(r.MaxConcurrency),
		Epoch: r.Epoch, Sequence: r.Sequence, AgeMS: clamp(int(r.AgeMS)),
		VersionsHash: versionsHash(r.Versions),
	}
	if full {
		w.Versions = r.Versions
	}
	return w
}

// report decodes the report. Versions is nil unless the report is a full one.
func (w wireReport) report() Report {
	state := Unknown
	if int(w.State) < len(wireStates) {
		state = wireStates[w.State]
	}
	return Report{
		Upstream: w.Upstream, State: state,
		Running: int(w.Running), Queued: int(w.Queued),
		Capacity: int(w.Capacity), MaxConcurrency: int(w.MaxConcurrency),
		Versions: w.Versions, Epoch: w.Epoch, Sequence: w.Sequence, AgeMS: int64(w.AgeMS),
	}
}

// reportMessage carries reports from an owner to a subscriber.
type reportMessage struct {
	Reports []wireReport `cbor:"1,keyasint"`
}

// subscribeRequest subscribes to an owner's reports on runners.
type subscribeRequest struct {
	Upstreams []string `cbor:"1,keyasint"`
}

// subscribeReply has the current reports and, for runners that the node does not
// own, their owners as far as known.
type subscribeReply struct {
	Reports []wireReport           `cbor:"1,keyasint"`
	Owners  map[string]peer.NodeID `cbor:"2,keyasint,omitempty"`
}

// permitRequest asks an owner for one permit. The requesting node chooses the
// id, so that it can return a permit even if the reply is lost.
type permitRequest struct {
	Upstream string `cbor:"1,keyasint"`
	ID       string `cbor:"2,keyasint"`
	TTLMS    int64  `cbor:"3,keyasint"`
}

// permitReply grants or refuses a permit. A node that does not own the runner
// sets Owner if it knows the owner.
type permitReply struct {
	Granted bool        `cbor:"1,keyasint"`
	Owner   peer.NodeID `cbor:"2,keyasint,omitempty"`
}

// permitReturn returns a permit to its owner.
type permitReturn struct {
	ID       string `cbor:"1,keyasint"`
	Upstream string `cbor:"2,keyasint"`
}

// coldStartMessage notifies the owner of a cold start that a node has detected.
type coldStartMessage struct {
	Upstream string `cbor:"1,keyasint"`
}

// releaseRequest informs an earlier holder of a shard that the lease has a new
// holder.
type releaseRequest struct {
	Shard string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// releaseReply reports whether all permits of the earlier holder have ended.
type releaseReply struct {
	Released bool `cbor:"1,keyasint"`
}

func decode(body []byte, into any) error {
	if err := cbor.Unmarshal(body, into); err != nil {
		return result.Wrap(err, result.BadMessage, result.NotRun, "malformed runner message")
	}
	return nil
}
