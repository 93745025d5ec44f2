// Package memnet is an in-memory network for deterministic tests with many
// nodes in one process. One goroutine runs all events in time order on a fake
// clock; delays, losses and duplicates are drawn from a seeded random source.
package memnet

import (
	"container/heap"
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
)

// Options describe the links of a network.
type Options struct {
	Seed int64
	// Delay is the one-way delay, to which a random part of Jitter is added.
	Delay, Jitter time.Duration
	// Loss is the fraction of messages that are lost.
	Loss float64
	// Duplicate is the fraction of messages that arrive twice.
	Duplicate float64
}

// Network connects endpoints. Run executes its events; all other methods may be
// called from any goroutine.
type Network struct {
	clock *clock.Fake
	opts  Options

	mu        sync.Mutex
	rng       *rand.Rand
	events    eventQueue
	order     uint64
	nodes     map[peer.NodeID]*Endpoint
	byAddr    map[string]*Endpoint
	reachable func(from, to peer.NodeID) bool
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// New returns a network without nodes that uses the given clock.
func New(c *clock.Fake, o Options) *Network {
	return &Network{
		clock: c, opts: o,
		rng:    rand.New(rand.NewSource(o.Seed)),
		nodes:  make(map[peer.NodeID]*Endpoint),
		byAddr: make(map[string]*Endpoint),
	}
}

// Clock returns the clock of the network.
func (n *Network) Clock() *clock.Fake { return n.clock }

// After runs f on the event loop after d.
func (n *Network) After(d time.Duration, f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.schedule(d, f)
}

func (n *Network) schedule(d time.Duration, f func()) {
	n.order++
	heap.Push(&n.events, event{at: n.clock.Now().Add(d), order: n.order, run: f})
}

// Every runs f on the event loop every d until the endpoint is closed. The
// first call is after a random part of d.
func (n *Network) Every(e *Endpoint, d time.Duration, f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var again func()
	again = func() {
		if e.closed() {
			return
		}
		f()
		n.After(d, again)
	}
	n.schedule(time.Duration(n.rng.Int63n(int64(d))), again)
}

// Partition sets the function that decides whether a message from one node
// reaches another; nil removes all partitions.
func (n *Network) Partition(reachable func(from, to peer.NodeID) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reachable = reachable
}

// Run runs all events of the next d and advances the clock by d.
func (n *Network) Run(d time.Duration) {
	end := n.clock.Now().Add(d)
	for {
		n.mu.Lock()
		if len(n.events) == 0 || n.events[0].at.After(end) {
			n.mu.Unlock()
			break
		}
		e := heap.Pop(&n.events).(event)
		n.mu.Unlock()
		if step := e.at.Sub(n.clock.Now()); step > 0 {
			n.clock.Advance(step)
		}
		e.run()
	}
	if rest := end.Sub(n.clock.Now()); rest > 0 {
		n.clock.Advance(rest)
	}
}

// RunUntil runs the network in steps until ok returns true or limit has passed.
// It returns the elapsed time and the last result of ok.
func (n *Network) RunUntil(limit, step time.Duration, ok func() bool) (time.Duration, bool) {
	start := n.clock.Now()
	for {
		if ok() {
			return n.clock.Since(start), true
		}
		if n.clock.Since(start) >= limit {
			return n.clock.Since(start), false
		}
		n.Run(step)
	}
}

// AddNode adds a node to the network.
func (n *Network) AddNode(id peer.NodeID, address string) *Endpoint {
	e := &Endpoint{net: n, id: id, address: address, senders: make(map[peer.NodeID]string), sent: make(map[peer.Kind]uint64)}
	e.router = peer.NewRouter(id, nil, e.send, n.after)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[id] = e
	n.byAddr[address] = e
	return e
}

// after runs a function after a delay of the network's clock.
func (n *Network) after(d time.Duration, f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.schedule(d, f)
}

// lookup returns the open endpoint at address if it matches the id to, and nil
// otherwise. The caller must hold n.mu.
func (n *Network) lookup(to peer.NodeID, address string) *Endpoint {
	e := n.byAddr[address]
	if e == nil || e.isClosed {
		return nil
	}
	if _, byAddress := peer.AddressOf(to); !byAddress && e.id != to {
		return nil
	}
	return e
}

// transmit delivers a message after the delay, unless it is lost or the
// receiver is unreachable at that time. The caller must hold n.mu.
func (n *Network) transmit(from *Endpoint, to peer.NodeID, address string, deliver func(*Endpoint)) {
	copies := 1
	if n.rng.Float64() < n.opts.Loss {
		copies = 0
	} else if n.rng.Float64() < n.opts.Duplicate {
		copies = 2
	}
	for range copies {
		delay := n.opts.Delay
		if n.opts.Jitter > 0 {
			delay += time.Duration(n.rng.Int63n(int64(n.opts.Jitter)))
		}
		n.schedule(delay, func() {
			n.mu.Lock()
			e := n.lookup(to, address)
			if e != nil && (from.isClosed || n.reachable != nil && !n.reachable(from.id, e.id)) {
				e = nil
			}
			n.mu.Unlock()
			if e != nil {
				deliver(e)
			}
		})
	}
}

// Endpoint is the Messenger of one node.
//
// It is also a kernel service, so that the services of a node can look it up
// when they are provisioned. It starts no goroutines.
type Endpoint struct {
	kernel.Base
	net     *Network
	id      peer.NodeID
	address string
	router  *peer.Router

	// senders maps the ids of nodes that sent a message to their addresses. Like
	// peers with an open QUIC connection, they are reachable before membership
	// knows them.
	senders map[peer.NodeID]string

	isClosed bool // Guarded by net.mu, like the counters.
	counters Traffic
	sent     map[peer.Kind]uint64
}

// Traffic counts what one node sent and received, in encoded bytes.
type Traffic struct {
	SentMessages, SentBytes, ReceivedMessages, ReceivedBytes uint64
}

// Traffic returns the counters of the node.
func (e *Endpoint) Traffic() Traffic {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	return e.counters
}

// SentBytes returns the encoded bytes of the messages of a kind that the node sent;
// those of responses have no kind.
func (e *Endpoint) SentBytes(kind peer.Kind) uint64 {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	return e.sent[kind]
}

// Close disconnects the node without notifying the others.
func (e *Endpoint) Close() {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	e.isClosed = true
}

func (e *Endpoint) closed() bool {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	return e.isClosed
}

// Name implements kernel.Service.
func (*Endpoint) Name() string { return peer.TransportServiceName }

// Self implements peer.Messenger.
func (e *Endpoint) Self() peer.NodeID { return e.id }

// FilterFlood implements peer.FloodFilterer.
func (e *Endpoint) FilterFlood(kind peer.Kind, news func(body []byte) []byte) {
	e.router.FilterFlood(kind, news)
}

// Handle implements peer.Messenger.
func (e *Endpoint) Handle(kind peer.Kind, h peer.Handler) { e.router.Handle(kind, h) }

// SetAddressBook implements peer.AddressBookSetter.
func (e *Endpoint) SetAddressBook(b peer.AddressBook) { e.router.SetAddressBook(b) }

// Flood implements peer.Messenger.
func (e *Endpoint) Flood(kind peer.Kind, body any) error { return e.router.Flood(kind, body) }

// Notify implements peer.Messenger.
func (e *Endpoint) Notify(to peer.NodeID, kind peer.Kind, body any) error {
	raw, err := peer.EncodeMessage(kind, body)
	if err != nil {
		return err
	}
	return e.send(to, kind, raw)
}

// send sends an encoded notification.
func (e *Endpoint) send(to peer.NodeID, kind peer.Kind, raw []byte) error {
	address, ok := e.resolve(to)
	if !ok {
		return peer.WrapTransportError(errors.New("no known address for the node"), result.NotRun, to, kind)
	}
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	e.countSent(kind, len(raw))
	e.net.transmit(e, to, address, func(target *Endpoint) {
		target.countReceived(e, len(raw))
		_, _ = target.router.Receive(context.Background(), e.id, raw)
	})
	return nil
}

func (e *Endpoint) countSent(kind peer.Kind, bytes int) {
	e.sent[kind] += uint64(bytes)
	e.counters.SentMessages++
	e.counters.SentBytes += uint64(bytes)
}

func (e *Endpoint) resolve(to peer.NodeID) (string, bool) {
	if address, ok := e.router.Resolve(to); ok {
		return address, true
	}
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	address, ok := e.senders[to]
	return address, ok
}

func (e *Endpoint) countReceived(from *Endpoint, bytes int) {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	e.senders[from.id] = from.address
	e.counters.ReceivedMessages++
	e.counters.ReceivedBytes += uint64(bytes)
}

// Call implements peer.Caller; done runs on the event loop.
func (e *Endpoint) Call(to peer.NodeID, kind peer.Kind, body any, timeout time.Duration, done func([]byte, error)) {
	raw, err := peer.EncodeMessage(kind, body)
	if err != nil {
		done(nil, err)
		return
	}
	address, ok := e.resolve(to)
	if !ok {
		done(nil, peer.WrapTransportError(errors.New("no known address for the node"), result.NotRun, to, kind))
		return
	}
	var once sync.Once
	finish := func(reply []byte, err error) { once.Do(func() { done(reply, err) }) }
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	e.net.schedule(timeout, func() {
		finish(nil, peer.WrapTransportError(context.DeadlineExceeded, result.Unknown, to, kind))
	})
	e.countSent(kind, len(raw))
	e.net.transmit(e, to, address, func(target *Endpoint) {
		target.countReceived(e, len(raw))
		answer := target.router.Serve(context.Background(), e.id, raw)
		target.respond(e, answer, func() { finish(peer.DecodeResponse(answer, to, kind)) })
	})
}

// respond sends the response to a request.
func (e *Endpoint) respond(to *Endpoint, raw []byte, deliver func()) {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	e.countSent("", len(raw))
	e.net.transmit(e, to.id, to.address, func(*Endpoint) {
		to.countReceived(e, len(raw))
		deliver()
	})
}

// requestTimeout bounds a request whose context has no deadline, in fake time.
const requestTimeout = 5 * time.Second

// Request implements peer.Messenger. It blocks until another goroutine has run
// the network, so handlers must not call it.
func (e *Endpoint) Request(ctx context.Context, to peer.NodeID, kind peer.Kind, body, reply any) error {
	type outcome struct {
		raw []byte
		err error
	}
	ch := make(chan outcome, 1)
	e.Call(to, kind, body, requestTimeout, func(raw []byte, err error) { ch <- outcome{raw, err} })
	select {
	case o := <-ch:
		if o.err != nil || reply == nil {
			return o.err
		}
		return peer.Decode(o.raw, reply)
	case <-ctx.Done():
		return peer.WrapTransportError(ctx.Err(), result.Unknown, to, kind)
	}
}
