package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCrashes is the number of separate crashes that a part must explain before
	// it is quarantined. A part that was answered before needs minCrashesAnswered.
	minCrashes         = 3
	minCrashesAnswered = 5
	// minRequests is the number of different requests that must have been involved:
	// the retries of a single one may meet several failing upstreams by chance.
	minRequests = 2
	// simultaneous is the time within which upstreams that end count as one crash,
	// because a common cause, such as a lost failure domain, is more likely then.
	simultaneous = 50 * time.Millisecond
	// sameCrash is the time within which reports about an upstream are about the
	// same crash. Upstreams take seconds to start again.
	sameCrash = time.Second
	// proofDelay is the shortest time from a broken connection to a send whose
	// answer proves that the upstream has not crashed.
	proofDelay = 20 * time.Millisecond
	// evidenceTTL is how long crashes are remembered.
	evidenceTTL = time.Minute
	// maxCrashes bounds the remembered crashes, maxSuspects the parts suspected of
	// each.
	maxCrashes  = 256
	maxSuspects = 128
	// maxRecentParts bounds each generation of the parts with the time of their
	// last answer, about 1 MB.
	maxRecentParts = 8192
)

// suspect is a part that a crashed upstream was about to answer.
type suspect struct {
	// depth is the part's position in the prompt; deeper parts are shared by fewer
	// requests.
	depth int
	// requests are hashes of the ids of up to minRequests requests with the part.
	requests []uint64
}

// crash is the end of an upstream, as one or several nodes have seen it.
type crash struct {
	upstream string
	at       time.Time
	suspects map[string]*suspect
	// announced is set once this node has sent all that it knows of the crash.
	announced bool
}

// add records that a request with the part was at the upstream. It returns false
// if that was known.
func (c *crash) add(part string, depth int, request uint64) bool {
	s := c.suspects[part]
	if s == nil {
		if len(c.suspects) >= maxSuspects {
			return false
		}
		s = &suspect{depth: depth}
		c.suspects[part] = s
	}
	if len(s.requests) >= minRequests || slices.Contains(s.requests, request) {
		return false
	}
	s.requests = append(s.requests, request)
	return true
}

// recentParts has the time of the latest answer to a request with a part. The
// older of two generations is dropped when the newer is full.
type recentParts struct {
	current, previous map[string]time.Time
}

func (r *recentParts) get(part string) time.Time {
	if at, ok := r.current[part]; ok {
		return at
	}
	return r.previous[part]
}

func (r *recentParts) set(part string, at time.Time) {
	if !at.After(r.get(part)) {
		return
	}
	if r.current == nil || len(r.current) >= maxRecentParts {
		r.previous, r.current = r.current, make(map[string]time.Time)
	}
	r.current[part] = at
}

// evidence is what the nodes know of crashes and answers.
type evidence struct {
	crashes []*crash
	// answered has the answers that this node knows of; shared has those of them
	// that all nodes were told of.
	answered, shared recentParts
	// unreported are suspected parts whose answers the other nodes may not know. The
	// value is set if they have to know in any case.
	unreported map[string]bool
}

// noteAnswer records that the other nodes need to know of the latest answer to a
// request with the part.
func (e *evidence) noteAnswer(part string) {
	if len(e.crashes) == 0 {
		return
	}
	if at := e.answered.get(part); !at.IsZero() && e.isNews(part, at) {
		if _, known := e.unreported[part]; !known {
			e.unreported[part] = false
		}
	}
}

// crashOf returns the crash of an upstream at about a time, or nil.
func (e *evidence) crashOf(upstream string, at time.Time) *crash {
	for _, c := range e.crashes {
		if c.upstream == upstream && at.Sub(c.at).Abs() <= sameCrash {
			return c
		}
	}
	return nil
}

// record returns the crash of an upstream at about a time, which it adds if it is
// new.
func (e *evidence) record(upstream string, at time.Time) (c *crash, added bool) {
	if c := e.crashOf(upstream, at); c != nil {
		return c, false
	}
	c = &crash{upstream: upstream, at: at, suspects: make(map[string]*suspect)}
	place, _ := slices.BinarySearchFunc(e.crashes, at, func(c *crash, at time.Time) int { return c.at.Compare(at) })
	e.crashes = slices.Insert(e.crashes, place, c)
	if len(e.crashes) > maxCrashes {
		e.crashes = slices.Delete(e.crashes, 0, len(e.crashes)-maxCrashes)
	}
	return c, true
}

