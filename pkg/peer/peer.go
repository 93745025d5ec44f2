// Package peer provides messaging between nodes over QUIC with mutual TLS.
package peer

import "context"

// NodeID identifies one run of a node process; a restarted process has a new
// id.
type NodeID string

// Kind names the type of a message, for example "config.notice".
type Kind string

// Handler handles one message and returns the reply to a request. body is the
// CBOR-encoded message. Handlers of notifications and floods return nil, nil.
type Handler func(ctx context.Context, from NodeID, body []byte) (reply any, err error)

// Messenger sends messages to other nodes. All methods are safe for
// concurrent use. Errors carry result.PeerFailed.
type Messenger interface {
	// Self returns the id of this node.
	Self() NodeID
	// Request sends a message, waits for the response and decodes it into reply.
	Request(ctx context.Context, to NodeID, kind Kind, body, reply any) error
	// Notify sends a message without waiting for a response. It never blocks
	// and drops the message when the send queue of the peer is full.
	Notify(to NodeID, kind Kind, body any) error
	// Flood sends a message to all nodes over the overlay; each node handles
	// it at most once.
	Flood(kind Kind, body any) error
	// Handle registers the handler of a message kind. Services call it in
	// Provision.
	Handle(kind Kind, h Handler)
}

// State is the state of a member.
type State string

// Member states.
const (
	Alive   State = "alive"
	Leaving State = "leaving"
	Suspect State = "suspect"
	Dead    State = "dead"
)

// Member describes a node.
type Member struct {
	ID NodeID `json:"id" cbor:"1,keyasint"`
	// PeerAddress is the UDP address for messages between nodes.
	PeerAddress string `json:"peer_address" cbor:"2,keyasint"`
	// EntryAddress is the base URL that callers use.
	EntryAddress string `json:"entry_address" cbor:"3,keyasint"`
	// AdminAddress is the base URL of the operator interface.
	AdminAddress  string `json:"admin_address" cbor:"4,keyasint"`
	Region        string `json:"region" cbor:"5,keyasint"`
	FailureDomain string `json:"failure_domain" cbor:"6,keyasint"`
	State         State  `json:"state" cbor:"7,keyasint"`
	Incarnation   uint64 `json:"incarnation" cbor:"8,keyasint"`
	// Ready reports whether the node has a configuration and serves callers.
	Ready bool `json:"ready" cbor:"9,keyasint"`
	// Fingerprint is that of the node's certificate if it was generated at its
	// start; other nodes accept it because a node that they trust reports it.
	Fingerprint string `json:"fingerprint,omitempty" cbor:"10,keyasint,omitempty"`
	// Offers reports whether the node takes offers of changes; earlier releases only
	// take floods.
	Offers bool `json:"-" cbor:"11,keyasint,omitempty"`
}

// Members is a node's view of the membership.
type Members interface {
	// Self returns this node's own entry.
	Self() Member
	// All returns every known member in id order, including dead members that
	// are still retained.
	All() []Member
	// Live returns the alive and leaving members in id order, self included.
	Live() []Member
	// Reachable returns the live members without those that this node has not
	// reached lately. They differ from Live only on a node that is isolated, which
	// can't tell whether the others are down or only out of its reach: work may
	// be sent to reachable members, while limits are shared with all live ones.
	Reachable() []Member
	// Isolated reports whether this node cannot reach most of the members.
	Isolated() bool
	// SetReady announces whether this node serves callers.
	SetReady(ready bool)
	// Leave announces that this node is leaving.
	Leave()
	// Subscribe returns a channel that receives a value after each change.
	// Values are dropped while it is full.
	Subscribe() <-chan struct{}
}

// Names of the kernel services that implement Messenger and Members.
const (
	TransportServiceName  = "peer.transport"
	MembershipServiceName = "peer.membership"
)
