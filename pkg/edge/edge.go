// Package edge assembles and runs a router node that serves callers.
package edge

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/budget"
	"cassiapin/pkg/canary"
	"cassiapin/pkg/cascade"
	"cassiapin/pkg/clock"
	"cassiapin/pkg/drain"
	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/limits"
	"cassiapin/pkg/membership"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/peer/keys"
	"cassiapin/pkg/placement"
	"cassiapin/pkg/quarantine"
	"cassiapin/pkg/relay"
	"cassiapin/pkg/settings"
	"cassiapin/pkg/storeview"
	"cassiapin/pkg/timeline"
	"cassiapin/platform"
)

const (
	// idBytes is the length of the random part of a node id, which makes ids
	// unique over process restarts.
	idBytes = 4
	// timelineCapacity limits the events kept in memory, about 100 KB; the log
	// has all of them.
	timelineCapacity = 512
	// defaultBodyBytes limits request bodies until a configuration sets a limit.
	defaultBodyBytes = 4 << 20
	// gcShare is the share of the host's memory at which the garbage collector
	// starts to work harder; buffers of the kernel count as well.
	gcShare = 0.8
	// answerShare is the share of the host's memory for answers that are larger
	// than usual.
	answerShare = 0.125
	// bodyShare is the share of the host's memory for the heads and bodies of
	// requests.
	bodyShare = 0.35
	// refusingLimit is how long a node may refuse connections and still be ready.
	refusingLimit = time.Second
)

// Node is one process that serves callers.
type Node struct {
	settings *settings.Router
	log      *slog.Logger
	kernel   *kernel.Kernel

	members   *membership.Service
	storeView *storeview.Service
	registry  *registry
	relay     *relay.Service
	// quarantine holds back requests that crash upstreams.
	quarantine *quarantine.Service
	servers    *servers
	// callers are the connections of callers, bodies the memory of their requests'
	// heads and bodies.
	callers *budget.Connections
	bodies  *budget.SharedMemory
	// leaving is set once the node stops.
	leaving   atomic.Bool
	stop      *drain.Stop
	readiness *readiness
}

// New assembles a node and opens its listeners.
func New(s *settings.Router, log *slog.Logger) (*Node, error) {
	var raw [idBytes]byte
	_, _ = rand.Read(raw[:]) // crypto/rand does not fail since Go 1.24.
	id := s.Host + "-" + hex.EncodeToString(raw[:])
	k := kernel.New(clock.Real{}, log)
	k.Log = eventlog.Stamped(log, id, k.HLC)
	n := &Node{settings: s, log: k.Log, kernel: k, stop: drain.NewStop()}
	services, err := n.assemble(id)
	if err != nil {
		return nil, err
	}
	return n, n.kernel.Register(services...)
}

