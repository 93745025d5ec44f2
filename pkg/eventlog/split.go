package eventlog

import (
	"context"
	"log/slog"
)

// split sends routine lines and others to handlers with different shares of the
// queue.
type split struct {
	routine, other slog.Handler
}

// isRoutine reports whether a line may be dropped first: it is no warning, no error,
// no refusal and not about a change that denials rest on.
func isRoutine(r slog.Record) bool {
	if r.Level >= slog.LevelWarn {
		return false
	}
	switch r.Message {
	case RequestRefused, RequestTimeout, ConfigTaken:
		return false
	}
	return true
}

func (s *split) Enabled(ctx context.Context, level slog.Level) bool {
	return s.routine.Enabled(ctx, level)
}

func (s *split) Handle(ctx context.Context, r slog.Record) error {
	if isRoutine(r) {
		return s.routine.Handle(ctx, r)
	}
	return s.other.Handle(ctx, r)
}

func (s *split) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &split{routine: s.routine.WithAttrs(attrs), other: s.other.WithAttrs(attrs)}
}

func (s *split) WithGroup(name string) slog.Handler {
	return &split{routine: s.routine.WithGroup(name), other: s.other.WithGroup(name)}
}
