package soak

import (
	"math/rand"
	"time"
)

const (
	// drainTime is how long a node may send requests to a runner that has told it that
	// it leaves, as in the settings.
	drainTime = 2500 * time.Millisecond
	// hearTime is how long after a refusal requests that were on their way arrive.
	hearTime = 500 * time.Millisecond
	// refusedSends is the number of requests that a node may send to a runner within
	// the time for which it refused, the one that is refused first included.
	refusedSends = 3
	// leavingSends is the number of requests by which a node may learn late that a
	// runner leaves.
	leavingSends = 2
)

// wishRunner makes a runner refuse requests for a time, or leave while its entry
// stays in the store.
func (f *fleet) wishRunner(random *rand.Rand) {
	r := f.runners[random.Intn(4)]
	if random.Intn(2) == 0 {
		retryAfter := 2*time.Second + time.Duration(random.Int63n(int64(2*time.Second)))
		f.event("runner %s refuses for %v", r.ID(), retryAfter)
		r.Wish.Refuse(retryAfter)
		time.Sleep(retryAfter)
		r.Wish.Accept()
		return
	}
	f.event("runner %s leaves", r.ID())
	r.Wish.Leave()
	time.Sleep(drainTime + time.Second)
	r.Wish.Accept()
	f.event("runner %s is replaced", r.ID())
	r.Replace()
}

// checkWishes checks that runners which refuse or leave get no more requests. Nodes
// that were started meanwhile have to hear it again.
func (f *fleet) checkWishes() {
	for _, r := range f.runners {
		for _, p := range r.Wish.Periods() {
			if p.Said.IsZero() {
				continue
			}
			from, to, each, what := p.Said.Add(hearTime), p.Said.Add(p.RetryAfter), refusedSends, "refused"
			if p.Leaving {
				from, to, each, what = p.Said.Add(drainTime), p.Said.Add(time.Minute), leavingSends, "left"
			}
			arrived := 0
			for _, at := range p.Arrivals {
				if at.After(from) && at.Before(to) {
					arrived++
				}
			}
			allowed := each * (nodeCount + f.nodeFaults(p.Said, to))
			f.event("%d requests arrived at runner %s while it %s, %d allowed", arrived, r.name, what, allowed)
			if arrived > allowed {
				f.t.Errorf("%d requests arrived at runner %s after it %s, want %d or fewer", arrived, r.name, what, allowed)
			}
		}
	}
}

// nodeFaults counts the faults of nodes that began between two times.
func (f *fleet) nodeFaults(from, to time.Time) (n int) {
	for _, node := range f.nodes {
		for _, i := range f.faults[node.address(entryPort)] {
			if i.start.After(from) && i.start.Before(to) {
				n++
			}
		}
	}
	return n
}
