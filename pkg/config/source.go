package config

import "cassiapin/pkg/clock"

// MarkState is the state that a Mark sets.
type MarkState string

// The states of marks.
const (
	MarkOut       MarkState = "out"
	MarkIn        MarkState = "in"
	MarkWithdrawn MarkState = "withdrawn"
)

// Mark is an operational override that must be in force on all nodes within
// seconds, even while the platform is unavailable: it takes a failure domain out
// of service, puts it back in, or withdraws a version.
type Mark struct {
	State  MarkState   `json:"state" cbor:"1,keyasint"`
	Stamp  clock.Stamp `json:"stamp" cbor:"2,keyasint"`
	Node   string      `json:"node" cbor:"3,keyasint"`
	Reason string      `json:"reason,omitempty" cbor:"4,keyasint,omitempty"`
}

// Marks maps "domain/NAME" and "version/MODEL@VERSION" to marks. A Marks value
// returned by a Source is immutable.
type Marks map[string]Mark

// DomainKey returns the key of a failure domain's mark.
func DomainKey(domain string) string { return "domain/" + domain }

// VersionKey returns the key of a version's mark.
func VersionKey(ref VersionRef) string { return "version/" + ref.String() }

// DomainOut reports whether the failure domain is taken out of service.
func (m Marks) DomainOut(domain string) bool { return m[DomainKey(domain)].State == MarkOut }

// Withdrawn reports whether the version is withdrawn by a mark.
func (m Marks) Withdrawn(ref VersionRef) bool {
	return m[VersionKey(ref)].State == MarkWithdrawn
}

// supersedes reports whether a replaces b. A withdrawal is permanent and takes
// precedence over all other states. Otherwise the later stamp wins; ties are
// broken by the higher node ID, then by state and reason.
func supersedes(a, b Mark) bool {
	aw, bw := a.State == MarkWithdrawn, b.State == MarkWithdrawn
	if aw != bw {
		return aw
	}
	if c := a.Stamp.Compare(b.Stamp); c != 0 {
		return c > 0
	}
	if a.Node != b.Node {
		return a.Node > b.Node
	}
	if a.State != b.State {
		return a.State > b.State
	}
	return a.Reason > b.Reason
}

// Join returns the least upper bound of two sets of marks. It is commutative,
// associative and idempotent, so nodes that have received the same marks in any
// order converge. changed reports whether the result differs from m.
func (m Marks) Join(other Marks) (joined Marks, changed bool) {
	joined = make(Marks, len(m)+len(other))
	for k, v := range m {
		joined[k] = v
	}
	for k, v := range other {
		old, ok := joined[k]
		if !ok || supersedes(v, old) {
			joined[k] = v
			changed = true
		}
	}
	return joined, changed
}

// SourceServiceName is the name of a node's Source in the kernel. The service
// also implements MarkSetter.
const SourceServiceName = "config.distribution"

// Source provides the configuration in force.
type Source interface {
	// Current returns the snapshot in force, nil before the first one.
	Current() *Snapshot
	// Marks returns the marks in force.
	Marks() Marks
	// Subscribe returns a channel that receives a value after each change of
	// the snapshot or the marks. Values are dropped when the channel is full,
	// so a receiver reads the state from Current and Marks.
	Subscribe() <-chan struct{}
}

// MarkSetter sets marks on all nodes.
type MarkSetter interface {
	// SetMark timestamps the mark, applies it on this node and propagates it to
	// the others.
	SetMark(key string, state MarkState, reason string) error
}

// Static is a Source with a fixed snapshot and fixed marks, for tests and for
// tools that do not need distribution.
type Static struct {
	Snapshot *Snapshot
	MarkSet  Marks
}

// Current implements Source.
func (s *Static) Current() *Snapshot { return s.Snapshot }

// Marks implements Source.
func (s *Static) Marks() Marks { return s.MarkSet }

// Subscribe implements Source; the channel never receives.
func (s *Static) Subscribe() <-chan struct{} { return make(chan struct{}) }
