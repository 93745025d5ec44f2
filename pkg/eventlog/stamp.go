package eventlog

import (
	"context"
	"log/slog"
	"time"

	"cassiapin/pkg/clock"
)

// StampField is the log field of the hybrid clock stamp, NodeField that of the node's
// id.
const (
	StampField = "stamp"
	NodeField  = "node"
)

// Stamped returns a logger that adds the node's id and hybrid clock stamps to its
// lines, so that lines of several nodes can be ordered. They come last, because
// collectors may cut lines; for the same reason times have milliseconds, as stamps do.
func Stamped(log *slog.Logger, node string, hlc *clock.HLC) *slog.Logger {
	return slog.New(&stamped{Handler: log.Handler(), node: node, hlc: hlc})
}

type stamped struct {
	slog.Handler
	node string
	hlc  *clock.HLC
}

func (s *stamped) Handle(ctx context.Context, r slog.Record) error {
	r.Time = r.Time.Truncate(time.Millisecond)
	r.AddAttrs(slog.String(NodeField, s.node), slog.String(StampField, s.hlc.Next().Short()))
	return s.Handler.Handle(ctx, r)
}

func (s *stamped) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &stamped{Handler: s.Handler.WithAttrs(attrs), node: s.node, hlc: s.hlc}
}

func (s *stamped) WithGroup(name string) slog.Handler {
	return &stamped{Handler: s.Handler.WithGroup(name), node: s.node, hlc: s.hlc}
}
