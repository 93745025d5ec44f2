// Package node assembles the services of a node process and runs them until
// graceful shutdown.
package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/admin"
	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/dispatch"
	"cassiapin/pkg/entry"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/settings"
	"cassiapin/pkg/timeline"
)

// Options configure a node beyond its settings file.
type Options struct {
	Log *slog.Logger
	// Dial opens connections to upstreams and to the platform; nil means
	// net.Dialer. WrapPeerConn wraps the socket for peer messages; nil leaves
	// it as is. Benchmarks use both to simulate network partitions.
	Dial         func(ctx context.Context, network, address string) (net.Conn, error)
	WrapPeerConn func(conn net.PacketConn) net.PacketConn
}

// Node is one running node.
type Node struct {
	id string
	// boot is the random part of id, which changes with each start.
	boot     string
	settings *settings.Settings
	kernel   *kernel.Kernel
	log      *slog.Logger

	config  config.Source
	members peer.Members
	entry   *entry.Service
	admin   *admin.Service
	events  *timeline.Service

	entryURL, adminURL, peerAddress string

	dial func(ctx context.Context, network, address string) (net.Conn, error)

	stopOnce sync.Once
	stopErr  error
}

// idBytes makes node ids unique over all starts of all processes.
const idBytes = 8

// New opens the node's addresses and assembles its services.
func New(s *settings.Settings, o Options) (*Node, error) {
	var raw [idBytes]byte
	_, _ = rand.Read(raw[:]) // crypto/rand does not fail since Go 1.24.
	boot := hex.EncodeToString(raw[:])
	n := &Node{id: s.Node.Host + "-" + boot, boot: boot, settings: s}
	n.log = o.Log.With("node", n.id)
	n.kernel = kernel.New(clock.Real{}, n.log)
	l, err := n.listen()
	if err != nil {
		return nil, err
	}
	seed := uint64(s.Route.Seed)
	if seed == 0 {
		seed = binary.BigEndian.Uint64(raw[:])
	}
	if o.WrapPeerConn != nil {
		l.peer = o.WrapPeerConn(l.peer)
	}
	n.dial = o.Dial
	if err := n.assemble(l, seed); err != nil {
		l.close()
		return nil, err
	}
	return n, nil
}

// listeners are the open sockets of a node.
type listeners struct {
	entry, admin net.Listener
	peer         net.PacketConn
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.entry, l.admin} {
		if listener != nil {
			_ = listener.Close() // The node has not started, so the error is irrelevant.
		}
	}
	if l.peer != nil {
		_ = l.peer.Close()
	}
}

// listen opens the sockets before any service is created, so that the
// advertised addresses are known even if the configured port is 0.
func (n *Node) listen() (*listeners, error) {
	l := &listeners{}
	var err error
	if l.entry, err = net.Listen("tcp", n.settings.Entry.Listen); err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	if l.admin, err = net.Listen("tcp", n.settings.Admin.Listen); err != nil {
		l.close()
		return nil, errors.Wrap(err, "listen for operators")
	}
	if err = n.listenPeers(l); err != nil {
		l.close()
		return nil, err
	}
	n.settings.Entry.Advertise = advertised(n.settings.Entry.Advertise, l.entry.Addr())
	n.settings.Admin.Advertise = advertised(n.settings.Admin.Advertise, l.admin.Addr())
	n.entryURL, n.adminURL = n.settings.Entry.URL(), n.settings.Admin.URL()
	return l, nil
}

func (n *Node) listenPeers(l *listeners) error {
	address, err := net.ResolveUDPAddr("udp", n.settings.Peer.Listen)
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	l.peer = conn
	n.peerAddress = advertised(n.settings.Peer.Advertise, l.peer.LocalAddr())
	return nil
}

// advertised replaces port 0 by the port that the operating system assigned.
func advertised(address string, bound net.Addr) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port != "0" {
		return address
	}
	_, chosen, err := net.SplitHostPort(bound.String())
	if err != nil {
		return address
	}
	return net.JoinHostPort(host, chosen)
}

// Start runs all services.
func (n *Node) Start() error {
	if err := n.kernel.Start(); err != nil {
		return err
	}
	n.log.Info("node started", "entry", n.entryURL, "admin", n.adminURL, "peer", n.peerAddress,
		"failure_domain", n.settings.Node.FailureDomain)
	return nil
}

// Failed returns a channel with the first error of a running service.
func (n *Node) Failed() <-chan error { return n.kernel.Failed() }

// stopMargin is added to the configured drain timeout for releasing leases and
// writing the last batch of bills.
const stopMargin = 5 * time.Second

// Stop shuts the node down gracefully: it removes the node from the entry
// addresses, serves until these have expired, finishes requests in flight,
// writes bills and releases leases. It returns an error if this exceeds the
// configured limit.
func (n *Node) Stop(ctx context.Context) error {
	n.stopOnce.Do(func() { n.stopErr = n.stop(ctx) })
	return n.stopErr
}

func (n *Node) stop(ctx context.Context) error {
	limits := config.Limits{}.WithDefaults()
	if snapshot := n.config.Current(); snapshot != nil {
		limits = snapshot.Limits
	}
	ctx, cancel := context.WithTimeout(ctx, limits.EntryTTL.Std()+limits.DrainTimeout.Std()+stopMargin)
	defer cancel()
	n.log.Info("node is leaving", "drain_timeout", limits.DrainTimeout.Std())
	n.events.Record(timeline.Event{Kind: timeline.NodeLeaving, Domain: n.settings.Node.FailureDomain})
	n.entry.StopAdvertising()
	n.members.Leave()
	drainErr := n.kernel.Drain(ctx)
	if err := n.kernel.Stop(context.Background()); err != nil && drainErr == nil {
		drainErr = err
	}
	n.log.Info("node stopped", "error", drainErr)
	return drainErr
}

// Kill stops the node immediately without draining, to simulate a crash.
func (n *Node) Kill() {
	n.stopOnce.Do(func() { n.stopErr = n.kernel.Stop(context.Background()) })
}

// ID returns the node id, which changes with each start of the process.
func (n *Node) ID() string { return n.id }

// Region is the node's region.
func (n *Node) Region() string { return n.settings.Node.Region }

// EntryURL is the base URL for callers.
func (n *Node) EntryURL() string { return n.entryURL }

// AdminURL is the base URL of the operator interface.
func (n *Node) AdminURL() string { return n.adminURL }

// PeerAddress is the address for peer messages.
func (n *Node) PeerAddress() string { return n.peerAddress }

// Ready reports whether the node has a configuration.
func (n *Node) Ready() bool { return n.config.Current() != nil }

// ConfigNumber is the number of the active configuration, 0 for none.
func (n *Node) ConfigNumber() uint64 {
	if s := n.config.Current(); s != nil {
		return s.Number
	}
	return 0
}

// Marks returns the active marks.
func (n *Node) Marks() config.Marks { return n.config.Marks() }

// LiveMembers is the number of live members in the node's view, including
// itself.
func (n *Node) LiveMembers() int { return len(n.members.Live()) }

// Events returns the node's timeline.
func (n *Node) Events() []timeline.Event {
	events, _ := n.events.Snapshot()
	return events
}

// dispatchOptions returns the dispatcher's options.
func (n *Node) dispatchOptions(seed uint64) dispatch.Options {
	return dispatch.Options{
		Node: n.id, Region: n.settings.Node.Region, FailureDomain: n.settings.Node.FailureDomain, Seed: seed,
	}
}
