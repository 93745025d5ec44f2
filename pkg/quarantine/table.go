package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// trialAfter is the time from the quarantine of a part to the first trial: one
	// request with the part is sent, which either crashes its upstream or releases
	// the part.
	trialAfter = 10 * time.Second
	// trialTimeout is the time after which a trial without a result is repeated.
	trialTimeout = 15 * time.Second
	// confirmedFor is the time from a trial that crashed its upstream to the next.
	confirmedFor = 10 * time.Minute
	// trialStep delays the trial of each node that ranks lower for the part, so
	// that only one node makes it.
	trialStep = 2 * time.Second
	// reinstateAfter is the time after a release from which another node's
	// quarantine of the part is a new one.
	reinstateAfter = time.Second
	// sameTrial is the time within which reports about a trial are about the same
	// one. Ages grow by the delay of each message on their way.
	sameTrial = trialTimeout / 2
	// maxEntries bounds the quarantined parts. Requests share far fewer.
	maxEntries = 256
)

// entry is the state of a part that is, or recently was, in quarantine. Times
// are zero for what has not happened.
type entry struct {
	since, tried, confirmed, released time.Time
	// crashes is the number of crashes that the part explained, support the time from
	// which on they make up a quarantine even if the part was answered before. Both are
	// zero if unknown.
	crashes int
	support time.Time
	// announced is set once the present state was sent to the other nodes.
	announced bool
}

func (e *entry) active() bool { return e.released.IsZero() }

// release ends the quarantine at a time after its begin, by which other nodes tell it
// from an earlier one.
func (e *entry) release(at time.Time) {
	if earliest := e.since.Add(time.Millisecond); at.Before(earliest) {
		at = earliest
	}
	e.released, e.announced = at, false
}

// nextTrial is the earliest time of the next trial.
func (e *entry) nextTrial() time.Time {
	next := e.since.Add(trialAfter)
	if !e.tried.IsZero() {
		next = e.tried.Add(trialTimeout)
	}
	if !e.confirmed.IsZero() {
		next = e.confirmed.Add(confirmedFor)
	}
	return next
}

// merge takes over what another node knows. It returns false if that was known.
func (e *entry) merge(o *entry) bool {
	before := *e
	if !e.active() && o.active() {
		if o.since.Sub(e.released) < reinstateAfter {
			return false
		}
		*e = entry{since: o.since, crashes: o.crashes, support: o.support}
	}
	// A release that is known stays as it is: other nodes state a later time, as
	// their messages were under way.
	if e.active() && o.released.After(e.since) {
		e.released = o.released
	}
	if o.tried.Sub(e.tried) > sameTrial {
		e.tried = o.tried
	}
	if o.confirmed.Sub(e.confirmed) > sameTrial {
		e.confirmed = o.confirmed
	}
	e.announced = before.announced
	return *e != before
}

// change is a decision about a part.
type change struct {
	part        string
	quarantined bool
	explanation explanation
	reason      string
}

// table decides which parts are in quarantine. Its methods are not safe for
// concurrent use.
type table struct {
	evidence
	entries map[string]*entry
}

func newTable() *table {
	return &table{entries: make(map[string]*entry), evidence: evidence{unreported: make(map[string]bool)}}
}

// crashed records that an upstream crashed, and which parts of a request it was
// about to answer. It returns false if all of that was known.
func (t *table) crashed(upstream string, at time.Time, request uint64, parts []string) bool {
	c, news := t.record(upstream, at)
	for depth, part := range parts {
		if t.answered.get(part).After(at) {
			continue
		}
		news = c.add(part, depth, request) || news
		t.noteAnswer(part)
		t.confirm(part, at)
	}
	if news {
		c.announced = false
	}
	return news
}

// confirm records that a trial of a part has crashed its upstream.
func (t *table) confirm(part string, at time.Time) {
	e := t.entries[part]
	if e != nil && e.active() && !e.tried.IsZero() && at.After(e.tried) && e.confirmed.Before(e.tried) {
		e.confirmed, e.announced = at, false
	}
}

// answer records that a request with the part was answered, which releases it.
func (t *table) answer(part string, at time.Time) (released bool) {
	t.answered.set(part, at)
	t.noteAnswer(part)
	if e := t.entries[part]; e != nil && e.active() && (at.After(e.since) || t.refutes(part, e)) {
		e.release(at)
		return true
	}
	return false
}

