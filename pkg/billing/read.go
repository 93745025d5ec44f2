package billing

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/upstream"
)

// maxBatchDelay is the maximum time between a bill and its batch that Reconcile
// allows for, because object store outages last hours.
const maxBatchDelay = 24 * time.Hour

// Filter selects bills; zero fields match all bills.
type Filter struct {
	Organisation string
	// From and To bound the time of the bills: From <= time < To. If both are
	// set, only the batches of the relevant hours are read instead of all.
	From, To time.Time
}

func (f Filter) match(b Bill) bool {
	return (f.Organisation == "" || f.Organisation == b.Organisation) &&
		(f.From.IsZero() || !b.Time.Before(f.From)) &&
		(f.To.IsZero() || b.Time.Before(f.To))
}

// prefixes returns the key prefixes of batches that may contain matching bills.
func (f Filter) prefixes() []string {
	if f.From.IsZero() || f.To.IsZero() {
		return []string{keyPrefix}
	}
	var out []string
	for h := f.From.UTC().Truncate(time.Hour); h.Before(f.To.Add(maxBatchDelay)); h = h.Add(time.Hour) {
		out = append(out, keyPrefix+h.Format(hourFormat)+"/")
	}
	return out
}

// Total is the sum of bills.
type Total struct {
	Bills int `json:"bills"`
	// Incomplete is the number of bills for cancelled or truncated responses.
	Incomplete int            `json:"cut"`
	Usage      upstream.Usage `json:"usage"`
	Price      float64        `json:"price"`
	Overhead   float64        `json:"overhead"`
}

func (t *Total) add(b Bill) {
	one := Total{Bills: 1, Usage: b.Usage, Price: b.Price, Overhead: b.Overhead}
	if !b.Complete {
		one.Incomplete = 1
	}
	t.merge(one)
}

func (t *Total) merge(o Total) {
	t.Bills += o.Bills
	t.Incomplete += o.Incomplete
	t.Usage.PromptTokens += o.Usage.PromptTokens
	t.Usage.CachedTokens += o.Usage.CachedTokens
	t.Usage.CompletionTokens += o.Usage.CompletionTokens
	t.Price += o.Price
	t.Overhead += o.Overhead
}

// Summary is the result of Reconcile.
type Summary struct {
	Organisations map[string]Total `json:"organisations"`
	Batches       int              `json:"batches"`
	// Duplicates is the number of bills whose id was already counted.
	Duplicates int `json:"duplicates"`
	// Malformed is the number of batches and bills that could not be decoded. If
	// it is not 0, the totals are incomplete.
	Malformed int `json:"malformed"`
}

// ReadStats counts what Each has read.
type ReadStats struct {
	Batches, Malformed int
}

// Each calls fn for every matching bill in key order, including duplicates. It
// keeps one page of batches in memory.
func Each(ctx context.Context, store objectstore.Store, f Filter, fn func(Bill)) (ReadStats, error) {
	var stats ReadStats
	for _, prefix := range f.prefixes() {
		err := objectstore.Each(ctx, store, prefix, func(o objectstore.Object) error {
			stats.read(o.Value, f, fn)
			return nil
		})
		if err != nil {
			return stats, err
		}
	}
	return stats, nil
}

func (s *ReadStats) read(raw []byte, f Filter, fn func(Bill)) {
	var b batch
	if err := cbor.Unmarshal(raw, &b); err != nil {
		s.Malformed++
		return
	}
	s.Batches++
	for _, rawBill := range b.Bills {
		var bill Bill
		if err := cbor.Unmarshal(rawBill, &bill); err != nil {
			s.Malformed++
			continue
		}
		if f.match(bill) {
			fn(bill)
		}
	}
}
