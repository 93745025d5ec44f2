package peer

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"cassiapin/pkg/result"
)

// AddressBook is the address book and the overlay of a transport. Membership
// implements it. The methods must not call back into the transport.
type AddressBook interface {
	// Resolve returns the UDP address of a node.
	Resolve(id NodeID) (address string, ok bool)
	// Neighbours returns the nodes to which floods are sent.
	Neighbours() []NodeID
}

// AddressBookSetter is implemented by transports that accept an address book.
type AddressBookSetter interface {
	SetAddressBook(b AddressBook)
}

// FloodFilterer is implemented by transports that can leave out floods.
type FloodFilterer interface {
	// FilterFlood registers a function that returns the part of a flooded message that
	// this node has not passed on before, or nil if there is none. The whole message is
	// handled, and only that part is forwarded. Several nodes may flood the same news
	// at once.
	FilterFlood(kind Kind, news func(body []byte) []byte)
}

// Caller is implemented by transports with asynchronous requests.
type Caller interface {
	// Call sends a request and calls done exactly once, with the encoded body
	// of the response or an error that carries result.PeerFailed. done must
	// not block.
	Call(to NodeID, kind Kind, body any, timeout time.Duration, done func(reply []byte, err error))
}

// addressPrefix marks ids that denote an address instead of a node.
const addressPrefix = "@"

// AddressID returns an id that denotes whichever node listens at address.
// Membership uses it to join through seeds, whose ids are unknown.
func AddressID(address string) NodeID { return NodeID(addressPrefix + address) }

// AddressOf returns the address of an id made by AddressID.
func AddressOf(id NodeID) (address string, ok bool) {
	return strings.CutPrefix(string(id), addressPrefix)
}

// Envelope is the wire form of every message.
type Envelope struct {
	Kind Kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
	// Origin and Seq identify a flooded message; Origin is empty otherwise.
	Origin NodeID `cbor:"3,keyasint,omitempty"`
	Seq    uint64 `cbor:"4,keyasint,omitempty"`
}

// RemoteError is the wire form of an error that a handler returned.
type RemoteError struct {
	Code    int    `cbor:"1,keyasint"`
	Run     string `cbor:"2,keyasint"`
	Message string `cbor:"3,keyasint"`
}

// Response is the wire form of the response to a request.
type Response struct {
	Body cbor.RawMessage `cbor:"1,keyasint,omitempty"`
	Err  *RemoteError    `cbor:"2,keyasint,omitempty"`
}

// RemoteFailure returns the error that the handler on the remote node returned,
// if err was caused by one.
func RemoteFailure(err error) (*result.Error, bool) {
	var outer *result.Error
	if !errors.As(err, &outer) || outer.Cause == nil {
		return nil, false
	}
	inner, ok := outer.Cause.(remoteCause)
	return inner.failure, ok
}

// remoteCause distinguishes a handler error of the remote node from a local
// error.
type remoteCause struct{ failure *result.Error }

// Error implements the error interface.
func (c remoteCause) Error() string { return c.failure.Error() }

// Unwrap returns the error of the remote node.
func (c remoteCause) Unwrap() error { return c.failure }

// WrapTransportError wraps a transport error as result.PeerFailed.
func WrapTransportError(cause error, run result.RunState, to NodeID, kind Kind) error {
	return result.Wrap(cause, result.PeerFailed, run, "message %s to %s failed", kind, to)
}

// maxFloodIDs bounds each of the two generations of the duplicate filter.
// At a few floods per second the filter covers many minutes.
const maxFloodIDs = 4096

type floodID struct {
	origin NodeID
	seq    uint64
}

// duplicateFilter stores recent flood ids in two generations. The older one is
// discarded when the newer one is full.
type duplicateFilter struct {
	current, previous map[floodID]struct{}
}

// has reports whether id is stored.
func (f *duplicateFilter) has(id floodID) bool {
	_, now := f.current[id]
	_, before := f.previous[id]
	return now || before
}

// add stores id and reports whether it was new.
func (f *duplicateFilter) add(id floodID) bool {
	if f.has(id) {
		return false
	}
	if f.current == nil || len(f.current) >= maxFloodIDs {
		f.previous, f.current = f.current, make(map[floodID]struct{})
	}
	f.current[id] = struct{}{}
	return true
}

// kindMetrics counts the traffic of one kind.
type kindMetrics struct {
	sentMessages, sentBytes, receivedMessages, receivedBytes *metrics.Counter
}

