package eventlog

import (
	"context"
	"log/slog"

	"cassiapin/pkg/clock"
)

// StampField is the log field of the hybrid clock stamp.
const StampField = "stamp"

// Stamped returns a logger that adds hybrid clock stamps to its lines, so that
// lines of several nodes can be ordered.
func Stamped(log *slog.Logger, hlc *clock.HLC) *slog.Logger {
	return slog.New(&stamped{Handler: log.Handler(), hlc: hlc})
}

type stamped struct {
	slog.Handler
	hlc *clock.HLC
}

func (s *stamped) Handle(ctx context.Context, r slog.Record) error {
	r.AddAttrs(slog.String(StampField, s.hlc.Next().Short()))
	return s.Handler.Handle(ctx, r)
}

func (s *stamped) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &stamped{Handler: s.Handler.WithAttrs(attrs), hlc: s.hlc}
}

func (s *stamped) WithGroup(name string) slog.Handler {
	return &stamped{Handler: s.Handler.WithGroup(name), hlc: s.hlc}
}
