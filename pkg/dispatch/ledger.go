package dispatch

import (
	"bytes"
	"context"
	"encoding/json"

	"cassiapin/pkg/billing"
	"cassiapin/pkg/config"
	"cassiapin/pkg/idempotency"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

// claimRequest claims a non-idempotent request in the at-most-once ledger. It
// returns the stored outcome if the request has already run.
func (f *chatFlow) claimRequest(ctx context.Context) (*idempotency.Outcome, error) {
	r := f.request
	if !r.Class.NonIdempotent {
		return nil, nil
	}
	if err := f.service.checkConnected(); err != nil {
		return nil, err
	}
	if r.IdempotencyKey == "" {
		return nil, result.New(result.IdempotencyKeyRequired, "class %q needs an Idempotency-Key", r.Class.Name)
	}
	body, err := r.Chat.engineBody(config.VersionRef{}, r.Class.Name, r.Chat.Stream)
	if err != nil {
		return nil, err
	}
	// The ledger compares bodies, so white space is normalised.
	var canonical bytes.Buffer
	if err := json.Compact(&canonical, body); err != nil {
		return nil, result.Wrap(err, result.BadRequest, result.NotRun, "the body is not JSON")
	}
	claim, stored, err := f.service.ledger.Begin(ctx, idempotency.Request{
		Organisation: r.Organisation.Name,
		Key:          r.IdempotencyKey,
		Body:         canonical.Bytes(),
		RequestID:    r.ID,
	})
	f.claim = claim
	return stored, err
}

func (f *chatFlow) replay(stored *idempotency.Outcome) *ChatResult {
	if stored == nil {
		return nil
	}
	f.meta = Meta{
		RequestID: f.request.ID,
		Version:   config.VersionRef{Model: stored.Model, Version: stored.Version},
		Replayed:  true,
	}
	return &ChatResult{Meta: f.meta, ContentType: stored.ContentType, Body: stored.Body}
}

// price returns the cost of an answer's tokens at the declared prices.
func (f *chatFlow) price(a *stepAnswer) float64 {
	snapshot := f.service.config.Current()
	version, ok := snapshot.Version(a.ref)
	if !ok {
		return 0
	}
	return version.PriceInput*float64(a.usage.PromptTokens)/1000 +
		version.PriceOutput*float64(a.usage.CompletionTokens)/1000
}

// bill records the organisation's charge for the answer.
func (f *chatFlow) bill(ctx context.Context, a *stepAnswer, complete bool) error {
	r := f.request
	b := billing.Bill{
		ID:           billing.ID(r.Organisation.Name, f.billingKey(), r.ID),
		Organisation: r.Organisation.Name,
		Class:        r.Class.Name,
		Model:        a.ref.Model,
		Version:      a.ref.Version,
		Usage:        a.usage,
		Price:        f.price(a),
		Overhead:     f.overhead,
		Complete:     complete,
		Time:         f.service.clock.Now(),
		Node:         f.service.options.Node,
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ledgerTimeout)
	defer cancel()
	if err := f.service.bills.Record(ctx, b); err != nil {
		return result.Wrap(err, result.CodeOf(err), result.Ran, "the bill could not be kept")
	}
	f.service.limiter.Spend(r.Organisation.Name, b.Price)
	f.record(timeline.BillRecorded, func(e *timeline.Event) { e.Detail = b.ID })
	return nil
}

// billingKey returns the key that gives a caller's retry the same bill id. For
// an idempotent request it includes the prompt: the ledger does not compare
// those bodies, and a key reused for several prompts would be billed only once.
func (f *chatFlow) billingKey() string {
	r := f.request
	if r.IdempotencyKey == "" || r.Class.NonIdempotent {
		return r.IdempotencyKey
	}
	return r.IdempotencyKey + "\x00" + r.Chat.Prompt
}

func (f *chatFlow) completeClaim(ctx context.Context, o idempotency.Outcome) {
	if f.claim == nil {
		return
	}
	o.Model, o.Version = f.meta.Version.Model, f.meta.Version.Version
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ledgerTimeout)
	defer cancel()
	// The ledger retries a failed write in the background.
	_ = f.claim.Done(ctx, o)
	f.claim = nil
}

// completeFailure merges the run state of the whole request into an error, counts
// the error and records the outcome in the at-most-once ledger. claim may be
// nil.
func completeFailure(ctx context.Context, err error, run result.RunState, claim idempotency.Claim) *result.Error {
	e := *result.From(err)
	e.Run = run.Worst(e.Run)
	countFailure(&e)
	if claim == nil {
		return &e
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ledgerTimeout)
	defer cancel()
	// The ledger retries failed writes; its periodic sweep resolves the rest.
	if e.Run == result.NotRun {
		_ = claim.NotRun(ctx)
	} else {
		_ = claim.Unknown(ctx)
	}
	return &e
}

// failureKind distinguishes a refused request, which did not run, from a failed
// one.
func failureKind(e *result.Error) timeline.Kind {
	if e.Run == result.NotRun {
		return timeline.RequestRefused
	}
	return timeline.RequestFailed
}

// withError sets the error fields of an event. The detail is the message that
// callers receive.
func withError(e *result.Error) func(*timeline.Event) {
	return func(ev *timeline.Event) {
		ev.Code, ev.Run, ev.Detail = int(e.Code), string(e.Run), e.Message
	}
}