func (n *Node) assemble(id string) ([]kernel.Service, error) {
	s := n.settings
	debug.SetMemoryLimit(int64(gcShare * float64(s.MemoryBytes())))
	pair, err := keys.MakeEphemeralCert(s.Host, time.Now())
	if err != nil {
		return nil, err
	}
	store := platform.NewStore(s.Store.Address)
	store.Export()
	n.registry = newRegistry(store, s.Host, entry{
		Fingerprint: peer.Fingerprint(pair.Certificate[0]), PeerAddress: s.AdvertisedPeerAddress(),
		StartedMS: time.Now().UnixMilli(),
	})
	n.registry.expected = expectedNodes(s)
	transport := peer.NewTransport(peer.Options{
		Self: peer.NodeID(id), Listen: s.PeerAddress(),
		Ephemeral: &peer.Ephemeral{Certificate: pair, IsTrusted: n.registry.isTrusted},
	})
	n.members = membership.New(membership.Options{
		Self: peer.Member{
			PeerAddress: s.AdvertisedPeerAddress(), EntryAddress: s.Entry, AdminAddress: s.Ready,
			Region: s.Region, FailureDomain: s.FailureDomain, Fingerprint: n.registry.own.Fingerprint,
		},
		Seeds: s.PeerSeeds(), SeedSource: n.registry,
	})
	n.registry.live = n.members.Live
	nodes := &fleet{members: n.members, msgr: transport, registry: n.registry, region: s.Region, domain: s.FailureDomain}
	n.storeView = storeview.New(storeview.Options{
		Store: store, Decoder: platform.Translator{Regions: s.Domains}, Revealed: store.Revealed,
		Peers:   notices{nodes},
		Tracker: storeview.TrackerOptions{Heartbeat: s.Heartbeat.Std()},
		EffectiveIn: map[storeview.Kind]time.Duration{
			storeview.Configurations: s.Bounds.ConfigLag.Std(), storeview.Upstreams: s.Bounds.Drain.Std(),
			storeview.Rollouts: s.Bounds.Rollback.Std(), storeview.Evacuations: s.Bounds.Evacuation.Std(),
		},
	})
	canaryService := canary.New(canary.Options{
		Store: platform.RolloutStore{Store: store}, Views: n.storeView, Fleet: nodes,
		SessionGap:    s.Bounds.SessionGap.Std(),
		ExposureShare: s.Bounds.ExposureShare, ExposureExtra: s.Bounds.ExposureExtra,
	})
	n.quarantine = quarantine.New(quarantine.Options{
		Fleet: quarantine.PeerFleet{Messenger: transport, Members: n.members},
		Store: quarantineStore{store}, Isolated: n.members.Isolated,
	})
	n.members.AddPiggyback(quarantine.ProbeKey, quarantine.Probe{Service: n.quarantine})
	memory := budget.NewMemory(int64(answerShare * float64(s.MemoryBytes())))
	memory.Export()
	n.bodies = budget.NewSharedMemory(int64(bodyShare * float64(s.MemoryBytes())))
	n.bodies.Export()
	files := budget.DivideFiles(s.Limits.FileDescriptors)
	runners := platform.NewRunnerClient()
	runners.LimitIdle(files.IdleUpstreams)
	runners.LimitHeads(memory)
	n.relay = relay.New(relay.Options{
		FailureDomain: s.FailureDomain, Region: s.Region,
		Client: runners, Views: n.storeView, Fleet: nodes,
		RetryBudget: limits.NewRetryBudget(limits.RetryOptions{
			Ratio: s.Bounds.RetryRatio, Extra: s.Bounds.RetryExtra, Window: s.Bounds.RetryWindow.Std(),
		}, n.kernel.Clock, nodes.NodeCount),
		Cold:    limits.NewColdLimiter(limits.ColdOptions{Factor: s.Bounds.ColdFactor, Extra: s.Bounds.ColdExtra}, id),
		Table:   placement.NewTable(),
		Subset:  placement.NewSubset(s.FailureDomain, id),
		Prefill: placement.NewPrefillEstimator(),
		Delay:   cascade.NewDelayEstimator(),
		Canary:  canaryService, Quarantine: n.quarantine,
		Memory: memory, Stop: n.stop,
	})
	n.readiness = &readiness{node: n}
	n.servers, err = n.listen(files)
	if err != nil {
		return nil, err
	}
	return []kernel.Service{
		timeline.NewService(id, n.kernel.HLC, timelineCapacity), n.registry, transport, n.members, nodes,
		n.storeView, canaryService, n.quarantine, n.relay, n.readiness, n.servers,
	}, nil
}

// listen opens the listeners and builds their handlers.
func (n *Node) listen(files budget.Descriptors) (*servers, error) {
	s := n.settings
	n.callers = budget.NewConnections(files.Callers)
	n.callers.Export()
	n.callers.LimitHeads(func() budget.Account { return n.bodies.Of(budget.ArrivingHeads) })
	callers := &platform.CallerHandler{
		Relay: n.relay, BodyLimit: n.bodyLimit, Bodies: n.bodies, Owner: n.organisation, Log: n.log,
		Stop:    n.stop,
		Closing: func() bool { return n.leaving.Load() || n.callers.Crowded() },
	}
	addresses := &directory{members: n.members, storeInTouch: n.storeInTouch, maxTTL: s.Bounds.DirectoryTTL.Std()}
	out := newServers(n.idleLimit, n.log)
	for _, l := range []struct {
		address string
		handler http.Handler
		// connections bounds the open connections.
		connections *budget.Connections
		callers     bool
		// optional handlers are skipped if their address is in use.
		optional bool
	}{
		{address: s.Entry, handler: callers, connections: n.callers, callers: true},
		{address: s.Ready, handler: platform.ReadinessHandler(n.Ready, n.log), connections: budget.NewConnections(files.Operators)},
		{address: s.Directory, handler: platform.DirectoryHandler(addresses, n.log), connections: budget.NewConnections(files.Directory)},
		{address: net.JoinHostPort(s.IP, strconv.Itoa(s.MetricsPort)), handler: metricsHandler(n.log), connections: budget.NewConnections(files.Operators), optional: true},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil && l.optional {
			// All deployments use the same metrics port, which may collide with
			// another address of this one.
			n.log.Warn(eventlog.MetricsNotServed, "address", l.address, "error", err.Error())
			continue
		}
		if err != nil {
			out.closeListeners()
			return nil, errors.Wrapf(err, "listen on %s", l.address)
		}
		out.add(listener, l.handler, l.connections, l.callers)
	}
	return out, nil
}

