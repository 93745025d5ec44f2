// Package eventlog writes structured log lines without blocking the process:
// lines go through a bounded queue; lines that do not fit are dropped, and their
// number is logged before the next line.
package eventlog

import (
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// queueLines is the capacity of the queue. At a few hundred bytes a line the
	// queue stays below 1 MB.
	queueLines = 2048
	// reserveLines of the queue are reserved for warnings and errors, so that
	// routine lines cannot displace the record of a failure.
	reserveLines = 512
	// flushTimeout bounds the wait for the queue when the process exits.
	flushTimeout = 300 * time.Millisecond
)

// Log is a slog output with a bounded queue.
type Log struct {
	out     io.Writer
	queue   chan []byte
	done    chan struct{}
	mu      sync.Mutex
	dropped int
	closed  bool
	lost    *metrics.Counter
}

// New starts a log that writes to out until Close is called.
func New(out io.Writer) *Log {
	l := &Log{
		out: out, queue: make(chan []byte, queueLines), done: make(chan struct{}),
		lost: metrics.GetOrCreateCounter("cassiapin_log_lines_dropped_total"),
	}
	metrics.GetOrCreateGauge("cassiapin_log_lines_waiting", func() float64 { return float64(len(l.queue)) })
	go l.write()
	return l
}

// Logger returns a logger that writes JSON lines at or above the level.
func (l *Log) Logger(level slog.Leveler) *slog.Logger {
	routine := slog.NewJSONHandler(&sink{log: l, limit: queueLines - reserveLines}, &slog.HandlerOptions{Level: level})
	urgent := slog.NewJSONHandler(&sink{log: l, limit: queueLines}, &slog.HandlerOptions{Level: level})
	return slog.New(&split{routine: routine, urgent: urgent})
}

// Close writes the queued lines; it returns after flushTimeout at the latest.
func (l *Log) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(flushTimeout):
	}
}

func (l *Log) write() {
	defer close(l.done)
	for line := range l.queue {
		if _, err := l.out.Write(line); err != nil {
			// The log's reader is gone; the counter is the only record.
			l.lost.Inc()
		}
	}
}

// enqueue queues a line if fewer than room lines are queued, and drops it
// otherwise.
func (l *Log) enqueue(line []byte, room int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.queue) >= room {
		l.dropped++
		l.lost.Inc()
		return
	}
	if l.dropped > 0 && len(l.queue) < cap(l.queue)-1 {
		l.queue <- droppedLine(l.dropped)
		l.dropped = 0
	}
	l.queue <- line
}

func droppedLine(n int) []byte {
	var b buffer
	slog.New(slog.NewJSONHandler(&b, nil)).Warn(LinesDropped, "lines", n)
	return b
}

type buffer []byte

func (b *buffer) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}

// sink is the writer of a slog handler, which writes one line per call.
type sink struct {
	log   *Log
	limit int
}

func (s *sink) Write(p []byte) (int, error) {
	s.log.enqueue(append([]byte(nil), p...), s.limit)
	return len(p), nil
}