// refutes reports whether the crashes that led to a quarantine don't suffice for it,
// with the answers that this node knows of: the node that decided on it may have been
// started, or have been out of reach, since the part was answered.
func (t *table) refutes(part string, e *entry) bool {
	answered := t.answered.get(part)
	if e.crashes == 0 || answered.IsZero() || !e.confirmed.IsZero() {
		return false
	}
	return e.crashes < minCrashesAnswered || answered.After(e.support)
}

// refuteEntry releases a part that another node holds in quarantine, and lets the others
// know of the answer. It returns false if it was released before, or if the table is full.
func (t *table) refuteEntry(part string, o *entry) bool {
	e := t.entries[part]
	switch {
	case e == nil && len(t.entries) >= maxEntries:
		return false
	case e != nil && !e.active() && !o.since.After(e.released):
		return false
	}
	e = &entry{since: o.since}
	e.release(t.answered.get(part))
	t.entries[part] = e
	t.unreported[part] = true
	return true
}

// decide quarantines the parts that explain crashes, and releases those whose
// crashes are explained by others. Crashes that a part in quarantine explains give no
// reason to quarantine another: the node that decided on it may know more of them.
func (t *table) decide(now time.Time) []change {
	t.expire(now)
	var changes []change
	var held []string
	found := t.explain(nil)
	for _, part := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[part]
		if e.active() && e.confirmed.IsZero() && t.explainedAway(part, found) {
			e.release(now)
			changes = append(changes, change{part: part, reason: "other parts explain the crashes"})
		}
		if e.active() {
			held = append(held, part)
		} else if now.Sub(e.released) > evidenceTTL {
			delete(t.entries, part)
		}
	}
	for _, x := range t.explain(held) {
		if e := t.entries[x.part]; e != nil && now.Sub(e.released) < reinstateAfter || len(t.entries) >= maxEntries {
			continue
		}
		t.entries[x.part] = &entry{since: now, crashes: x.crashes, support: x.support()}
		changes = append(changes, change{part: x.part, quarantined: true, explanation: x})
	}
	return changes
}

// explainedAway reports whether there are crashes of which the part is suspected, as
// many as a quarantine needs, and other parts explain all of them. A node that knows
// fewer can't judge another's decision.
func (t *table) explainedAway(part string, found []explanation) bool {
	if slices.ContainsFunc(found, func(x explanation) bool { return x.part == part }) {
		return false
	}
	crashes := 0
	for _, c := range t.crashes {
		if c.suspects[part] == nil {
			continue
		}
		crashes++
		if !slices.ContainsFunc(found, func(x explanation) bool { return c.suspects[x.part] != nil }) {
			return false
		}
	}
	return crashes >= minCrashes
}

// blocked returns the first part in quarantine that keeps a request from being
// sent. rank is this node's position for the trials of a part. For a request that
// may be sent as a trial, trial names its part.
func (t *table) blocked(parts []string, now time.Time, rank func(part string) int) (part string, until time.Time, trial string) {
	for _, p := range parts {
		e := t.entries[p]
		if e == nil || !e.active() {
			continue
		}
		next := e.nextTrial()
		if trial != "" || now.Before(next) || now.Before(next.Add(time.Duration(rank(p))*trialStep)) {
			return p, next, ""
		}
		trial = p
	}
	return "", time.Time{}, trial
}

// try records that a trial of the part begins.
func (t *table) try(part string, now time.Time) {
	if e := t.entries[part]; e != nil {
		e.tried, e.announced = now, false
	}
}

// merge takes over the state of a part from another node. It returns false if
// that was known.
func (t *table) merge(part string, o *entry) bool {
	e := t.entries[part]
	stands := e != nil && e.active() && !t.refutes(part, e)
	if o.active() && !stands && t.refutes(part, o) {
		return t.refuteEntry(part, o)
	}
	if e != nil {
		return e.merge(o)
	}
	if t.answered.get(part).After(o.since) || len(t.entries) >= maxEntries {
		return false
	}
	o.announced = true
	t.entries[part] = o
	return true
}
