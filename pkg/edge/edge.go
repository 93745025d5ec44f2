// Package edge assembles and runs a node that serves callers on the users'
// platform.
package edge

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/cascade"
	"cassiapin/pkg/clock"
	"cassiapin/pkg/cutover"
	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/knowledge"
	"cassiapin/pkg/limits"
	"cassiapin/pkg/membership"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/peer/keys"
	"cassiapin/pkg/placement"
	"cassiapin/pkg/relay"
	"cassiapin/pkg/settings"
	"cassiapin/pkg/timeline"
	"cassiapin/platform"
)

const (
	// idBytes makes node ids unique over all starts of all processes.
	idBytes = 4
	// timelineCapacity bounds the events that a node keeps, about 100 KB; the
	// log has them all.
	timelineCapacity = 512
	// defaultBodyBytes bounds bodies until a configuration says more.
	defaultBodyBytes = 4 << 20
)

// Node is one process that serves callers.
type Node struct {
	settings *settings.Router
	log      *slog.Logger
	kernel   *kernel.Kernel

	members   *membership.Service
	knowledge *knowledge.Service
	registry  *registry
	relay     *relay.Service
	servers   *servers
	leaving   atomic.Bool
}

// New assembles a node and opens its addresses.
func New(s *settings.Router, log *slog.Logger) (*Node, error) {
	var raw [idBytes]byte
	_, _ = rand.Read(raw[:]) // crypto/rand does not fail since Go 1.24.
	id := s.Host + "-" + hex.EncodeToString(raw[:])
	log = log.With("node", id)
	k := kernel.New(clock.Real{}, log)
	k.Log = eventlog.Stamped(log, k.HLC)
	n := &Node{settings: s, log: k.Log, kernel: k}
	services, err := n.assemble(id)
	if err != nil {
		return nil, err
	}
	return n, n.kernel.Register(services...)
}

func (n *Node) assemble(id string) ([]kernel.Service, error) {
	s := n.settings
	pair, err := keys.MakeEphemeral(time.Now())
	if err != nil {
		return nil, err
	}
	store := platform.NewStore(s.Store.Address)
	n.registry = newRegistry(store, s.Host, entry{
		Fingerprint: peer.Fingerprint(pair.Certificate[0]), PeerAddress: s.PeerAddress(),
	})
	transport := peer.NewTransport(peer.Options{
		Self: peer.NodeID(id), Listen: s.PeerAddress(),
		Ephemeral: &peer.Ephemeral{Certificate: pair, Trusts: n.registry.trusts},
	})
	n.members = membership.New(membership.Options{
		Self: peer.Member{
			PeerAddress: s.PeerAddress(), EntryAddress: s.Entry, AdminAddress: s.Ready,
			Region: s.Region, FailureDomain: s.FailureDomain,
		},
		Seeds: s.PeerSeeds(), SeedSource: n.registry,
	})
	nodes := &fleet{members: n.members, msgr: transport, registry: n.registry, region: s.Region}
	n.knowledge = knowledge.New(knowledge.Options{
		Store: store, Decoder: platform.Translator{Regions: s.Domains},
		Peers:   notices{nodes},
		Tracker: knowledge.TrackerOptions{Heartbeat: s.Heartbeat.Std()},
		EffectiveIn: map[knowledge.Kind]time.Duration{
			knowledge.Configurations: s.Bounds.ConfigLag.Std(), knowledge.Upstreams: s.Bounds.Drain.Std(),
			knowledge.Rollouts: s.Bounds.Rollback.Std(), knowledge.Evacuations: s.Bounds.Evacuation.Std(),
		},
	})
	cut := cutover.New(cutover.Options{
		Store: platform.RolloutStore{Store: store}, Knowledge: n.knowledge, Fleet: nodes,
		SessionGap:    s.Bounds.SessionGap.Std(),
		ExposureShare: s.Bounds.ExposureShare, ExposureExtra: s.Bounds.ExposureExtra,
	})
	n.relay = relay.New(relay.Options{
		FailureDomain: s.FailureDomain, Region: s.Region,
		Exchange: platform.NewRunnerClient(), Knowledge: n.knowledge, Fleet: nodes,
		Retries: limits.NewRetries(limits.RetryOptions{
			Ratio: s.Bounds.RetryRatio, Extra: s.Bounds.RetryExtra, Window: s.Bounds.RetryWindow.Std(),
		}, n.kernel.Clock, nodes.Known),
		Cold:    limits.NewCold(limits.ColdOptions{Factor: s.Bounds.ColdFactor, Extra: s.Bounds.ColdExtra}, id),
		Table:   placement.NewTable(),
		Reading: placement.NewReading(),
		Delay:   cascade.NewDelay(),
		Cutover: cut,
	})
	n.servers, err = n.listen()
	if err != nil {
		return nil, err
	}
	return []kernel.Service{
		timeline.NewService(id, n.kernel.HLC, timelineCapacity), n.registry, transport, n.members, nodes,
		n.knowledge, cut, n.relay, &readiness{node: n}, n.servers,
	}, nil
}