// Router dispatches received messages to handlers and floods messages. All
// transports use it; send delivers an encoded envelope to one node without
// blocking.
type Router struct {
	self NodeID
	send func(to NodeID, kind Kind, raw []byte) error
	set  *metrics.Set

	mu       sync.RWMutex
	handlers map[Kind]Handler
	news     map[Kind]func(body []byte) []byte
	counters map[Kind]*kindMetrics
	book     AddressBook
	filter   duplicateFilter
	seq      uint64
	lazy     *lazyPush
}

// NewRouter returns a router without handlers. A nil set disables metrics. after runs
// a function after a delay.
func NewRouter(
	self NodeID, set *metrics.Set, send func(to NodeID, kind Kind, raw []byte) error, after func(d time.Duration, f func()),
) *Router {
	r := &Router{
		self: self, send: send, set: set,
		handlers: make(map[Kind]Handler),
		news:     make(map[Kind]func(body []byte) []byte),
		counters: make(map[Kind]*kindMetrics),
		lazy:     newLazyPush(send, after),
	}
	r.handleLazyPush()
	return r
}

// handleLazyPush registers the handlers of the messages of lazy pushing.
func (r *Router) handleLazyPush() {
	for kind, handle := range map[Kind]func(from NodeID, ref floodRef){
		kindPrune: func(from NodeID, ref floodRef) { r.lazy.prune(from, ref.Origin) },
		kindFetch: func(from NodeID, ref floodRef) { r.lazy.fetched(from, floodID{ref.Origin, ref.Seq}) },
		kindAnnounce: func(from NodeID, ref floodRef) {
			if id := (floodID{ref.Origin, ref.Seq}); ref.Origin != r.self && !r.seen(id) {
				r.lazy.announced(from, id, ref.Now)
			}
		},
	} {
		r.handlers[kind] = func(_ context.Context, from NodeID, body []byte) (any, error) {
			var ref floodRef
			if err := Decode(body, &ref); err != nil {
				return nil, err
			}
			if len(ref.Origin) > maxIDBytes {
				return nil, result.New(result.BadMessage, "a node id of %d bytes", len(ref.Origin))
			}
			r.lazy.heardFrom(from)
			handle(from, ref)
			return nil, nil
		}
	}
}

// seen reports whether a flooded message has arrived.
func (r *Router) seen(id floodID) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.filter.has(id)
}

// SetAddressBook sets the address book.
func (r *Router) SetAddressBook(b AddressBook) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book = b
}

// Resolve returns the address of a node.
func (r *Router) Resolve(id NodeID) (string, bool) {
	if address, ok := AddressOf(id); ok {
		return address, true
	}
	r.mu.RLock()
	book := r.book
	r.mu.RUnlock()
	if book == nil {
		return "", false
	}
	return book.Resolve(id)
}

// Handle registers the handler of a message kind.
func (r *Router) Handle(kind Kind, h Handler) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handlers[kind] = h
}

// FilterFlood implements FloodFilterer.
func (r *Router) FilterFlood(kind Kind, news func(body []byte) []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.news[kind] = news
}

// EncodeMessage returns the encoded envelope of a message.
func EncodeMessage(kind Kind, body any) ([]byte, error) {
	b, err := Encode(body)
	if err != nil {
		return nil, err
	}
	return Encode(Envelope{Kind: kind, Body: b})
}

// Flood sends a new flooded message to every neighbour.
func (r *Router) Flood(kind Kind, body any) error {
	b, err := Encode(body)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.seq++
	e := Envelope{Kind: kind, Body: b, Origin: r.self, Seq: r.seq}
	r.filter.add(floodID{r.self, r.seq})
	r.mu.Unlock()
	return r.forward(e, r.self)
}

// forward sends a flooded message to all neighbours except its sender and its
// origin. Send errors are ignored: the message arrives over another path, and
// membership probes repair what was lost.
func (r *Router) forward(e Envelope, from NodeID) error {
	r.mu.RLock()
	book := r.book
	r.mu.RUnlock()
	if book == nil {
		return nil
	}
	raw, err := Encode(e)
	if err != nil {
		return err
	}
	id := floodID{e.Origin, e.Seq}
	r.lazy.keep(id, e.Kind, raw)
	for _, to := range book.Neighbours() {
		if to != from && to != e.Origin && to != r.self {
			_ = r.lazy.push(to, id, e.Kind, raw)
		}
	}
	return nil
}

// Receive decodes one message and runs its handler.
func (r *Router) Receive(ctx context.Context, from NodeID, raw []byte) (any, error) {
	var e Envelope
	if err := Decode(raw, &e); err != nil {
		return nil, err
	}
	return r.dispatch(ctx, from, e, len(raw))
}

