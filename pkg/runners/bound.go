package runners

import (
	"encoding/json"
	"time"
)

// The times of permits and lapsed holders.
const (
	// maxPermitTTL bounds a permit's time to live.
	maxPermitTTL = 120 * time.Second
	// leaseGracePeriod is how long a holder without its lease may still grant,
	// counted from the start of its last successful renewal.
	leaseGracePeriod = 60 * time.Minute
	// predecessorRetention is how long a successor counts a predecessor, from its
	// takeover. It exceeds lapsedTime by a margin for different clock rates.
	predecessorRetention = 61 * time.Minute
	// permitMargin is how much longer an owner counts a permit than its user
	// may use it; it covers the time that a cancelled request takes to end.
	permitMargin = time.Second
	// fullClaimPeriod is how long a successor counts the whole bound of a
	// predecessor, because permits from before the lapse may still be in use.
	fullClaimPeriod = maxPermitTTL + 2*permitMargin
)

// Predecessor is an earlier holder of a shard lease that may still grant, or
// whose permits may still be in use.
type Predecessor struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	// Bounds are the bounds by runner that the holder recorded.
	Bounds map[string]int `json:"bounds"`
	// Age is the time since the takeover from this holder, as known when the
	// record was written; the true age is never lower.
	Age time.Duration `json:"age_ns"`
	// Released says that the holder gave the lease up and grants nothing more.
	Released bool `json:"released,omitempty"`
}

// Claim returns how many requests at the runner the predecessor may have open
// when its age is the given one.
func (p Predecessor) Claim(runner string, age time.Duration) int {
	switch {
	case age < fullClaimPeriod:
		return p.Bounds[runner]
	case p.Released || age >= predecessorRetention:
		return 0
	}
	return p.Bounds[runner] / 2
}

// Record is the application data of a shard lease.
type Record struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch,omitempty"`
	// Bounds are the greatest numbers of open requests by runner that the
	// holder may permit.
	Bounds       map[string]int `json:"bound"`
	Predecessors []Predecessor  `json:"predecessors,omitempty"`
}

// Claims returns what all predecessors together may have open at the runner,
// at the given time after the record was made.
func (r *Record) Claims(runner string, elapsed time.Duration) int {
	sum := 0
	for _, p := range r.Predecessors {
		sum += p.Claim(runner, p.Age+elapsed)
	}
	return sum
}

// HolderBound is the bound of a runner's owner while its lease is held: the
// limit less the predecessors' claims, and never more than it recorded.
func HolderBound(limit, recorded, claims int) int {
	return max(0, min(recorded, limit-claims))
}

// LapsedBound is the bound of an owner whose lease has lapsed. It is half of
// what it recorded, which is what a successor leaves to it; the claims of
// still earlier holders come first when the limit has fallen since.
func LapsedBound(limit, recorded, claims int) int {
	return max(0, min(recorded/2, limit-claims))
}

// NextRecord returns the record of the next holder with the given id. limits are
// the declared cold limits of the shard's runners. A holder that follows
// itself counts its open permits as its own.
func NextRecord(previous *Record, released bool, self string, limits map[string]int) Record {
	next := Record{Holder: self, Bounds: make(map[string]int, len(limits))}
	if previous != nil {
		all := append(previous.Predecessors[:len(previous.Predecessors):len(previous.Predecessors)], Predecessor{
			Holder: previous.Holder, Epoch: previous.Epoch, Bounds: previous.Bounds,
			Released: released,
		})
		for _, p := range all {
			if p.Holder != self && p.hasClaims() {
				next.Predecessors = append(next.Predecessors, p)
			}
		}
	}
	for runner, limit := range limits {
		next.Bounds[runner] = max(0, limit-next.Claims(runner, 0))
	}
	return next
}

func (p Predecessor) hasClaims() bool {
	for runner := range p.Bounds {
		if p.Claim(runner, p.Age) > 0 {
			return true
		}
	}
	return false
}

// aged returns a copy of the record with the predecessors' present ages.
func (r *Record) aged(elapsed time.Duration) Record {
	out := *r
	out.Predecessors = nil
	for _, p := range r.Predecessors {
		p.Age += elapsed
		if p.hasClaims() {
			out.Predecessors = append(out.Predecessors, p)
		}
	}
	return out
}

func (r *Record) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		return nil // unreachable: the type has no value that JSON refuses
	}
	return data
}

// decodeRecord returns nil for a lease without a usable record.
func decodeRecord(data []byte) *Record {
	var r Record
	if len(data) == 0 || json.Unmarshal(data, &r) != nil {
		return nil
	}
	return &r
}
