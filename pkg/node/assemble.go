package node

import (
	"math/rand"

	"cassiapin/pkg/admin"
	"cassiapin/pkg/admission"
	"cassiapin/pkg/balance"
	"cassiapin/pkg/billing"
	"cassiapin/pkg/config"
	"cassiapin/pkg/dispatch"
	"cassiapin/pkg/distribution"
	"cassiapin/pkg/entry"
	"cassiapin/pkg/idempotency"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/lease"
	"cassiapin/pkg/membership"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/orders"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/plan"
	"cassiapin/pkg/policy"
	"cassiapin/pkg/quality"
	"cassiapin/pkg/quarantine"
	"cassiapin/pkg/quota"
	"cassiapin/pkg/rollout"
	"cassiapin/pkg/runners"
	"cassiapin/pkg/session"
	"cassiapin/pkg/timeline"
	"cassiapin/pkg/upstream"
)

// assembler collects the services of a node in start order and the first error
// of their constructors.
type assembler struct {
	node     *Node
	random   *rand.Rand
	services []kernel.Service
	// final lists services that depend on those of all other groups.
	final []kernel.Service
	err   error
}

// newRand returns an independent random source for one service. The order of
// the calls is fixed, so that a seed always yields the same sources.
func (a *assembler) newRand() *rand.Rand { return rand.New(rand.NewSource(a.random.Int63())) }

func (a *assembler) add(services ...kernel.Service) { a.services = append(a.services, services...) }

// addChecked adds a service whose constructor can fail and records the error.
func addChecked[T kernel.Service](a *assembler, service T, err error) {
	if err != nil && a.err == nil {
		a.err = err
	}
	a.services = append(a.services, service)
}

// assemble registers the services in start order.
func (n *Node) assemble(l *listeners, seed uint64) error {
	a := &assembler{node: n, random: rand.New(rand.NewSource(int64(seed)))}
	n.events = timeline.NewService(n.id, n.kernel.HLC, timeline.DefaultCapacity)
	a.add(n.events)
	a.platform()
	a.peers(l)
	a.routing()
	a.ledgers()
	a.add(dispatch.New(n.dispatchOptions(a.random.Uint64())))
	a.add(a.final...)
	a.interfaces(l)
	if a.err != nil {
		return a.err
	}
	return n.kernel.Register(a.services...)
}

func (a *assembler) platform() {
	s := a.node.settings
	store, err := objectstore.New(objectstore.Options{
		BaseURLs: s.Platform.Objects, CallTimeout: s.Platform.Timeout.Std(), Dial: a.node.dial, Rand: a.newRand(),
	})
	addChecked(a, store, err)
	ttl := s.Platform.LeaseTTL.Std()
	a.add(lease.New(lease.Options{
		Holder: a.node.id, TTL: ttl, Rand: a.newRand(),
	}))
}

// peers adds the peer transport, the membership, the configuration distribution
// and the quarantine of prompt parts.
func (a *assembler) peers(l *listeners) {
	n, s := a.node, a.node.settings
	options := membership.Options{
		Self: peer.Member{
			PeerAddress: n.peerAddress, EntryAddress: n.entryURL, AdminAddress: n.adminURL,
			Region: s.Node.Region, FailureDomain: s.Node.FailureDomain,
		},
		Seeds: s.Peer.Seeds, Seed: a.random.Int63(),
	}
	if s.Platform.Hosts != "" {
		hosts := newHostList(s.Platform.Hosts)
		options.SeedSource = hosts
		a.final = append(a.final, &hostWatch{list: hosts})
	}
	members := membership.New(options)
	transport := peer.NewTransport(peer.Options{
		Self: peer.NodeID(n.id), Conn: l.peer,
		Keys: peer.KeyFiles{CA: s.Peer.CA, Cert: s.Peer.Certificate, Key: s.Peer.Key},
	})
	source := distribution.New(distribution.Options{Validate: config.Check, Seed: a.random.Int63()})
	n.members, n.config = members, source
	held := quarantine.New(quarantine.Options{Fleet: quarantine.PeerFleet{Messenger: transport, Members: members}})
	members.AddPiggyback(quarantine.ProbeKey, quarantine.Probe{Service: held})
	a.add(transport, members, source, held, &rateAllocator{}, &readiness{})
}

func (a *assembler) routing() {
	s := a.node.settings
	nodeSettings := s.Node
	a.add(
		runners.NewService(runners.Options{
			Node: peer.NodeID(a.node.id), Region: nodeSettings.Region, FailureDomain: nodeSettings.FailureDomain, Rand: a.newRand(),
			Dial: a.node.dial,
		}),
		policy.NewService(policy.Options{}),
		quality.New(quality.Options{Region: nodeSettings.Region, RatingURL: s.Platform.Rating, Rand: a.newRand()}),
		rollout.New(rollout.Options{Self: peer.NodeID(a.node.id)}),
	)
	planner, err := plan.New(plan.Options{Strategy: plan.Strategy(s.Route.Planner), Rand: a.newRand()})
	addChecked(a, planner, err)
	balancer, err := balance.New(balance.Options{
		Strategy: balance.Strategy(s.Route.Balancer), Region: nodeSettings.Region, FailureDomain: nodeSettings.FailureDomain, Rand: a.newRand(),
	})
	addChecked(a, balancer, err)
	a.add(admission.NewService(admission.Options{}), quota.NewService(quota.Options{}),
		orders.NewService(orders.Options{Node: a.node.id, Rand: a.newRand()}), upstream.NewClient(upstream.Options{Dial: a.node.dial}))
	sessions, err := session.New(session.Options{Keys: s.SessionKeys()})
	addChecked(a, sessions, err)
}

func (a *assembler) ledgers() {
	a.add(
		idempotency.New(idempotency.Options{
			Node: a.node.id, Rand: a.newRand(),
			Resolver: newResolver(a.node.config).resolve,
		}),
		billing.New(billing.Options{Node: a.node.settings.Node.Host, Boot: a.node.boot, Rand: a.newRand()}),
	)
}

func (a *assembler) interfaces(l *listeners) {
	n, s := a.node, a.node.settings
	n.admin = admin.New(admin.Options{
		Listener: l.admin, Certificate: s.Admin.Certificate, Key: s.Admin.Key,
		OperatorKeySHA256: s.Admin.OperatorKeySHA256,
		Node:              n.id, Region: s.Node.Region, FailureDomain: s.Node.FailureDomain,
	})
	n.entry = entry.New(entry.Options{
		Listener: l.entry, Certificate: s.Entry.Certificate, Key: s.Entry.Key,
		Region: s.Node.Region, SelfURL: n.entryURL,
	})
	a.add(n.admin, n.entry)
}
