package peer

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

// Defaults and limits of the transport.
const (
	// DefaultCheckInterval is the period of connection checks; it equals the
	// period of membership probes between neighbours.
	DefaultCheckInterval = time.Second
	// silentIntervals is the number of check intervals after which a connection
	// is closed if no packet arrives while an acknowledgement is outstanding.
	silentIntervals = 3
	// DefaultIdleTimeout is the time without messages after which a connection
	// is closed, so that a node of a 410-node fleet does not keep 409 open.
	DefaultIdleTimeout = time.Minute
	// dialTimeout bounds a handshake including the id exchange.
	dialTimeout = 2 * time.Second
	// dialBackoff is the delay after a failed dial, so that messages to a dead
	// node do not each start a handshake.
	dialBackoff = 500 * time.Millisecond
	// sendTimeout bounds sending one notification or response.
	sendTimeout = 2 * time.Second
	// receiveTimeout bounds receiving one message.
	receiveTimeout = 10 * time.Second
	// handlerTimeout bounds one handler call.
	handlerTimeout = 30 * time.Second
	// keyReloadInterval is the period at which key files are checked for
	// changes.
	keyReloadInterval = 5 * time.Second
	// queueLength bounds the notifications queued for one peer.
	queueLength = 256
	// maxRequests bounds the requests in flight to one peer.
	maxRequests = 128
	// maxStreams bounds the streams of each direction that a peer may open.
	maxStreams = 128
	// Flow control windows in bytes; they bound the memory of one connection.
	streamWindow    = 64 << 10
	maxStreamWindow = 1 << 20
	connWindow      = 128 << 10
	maxConnWindow   = 2 << 20
)

// Options are the settings of a Transport.
type Options struct {
	// Self is the id of this run of the process.
	Self NodeID
	// Listen is the UDP address, for example "10.0.0.1:7400".
	Listen string
	// Conn is an open socket to use instead of Listen; the transport closes it.
	Conn net.PacketConn
	Keys KeyFiles
	// Ephemeral replaces Keys on hosts without key files.
	Ephemeral *Ephemeral
	// CheckInterval and IdleTimeout default to the constants of this package.
	CheckInterval time.Duration
	IdleTimeout   time.Duration
	// KeyReload is the period at which the key files are checked for changes.
	KeyReload time.Duration
	// Metrics defaults to the default set of the metrics library.
	Metrics *metrics.Set
}

// Transport is a Messenger over QUIC with mutual TLS 1.3. It is registered as
// TransportServiceName and depends on the timeline service.
type Transport struct {
	kernel.Base
	opts   Options
	clock  clock.Clock
	log    *slog.Logger
	events timeline.Recorder
	keys   keyStore
	router *Router

	udp      net.PacketConn
	quic     *quic.Transport
	listener *quic.Listener
	ctx      context.Context
	cancel   context.CancelFunc

	mu     sync.Mutex
	closed bool
	links  map[NodeID]*link
	conns  map[*connection]struct{}
	wg     sync.WaitGroup

	dropped, dials, dialErrors, silent *metrics.Counter
	wireSent, wireReceived             *metrics.Counter
}

// NewTransport returns a transport that opens its socket in Provision.
func NewTransport(o Options) *Transport {
	if o.CheckInterval == 0 {
		o.CheckInterval = DefaultCheckInterval
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.KeyReload == 0 {
		o.KeyReload = keyReloadInterval
	}
	if o.Metrics == nil {
		o.Metrics = metrics.GetDefaultSet()
	}
	t := &Transport{
		opts:  o,
		keys:  keyStore{files: o.Keys, ephemeral: o.Ephemeral},
		links: make(map[NodeID]*link),
		conns: make(map[*connection]struct{}),
	}
	t.router = NewRouter(o.Self, o.Metrics, t.enqueue, func(d time.Duration, f func()) { time.AfterFunc(d, f) })
	t.dropped = o.Metrics.GetOrCreateCounter("cassiapin_peer_dropped_messages_total")
	t.dials = o.Metrics.GetOrCreateCounter("cassiapin_peer_dials_total")
	t.dialErrors = o.Metrics.GetOrCreateCounter("cassiapin_peer_dial_errors_total")
	t.silent = o.Metrics.GetOrCreateCounter("cassiapin_peer_silent_connections_total")
	t.wireSent = o.Metrics.GetOrCreateCounter("cassiapin_peer_wire_sent_bytes_total")
	t.wireReceived = o.Metrics.GetOrCreateCounter("cassiapin_peer_wire_received_bytes_total")
	return t
}

// Name implements kernel.Service.
func (*Transport) Name() string { return TransportServiceName }

// Provision loads the keys and opens the socket.
func (t *Transport) Provision(k *kernel.Kernel) error {
	t.clock, t.log = k.Clock, k.Log
	var err error
	if t.events, err = kernel.Lookup[timeline.Recorder](k, timeline.ServiceName); err != nil {
		return err
	}
	if t.opts.Self == "" {
		return result.New(result.SettingsError, "the node id is empty")
	}
	if _, err := t.keys.reload(); err != nil {
		return result.Wrap(err, result.SettingsError, result.NotRun, "load the key files")
	}
	if t.udp = t.opts.Conn; t.udp == nil {
		udp, err := listenUDP(t.opts.Listen)
		if err != nil {
			return err
		}
		t.udp = udp
	}
	t.quic = &quic.Transport{Conn: t.udp}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.listener, err = t.quic.Listen(t.keys.server(), t.quicConfig())
	return errors.Wrap(err, "listen for peers")
}

func listenUDP(listen string) (*net.UDPConn, error) {
	address, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, result.Wrap(err, result.SettingsError, result.NotRun, "peer address %q", listen)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, result.Wrap(err, result.SettingsError, result.NotRun, "listen on %q", listen)
	}
	return conn, nil
}

