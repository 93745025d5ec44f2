package edge

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/canary"
	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/membership"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/storeview"
)

// The messages between nodes.
const (
	kindCanaryReport peer.Kind = "cutover.report"
	kindCanarySum    peer.Kind = "cutover.sum"
	kindNotice       peer.Kind = "knowledge.notice"
	kindQuery        peer.Kind = "knowledge.question"
)

// fleet implements canary.Fleet and relay.Fleet on top of the membership and
// the messages between nodes.
type fleet struct {
	kernel.Base
	members *membership.Service
	msgr    peer.Messenger
	// registry counts the nodes in the store, for use until this node has
	// joined any.
	registry *registry
	// region and domain are this node's region and failure domain.
	region, domain string
	log            *slog.Logger
}

func (*fleet) Name() string { return "fleet.nodes" }

func (f *fleet) Provision(k *kernel.Kernel) error {
	f.log = k.Log
	f.members.AddPiggyback(clockKey, &clockSync{hlc: k.HLC, log: k.Log})
	return nil
}

// membersLogInterval is the shortest time between two log lines about the
// members; a fleet that starts or loses a failure domain changes many times in a
// second.
const membersLogInterval = time.Second

// Run logs the changes of the members.
func (f *fleet) Run(t *tomb.Tomb) error {
	changes := f.members.Subscribe()
	t.Go(func() error {
		for {
			select {
			case <-t.Dying():
				return nil
			case <-changes:
				f.log.Info(eventlog.MembersChanged, "live", len(f.members.Live()), "reachable", len(f.members.Reachable()), "known", f.NodeCount(),
					"isolated", f.members.Isolated())
			}
			select {
			case <-t.Dying():
				return nil
			case <-time.After(membersLogInterval):
			}
		}
	})
	return nil
}

// Self implements canary.Fleet.
func (f *fleet) Self() string { return string(f.msgr.Self()) }

// Peers implements canary.Fleet. It includes nodes that are out of reach: they may
// still send to the releases.
func (f *fleet) Peers() []string {
	var ids []string
	for _, m := range f.members.Live() {
		if m.ID != f.msgr.Self() {
			ids = append(ids, string(m.ID))
		}
	}
	return ids
}

// Nodes implements relay.Fleet. A node that has not joined any other adds
// placeholder ids for the nodes in the store, so that its own share of each limit
// is not too large.
func (f *fleet) Nodes() []string {
	ids := append(f.Peers(), f.Self())
	if len(ids) == 1 {
		for i := 1; i < f.registry.nodeCount(); i++ {
			ids = append(ids, fmt.Sprintf("unmet-%d", i))
		}
	}
	slices.Sort(ids)
	return ids
}

// DomainNodes implements relay.Fleet. The nodes divide the upstreams, so those that
// are out of reach do not count.
func (f *fleet) DomainNodes() []string {
	var ids []string
	for _, m := range f.members.Reachable() {
		if m.FailureDomain == f.domain && (m.State == peer.Alive || m.ID == f.msgr.Self()) {
			ids = append(ids, string(m.ID))
		}
	}
	return ids
}

// NodeCount is the number of nodes that may send to upstreams: all that are not
// known to be dead, since an unreachable node may still be sending.
func (f *fleet) NodeCount() int {
	n := 0
	for _, m := range f.members.All() {
		if m.State != peer.Dead {
			n++
		}
	}
	if n <= 1 {
		return f.registry.nodeCount()
	}
	return n
}

// Send implements canary.Fleet.
func (f *fleet) Send(node string, m canary.Message) error {
	return f.msgr.Notify(peer.NodeID(node), kindCanaryReport, m)
}

// Broadcast implements canary.Fleet.
func (f *fleet) Broadcast(m canary.Message) error { return f.msgr.Flood(kindCanarySum, m) }

// Receive implements canary.Fleet.
func (f *fleet) Receive(handle func(m canary.Message)) {
	for _, kind := range []peer.Kind{kindCanaryReport, kindCanarySum} {
		handleKind(f.msgr, kind, handle)
	}
}

// handleKind registers a handler of decoded messages.
func handleKind[T any](msgr peer.Messenger, kind peer.Kind, handle func(m T)) {
	msgr.Handle(kind, func(_ context.Context, _ peer.NodeID, body []byte) (any, error) {
		var m T
		if err := peer.Decode(body, &m); err != nil {
			return nil, err
		}
		handle(m)
		return nil, nil
	})
}

// notices implements storeview.Peers.
type notices struct {
	*fleet
}

