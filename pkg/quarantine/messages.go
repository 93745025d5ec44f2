package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxMessageItems bounds each list in a message; the rest follows in the next.
	maxMessageItems = 64
	// maxPartBytes bounds the id of a part. Longer ones are not tracked.
	maxPartBytes = 128
	// maxAge bounds the ages in messages, in milliseconds; older reports are void.
	maxAge = uint64(time.Hour / time.Millisecond)
)

// Message is what a node tells the others. Times are ages in milliseconds, since
// clocks differ.
type Message struct {
	Crashes []CrashReport `cbor:"1,keyasint,omitempty"`
	Answers []PartAge     `cbor:"2,keyasint,omitempty"`
	// Refuted names upstreams that have answered a request sent Age ago, although
	// they were reported as crashed before.
	Refuted []UpstreamAge `cbor:"3,keyasint,omitempty"`
	Entries []Entry       `cbor:"4,keyasint,omitempty"`
}

// empty reports whether the message says nothing.
func (m *Message) empty() bool {
	return len(m.Crashes)+len(m.Answers)+len(m.Refuted)+len(m.Entries) == 0
}

// full reports whether a list has no room, so that there may be more news.
func (m *Message) full() bool {
	return max(len(m.Crashes), len(m.Answers), len(m.Entries)) >= maxMessageItems
}

// CrashReport names the parts of which a node suspects the crash of an upstream.
type CrashReport struct {
	Upstream string    `cbor:"1,keyasint"`
	Age      uint64    `cbor:"2,keyasint"`
	Suspects []Suspect `cbor:"3,keyasint,omitempty"`
}

// Suspect is a part of requests at a crashed upstream.
type Suspect struct {
	Part  string `cbor:"1,keyasint"`
	Depth int    `cbor:"2,keyasint,omitempty"`
	// Requests are hashes of the ids of some requests with the part.
	Requests []uint64 `cbor:"3,keyasint"`
}

// PartAge is the age of the latest answer to a request with a part.
type PartAge struct {
	Part string `cbor:"1,keyasint"`
	Age  uint64 `cbor:"2,keyasint"`
}

// UpstreamAge is the age of a send that an upstream answered.
type UpstreamAge struct {
	Upstream string `cbor:"1,keyasint"`
	Age      uint64 `cbor:"2,keyasint"`
}

// Entry is the state of a part in quarantine, or released from it. The ages but
// the first are zero for what has not happened.
type Entry struct {
	Part         string `cbor:"1,keyasint"`
	SinceAge     uint64 `cbor:"2,keyasint"`
	TriedAge     uint64 `cbor:"3,keyasint,omitempty"`
	ConfirmedAge uint64 `cbor:"4,keyasint,omitempty"`
	ReleasedAge  uint64 `cbor:"5,keyasint,omitempty"`
	// Crashes is the number of crashes that the part explained, SupportAge the age from
	// which on they make up a quarantine even if the part was answered before.
	Crashes    int    `cbor:"6,keyasint,omitempty"`
	SupportAge uint64 `cbor:"7,keyasint,omitempty"`
}

// ageOf returns the age of a time, at least 1, since zero means never.
func ageOf(at, now time.Time) uint64 {
	if at.IsZero() {
		return 0
	}
	return uint64(max(now.Sub(at).Milliseconds(), 1))
}

// timeOf is the inverse of ageOf.
func timeOf(age uint64, now time.Time) time.Time {
	if age == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(min(age, maxAge)) * time.Millisecond)
}

// news returns what this node has not told the others yet, and marks it as told.
func (t *table) news(now time.Time) Message {
	var m Message
	for _, c := range t.crashes {
		if c.announced || len(m.Crashes) >= maxMessageItems {
			continue
		}
		c.announced = true
		if r := t.report(c, now); len(r.Suspects) > 0 {
			m.Crashes = append(m.Crashes, r)
		}
	}
	m.Answers = t.answerNews(now)
	for _, part := range slices.Sorted(maps.Keys(t.entries)) {
		if e := t.entries[part]; !e.announced && len(m.Entries) < maxMessageItems {
			e.announced = true
			m.Entries = append(m.Entries, entryReport(part, e, now))
		}
	}
	return m
}

