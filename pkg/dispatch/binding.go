package dispatch

import (
	"context"

	"cassiapin/pkg/config"
	"cassiapin/pkg/plan"
	"cassiapin/pkg/timeline"
)

// bindAnswer binds the session to the answer's version. If another request has
// already bound a named session to a different version, bindAnswer runs the
// request again on that version.
func (f *chatFlow) bindAnswer(ctx context.Context, a *stepAnswer) (*stepAnswer, error) {
	if a.streamed {
		return a, nil
	}
	actual, err := f.bind(ctx, a.ref)
	if err != nil {
		return nil, err
	}
	if actual == a.ref {
		return a, nil
	}
	if f.request.Class.NonIdempotent {
		// The request has run and must not run again, so the response only
		// reports that the session may be bound to another version.
		f.meta.BindingLost = true
		return a, nil
	}
	f.overhead += f.price(a)
	f.session.Pinned = actual
	if f.plan, err = f.makePlan(); err != nil {
		return nil, err
	}
	last := plan.Step{Version: f.plan.Steps[len(f.plan.Steps)-1].Version}
	rerun, err := f.runStep(ctx, last, true)
	if err != nil {
		return nil, err
	}
	f.meta.Version = rerun.ref
	return rerun, nil
}

// bind binds the session to ref and fills in the response metadata. It returns
// the version to which the session is bound.
func (f *chatFlow) bind(ctx context.Context, ref config.VersionRef) (config.VersionRef, error) {
	s, r := f.service, f.request
	f.meta.RequestID, f.meta.Version = r.ID, ref
	if f.session.ID == "" {
		return ref, nil
	}
	header, actual, err := s.sessions.Bind(ctx, r.Organisation.Name, r.Class.Name, f.session, ref)
	if err != nil {
		return ref, err
	}
	f.meta.Session = header
	if f.session.BindingLost && !f.meta.BindingLost {
		f.meta.BindingLost = true
		s.counters.moved.Inc()
		f.record(timeline.SessionMoved, func(e *timeline.Event) { e.Detail = "from an unknown version" })
	}
	if f.plan.MovedFrom != (config.VersionRef{}) {
		f.meta.MovedFrom = f.plan.MovedFrom
		s.counters.moved.Inc()
		f.record(timeline.SessionMoved, func(e *timeline.Event) { e.Detail = "from " + f.plan.MovedFrom.String() })
	}
	return actual, nil
}
