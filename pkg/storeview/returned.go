package storeview

import (
	"maps"
	"time"

	"cassiapin/pkg/topology"
)

// A store that comes back from an older copy lacks what was written after the copy. What
// this node knew stays in force until operators and upstreams have written it again.

const (
	// retention is how long rollouts and evacuations that the copy lacks stay in force if
	// they are not written again: their removal may have been missed.
	retention = 15 * time.Second
	// departedMemory is how long upstreams and rollouts that are gone are remembered; an
	// older copy shows them again.
	departedMemory = 2 * time.Minute
	// expiryHeartbeats is the number of missed renewals after which the store has
	// removed the entry of an upstream that is gone, with one to spare.
	expiryHeartbeats = 4
)

// departure is when an upstream left the view, and the era of its last entry.
type departure struct {
	at  time.Time
	era uint64
}

// withheld is an upstream that is gone as far as this node knows, but whose entry is in
// the store's copy.
type withheld struct {
	upstream *topology.Upstream
	until    time.Time
}

// retained is what a Tracker remembers for a store that comes back from an older copy.
type retained struct {
	// eras are the eras of the store that the state of each kind is from, and until the
	// ends of the retention of what the copy lacks.
	eras  [Nodes]uint64
	until [Nodes]time.Time
	// copyUnlisted is set from the return until a list shows which upstreams the copy has.
	copyUnlisted bool
	// departed are the upstreams that have left the view, withheld those whose entries
	// came back with a copy, by id, and ended the last removed rollouts by name.
	departed map[topology.Incarnation]departure
	withheld map[string]withheld
	ended    map[string]endedRollout
}

// endedRollout is a rollout that was removed, and when.
type endedRollout struct {
	rollout *topology.Rollout
	at      time.Time
}

func newRetained() retained {
	return retained{
		departed: make(map[topology.Incarnation]departure),
		withheld: make(map[string]withheld),
		ended:    make(map[string]endedRollout),
	}
}

// StartEra records the era of the store in which a kind is first read.
func (t *Tracker) StartEra(kind Kind, era uint64) { t.eras[kind] = era }

// EnterEra records the era of the store that the state of a kind is read in. In a later
// one the state is that of a copy.
func (t *Tracker) EnterEra(kind Kind, era uint64, now time.Time) {
	if era <= t.eras[kind] {
		return
	}
	t.eras[kind] = era
	t.until[kind] = now.Add(retention)
	if kind == Upstreams {
		t.copyUnlisted = true
		// Entries that the copy lacks are renewed as after an outage, which no other
		// node's contact with the store disproves.
		t.graceFor = time.Time{}
		t.graceUntil = now.Add(reregisterGrace)
	}
}

// keepsLost reports whether an object stays in force although the store lacks it: its
// latest revision is of an earlier era.
func (t *Tracker) keepsLost(kind Kind, r topology.Revision, now time.Time) bool {
	return r.Era < t.eras[kind] && now.Before(t.until[kind])
}

// endRetention removes the rollouts and evacuations that the store lacks and that nobody has
// written again in time. It reports whether the view changes.
func (t *Tracker) endRetention(now time.Time) bool {
	maps.DeleteFunc(t.ended, func(_ string, e endedRollout) bool { return now.Sub(e.at) > departedMemory })
	changed := false
	if until := t.until[Evacuations]; !until.IsZero() && !now.Before(until) {
		t.until[Evacuations] = time.Time{}
		for domain, r := range maps.Clone(t.evacuated) {
			if r.Era < t.eras[Evacuations] {
				changed = t.endEvacuation(domain, now) || changed
			}
		}
	}
	if until := t.until[Rollouts]; !until.IsZero() && !now.Before(until) {
		t.until[Rollouts] = time.Time{}
		for name, r := range maps.Clone(t.rollouts) {
			if r.Revision.Era < t.eras[Rollouts] {
				changed = t.removeRollout(name, now) || changed
			}
		}
	}
	return changed
}

// depart remembers an upstream that has left the view.
func (t *Tracker) depart(u *topology.Upstream, now time.Time) {
	t.departed[u.Incarnation()] = departure{now, u.Revision.Era}
	maps.DeleteFunc(t.departed, func(_ topology.Incarnation, d departure) bool { return now.Sub(d.at) > departedMemory })
}

// withhold reports whether the entry of an upstream that is not in the view may only be in
// the store because its copy is older than the upstream's departure. Then the entry waits
// until it changes or the store would have removed it.
func (t *Tracker) withhold(u *topology.Upstream, now time.Time) bool {
	if w, ok := t.withheld[u.ID]; ok {
		if u.Revision.Era == w.upstream.Revision.Era && u.Revision != w.upstream.Revision {
			delete(t.withheld, u.ID) // The upstream itself has written it.
			return false
		}
		t.withheld[u.ID] = withheld{u, w.until}
		return true
	}
	d, ok := t.departed[u.Incarnation()]
	if !ok || !t.copyUnlisted || now.Sub(d.at) > departedMemory || u.Revision.Era <= d.era {
		return false
	}
	t.withheld[u.ID] = withheld{u, now.Add(expiryHeartbeats * t.opts.Heartbeat)}
	return true
}

// endWithholding adds the upstreams whose entries the store still has although nobody
// can have renewed them if they were gone. It reports whether the view changes.
func (t *Tracker) endWithholding(now time.Time) bool {
	changed := false
	for id, w := range t.withheld {
		if !now.Before(w.until) {
			delete(t.withheld, id)
			delete(t.departed, w.upstream.Incarnation())
			changed = t.SetUpstream(w.upstream, now) || changed
		}
	}
	return changed
}

// keepState keeps what is known of an upstream from an earlier era of the store: it stays
// draining, as the copy may be older than that, and its cold start doesn't begin again.
func keepState(old, u *topology.Upstream) {
	if old.Revision.Era >= u.Revision.Era || old.Incarnation() != u.Incarnation() {
		return
	}
	u.Draining = u.Draining || old.Draining
	if u.ColdFor > 0 && old.ColdUntil.Before(u.ColdUntil) {
		u.ColdUntil = old.ColdUntil
	}
}

// ofEarlierRun reports whether u is the entry of an earlier run of an upstream, which the
// copy has instead of the present one's.
func ofEarlierRun(old, u *topology.Upstream) bool {
	return old.Revision.Era < u.Revision.Era && u.StartedMS < old.StartedMS
}

// keepLostRollout keeps a rollout that the store lacks: its state has to be written again. It
// reports whether the view changes.
func (t *Tracker) keepLostRollout(name string) bool {
	lost := *t.rollouts[name]
	if lost.Stored == topology.RolloutRequested {
		return false
	}
	lost.Stored = topology.RolloutRequested
	t.rollouts[name] = &lost
	return true
}

// adoptRollout continues a rollout that this node knows from an earlier era of the store,
// or one of the same era whose state went further than the store's.
func (t *Tracker) adoptRollout(name string, r *topology.Rollout) {
	old := t.rollouts[name]
	if old == nil {
		old = t.ended[name].rollout
	}
	if old == nil || old.Target != r.Target || old.Service != r.Service ||
		old.Created != r.Created && old.Created.Era >= r.Created.Era {
		return
	}
	if !r.State.Final() && old.State > r.State {
		r.State = old.State
	}
	if r.Appeared.IsZero() {
		r.Appeared = old.Appeared
	}
}
