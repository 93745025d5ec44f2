package quality

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"cassiapin/pkg/lease"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
)

// Message kinds exchanged between the nodes of a region and its aggregator.
const (
	deltaKind     peer.Kind = "quality.delta"
	broadcastKind peer.Kind = "quality.pulse"
	tableKind     peer.Kind = "quality.table"
)

const (
	tickInterval    = time.Second
	persistInterval = 60 * time.Second
	acquireInterval = 10 * time.Second
	messageTimeout  = time.Second
	// leaseCandidates is the number of nodes of a region that try to acquire the
	// lease. It keeps the request rate to the object store independent of the
	// number of nodes.
	leaseCandidates = 3
)

// tableMessage carries a node's table.
type tableMessage struct {
	Version tableVersion `cbor:"1,keyasint"`
	Rows    packed       `cbor:"2,keyasint"`
}

// sharing aggregates the observations of a region's nodes and distributes the
// resulting table. The holder of the lease quality/REGION is the aggregator.
type sharing struct {
	service     *Service
	messenger   peer.Messenger
	members     peer.Members
	leases      lease.Manager
	store       objectstore.Store
	log         *slog.Logger
	fetchNeeded chan struct{}

	// pending is guarded by service.mu.
	pending map[key]cell

	mu   sync.Mutex
	held lease.Lease
	// cycle and sequence number this aggregator's broadcasts and tables.
	cycle, sequence uint64
	// latest is the newest broadcast, received at broadcastAt from parent.
	// Pending observations are sent to parent at sendAt, which is zero once
	// they are sent.
	latest      broadcast
	broadcastAt time.Time
	parent      peer.NodeID
	sendAt      time.Time
	// table is the latest table as received or published; tableVersion
	// identifies it.
	tableVersion tableVersion
	table        packed
	// inFlight is the unacknowledged delivery; lastReceived maps each sender to
	// the number of its last accepted delivery.
	inFlight     *delivery
	deliveries   uint64
	lastReceived map[peer.NodeID]uint64

	lastBroadcast time.Time
	lastAcquire   time.Time
	lastPersisted time.Time
	// changed and unsaved report whether the aggregator's table has changed since
	// its last broadcast and since it was last saved.
	changed bool
	unsaved bool
	// loaded reports whether objectVersion is the known version of the stored
	// table.
	loaded        bool
	objectVersion uint64
}

func newSharing(s *Service, m peer.Messenger, members peer.Members, leases lease.Manager, store objectstore.Store) *sharing {
	h := &sharing{
		service: s, messenger: m, members: members, leases: leases, store: store,
		fetchNeeded: make(chan struct{}, 1), pending: make(map[key]cell), lastReceived: make(map[peer.NodeID]uint64),
	}
	m.Handle(deltaKind, h.handleDelta)
	m.Handle(broadcastKind, h.handleBroadcast)
	m.Handle(tableKind, h.handleTable)
	return h
}

// leaseName returns the name of the lease, which is also the object key of the
// stored table.
func (h *sharing) leaseName() string { return "quality/" + h.service.options.Region }

// addPending adds an observation to those not yet sent. The caller holds
// service.mu.
func (h *sharing) addPending(k key, c cell) {
	p := h.pending[k]
	p.add(c)
	h.pending[k] = p
}

func (h *sharing) run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for {
		select {
		case <-t.Dying():
			h.stop()
			return nil
		case <-h.service.clock.After(tickInterval):
			h.tick(ctx)
		}
	}
}

// stop sends the pending observations. The aggregator instead saves the table
// and releases the lease, so that a successor can take over at once.
func (h *sharing) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	l := h.heldLease()
	if l == nil {
		h.sendPending(ctx)
		return
	}
	h.persist(ctx)
	if err := l.Release(ctx); err != nil {
		h.log.Warn("quality lease not released", "error", err)
	}
}

// tick runs the periodic work that is due: it tries to acquire the lease, then
// sends observations or, on the aggregator, broadcasts and saves the table.
func (h *sharing) tick(ctx context.Context) {
	now := h.service.clock.Now()
	h.tryAcquireLease(ctx, now)
	if h.heldLease() == nil {
		h.sendDue(ctx, now)
		return
	}
	h.service.mu.Lock()
	if len(h.pending) > 0 {
		h.markChanged()
	}
	// Pending observations are already in this node's table.
	clear(h.pending)
	h.service.mu.Unlock()
	h.startCycle(now)
	if h.due(&h.lastPersisted, now, persistInterval) {
		h.persist(ctx)
	}
}

// heldLease returns the lease while it is valid, else nil.
func (h *sharing) heldLease() lease.Lease {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held != nil && !h.held.Held() {
		h.held, h.loaded = nil, false
		h.log.Info("quality lease lost", "region", h.service.options.Region)
	}
	return h.held
}

