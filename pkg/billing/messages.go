package billing

import (
	"github.com/fxamacker/cbor/v2"

	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
)

// The kinds of messages between recorders.
const (
	// kindCopy asks a peer to hold copies of bills.
	kindCopy peer.Kind = "billing.copy"
	// kindConfirm tells a peer that bills are durable.
	kindConfirm peer.Kind = "billing.confirm"
	// kindHandOver asks a peer to write bills as its own.
	kindHandOver peer.Kind = "billing.handover"
)

// copiedBill is a bill in a message. Raw is the CBOR encoding of the Bill, so that
// a batch written by a peer holds the same bytes.
type copiedBill struct {
	Seq uint64 `cbor:"1,keyasint"`
	Raw []byte `cbor:"2,keyasint"`
}

// copyMessage carries bills to hold or to take over.
type copyMessage struct {
	Bills []copiedBill `cbor:"1,keyasint"`
}

// confirmMessage says that every bill of the sender up to UpTo is durable.
type confirmMessage struct {
	UpTo uint64 `cbor:"1,keyasint"`
}

// ack is the answer to all messages.
type ack struct {
	OK bool `cbor:"1,keyasint"`
}

// batch is the stored form of bills.
type batch struct {
	Node  string            `cbor:"1,keyasint"`
	Boot  string            `cbor:"2,keyasint"`
	Seq   uint64            `cbor:"3,keyasint"`
	Bills []cbor.RawMessage `cbor:"4,keyasint"`
}

// encoding keeps times with nanoseconds; the default keeps seconds only.
var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCanonical, Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

func encode(v any) ([]byte, error) {
	raw, err := encoding.Marshal(v)
	if err != nil {
		return nil, result.Wrap(err, result.Internal, result.Unknown, "encode bills")
	}
	return raw, nil
}
