package billing

import (
	"github.com/fxamacker/cbor/v2"

	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
)

// The kinds of messages between billing services.
const (
	// kindCopy asks a peer to store copies of bills.
	kindCopy peer.Kind = "billing.copy"
	// kindConfirm informs a peer that bills are durable and their copies can be
	// dropped.
	kindConfirm peer.Kind = "billing.confirm"
	// kindHandOver asks a peer to take over bills and write them as its own.
	kindHandOver peer.Kind = "billing.handover"
)

// copiedBill is a bill in a message. Raw is the CBOR encoding of the Bill, so that
// a batch written by a peer contains the same bytes.
type copiedBill struct {
	Seq uint64 `cbor:"1,keyasint"`
	Raw []byte `cbor:"2,keyasint"`
}

// copyMessage carries bills to copy or to take over.
type copyMessage struct {
	Bills []copiedBill `cbor:"1,keyasint"`
}

// confirmMessage states that all bills of the sender up to sequence number UpTo are
// durable.
type confirmMessage struct {
	UpTo uint64 `cbor:"1,keyasint"`
}

// ack is the reply to all messages.
type ack struct {
	OK bool `cbor:"1,keyasint"`
}

// batch is the stored object that contains bills.
type batch struct {
	Node  string            `cbor:"1,keyasint"`
	Boot  string            `cbor:"2,keyasint"`
	Seq   uint64            `cbor:"3,keyasint"`
	Bills []cbor.RawMessage `cbor:"4,keyasint"`
}

// encoding encodes times with nanoseconds; the default truncates to seconds.
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
