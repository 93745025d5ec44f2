package idempotency

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/objectstore/memstore"
	"cassiapin/pkg/result"
)

// Guards against a ledger that needs more than two writes per request, whose
// object count grows with the number of requests, or that loses responses within
// the retention.
func TestRecordsReuseTheirSlots(t *testing.T) {
	const requests, perRetention, slots = 600, 120, 16
	ctx, fake := context.Background(), clock.NewFake(time.Unix(1000, 0))
	store := memstore.New(fake)
	s, client := newLedger(store, fake, "a", nil)
	s.slotDigits = 1
	l, err := s.opts.Leases.Acquire(ctx, leaseName, nil)
	if err != nil {
		t.Fatal(err)
	}
	keyed := func(i int) Request {
		r := request
		r.Key = fmt.Sprint("booking-", i)
		return r
	}
	leases := 0
	for i := range requests {
		c, _, err := s.Begin(ctx, keyed(i))
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Done(ctx, Outcome{Body: []byte(fmt.Sprint(i))}); err != nil {
			t.Fatal(err)
		}
		fake.Advance(DefaultRetention / perRetention)
		if !l.Held() {
			if l, err = s.opts.Leases.Acquire(ctx, leaseName, nil); err != nil {
				t.Fatal(err)
			}
			leases++
		}
		s.sweepStep(ctx, l)
		if first := max(0, i-perRetention+2); true {
			_, o, err := s.Begin(ctx, keyed(first))
			if err != nil || o == nil || string(o.Body) != fmt.Sprint(first) {
				t.Fatalf("after request %d the outcome of request %d is %v, error %v", i, first, o, err)
			}
		}
	}
	objects, records := 0, 0
	_ = objectstore.Each(ctx, client, keyPrefix, func(o objectstore.Object) error {
		b, err := decodeSlot(o)
		objects, records = objects+1, records+len(b.records)
		return err
	})
	writes := store.Writes() - leases - 1
	if objects > slots || records > 2*perRetention || writes > 2*requests+requests/10 {
		t.Fatalf("%d objects, %d records, %d writes for %d requests", objects, records, writes, requests)
	}
	t.Logf("%d objects, %d records, %d writes for %d requests", objects, records, writes, requests)
}

// Guards against large responses that fill a slot so that other requests in it are
// refused, and against a dropped response that is not reported as run.
func TestLargeAnswersShareASlot(t *testing.T) {
	ctx, fake := context.Background(), clock.NewFake(time.Unix(1000, 0))
	s, _ := newLedger(memstore.New(fake), fake, "a", nil)
	s.slotDigits = 0
	kept, dropped := 0, 0
	for i := range 6 {
		r := request
		r.Key = fmt.Sprint(i)
		c, _, err := s.Begin(ctx, r)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Done(ctx, Outcome{Body: bytes.Repeat([]byte("x"), MaxOutcomeBytes)}); err != nil {
			t.Fatal(err)
		}
		switch _, o, err := s.Begin(ctx, r); {
		case err == nil && len(o.Body) == MaxOutcomeBytes:
			kept++
		case result.CodeOf(err) == result.OutcomeUnknown && result.From(err).Run == result.Ran:
			dropped++
		default:
			t.Fatal(err)
		}
	}
	if kept != 2 || dropped != 4 {
		t.Fatalf("%d responses kept, %d dropped, want 2 and 4", kept, dropped)
	}
}

// Guards against a retry that stays in progress for hours, until the sweep marks
// an attempt whose node crashed.
func TestRetryMarksAnOverdueAttempt(t *testing.T) {
	ctx, fake := context.Background(), clock.NewFake(time.Unix(1000, 0))
	s, _ := newLedger(memstore.New(fake), fake, "a", nil)
	if _, _, err := s.Begin(ctx, request); err != nil {
		t.Fatal(err)
	}
	fake.Advance(DefaultOverdueAfter + time.Second)
	if _, _, err := s.Begin(ctx, request); result.CodeOf(err) != result.OutcomeUnknown || result.From(err).Run != result.Unknown {
		t.Fatal(err)
	}
}
