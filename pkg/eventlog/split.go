package eventlog

import (
	"context"
	"log/slog"
)

// split sends warnings and errors to a handler with a larger queue limit.
type split struct {
	routine, urgent slog.Handler
}

func (s *split) Enabled(ctx context.Context, level slog.Level) bool {
	return s.routine.Enabled(ctx, level)
}

func (s *split) Handle(ctx context.Context, r slog.Record) error {
	if r.Level >= slog.LevelWarn {
		return s.urgent.Handle(ctx, r)
	}
	return s.routine.Handle(ctx, r)
}

func (s *split) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &split{routine: s.routine.WithAttrs(attrs), urgent: s.urgent.WithAttrs(attrs)}
}

func (s *split) WithGroup(name string) slog.Handler {
	return &split{routine: s.routine.WithGroup(name), urgent: s.urgent.WithGroup(name)}
}
