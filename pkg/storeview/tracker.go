package storeview

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cassiapin/pkg/topology"
)

// TrackerOptions are the settings of a Tracker.
type TrackerOptions struct {
	// Heartbeat is the period at which upstreams renew their entries.
	Heartbeat time.Duration
}

const (
	// reregisterGrace is the time for upstreams to renew entries that expired
	// during a store outage; the platform specifies about two seconds.
	reregisterGrace = 2500 * time.Millisecond
	// minOutage is the shortest outage in which an entry can expire unnoticed:
	// entries outlive two missed renewals.
	minOutage = time.Second
)

// Tracker applies changes to a view. It has no clock and no goroutine; the
// caller serializes the calls.
type Tracker struct {
	opts      TrackerOptions
	config    *topology.Config
	upstreams map[string]*tracked
	// evacuated has the revisions of the evacuations by failure domain.
	evacuated map[string]topology.Revision
	coldUntil map[string]time.Time
	rollouts  map[string]*topology.Rollout
	listed    [Nodes]bool
	// lostAt is the start of the current outage of each kind; graceUntil is the
	// end of the grace period for expired entries, and graceFor the start of the
	// outage that it is for, zero if unknown.
	lostAt               [Nodes]time.Time
	graceUntil, graceFor time.Time
	retained
}

// tracked is an upstream and, while its entry is missing after an outage, the
// time at which it is removed.
type tracked struct {
	upstream  *topology.Upstream
	expiresAt time.Time
}

// NewTracker returns an empty tracker.
func NewTracker(o TrackerOptions) *Tracker {
	return &Tracker{
		opts:      o,
		upstreams: make(map[string]*tracked),
		evacuated: make(map[string]topology.Revision),
		coldUntil: make(map[string]time.Time),
		rollouts:  make(map[string]*topology.Rollout),
		retained:  newRetained(),
	}
}

// StoreLost records that the store stopped answering.
func (t *Tracker) StoreLost(kind Kind, now time.Time) {
	if t.lostAt[kind].IsZero() {
		t.lostAt[kind] = now
	}
}

// StoreAnswered records that the store answers. After an outage that was long
// enough for entries to expire, a grace period begins.
func (t *Tracker) StoreAnswered(kind Kind, now time.Time) {
	if kind == Upstreams && !t.lostAt[kind].IsZero() && now.Sub(t.lostAt[kind]) >= minOutage {
		t.Grace(t.lostAt[kind], now.Add(reregisterGrace))
	}
	t.lostAt[kind] = time.Time{}
}

// ConfirmedByPeer records that another node has relayed the store's state, so
// that the end of this node's own outage does not begin a grace period; a
// notice carries the sender's grace period.
func (t *Tracker) ConfirmedByPeer(kind Kind) { t.lostAt[kind] = time.Time{} }

// Grace extends the grace period for entries that expired in an outage that began at
// lost, zero if unknown.
func (t *Tracker) Grace(lost, until time.Time) {
	if until.After(t.graceUntil) {
		t.graceFor, t.graceUntil = lost, until
	}
}

// AwaitsRenewals reports whether upstreams whose entries are missing stay until the end
// of a grace period, and returns the start of the outage that it is for.
func (t *Tracker) AwaitsRenewals(now time.Time) (lost time.Time, awaits bool) {
	if t.graceFor.IsZero() || !now.Before(t.graceUntil) {
		return time.Time{}, false
	}
	for _, u := range t.upstreams {
		if !u.expiresAt.IsZero() {
			return t.graceFor, true
		}
	}
	return time.Time{}, false
}

// EndGrace ends the grace period for the outage that began at lost, as the store was not
// away. It removes the upstreams whose entries are missing and returns their ids.
func (t *Tracker) EndGrace(lost time.Time) []string {
	if !t.graceFor.Equal(lost) {
		return nil
	}
	until := t.graceUntil
	t.graceFor, t.graceUntil = time.Time{}, time.Time{}
	return t.Expire(until)
}

// SetConfig sets the configuration unless it is older than the current one: operators
// number the versions, so their order holds whatever the store has lost. One that was lost
// may be written again with other content. It reports whether the view changes.
func (t *Tracker) SetConfig(c *topology.Config) bool {
	if t.config != nil && (c.Version < t.config.Version || c.Version == t.config.Version && c.Revision.Era <= t.config.Revision.Era) {
		return false
	}
	t.config = c
	return true
}

// SetUpstream sets an entry. It reports whether the view changes.
func (t *Tracker) SetUpstream(u *topology.Upstream, now time.Time) bool {
	if u.ColdFor > 0 {
		u.ColdUntil = now.Add(u.ColdFor)
	}
	old, known := t.upstreams[u.ID]
	if !known && t.withhold(u, now) {
		return false
	}
	if known && ofEarlierRun(old.upstream, u) {
		if old.expiresAt.IsZero() {
			old.expiresAt = t.graceUntil
		}
		return false
	}
	if known {
		keepState(old.upstream, u)
	}
	t.upstreams[u.ID] = &tracked{upstream: u}
	return !known || !sameEntry(old.upstream, u)
}

func sameEntry(a, b *topology.Upstream) bool {
	x, y := *a, *b
	x.ColdUntil, y.ColdUntil = time.Time{}, time.Time{}
	x.Revision, y.Revision = topology.Revision{}, topology.Revision{}
	return x == y
}