// listen opens the addresses and builds their handlers.
func (n *Node) listen() (*servers, error) {
	s := n.settings
	callers := &platform.CallerHandler{
		Relay: n.relay, BodyLimit: n.bodyLimit, Closing: n.leaving.Load, Log: n.log,
	}
	addresses := &directory{members: n.members, maxTTL: s.Bounds.DirectoryTTL.Std()}
	out := &servers{}
	for _, l := range []struct {
		address string
		handler http.Handler
		callers bool
		// optional handlers are left out if their address is in use.
		optional bool
	}{
		{address: s.Entry, handler: callers, callers: true},
		{address: s.Ready, handler: platform.ReadinessHandler(n.Ready)},
		{address: s.Directory, handler: platform.DirectoryHandler(addresses, n.log)},
		{address: net.JoinHostPort(s.IP, strconv.Itoa(s.MetricsPort)), handler: metricsHandler(), optional: true},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil && l.optional {
			// The port is the same on all deployments, and another address of
			// this one may have it.
			n.log.Warn(eventlog.MetricsNotServed, "address", l.address, "error", err.Error())
			continue
		}
		if err != nil {
			out.closeListeners()
			return nil, errors.Wrapf(err, "listen on %s", l.address)
		}
		out.add(listener, l.handler, l.callers)
	}
	return out, nil
}

func (n *Node) bodyLimit() int64 {
	if c := n.knowledge.View().Config; c != nil && c.Limits.BodyBytes > 0 {
		return c.Limits.BodyBytes
	}
	return defaultBodyBytes
}

// Ready reports whether the node serves callers and goes on doing so.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.knowledge.View().Config != nil && n.knowledge.Synced()
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

// Failed receives the first error that a service ended with.
func (n *Node) Failed() <-chan error { return n.kernel.Failed() }

const (
	// acceptShare is the part of the grace period in which a leaving node
	// still takes requests, so that callers with old answers of the directory
	// are served.
	acceptShare = 0.375
	// exitReserve is left of the grace period when the node gives up what is
	// still open.
	exitReserve = 700 * time.Millisecond
)

// Stop leaves the fleet, goes on serving until callers know, finishes open
// requests and ends within the grace period.
func (n *Node) Stop() error {
	grace := n.settings.Bounds.Grace.Std()
	started := time.Now()
	n.leaving.Store(true)
	n.log.Info(eventlog.NodeLeaving, "open", n.relay.Open(), "grace_ms", grace.Milliseconds())
	n.members.Leave()
	n.registry.leave(context.Background())
	time.Sleep(time.Duration(acceptShare * float64(grace)))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(grace-exitReserve))
	defer cancel()
	drainErr := n.servers.shutdown(ctx)
	open := n.relay.Open()
	err := n.kernel.Stop(context.Background())
	n.log.Info(eventlog.NodeStopped, "open", open, "took_ms", time.Since(started).Milliseconds(), "error", errorText(drainErr))
	return err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
