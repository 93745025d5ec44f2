package dispatch

import (
	"bytes"
	"context"
	"encoding/json"

	"cassiapin/pkg/billing"
	"cassiapin/pkg/config"
	"cassiapin/pkg/once"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

// begin claims a non-idempotent request; it returns the stored outcome of an
// earlier run when there is one.
func (f *flow) begin(ctx context.Context) (*once.Outcome, error) {
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
	// The ledger compares bodies; white space makes no other request.
	var canonical bytes.Buffer
	if err := json.Compact(&canonical, body); err != nil {
		return nil, result.Wrap(err, result.BadRequest, result.NotRun, "the body is not JSON")
	}
	claim, stored, err := f.service.ledger.Begin(ctx, once.Request{
		Organisation: r.Organisation.Name,
		Key:          r.IdempotencyKey,
		Body:         canonical.Bytes(),
		RequestID:    r.ID,
	})
	f.claim = claim
	return stored, err
}

func (f *flow) replay(stored *once.Outcome) *ChatResult {
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

// price is what the tokens of an answer cost at the declared prices.
func (f *flow) price(a *stepAnswer) float64 {
	snapshot := f.service.config.Current()
	version, ok := snapshot.Version(a.ref)
	if !ok {
		return 0
	}
	return version.PriceInput*float64(a.usage.PromptTokens)/1000 +
		version.PriceOutput*float64(a.usage.CompletionTokens)/1000
}

// bill records what the organisation pays for the answer.
func (f *flow) bill(ctx context.Context, a *stepAnswer, whole bool) error {
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
		Whole:        whole,
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

// billingKey makes a caller's retry the same bill. The prompt is part of the
// key of an idempotent request: the ledger does not compare bodies there, and
// one key for many prompts would otherwise be billed once.
func (f *flow) billingKey() string {
	r := f.request
	if r.IdempotencyKey == "" || r.Class.NonIdempotent {
		return r.IdempotencyKey
	}
	return r.IdempotencyKey + "\x00" + r.Chat.Prompt
}

func (f *flow) completeClaim(ctx context.Context, o once.Outcome) {
	if f.claim == nil {
		return
	}
	o.Model, o.Version = f.meta.Version.Model, f.meta.Version.Version
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ledgerTimeout)
	defer cancel()
	// The ledger repeats a failed write in the background.
	_ = f.claim.Done(ctx, o)
	f.claim = nil
}

// failed completes an error with the run state of the whole request, counts it
// and tells the at-most-once ledger how the request ended; claim may be nil.
func failed(ctx context.Context, err error, run result.RunState, claim once.Claim) *result.Error {
	e := *result.From(err)
	e.Run = run.Worst(e.Run)
	countFailure(&e)
	if claim == nil {
		return &e
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ledgerTimeout)
	defer cancel()
	// The ledger repeats failed writes and resolves the rest by its sweep.
	if e.Run == result.NotRun {
		_ = claim.NotRun(ctx)
	} else {
		_ = claim.Unknown(ctx)
	}
	return &e
}

// failureKind tells a refusal, which did not run, from a failure.
func failureKind(e *result.Error) timeline.Kind {
	if e.Run == result.NotRun {
		return timeline.RequestRefused
	}
	return timeline.RequestFailed
}

// describe fills the fields of an event that tell of an error. Callers see the
// same message.
func describe(e *result.Error) func(*timeline.Event) {
	return func(ev *timeline.Event) {
		ev.Code, ev.Run, ev.Detail = int(e.Code), string(e.Run), e.Message
	}
}