func (r *Router) dispatch(ctx context.Context, from NodeID, e Envelope, size int) (any, error) {
	r.mu.Lock()
	h := r.handlers[e.Kind]
	if h == nil {
		r.mu.Unlock()
		return nil, result.New(result.BadMessage, "no handler for messages of kind %q", e.Kind)
	}
	if len(e.Origin) > maxIDBytes {
		r.mu.Unlock()
		return nil, result.New(result.BadMessage, "a node id of %d bytes", len(e.Origin))
	}
	flooded := e.Origin != ""
	fresh := !flooded || (e.Origin != r.self && r.filter.add(floodID{e.Origin, e.Seq}))
	news := r.news[e.Kind]
	r.mu.Unlock()
	r.CountReceived(e.Kind, size)
	if !fresh {
		r.lazy.duplicate(from, e.Origin, size)
		return nil, nil
	}
	if flooded {
		r.lazy.arrived(floodID{e.Origin, e.Seq})
		part := e
		if news != nil {
			part.Body = newsOf(news, e)
		}
		if news == nil || len(part.Body) > 0 {
			if err := r.forward(part, from); err != nil {
				return nil, err
			}
		}
	}
	return r.handle(ctx, h, from, e)
}

// newsOf runs a filter of floods. A message on which it panics is forwarded whole.
func newsOf(news func(body []byte) []byte, e Envelope) (part []byte) {
	defer func() {
		if p := recover(); p != nil {
			handlerPanics.Inc()
			slog.Error("filter of floods panicked", "kind", string(e.Kind), "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			part = e.Body
		}
	}()
	return news(e.Body)
}

// handle runs a handler. A panic ends only the message that caused it.
func (r *Router) handle(ctx context.Context, h Handler, from NodeID, e Envelope) (reply any, err error) {
	defer func() {
		if p := recover(); p != nil {
			handlerPanics.Inc()
			slog.Error("message handler panicked", "kind", string(e.Kind), "from", string(from), "panic", fmt.Sprint(p),
				"stack", string(debug.Stack()))
			reply, err = nil, result.New(result.Internal, "the handler of %s messages panicked", e.Kind)
		}
	}()
	return h(ctx, from, e.Body)
}

// handlerPanics counts messages whose handler panicked.
var handlerPanics = metrics.GetOrCreateCounter("cassiapin_peer_handler_panics_total")

// Serve runs the handler of a request and returns the encoded response.
func (r *Router) Serve(ctx context.Context, from NodeID, raw []byte) []byte {
	reply, err := r.Receive(ctx, from, raw)
	var a Response
	if err == nil {
		a.Body, err = Encode(reply)
	}
	if err != nil {
		e := result.From(err)
		a = Response{Err: &RemoteError{Code: int(e.Code), Run: string(e.Run), Message: e.Message}}
	}
	out, err := Encode(a)
	if err != nil {
		out, _ = Encode(Response{Err: &RemoteError{Code: int(result.Internal), Run: string(result.Unknown)}})
	}
	return out
}

// DecodeResponse returns the body of an encoded response, or its error.
func DecodeResponse(raw []byte, to NodeID, kind Kind) ([]byte, error) {
	var a Response
	if err := Decode(raw, &a); err != nil {
		return nil, WrapTransportError(err, result.Unknown, to, kind)
	}
	if a.Err != nil {
		remote := &result.Error{Code: result.Code(a.Err.Code), Run: result.RunState(a.Err.Run), Message: a.Err.Message}
		return nil, WrapTransportError(remoteCause{remote}, remote.Run, to, kind)
	}
	return a.Body, nil
}

// CountSent adds a sent message to the metrics.
func (r *Router) CountSent(kind Kind, bytes int) {
	if m := r.kindMetrics(kind); m != nil {
		m.sentMessages.Inc()
		m.sentBytes.Add(bytes)
	}
}

// CountReceived adds a received message to the metrics.
func (r *Router) CountReceived(kind Kind, bytes int) {
	if m := r.kindMetrics(kind); m != nil {
		m.receivedMessages.Inc()
		m.receivedBytes.Add(bytes)
	}
}

func (r *Router) kindMetrics(kind Kind) *kindMetrics {
	if r.set == nil {
		return nil
	}
	r.mu.RLock()
	m := r.counters[kind]
	r.mu.RUnlock()
	if m != nil {
		return m
	}
	name := func(what string) *metrics.Counter {
		return r.set.GetOrCreateCounter(fmt.Sprintf("cassiapin_peer_%s_total{kind=%q}", what, kind))
	}
	m = &kindMetrics{name("sent_messages"), name("sent_bytes"), name("received_messages"), name("received_bytes")}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters[kind] = m
	return m
}