// due reports whether the interval has elapsed since *last, and if so sets
// *last to now.
func (h *sharing) due(last *time.Time, now time.Time, interval time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(*last) < interval {
		return false
	}
	*last = now
	return true
}

func (h *sharing) tryAcquireLease(ctx context.Context, now time.Time) {
	if h.leases == nil || h.heldLease() != nil || !h.isLeaseCandidate() || !h.due(&h.lastAcquire, now, acquireInterval) {
		return
	}
	l, err := h.leases.Acquire(ctx, h.leaseName(), func(previous []byte, _ bool) []byte { return previous })
	if err != nil {
		return // Another node holds it, or the object store is unreachable.
	}
	h.mu.Lock()
	h.held, h.cycle, h.changed, h.loaded = l, 0, true, false
	h.lastPersisted = now
	h.mu.Unlock()
	h.log.Info("quality lease acquired", "region", h.service.options.Region, "epoch", l.Epoch())
	h.load(ctx)
}

func (h *sharing) isLeaseCandidate() bool {
	if h.members == nil {
		return true
	}
	for _, m := range peer.Rendezvous(h.leaseName(), h.regionMembers(), leaseCandidates) {
		if m.ID == h.messenger.Self() {
			return true
		}
	}
	return false
}

func (h *sharing) regionMembers() []peer.Member {
	if h.members == nil {
		return nil
	}
	var members []peer.Member
	for _, m := range h.members.Live() {
		if m.Region == h.service.options.Region {
			members = append(members, m)
		}
	}
	return members
}

func (h *sharing) markChanged() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changed, h.unsaved = true, true
}

func (h *sharing) handleTable(context.Context, peer.NodeID, []byte) (any, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return tableMessage{Version: h.tableVersion, Rows: h.table}, nil
}

// fetchTables fetches the table from the parent when a broadcast refers to a
// table that this node does not have.
func (h *sharing) fetchTables(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for {
		select {
		case <-t.Dying():
			return nil
		case <-h.fetchNeeded:
			h.fetch(ctx)
		}
		if h.service.clock.Sleep(ctx, minCycle) != nil {
			return nil
		}
	}
}

func (h *sharing) fetch(ctx context.Context) {
	h.mu.Lock()
	parent, wanted := h.parent, h.latest.tableVersion()
	current := parent == "" || h.held != nil || h.tableVersion == wanted
	h.mu.Unlock()
	if current {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var table tableMessage
	if err := h.messenger.Request(ctx, parent, tableKind, struct{}{}, &table); err != nil || table.Version != wanted {
		return // The next broadcast triggers another fetch.
	}
	h.apply(wanted, table.Rows)
}

// load reads the stored table after the lease was acquired and merges it with
// this node's table, which is newer.
func (h *sharing) load(ctx context.Context) {
	if h.store == nil {
		return
	}
	object, err := h.store.Get(ctx, h.leaseName())
	if err != nil && result.CodeOf(err) != result.ObjectNotFound {
		return // Retried before the table is saved.
	}
	var rows []row
	if err == nil {
		if err := json.Unmarshal(object.Value, &rows); err != nil {
			h.log.Warn("stored quality table is malformed; replacing it", "error", err)
		}
	}
	cells := fromRows(rows)
	h.service.mu.Lock()
	// The stored cells are an older state of the same observations, so they
	// only replace cells that are empty or have fewer ratings.
	for k, c := range cells {
		if h.service.cells[k].empty() || h.service.cells[k].Rated < c.Rated {
			h.service.cells[k] = c
		}
	}
	h.service.mu.Unlock()
	h.mu.Lock()
	h.loaded, h.objectVersion = true, object.Version
	h.mu.Unlock()
}

// persist saves the table if it has changed.
func (h *sharing) persist(ctx context.Context) {
	h.mu.Lock()
	loaded, unsaved := h.loaded, h.unsaved
	h.mu.Unlock()
	if h.store == nil || !unsaved {
		return
	}
	if !loaded {
		h.load(ctx)
	}
	h.service.mu.Lock()
	value, err := json.Marshal(toRows(h.service.cells))
	h.service.mu.Unlock()
	if l := h.heldLease(); err != nil || l == nil {
		return
	}
	h.mu.Lock()
	version, loaded := h.objectVersion, h.loaded
	h.mu.Unlock()
	if !loaded {
		return
	}
	object, err := h.write(ctx, value, version)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.loaded = false // Re-read the object version before the next attempt.
		return
	}
	h.objectVersion, h.unsaved = object.Version, false
}

func (h *sharing) write(ctx context.Context, value []byte, version uint64) (objectstore.Object, error) {
	if version == 0 {
		return h.store.Create(ctx, h.leaseName(), value)
	}
	return h.store.Update(ctx, h.leaseName(), value, version)
}
