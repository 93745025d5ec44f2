// Package eventlog writes structured log lines without blocking the process:
// lines go through a bounded queue; lines that do not fit are dropped, and their
// number is logged before the next line.
package eventlog

import (
	"io"
	"log/slog"
	"os/signal"
	"sync"
	"syscall"
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
	// dropped are the lines that were dropped or could not be written, and of which no
	// line has told.
	dropped int
	closed  bool
	// ended is set once the last line about dropped ones has been taken.
	ended bool
}

// New starts a log that writes to out until Close is called. From then on the process
// ignores SIGPIPE.
func New(out io.Writer) *Log {
	// A write to a standard output that nobody reads would end the process.
	signal.Ignore(syscall.SIGPIPE)
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
	cut := false
	for next, ok := l.next(); ok; next, ok = l.next() {
		text := next.text
		if cut {
			text = append([]byte{'\n'}, text...)
		}
		n, err := l.out.Write(text)
		if err != nil {
			l.failed(next)
		}
		cut = err != nil && (cut || n > 0)
	}
}

// failed counts a line that could not be written.
func (l *Log) failed(lost line) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if lost.counts > 0 {
		l.dropped += lost.counts
		return
	}
	l.drop()
}

// next waits for a line; ok is false once the log is closed and all lines have been
// taken.
func (l *Log) next() (next line, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.queue.length == 0 && !l.closed {
		l.changed.Wait()
	}
	if l.queue.length > 0 {
		return l.queue.pop(), true
	}
	if l.dropped == 0 || l.ended {
		return line{}, false
	}
	l.ended = true
	return l.droppedLine(), true
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
		l.queue.push(l.droppedLine())
	}
	l.queue.push(line{text: text, routine: routine})
	l.changed.Signal()
}

func (l *Log) drop() {
	l.dropped++
	l.lost.Inc()
}

// droppedLine returns a line about the lines that have been dropped or could not be
// written since the last one. The caller holds the lock.
func (l *Log) droppedLine() line {
	var b buffer
	slog.New(slog.NewJSONHandler(&b, nil)).Warn(LinesDropped, "lines", l.dropped)
	told := line{text: b, counts: l.dropped}
	l.dropped = 0
	return told
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
