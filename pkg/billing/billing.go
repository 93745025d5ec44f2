// Package billing records what each request costs its organisation, exactly
// once.
package billing

import (
	"context"
	"time"

	"cassiapin/pkg/upstream"
)

// ServiceName is the name of the billing service.
const ServiceName = "ledger.billing"

// Bill is one billing record.
type Bill struct {
	// ID is deterministic for a request: equal ids are the same bill.
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
	// Complete is false for an answer that was cancelled or cut off.
	Complete bool      `json:"whole" cbor:"10,keyasint"`
	Time     time.Time `json:"time" cbor:"11,keyasint"`
	Node     string    `json:"node" cbor:"12,keyasint"`
}

// Recorder takes bills.
type Recorder interface {
	// Record keeps the bill here and at a second node in another failure
	// domain; it returns when the second node has confirmed or after a short
	// bounded wait. It fails with result.LedgerFull.
	Record(ctx context.Context, b Bill) error
	// HasCapacity reports whether a new request's bill can still be kept.
	HasCapacity() bool
}

// ID returns the bill id of a request: the same for every attempt and every
// retry with the same idempotency key, else unique to the request.
func ID(organisation, idempotencyKey, requestID string) string {
	if idempotencyKey == "" {
		return "r:" + requestID
	}
	return "k:" + keyHash(organisation, idempotencyKey)
}