func (t *Transport) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: dialTimeout,
		// The transport closes connections without messages itself; QUIC's own
		// limit must only be longer.
		MaxIdleTimeout:                 2 * t.opts.IdleTimeout,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          maxStreams,
	}
}

// Address returns the UDP address of the socket.
func (t *Transport) Address() string { return t.udp.LocalAddr().String() }

// Run starts the accept loop, the connection checks and the key reload.
func (t *Transport) Run(tb *tomb.Tomb) error {
	tb.Go(func() error {
		<-tb.Dying()
		t.shutdown()
		return nil
	})
	tb.Go(t.acceptLoop)
	tb.Go(func() error { return t.every(tb, t.opts.CheckInterval, t.checkConnections) })
	tb.Go(func() error { return t.every(tb, t.opts.KeyReload, t.reloadKeys) })
	return nil
}

func (t *Transport) every(tb *tomb.Tomb, d time.Duration, f func()) error {
	for {
		select {
		case <-tb.Dying():
			return nil
		case <-t.clock.After(d):
			f()
		}
	}
}

func (t *Transport) reloadKeys() {
	changed, err := t.keys.reload()
	if err != nil {
		t.opts.Metrics.GetOrCreateCounter("cassiapin_peer_key_reload_errors_total").Inc()
		return
	}
	if changed {
		t.log.Info("peer keys reloaded", "file", t.opts.Keys.Cert)
		t.events.Record(timeline.Event{Kind: timeline.KeysRotated})
	}
}

// spawn starts a goroutine that shutdown waits for. It reports false after
// shutdown has begun.
func (t *Transport) spawn(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		f()
	}()
	return true
}

// shutdown closes all connections and waits for their goroutines.
func (t *Transport) shutdown() {
	t.mu.Lock()
	t.closed = true
	conns := make([]*connection, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	for _, c := range conns {
		c.close("shutdown")
	}
	t.cancel()
	t.listener.Close()
	t.wg.Wait()
}

// Cleanup closes the socket.
func (t *Transport) Cleanup() error {
	if t.udp == nil {
		return nil
	}
	t.cancel()
	err := t.quic.Close()
	return errors.CombineErrors(err, t.udp.Close())
}

// Self implements Messenger.
func (t *Transport) Self() NodeID { return t.opts.Self }

// Handle implements Messenger.
func (t *Transport) Handle(kind Kind, h Handler) { t.router.Handle(kind, h) }

// FilterFlood implements FloodFilterer.
func (t *Transport) FilterFlood(kind Kind, news func(body []byte) []byte) {
	t.router.FilterFlood(kind, news)
}

// SetAddressBook implements AddressBookSetter.
func (t *Transport) SetAddressBook(b AddressBook) { t.router.SetAddressBook(b) }

// Flood implements Messenger.
func (t *Transport) Flood(kind Kind, body any) error { return t.router.Flood(kind, body) }

// Notify implements Messenger.
func (t *Transport) Notify(to NodeID, kind Kind, body any) error {
	raw, err := EncodeMessage(kind, body)
	if err != nil {
		return err
	}
	return t.enqueue(to, kind, raw)
}

// Request implements Messenger.
func (t *Transport) Request(ctx context.Context, to NodeID, kind Kind, body, reply any) error {
	raw, err := t.roundTrip(ctx, to, kind, body)
	if err != nil || reply == nil {
		return err
	}
	if err := Decode(raw, reply); err != nil {
		return WrapTransportError(err, result.Unknown, to, kind)
	}
	return nil
}

// Call implements Caller.
func (t *Transport) Call(to NodeID, kind Kind, body any, timeout time.Duration, done func([]byte, error)) {
	started := t.spawn(func() {
		ctx, cancel := context.WithTimeout(t.ctx, timeout)
		defer cancel()
		done(t.roundTrip(ctx, to, kind, body))
	})
	if !started {
		done(nil, WrapTransportError(net.ErrClosed, result.NotRun, to, kind))
	}
}
