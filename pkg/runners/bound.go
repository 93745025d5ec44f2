package runners

import (
	"encoding/json"
	"time"
)

// Durations of permits and of the claims of earlier lease holders.
const (
	// maxPermitTTL bounds a permit's time to live.
	maxPermitTTL = 120 * time.Second
	// leaseGracePeriod is how long a holder whose lease has expired may still
	// grant permits, counted from the start of its last successful renewal.
	leaseGracePeriod = 60 * time.Minute
	// predecessorRetention is how long after its takeover a successor counts a
	// predecessor's claims. It exceeds leaseGracePeriod to allow for clock drift.
	predecessorRetention = 61 * time.Minute
	// permitMargin is added to a permit's TTL at the owner; it covers the time
	// that a cancelled request takes to end.
	permitMargin = time.Second
	// fullClaimPeriod is how long a successor counts a predecessor's whole
	// bound, because permits granted before the lease expired may still be in use.
	fullClaimPeriod = maxPermitTTL + 2*permitMargin
)

// Predecessor is an earlier holder of a shard lease that may still grant
// permits, or whose permits may still be in use.
type Predecessor struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	// Bounds are the recorded bounds of the holder, by runner.
	Bounds map[string]int `json:"bounds"`
	// Age is a lower limit of the time since the takeover from this holder, as
	// of the writing of the record.
	Age time.Duration `json:"age_ns"`
	// Released reports that the holder released the lease and grants no more
	// permits.
	Released bool `json:"released,omitempty"`
}

// Claim returns the maximum number of requests that a predecessor of the given
// age may have open at the runner.
func (p Predecessor) Claim(runner string, age time.Duration) int {
	switch {
	case age < fullClaimPeriod:
		return p.Bounds[runner]
	case p.Released || age >= predecessorRetention:
		return 0
	}
	return p.Bounds[runner] / 2
}

// Record is the application data stored in a shard lease.
type Record struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch,omitempty"`
	// Bounds are the maximum numbers of open permits of the holder, by runner.
	Bounds       map[string]int `json:"bound"`
	Predecessors []Predecessor  `json:"predecessors,omitempty"`
}

// Claims returns the sum of the predecessors' claims on the runner, with elapsed
// being the time since the record was made.
func (r *Record) Claims(runner string, elapsed time.Duration) int {
	sum := 0
	for _, p := range r.Predecessors {
		sum += p.Claim(runner, p.Age+elapsed)
	}
	return sum
}

// HolderBound returns the bound of a runner's owner while it holds the lease:
// the limit less the predecessors' claims, and at most the recorded bound.
func HolderBound(limit, recorded, claims int) int {
	return max(0, min(recorded, limit-claims))
}

// LapsedBound returns the bound of an owner whose lease has expired: half of the
// recorded bound, which is what a successor reserves for it. If the limit has
// been lowered since, the claims of earlier holders take precedence.
func LapsedBound(limit, recorded, claims int) int {
	return max(0, min(recorded/2, limit-claims))
}

// NextRecord returns the lease record of the next holder, self. limits are the
// declared cold limits of the shard's runners. A holder that succeeds itself
// is not its own predecessor: its open permits count against its own bound.
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

// aged returns a copy of the record with the predecessors' ages increased by
// elapsed, without those that have no claims left.
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
		return nil // unreachable: every value of the type can be encoded
	}
	return data
}

// decodeRecord returns nil for data that is empty or malformed.
func decodeRecord(data []byte) *Record {
	var r Record
	if len(data) == 0 || json.Unmarshal(data, &r) != nil {
		return nil
	}
	return &r
}