// report describes a crash without the parts that were answered since.
func (t *table) report(c *crash, now time.Time) CrashReport {
	r := CrashReport{Upstream: c.upstream, Age: ageOf(c.at, now)}
	for _, part := range slices.Sorted(maps.Keys(c.suspects)) {
		if s := c.suspects[part]; !t.answered.get(part).After(c.at) && len(r.Suspects) < maxMessageItems {
			r.Suspects = append(r.Suspects, Suspect{Part: part, Depth: s.depth, Requests: s.requests})
		}
	}
	return r
}

// answerNews returns the answers that the other nodes need to know of.
func (t *table) answerNews(now time.Time) []PartAge {
	var answers []PartAge
	for _, part := range slices.Sorted(maps.Keys(t.unreported)) {
		if len(answers) >= maxMessageItems {
			break
		}
		required := t.unreported[part]
		delete(t.unreported, part)
		if at := t.answered.get(part); required || t.isNews(part, at) {
			t.shared.set(part, at)
			answers = append(answers, PartAge{Part: part, Age: ageOf(at, now)})
		}
	}
	return answers
}

func entryReport(part string, e *entry, now time.Time) Entry {
	return Entry{
		Part: part, SinceAge: ageOf(e.since, now), TriedAge: ageOf(e.tried, now),
		ConfirmedAge: ageOf(e.confirmed, now), ReleasedAge: ageOf(e.released, now),
		Crashes: e.crashes, SupportAge: ageOf(e.support, now),
	}
}

// state returns the parts in quarantine for a node that may have missed them.
func (t *table) state(now time.Time) Message {
	var m Message
	for _, part := range slices.Sorted(maps.Keys(t.entries)) {
		if len(m.Entries) < maxMessageItems {
			m.Entries = append(m.Entries, entryReport(part, t.entries[part], now))
		}
	}
	return m
}

// source is how a message came to this node, which tells who knows it.
type source int

const (
	// flooded messages reach all nodes.
	flooded source = iota
	// reported messages reach the collectors, which tell the others.
	reported
	// attached messages came with a probe.
	attached
)

// receive takes over what another node tells. It returns the parts whose state
// changed, and whether this node has to decide again or to tell the others. Refuted
// is left to the caller.
func (t *table) receive(m Message, from source, now time.Time) (changed []string, news bool) {
	unreported := len(t.unreported)
	for _, r := range m.Crashes {
		if t.receiveCrash(r, from, now) {
			news = true
		}
	}
	for _, a := range m.Answers {
		if len(a.Part) > maxPartBytes || a.Age == 0 {
			continue
		}
		at := timeOf(a.Age, now)
		if from == flooded {
			t.shared.set(a.Part, at)
			if t.unreported[a.Part] {
				t.unreported[a.Part] = false
			}
		}
		if t.answer(a.Part, at) {
			changed = append(changed, a.Part)
		}
	}
	news = news || len(changed) > 0 || len(t.unreported) > unreported
	for _, r := range m.Entries {
		if len(r.Part) > maxPartBytes || r.SinceAge == 0 || r.SinceAge >= maxAge {
			continue
		}
		e := &entry{since: timeOf(r.SinceAge, now), tried: timeOf(r.TriedAge, now),
			confirmed: timeOf(r.ConfirmedAge, now), released: timeOf(r.ReleasedAge, now),
			crashes: max(r.Crashes, 0), support: timeOf(r.SupportAge, now)}
		merged := t.merge(r.Part, e)
		if merged {
			changed = append(changed, r.Part)
		}
		known := t.entries[r.Part]
		news = news || merged && known.active() != e.active()
		if known != nil && known.active() == e.active() {
			switch {
			case from == flooded:
				known.announced = true
			case from == reported && merged:
				known.announced, news = false, true
			}
		}
	}
	return changed, news
}

// receiveCrash takes over one report. What all nodes were told needs no
// announcement.
func (t *table) receiveCrash(r CrashReport, from source, now time.Time) (news bool) {
	if len(r.Upstream) > maxPartBytes || r.Age == 0 || r.Age > uint64(evidenceTTL.Milliseconds()) {
		return false
	}
	at := timeOf(r.Age, now)
	c, added := t.record(r.Upstream, at)
	news = added
	for _, s := range r.Suspects {
		if len(s.Part) > maxPartBytes {
			continue
		}
		for _, request := range s.Requests {
			news = c.add(s.Part, s.Depth, request) || news
		}
		t.noteAnswer(s.Part)
		t.confirm(s.Part, at)
	}
	switch {
	case from == flooded && (added || len(r.Suspects) >= len(c.suspects)):
		c.announced = true
	case from == reported && news:
		c.announced = false
	}
	return news
}
