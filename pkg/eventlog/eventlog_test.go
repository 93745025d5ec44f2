package eventlog

import (
	"bytes"
	"log/slog"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	mu      sync.Mutex
	written bytes.Buffer
	release chan struct{}
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// TestNeverBlocks guards against logging that blocks or uses unbounded memory
// when the log's reader stalls, and against routine lines that displace failures.
func TestNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	log := New(out)
	logger := log.Logger(slog.LevelInfo)
	start := time.Now()
	for range 5 * queueLines {
		logger.Info(RequestDone, "request", "routine")
	}
	logger.Warn(RequestFailed, "request", "failure")
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("%d lines took %s while the writer is blocked", 5*queueLines, took)
	}
	if n := log.waiting(); n > queueLines {
		t.Errorf("%d lines queued, limit %d", n, queueLines)
	}
	close(out.release)
	for end := time.Now().Add(5 * time.Second); log.waiting() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	logger.Info(NodeStopped)
	log.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.written.String()
	if !strings.Contains(text, `"request":"failure"`) {
		t.Error("the failure is not in the log")
	}
	if !regexp.MustCompile(`"msg":"` + LinesDropped + `","lines":\d+`).MatchString(text) {
		t.Error("the dropped lines are not counted in the log")
	}
}

// TestMessagesDocumented guards against log messages that docs/OPERATIONS.md does
// not explain.
func TestMessagesDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	source, err := os.ReadFile("events.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range regexp.MustCompile(`= "([^"]+)"`).FindAllStringSubmatch(string(source), -1) {
		if !strings.Contains(string(page), "`"+m[1]+"`") {
			t.Errorf("docs/OPERATIONS.md does not explain the message %q", m[1])
		}
	}
}
