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
	// reserveLines of the queue are reserved for lines that are not routine, so that
	// routine lines cannot displace the record of a failure.
	reserveLines = 512
	// flushTimeout bounds the wait for the queue when the process exits.
	flushTimeout = 300 * time.Millisecond
)

// Log is a slog output with a bounded queue.
type Log struct {
	out  io.Writer
	done chan struct{}
	lost *metrics.Counter

	mu sync.Mutex
	// changed is signalled when a line has been queued or the log is closed.
	changed *sync.Cond
	queue   queue
	dropped int
	closed  bool
}

// New starts a log that writes to out until Close is called.
func New(out io.Writer) *Log {
	l := &Log{
		out: out, done: make(chan struct{}),
		lost: metrics.GetOrCreateCounter("cassiapin_log_lines_dropped_total"),
	}
	l.changed = sync.NewCond(&l.mu)
	metrics.GetOrCreateGauge("cassiapin_log_lines_waiting", func() float64 { return float64(l.waiting()) })
	go l.write()
	return l
}

// Logger returns a logger that writes JSON lines at or above the level.
func (l *Log) Logger(level slog.Leveler) *slog.Logger {
	routine := slog.NewJSONHandler(&sink{log: l, routine: true}, &slog.HandlerOptions{Level: level})
	other := slog.NewJSONHandler(&sink{log: l}, &slog.HandlerOptions{Level: level})
	return slog.New(&split{routine: routine, other: other})
}

// Close writes the queued lines; it returns after flushTimeout at the latest.
func (l *Log) Close() {
	l.mu.Lock()
	l.closed = true
	l.changed.Signal()
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(flushTimeout):
	}
}

// waiting returns the number of queued lines.
func (l *Log) waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.length
}

func (l *Log) write() {
	defer close(l.done)
	for text := l.next(); text != nil; text = l.next() {
		if _, err := l.out.Write(text); err != nil {
			// The log's reader is gone; the counter is the only record.
			l.lost.Inc()
		}
	}
}

// next waits for a line; it returns nil once the log is closed and all lines have
// been taken.
func (l *Log) next() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.queue.length == 0 {
		if l.closed {
			return l.droppedLine()
		}
		l.changed.Wait()
	}
	return l.queue.pop().text
}

// enqueue queues a line. A line without room is dropped, unless it is not routine and
// can take the place of a routine one.
func (l *Log) enqueue(text []byte, routine bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		l.drop()
		return
	}
	if !l.queue.room(1, routine) {
		l.drop() // This line or a routine one.
		if routine || !l.queue.evict() {
			return
		}
	}
	if l.dropped > 0 && l.queue.room(2, false) {
		l.queue.push(line{text: l.droppedLine()})
	}
	l.queue.push(line{text: text, routine: routine})
	l.changed.Signal()
}

func (l *Log) drop() {
	l.dropped++
	l.lost.Inc()
}

// droppedLine returns a line about the lines that have been dropped since the last
// one, or nil if there are none. The caller holds the lock.
func (l *Log) droppedLine() []byte {
	if l.dropped == 0 {
		return nil
	}
	var b buffer
	slog.New(slog.NewJSONHandler(&b, nil)).Warn(LinesDropped, "lines", l.dropped)
	l.dropped = 0
	return b
}

type buffer []byte

func (b *buffer) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}

// sink is the writer of a slog handler, which writes one line per call.
type sink struct {
	log     *Log
	routine bool
}

func (s *sink) Write(p []byte) (int, error) {
	s.log.enqueue(append([]byte(nil), p...), s.routine)
	return len(p), nil
}
