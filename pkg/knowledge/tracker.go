package knowledge

import (
	"cmp"
	"slices"
	"time"

	"cassiapin/pkg/topology"
)

// TrackerOptions are the times that a Tracker depends on.
type TrackerOptions struct {
	// Heartbeat is the period at which upstreams renew their entries.
	Heartbeat time.Duration
}

const (
	// returnGrace is how long entries that lapsed while the store was away may
	// take to come back; the users' letter says about two seconds.
	returnGrace = 2500 * time.Millisecond
	// outageLength is the shortest time without the store in which an entry
	// can lapse unseen: entries outlive two missed renewals.
	outageLength = time.Second
)

// Tracker applies changes to a view. It has no clock and no goroutine; the
// caller serializes the calls.
type Tracker struct {
	opts      TrackerOptions
	config    *topology.Config
	upstreams map[string]*tracked
	evacuated map[string]bool
	coldUntil map[string]time.Time
	rollouts  map[string]*topology.Rollout
	listed    [Nodes]bool
	// lostAt is the start of the present outage of each kind; graceUntil ends
	// the time in which lapsed entries are expected back.
	lostAt     [Nodes]time.Time
	graceUntil time.Time
}

// tracked is an upstream and, while its entry is missing after an outage, the
// moment at which it counts as gone.
type tracked struct {
	upstream *topology.Upstream
	goneAt   time.Time
}

// NewTracker returns a tracker without knowledge.
func NewTracker(o TrackerOptions) *Tracker {
	return &Tracker{
		opts:      o,
		upstreams: make(map[string]*tracked),
		evacuated: make(map[string]bool),
		coldUntil: make(map[string]time.Time),
		rollouts:  make(map[string]*topology.Rollout),
	}
}

// StoreLost notes that the store stopped to answer.
func (t *Tracker) StoreLost(kind Kind, now time.Time) {
	if t.lostAt[kind].IsZero() {
		t.lostAt[kind] = now
	}
}

// StoreAnswered notes that the store answers. After an outage that was long
// enough for entries to lapse, a grace period begins.
func (t *Tracker) StoreAnswered(kind Kind, now time.Time) {
	if kind == Upstreams && !t.lostAt[kind].IsZero() && now.Sub(t.lostAt[kind]) >= outageLength {
		t.Grace(now.Add(returnGrace))
	}
	t.lostAt[kind] = time.Time{}
}

// Told notes that another node says what the store answers, so that this
// node's own outage does not begin a grace period; a notice carries the one of
// its sender.
func (t *Tracker) Told(kind Kind) { t.lostAt[kind] = time.Time{} }

// Grace lets entries that lapsed in an outage come back until a moment.
func (t *Tracker) Grace(until time.Time) {
	if until.After(t.graceUntil) {
		t.graceUntil = until
	}
}

// SetConfig takes a configuration unless it is older than the one in force.
func (t *Tracker) SetConfig(c *topology.Config) bool {
	if t.config != nil && (c.Version <= t.config.Version || c.Revision < t.config.Revision) {
		return false
	}
	t.config = c
	return true
}

// SetUpstream takes an entry. It reports whether the view changes.
func (t *Tracker) SetUpstream(u *topology.Upstream, now time.Time) bool {
	if u.ColdFor > 0 {
		u.ColdUntil = now.Add(u.ColdFor)
	}
	old, known := t.upstreams[u.ID]
	t.upstreams[u.ID] = &tracked{upstream: u}
	return !known || !sameEntry(old.upstream, u)
}

func sameEntry(a, b *topology.Upstream) bool {
	x, y := *a, *b
	x.ColdUntil, y.ColdUntil = time.Time{}, time.Time{}
	return x == y
}

// DeleteUpstream handles a removed entry. Within the grace period after an
// outage the upstream stays until the period ends, unless it was leaving.
func (t *Tracker) DeleteUpstream(id string, now time.Time) bool {
	u, ok := t.upstreams[id]
	if !ok {
		return false
	}
	if now.Before(t.graceUntil) && !u.upstream.Draining {
		if u.goneAt.IsZero() {
			u.goneAt = t.graceUntil
		}
		return false
	}
	delete(t.upstreams, id)
	return true
}

// Retain removes what a list of a kind does not contain.
func (t *Tracker) Retain(kind Kind, present map[string]bool, now time.Time) bool {
	changed := !t.listed[kind]
	t.listed[kind] = true
	switch kind {
	case Upstreams:
		for id := range t.upstreams {
			if !present[id] {
				changed = t.DeleteUpstream(id, now) || changed
			}
		}
	case Evacuations:
		for domain := range t.evacuated {
			if !present[domain] {
				changed = t.SetEvacuated(domain, false, now) || changed
			}
		}
	case Rollouts:
		for name := range t.rollouts {
			if !present[name] {
				changed = t.DeleteRollout(name) || changed
			}
		}
	}
	return changed
}

// Expire removes upstreams whose entries did not come back, and returns their
// ids.
func (t *Tracker) Expire(now time.Time) []string {
	var gone []string
	for id, u := range t.upstreams {
		if !u.goneAt.IsZero() && !now.Before(u.goneAt) {
			delete(t.upstreams, id)
			gone = append(gone, id)
		}
	}
	return gone
}

// SetEvacuated takes a failure domain out or back. The upstreams of a domain
// that comes back may have turned cold, and their entries say so only after
// two renewals.
func (t *Tracker) SetEvacuated(domain string, out bool, now time.Time) bool {
	if t.evacuated[domain] == out {
		return false
	}
	if out {
		t.evacuated[domain] = true
		return true
	}
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

// SetRollout takes an order or its new state. The final state of an order does
// not change again.
func (t *Tracker) SetRollout(name string, r *topology.Rollout) bool {
	old := t.rollouts[name]
	if old != nil && old.Created == r.Created && old.Revision >= r.Revision {
		return false
	}
	t.rollouts[name] = r
	return true
}

// DeleteRollout forgets an order.
func (t *Tracker) DeleteRollout(name string) bool {
	_, known := t.rollouts[name]
	delete(t.rollouts, name)
	return known
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