func (n *Node) bodyLimit() int64 {
	if c := n.storeView.View().Config; c != nil && c.Limits.BodyBytes > 0 {
		return c.Limits.BodyBytes
	}
	return defaultBodyBytes
}

// idleLimit returns how long callers' connections may be idle; zero is not known.
func (n *Node) idleLimit() time.Duration {
	if c := n.storeView.View().Config; c != nil {
		return c.Limits.IdleTimeout
	}
	return 0
}

// organisation returns the name of the organisation that holds an API key; empty is
// none.
func (n *Node) organisation(key string) string {
	if c := n.storeView.View().Config; c != nil {
		if o := c.Organisation(key); o != nil {
			return o.Name
		}
	}
	return ""
}

// storeInTouch reports whether the store, or another node for it, has confirmed any
// part of the view within the stability window.
func (n *Node) storeInTouch() bool {
	for kind := storeview.Configurations; kind <= storeview.Evacuations; kind++ {
		if age := n.storeView.Age(kind); age >= 0 && age <= n.settings.Bounds.StabilityWindow.Std() {
			return true
		}
	}
	return false
}

// Ready reports whether the node serves callers, takes connections and is not
// leaving.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.callers.RefusingFor() < refusingLimit && n.storeView.View().Config != nil && n.storeView.Synced()
}

// Start runs all services.
func (n *Node) Start() error {
	if err := n.kernel.Start(); err != nil {
		return err
	}
	s := n.settings
	n.log.Info(eventlog.NodeStarted, "entry", s.Entry, "ready", s.Ready, "directory", s.Directory,
		"peer", s.PeerAddress(), "failure_domain", s.FailureDomain, "region", s.Region, "seeds", s.PeerSeeds())
	return nil
}

// Failed returns a channel with the first error that a service ended with.
func (n *Node) Failed() <-chan error { return n.kernel.Failed() }

// Stop leaves the fleet, serves callers with cached directory answers for a
// while, drains open requests and exits within the grace period, which began when
// the stop was requested. Neither the store nor another node can delay it. A service
// that has not ended by then is only logged, since the process ends with it.
func (n *Node) Stop(requested time.Time) error {
	phases := drain.NewPhases(requested, n.settings.Bounds.Grace.Std())
	n.stop.Begin(phases)
	n.leaving.Store(true)
	n.log.Info(eventlog.NodeLeaving, "open", n.relay.Open(), "grace_ms", n.settings.Bounds.Grace.Std().Milliseconds(),
		"requested_ms", time.Since(requested).Milliseconds(), "timer_delay_ms", n.readiness.delay().Milliseconds())
	n.members.Leave()
	ctx, cancel := context.WithDeadline(context.Background(), phases.Abort)
	defer cancel()
	removed := n.registry.leave(ctx)
	time.Sleep(time.Until(phases.Refuse))
	n.stop.Refuse()
	time.Sleep(time.Until(phases.Close))
	n.log.Info(eventlog.NodeDraining, "open", n.relay.Open(), "after_ms", time.Since(requested).Milliseconds(),
		"timer_delay_ms", n.readiness.delay().Milliseconds())
	drainErr := n.servers.drain(ctx)
	open := n.relay.Open()
	if drainErr != nil {
		n.stop.Abort()
		answering, end := context.WithDeadline(context.Background(), phases.Cut)
		defer end()
		drainErr = n.servers.drain(answering)
	}
	cancel()
	<-removed
	n.registry.close()
	ending, end := context.WithDeadline(context.Background(), phases.Exit)
	defer end()
	err := n.kernel.Stop(ending)
	n.log.Info(eventlog.NodeStopped, "open", open, "took_ms", time.Since(requested).Milliseconds(),
		"error", errorText(errors.CombineErrors(drainErr, err)))
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
