package edge

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
	"cassiapin/pkg/settings"
	"cassiapin/pkg/storeview"
	"cassiapin/pkg/topology"
)

// entry is a node's own object in the store. It is named after the host, so
// that a new process on a host replaces the one before.
type entry struct {
	// Fingerprint is that of the certificate generated when the node started.
	Fingerprint string `json:"fingerprint"`
	PeerAddress string `json:"peer_address"`
	// StartedMS is when the process started by its clock, zero in entries of earlier
	// releases. It orders the processes of a host when the store has come back from a copy.
	StartedMS int64 `json:"started_ms,omitempty"`
}

// entryStore stores the entries. It is implemented by platform.Store.
type entryStore interface {
	List(ctx context.Context, kind storeview.Kind) ([]storeview.Object, topology.Revision, error)
	Get(ctx context.Context, kind storeview.Kind, name string) (storeview.Object, error)
	Put(ctx context.Context, kind storeview.Kind, name string, spec any) error
	// Create fails with result.ObjectConflict if there is an object of the name, Replace and
	// Delete if it has another revision.
	Create(ctx context.Context, kind storeview.Kind, name string, spec any) (topology.Revision, error)
	Replace(ctx context.Context, kind storeview.Kind, name string, revision topology.Revision, spec any) (topology.Revision, error)
	Delete(ctx context.Context, kind storeview.Kind, name string, revision topology.Revision) error
	// Revealed returns the latest revision of the store in any answer.
	Revealed() topology.Revision
}

const (
	// listTimeout bounds a list, which a handshake may wait for.
	listTimeout = time.Second
	// listPause is the shortest time between two lists, so that repeated
	// handshakes with unknown certificates do not each cost a store call.
	listPause = 500 * time.Millisecond
	// vouchWaitMin and vouchWaitMax bound the random time that a handshake with
	// an unknown certificate waits for another node to report it before the
	// store is listed. When many nodes start at once, most of them have an
	// entry by then; a single new node is looked up by the first few it meets.
	vouchWaitMin = 50 * time.Millisecond
	vouchWaitMax = 350 * time.Millisecond
	// vouchPollInterval is the pause between two looks at the members.
	vouchPollInterval = 25 * time.Millisecond
)

// registry establishes trust between the nodes, based on write access to the
// store: each node publishes its certificate's fingerprint there, and only
// published certificates are accepted, and those that a trusted node reports in
// its list of members. It also provides the number and addresses
// of the nodes before this one has joined them.
type registry struct {
	kernel.Base
	store entryStore
	host  string
	own   entry
	// expected is the number of nodes that the settings name, this one included.
	expected int
	log      *slog.Logger
	// ctx ends the lookups of certificates, which belong to no service, when the
	// registry is closed by close.
	ctx   context.Context
	close context.CancelFunc
	// staying ends the writes of the entry when the node leaves.
	staying context.Context
	depart  context.CancelFunc
	// writing serializes the writes and the removal of the entry.
	writing sync.Mutex
	// live returns the live members that trusted nodes have reported; it is set
	// before the first handshake.
	live func() []peer.Member

	// listing serializes the lists.
	listing sync.Mutex
	// mu guards the fields below.
	mu           sync.Mutex
	certificates *certificates
	seeds        []string
	// nodes is the number of nodes as of the latest list, this one included; zero before
	// the first. It counts those whose entries a copy lacks, so that no node takes itself
	// for the only one when the store comes back from it.
	nodes int
	// listed is the start of the latest list.
	listed time.Time
	// ownRevision is the revision of this node's entry, zero if it is not known.
	ownRevision topology.Revision
	// confirmed is the latest era of the store in which the host's entry is known to be
	// this node's, or that of a later process.
	confirmed uint64
}

func newRegistry(store entryStore, host string, own entry) *registry {
	r := &registry{store: store, host: host, own: own, certificates: newCertificates(own.Fingerprint)}
	r.ctx, r.close = context.WithCancel(context.Background())
	r.staying, r.depart = context.WithCancel(r.ctx)
	return r
}

// expectedNodes is the number of nodes that the settings of one name, itself included. The
// platform names a few of a fleet, which may be the node itself.
func expectedNodes(s *settings.Router) int {
	nodes := map[string]bool{s.AdvertisedPeerAddress(): true}
	for _, seed := range s.PeerSeeds() {
		if seed != s.PeerAddress() {
			nodes[seed] = true
		}
	}
	return len(nodes)
}

func (*registry) Name() string { return "fleet.registry" }

func (r *registry) Provision(k *kernel.Kernel) error {
	r.log = k.Log
	return nil
}