// Publish implements storeview.Peers.
func (n notices) Publish(notice storeview.Notice) error {
	notice.Sender = n.Self()
	return n.msgr.Flood(kindNotice, notice)
}

// Receive implements storeview.Peers.
func (n notices) Receive(handle func(notice storeview.Notice)) {
	handleKind(n.msgr, kindNotice, handle)
}

// errNoPeerInRegion is returned when no other node in the region is alive.
var errNoPeerInRegion = errors.New("no other live node in the region")

// Query implements storeview.Peers: it chooses a random live node of the
// region.
func (n notices) Query(ctx context.Context, q storeview.Query) (reply storeview.Reply, err error) {
	var near []peer.NodeID
	for _, m := range n.members.Reachable() {
		if m.ID != n.msgr.Self() && m.Region == n.region && m.State == peer.Alive {
			near = append(near, m.ID)
		}
	}
	if len(near) == 0 {
		return reply, errNoPeerInRegion
	}
	err = n.msgr.Request(ctx, near[rand.IntN(len(near))], kindQuery, q, &reply)
	return reply, err
}

// Joined implements storeview.Peers.
func (n notices) Joined() (joined, registered int) {
	return len(n.members.Live()), n.registry.nodeCount()
}

// QueryNode implements storeview.Peers.
func (n notices) QueryNode(ctx context.Context, sender string, q storeview.Query) (reply storeview.Reply, err error) {
	err = n.msgr.Request(ctx, peer.NodeID(sender), kindQuery, q, &reply)
	return reply, err
}

// QueryParent implements storeview.Peers.
func (n notices) QueryParent(ctx context.Context, q storeview.Query) (reply storeview.Reply, err error) {
	parent, ok := parentOf(n.members.Reachable(), n.msgr.Self())
	if !ok {
		return reply, storeview.ErrNoParent
	}
	err = n.msgr.Request(ctx, parent, kindQuery, q, &reply)
	return reply, err
}

// treeFanOut is the number of children of a node in the tree of its failure
// domain: a configuration reaches 50 nodes in three steps, and a slow link
// carries it four times.
const treeFanOut = 4

// parentOf returns a node's parent in the tree of its failure domain. The root
// is the node that ranks first for reading the store.
func parentOf(members []peer.Member, self peer.NodeID) (parent peer.NodeID, ok bool) {
	domain := ""
	for _, m := range members {
		if m.ID == self {
			domain = m.FailureDomain
		}
	}
	var near []peer.Member
	for _, m := range members {
		if m.FailureDomain == domain && (m.State == peer.Alive || m.ID == self) {
			near = append(near, m)
		}
	}
	order := peer.Rendezvous("readers", near, len(near))
	place := slices.IndexFunc(order, func(m peer.Member) bool { return m.ID == self })
	if place <= 0 {
		return "", false
	}
	return order[(place-1)/treeFanOut].ID, true
}

// HandleQueries implements storeview.Peers.
func (n notices) HandleQueries(handle func(ctx context.Context, q storeview.Query) (storeview.Reply, error)) {
	n.msgr.Handle(kindQuery, func(ctx context.Context, _ peer.NodeID, body []byte) (any, error) {
		var q storeview.Query
		if err := peer.Decode(body, &q); err != nil {
			return nil, err
		}
		reply, err := handle(ctx, q)
		if err != nil {
			return nil, err
		}
		return reply, nil
	})
}

// Rank implements storeview.Peers. After the loss of most nodes the others choose
// new readers among themselves. A node that has not joined the other nodes in
// the store, or doesn't know yet whether there are any, does not read it for them: when
// many nodes start at once, each would be the first reader of its own fleet.
func (n notices) Rank() int {
	if len(n.members.Live()) <= 1 && n.registry.mayHaveOthers() {
		return storeview.Readers
	}
	ids := readers(n.members.Reachable())
	if place := slices.Index(ids, n.msgr.Self()); place >= 0 {
		return place
	}
	return storeview.Readers
}

// readers chooses the nodes that read the store, in failover order: the first
// node of each failure domain by rendezvous hashing, and of those the first
// storeview.Readers, so that the loss of a domain leaves some.
func readers(members []peer.Member) []peer.NodeID {
	byDomain := make(map[string][]peer.Member)
	for _, m := range members {
		if m.State == peer.Alive {
			byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
		}
	}
	var firsts []peer.Member
	for _, list := range byDomain {
		firsts = append(firsts, peer.Rendezvous("readers", list, 1)...)
	}
	var ids []peer.NodeID
	for _, m := range peer.Rendezvous("readers", firsts, storeview.Readers) {
		ids = append(ids, m.ID)
	}
	return ids
}