// DeleteUpstream handles a removed entry. Within the grace period after an
// outage the upstream stays until the period ends, unless it was leaving.
func (t *Tracker) DeleteUpstream(id string, now time.Time) bool {
	delete(t.withheld, id)
	u, ok := t.upstreams[id]
	if !ok {
		return false
	}
	if now.Before(t.graceUntil) && !u.upstream.Draining {
		if u.expiresAt.IsZero() {
			u.expiresAt = t.graceUntil
		}
		return false
	}
	t.depart(u.upstream, now)
	delete(t.upstreams, id)
	return true
}

// Retain removes the objects of a kind that a list does not contain.
func (t *Tracker) Retain(kind Kind, present map[string]bool, now time.Time) bool {
	changed := !t.listed[kind]
	t.listed[kind] = true
	switch kind {
	case Upstreams:
		t.copyUnlisted = false
		maps.DeleteFunc(t.withheld, func(id string, _ withheld) bool { return !present[id] })
		for id := range t.upstreams {
			if !present[id] {
				changed = t.DeleteUpstream(id, now) || changed
			}
		}
	case Evacuations:
		for domain, r := range t.evacuated {
			if !present[domain] {
				changed = t.EndEvacuation(domain, r, now) || changed
			}
		}
	case Rollouts:
		for name, r := range t.rollouts {
			if !present[name] {
				changed = t.DeleteRollout(name, r.Revision, now) || changed
			}
		}
	}
	return changed
}

// Expire removes upstreams whose entries were not renewed within the grace
// period, and returns their ids.
func (t *Tracker) Expire(now time.Time) []string {
	var expired []string
	for id, u := range t.upstreams {
		if !u.expiresAt.IsZero() && !now.Before(u.expiresAt) {
			t.depart(u.upstream, now)
			delete(t.upstreams, id)
			expired = append(expired, id)
		}
	}
	return expired
}

// SetEvacuated marks a failure domain as evacuated by the object with a revision.
func (t *Tracker) SetEvacuated(domain string, r topology.Revision) bool {
	_, known := t.evacuated[domain]
	t.evacuated[domain] = r
	return !known
}

// EndEvacuation marks a failure domain as returned; r is the revision of the removed object
// or of its removal. An evacuation of an earlier era that the store lacks goes on.
func (t *Tracker) EndEvacuation(domain string, r topology.Revision, now time.Time) bool {
	if _, known := t.evacuated[domain]; !known || t.keepsLost(Evacuations, r, now) {
		return false
	}
	return t.endEvacuation(domain, now)
}

// endEvacuation ends an evacuation. The upstreams of a returned domain may have become
// cold, which their entries show only after two renewals.
func (t *Tracker) endEvacuation(domain string, now time.Time) bool {
	delete(t.evacuated, domain)
	t.coldUntil[domain] = now.Add(2*t.opts.Heartbeat + t.longestColdStart())
	return true
}

func (t *Tracker) longestColdStart() time.Duration {
	var longest time.Duration
	if t.config != nil {
		for _, s := range t.config.Services {
			longest = max(longest, s.ColdStart)
		}
	}
	return longest
}

// SetRollout sets a rollout or its new state, unless the known one is newer. The
// final state of a rollout does not change again.
func (t *Tracker) SetRollout(name string, r *topology.Rollout) bool {
	old := t.rollouts[name]
	if old != nil && old.Created == r.Created && !old.Revision.Before(r.Revision) {
		return false
	}
	t.adoptRollout(name, r)
	t.rollouts[name] = r
	return true
}

// DeleteRollout removes a rollout; r is the revision of the removed object or of its
// removal. A rollout of an earlier era that the store lacks goes on. It reports whether the
// view changes.
func (t *Tracker) DeleteRollout(name string, r topology.Revision, now time.Time) bool {
	switch {
	case t.rollouts[name] == nil:
		return false
	case t.keepsLost(Rollouts, r, now):
		return t.keepLostRollout(name)
	}
	return t.removeRollout(name, now)
}

func (t *Tracker) removeRollout(name string, now time.Time) bool {
	t.ended[name] = endedRollout{t.rollouts[name], now}
	delete(t.rollouts, name)
	return true
}

// View returns an immutable copy.
func (t *Tracker) View() *topology.View {
	v := &topology.View{
		Config:    t.config,
		Upstreams: make(map[string][]*topology.Upstream),
		Evacuated: make(map[string]bool, len(t.evacuated)),
		ColdUntil: make(map[string]time.Time, len(t.coldUntil)),
		Rollouts:  make(map[string]*topology.Rollout, len(t.rollouts)),
	}
	for _, u := range t.upstreams {
		v.Upstreams[u.upstream.Service] = append(v.Upstreams[u.upstream.Service], u.upstream)
	}
	for _, list := range v.Upstreams {
		slices.SortFunc(list, func(a, b *topology.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	for domain := range t.evacuated {
		v.Evacuated[domain] = true
	}
	for domain, until := range t.coldUntil {
		v.ColdUntil[domain] = until
	}
	for _, r := range t.rollouts {
		v.Rollouts[r.Service] = r
	}
	return v
}