// isTrusted reports whether a certificate belongs to a node of the fleet. It reads
// only the entry of the host that the certificate names: after a power failure each
// node meets many new certificates, and lists of all nodes for each would fill the
// links to the store.
func (r *registry) isTrusted(host, fingerprint string) bool {
	arrived := time.Now()
	wait := vouchWaitMin + rand.N(vouchWaitMax-vouchWaitMin)
	for !r.has(fingerprint) && time.Since(arrived) < wait {
		time.Sleep(vouchPollInterval)
	}
	if r.has(fingerprint) {
		return true
	}
	ctx, cancel := context.WithTimeout(r.ctx, listTimeout)
	defer cancel()
	known, found := r.registered(ctx, host, fingerprint)
	if !found {
		// Certificates of earlier releases do not name their host.
		r.refresh(ctx, arrived)
		known = r.has(fingerprint)
	}
	if !known {
		r.log.Warn(eventlog.PeerRefused, "host", host, "fingerprint", fingerprint, "known", r.nodeCount())
	}
	return known
}

// registered reports whether a host's entry in the store has the fingerprint. found is
// false if the host has none.
func (r *registry) registered(ctx context.Context, host, fingerprint string) (known, found bool) {
	if host == "" {
		return false, false
	}
	object, err := r.store.Get(ctx, storeview.Nodes, host)
	if err != nil {
		return false, result.CodeOf(err) != result.ObjectNotFound
	}
	var e entry
	if json.Unmarshal(object.Spec, &e) != nil || e.Fingerprint != fingerprint {
		return false, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.certificates.verify(certificate{entry: e, host: host, revision: object.Revision}), true
}

func (r *registry) has(fingerprint string) bool {
	r.mu.Lock()
	trusted := r.certificates.has(fingerprint)
	r.mu.Unlock()
	if trusted || r.live == nil {
		return trusted
	}
	return slices.ContainsFunc(r.live(), func(m peer.Member) bool { return m.Fingerprint == fingerprint })
}

// nodeCount is the number of nodes with an entry, this one included, or of those that the
// settings name until a list has been answered.
func (r *registry) nodeCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.nodes == 0 {
		return max(r.expected, 1)
	}
	return r.nodes
}

// mayHaveOthers reports whether there may be other nodes: the store has entries of others,
// or has not answered a list yet.
func (r *registry) mayHaveOthers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nodes != 1
}

// refresh reads the entries, unless a list has begun after the given time, and
// at most once in listPause. A certificate stays trusted until its host's entry
// is found replaced or removed.
func (r *registry) refresh(ctx context.Context, after time.Time) {
	r.listing.Lock()
	defer r.listing.Unlock()
	r.mu.Lock()
	listed := r.listed
	r.mu.Unlock()
	if listed.After(after) {
		return
	}
	select {
	case <-time.After(listPause - time.Since(listed)):
	case <-ctx.Done():
		return
	}
	r.mu.Lock()
	r.listed = time.Now()
	r.mu.Unlock()
	objects, revision, err := r.store.List(ctx, storeview.Nodes)
	if err != nil {
		r.log.Warn(eventlog.StoreLost, "kind", storeview.Nodes.String(), "error", err.Error())
		return
	}
	var list []certificate
	var ownRevision topology.Revision
	for _, o := range objects {
		var e entry
		if err := json.Unmarshal(o.Spec, &e); err != nil || e.Fingerprint == "" {
			r.log.Warn(eventlog.ObjectRefused, "kind", storeview.Nodes.String(), "object", o.Name, "revision", o.Revision)
			continue
		}
		if e.Fingerprint == r.own.Fingerprint {
			ownRevision = o.Revision
			continue
		}
		list = append(list, certificate{entry: e, host: o.Name, revision: o.Revision})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision.Era < r.certificates.listed.Era {
		return
	}
	r.certificates.replace(list, revision)
	r.nodes = r.certificates.hosts(r.host) + 1
	r.seeds = r.certificates.addresses()
	switch {
	case !ownRevision.IsZero():
		r.seeds = append(r.seeds, r.own.PeerAddress)
		r.noteOwnLocked(ownRevision)
	case !r.ownRevision.After(revision):
		r.ownRevision = topology.Revision{}
	}
}

// Seeds implements membership.SeedSource.
func (r *registry) Seeds(ctx context.Context) ([]string, error) {
	r.refresh(ctx, time.Now().Add(-listPause))
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.seeds) == 0 {
		return nil, errors.New("no node has an entry in the store")
	}
	return r.seeds, nil
}
