// Package billing records the cost of each request to its organisation exactly
// once.
package billing

import (
	"context"
	"time"

	"cassiapin/pkg/upstream"
)

// ServiceName is the name under which a node registers the billing service.
const ServiceName = "ledger.billing"

// Bill is one billing record.
type Bill struct {
	// ID is derived from the request; bills with equal ids are duplicates.
	ID           string         `json:"id" cbor:"1,keyasint"`
	Organisation string         `json:"organisation" cbor:"2,keyasint"`
	Class        string         `json:"class,omitempty" cbor:"3,keyasint,omitempty"`
	Model        string         `json:"model,omitempty" cbor:"4,keyasint,omitempty"`
	Version      string         `json:"version,omitempty" cbor:"5,keyasint,omitempty"`
	Service      string         `json:"service,omitempty" cbor:"6,keyasint,omitempty"`
	Usage        upstream.Usage `json:"usage" cbor:"7,keyasint"`
	// Price is what the organisation pays, in price units.
	Price float64 `json:"price" cbor:"8,keyasint"`
	// Overhead is the cost of escalated, hedged and retried attempts, which
	// the organisation does not pay.
	Overhead float64 `json:"overhead,omitempty" cbor:"9,keyasint,omitempty"`
	// Complete is false for a response that was cancelled or truncated.
	Complete bool      `json:"whole" cbor:"10,keyasint"`
	Time     time.Time `json:"time" cbor:"11,keyasint"`
	Node     string    `json:"node" cbor:"12,keyasint"`
}

// Recorder records bills.
type Recorder interface {
	// Record queues the bill on this node and copies it to a second node,
	// preferably in another failure domain. It returns when the second node has
	// acknowledged the copy or after a short timeout. It fails with
	// result.LedgerFull.
	Record(ctx context.Context, b Bill) error
	// HasCapacity reports whether new requests may be accepted without exceeding
	// the memory limit for bills.
	HasCapacity() bool
}

// ID returns the bill id of a request. It is the same for all attempts and for all
// retries with the same idempotency key; without a key it is unique to the
// request.
func ID(organisation, idempotencyKey, requestID string) string {
	if idempotencyKey == "" {
		return "r:" + requestID
	}
	return "k:" + keyHash(organisation, idempotencyKey)
}
