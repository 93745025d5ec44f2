package lease

import (
	"encoding/json"

	"cassiapin/pkg/result"
)

// keyPrefix is the prefix of the lease keys in the object store.
const keyPrefix = "lease/"

// record is the stored form of a lease.
type record struct {
	Holder string `json:"holder"`
	// Epoch is incremented by each acquisition.
	Epoch uint64 `json:"epoch"`
	Data  []byte `json:"data,omitempty"`
	// Released reports whether the holder released the lease.
	Released bool `json:"released,omitempty"`
	// Renewals counts renewals, so that each one changes the stored value.
	Renewals uint64 `json:"renewals"`
}

func (r record) encode() ([]byte, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, result.Wrap(err, result.Internal, result.NotRun, "encode a lease record")
	}
	return raw, nil
}

func decode(raw []byte) (record, error) {
	var r record
	if err := json.Unmarshal(raw, &r); err != nil {
		return record{}, result.Wrap(err, result.LeaseLost, result.NotRun, "the lease record is malformed")
	}
	return r, nil
}