// refute removes the crash of an upstream that has answered a request sent after
// it: only connections had been broken. It reports whether the other nodes have to
// know, because the crash was announced.
func (e *evidence) refute(upstream string, sent time.Time) (announced bool) {
	e.crashes = slices.DeleteFunc(e.crashes, func(c *crash) bool {
		since := sent.Sub(c.at)
		if c.upstream != upstream || since <= proofDelay || since > sameCrash {
			return false
		}
		announced = announced || c.announced
		return true
	})
	return announced
}

// expire forgets old crashes.
func (e *evidence) expire(now time.Time) {
	e.crashes = slices.DeleteFunc(e.crashes, func(c *crash) bool { return now.Sub(c.at) > evidenceTTL })
}

// isNews reports whether the other nodes need to know of an answer to a request
// with the part: it is suspected of a crash, and they know of no answer at all, or
// of none since the crash.
func (e *evidence) isNews(part string, at time.Time) bool {
	known := e.shared.get(part)
	for _, c := range e.crashes {
		if c.suspects[part] != nil && (known.IsZero() || c.at.Before(at) && !known.After(c.at)) {
			return true
		}
	}
	return false
}

// explanation is a part that explains crashes.
type explanation struct {
	part string
	// crashes is the number of separate crashes, requests that of different
	// requests, at most minRequests.
	crashes, requests int
	answered          bool
	depth             int
	// lastEvent is the number of the crash counted last, latest the times of the last
	// crashes counted, and seen the hashes of the requests counted.
	lastEvent int
	latest    []time.Time
	seen      []uint64
}

// support is the time of the first of the crashes without which the part would not be
// quarantined, if it had been answered before.
func (x *explanation) support() time.Time { return x.latest[0] }

// sufficient reports whether the part is to be quarantined.
func (x *explanation) sufficient() bool {
	least := minCrashes
	if x.answered {
		least = minCrashesAnswered
	}
	return x.crashes >= least && x.requests >= minRequests
}

// better reports whether x is a better explanation than y: it explains more
// crashes; else it was never answered, or is shared by fewer requests.
func (x *explanation) better(y *explanation) bool {
	if x.crashes != y.crashes {
		return x.crashes > y.crashes
	}
	if x.answered != y.answered {
		return !x.answered
	}
	return cmp.Or(cmp.Compare(x.depth, y.depth), cmp.Compare(y.part, x.part)) > 0
}

// explain returns the fewest parts that explain the crashes which the known parts
// leave unexplained, found greedily: the best explanation first, then that of the
// crashes which it leaves unexplained. A request takes innocent parts along to each
// upstream that it crashes, and other requests are at these upstreams by chance; both
// are explained away.
func (e *evidence) explain(known []string) []explanation {
	events := e.events()
	open := slices.Clone(e.crashes)
	for _, part := range known {
		open = slices.DeleteFunc(open, func(c *crash) bool { return c.suspects[part] != nil })
	}
	var found []explanation
	for {
		best := e.best(open, events)
		if best == nil {
			return found
		}
		found = append(found, *best)
		open = slices.DeleteFunc(open, func(c *crash) bool { return c.suspects[best.part] != nil })
	}
}

// events numbers the crashes so that simultaneous ones have the same number.
func (e *evidence) events() map[*crash]int {
	numbers := make(map[*crash]int, len(e.crashes))
	number := 0
	var start time.Time
	for _, c := range e.crashes {
		if c.at.Sub(start) > simultaneous {
			number++
			start = c.at
		}
		numbers[c] = number
	}
	return numbers
}

// best returns the best sufficient explanation of the crashes, or nil.
func (e *evidence) best(crashes []*crash, events map[*crash]int) *explanation {
	parts := make(map[string]*explanation)
	for _, c := range crashes {
		for part, s := range c.suspects {
			answered := e.answered.get(part)
			if answered.After(c.at) {
				continue
			}
			x := parts[part]
			if x == nil {
				x = &explanation{part: part, answered: !answered.IsZero(), depth: s.depth}
				parts[part] = x
			}
			x.add(events[c], c.at, s)
		}
	}
	var best *explanation
	for _, x := range parts {
		if x.sufficient() && (best == nil || x.better(best)) {
			best = x
		}
	}
	return best
}

// add counts a suspicion of the crash with the number event. Crashes are added in the
// order of their times.
func (x *explanation) add(event int, at time.Time, s *suspect) {
	if event != x.lastEvent {
		x.crashes++
		x.lastEvent = event
		if x.latest = append(x.latest, at); len(x.latest) > minCrashesAnswered {
			x.latest = x.latest[1:]
		}
	}
	for _, r := range s.requests {
		if len(x.seen) < minRequests && !slices.Contains(x.seen, r) {
			x.seen = append(x.seen, r)
			x.requests++
		}
	}
}
