package eventlog

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// stuck returns a log whose output does not take a line; written releases it. One
// line has been taken out of the queue.
func stuck(t *testing.T) (log *Log, logger *slog.Logger, written func() []string) {
	t.Helper()
	out := &blockedWriter{release: make(chan struct{})}
	log = New(out)
	logger = log.Logger(slog.LevelInfo)
	logger.Info(RequestDone, "request", "first")
	for end := time.Now().Add(5 * time.Second); log.waiting() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return log, logger, func() []string {
		close(out.release)
		log.Close()
		out.mu.Lock()
		defer out.mu.Unlock()
		return strings.Split(strings.TrimSuffix(out.written.String(), "\n"), "\n")
	}
}

// count returns the number of lines with the text.
func count(lines []string, text string) (n int) {
	for _, l := range lines {
		if strings.Contains(l, text) {
			n++
		}
	}
	return n
}

// TestDenialsDisplaceRoutineLines guards against denials that are dropped while routine
// lines wait, and against a changed order of the others.
func TestDenialsDisplaceRoutineLines(t *testing.T) {
	log, logger, written := stuck(t)
	for i := range queueLines {
		logger.Info(RequestDone, "request", fmt.Sprint("done-", i))
	}
	const denials = queueLines - 1 // One place has the number of lines that were dropped first.
	for i := range denials {
		logger.Warn(RequestRefused, "request", fmt.Sprint("denied-", i), "code", 110)
	}
	if n := log.waiting(); n != queueLines {
		t.Errorf("%d lines wait, want %d", n, queueLines)
	}
	lines := written()
	denied, done := count(lines, `"denied-`), count(lines, `"done-`)
	if denied != denials || done != 0 {
		t.Errorf("%d denials and %d routine lines, want %d and 0", denied, done, denials)
	}
	next := 0
	for _, l := range lines {
		if strings.Contains(l, fmt.Sprintf(`"denied-%d"`, next)) {
			next++
		}
	}
	if next != denials {
		t.Errorf("the line after %d denials is out of order", next)
	}
	if !strings.Contains(lines[len(lines)-1], fmt.Sprintf(`"msg":%q,"lines":%d`, LinesDropped, queueLines-reserveLines)) {
		t.Errorf("the last line is %s, want the number of dropped lines", lines[len(lines)-1])
	}
}

// TestRoutineLinesLeaveRoom guards against routine lines that take the places of lines
// about refusals and configurations, whatever their level.
func TestRoutineLinesLeaveRoom(t *testing.T) {
	for _, tc := range []struct {
		level   slog.Level
		message string
		kept    bool
	}{
		{slog.LevelInfo, RequestDone, false},
		{slog.LevelInfo, CallerLeft, false},
		{slog.LevelInfo, UpstreamRead, false},
		{slog.LevelInfo, RequestRefused, true},
		{slog.LevelInfo, RequestTimeout, true},
		{slog.LevelInfo, ConfigTaken, true},
		{slog.LevelWarn, RequestRefused, true},
		{slog.LevelWarn, AttemptFailed, true},
		{slog.LevelError, RequestFailed, true},
	} {
		t.Run(tc.level.String()+" "+tc.message, func(t *testing.T) {
			_, logger, written := stuck(t)
			for range 2 * queueLines {
				logger.Info(RequestDone, "request", "filler")
			}
			logger.With("more", 1).Log(t.Context(), tc.level, tc.message, "request", "wanted")
			if kept := count(written(), `"wanted"`) == 1; kept != tc.kept {
				t.Errorf("kept %t, want %t", kept, tc.kept)
			}
		})
	}
}

// slowWriter takes a time for each line.
type slowWriter struct {
	bytes.Buffer
	pause time.Duration
}

func (w *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(w.pause)
	return w.Buffer.Write(p)
}

// TestLastLinesAreWritten guards against a process that ends before the lines about the
// requests that it answered last are written.
func TestLastLinesAreWritten(t *testing.T) {
	const lines = 100
	out := &slowWriter{pause: time.Millisecond}
	log := New(out)
	logger := log.Logger(slog.LevelInfo)
	for i := range lines {
		logger.Info(RequestRefused, "request", fmt.Sprint("id-", i), "code", 601)
	}
	log.Close()
	if n := strings.Count(out.String(), `"id-`); n != lines {
		t.Errorf("%d lines of %d are written", n, lines)
	}
	logger.Warn(RequestRefused, "request", "late") // It is only counted.
}
