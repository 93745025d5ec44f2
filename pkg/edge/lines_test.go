package edge

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cassiapin/pkg/eventlog"
	"cassiapin/platform/platformtest"
)

// lineBuffer is an output of a log.
type lineBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (b *lineBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

// with returns the lines that contain all texts.
func (b *lineBuffer) with(texts ...string) (lines []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
next:
	for line := range strings.Lines(b.out.String()) {
		for _, text := range texts {
			if !strings.Contains(line, text) {
				continue next
			}
		}
		lines = append(lines, line)
	}
	return lines
}

// loggingNode starts a node whose log goes to out.
func loggingNode(t *testing.T) (f *testFleet, n *Node, out *lineBuffer, log *eventlog.Log) {
	t.Helper()
	f = newFleet(t, 0)
	out = &lineBuffer{}
	log = eventlog.New(out)
	t.Cleanup(log.Close)
	f.log = log.Logger(slog.LevelInfo)
	n = f.start(0)
	f.eventually("the node is ready", n.Ready)
	return f, n, out, log
}

// rawStatus returns the status of the answer to raw bytes, zero without one.
func rawStatus(t *testing.T, address, text string) int {
	t.Helper()
	conn := dialRaw(t, address)
	defer conn.Close()
	_, _ = io.WriteString(conn, text) // It fails if the answer comes first.
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// TestEachRefusalIsLogged guards against an answer of the node's own at any of its
// addresses that no line of its log names.
func TestEachRefusalIsLogged(t *testing.T) {
	f, n, out, _ := loggingNode(t)
	f.eventually("the configuration is confirmed", func() bool {
		status, _ := f.get(n, "/nowhere/", "key")
		return status == http.StatusNotFound
	})
	s := n.settings
	metrics := net.JoinHostPort(s.IP, strconv.Itoa(s.MetricsPort))
	for i, tc := range []struct {
		name, address, first, key string
		status, code              int
	}{
		{"unknown path", s.Entry, "GET /nowhere/ HTTP/1.1", "key", 404, 110},
		{"path of the directory", s.Entry, "GET /-/resolve HTTP/1.1", "key", 404, 110},
		{"unknown key", s.Entry, "GET /lookup/1 HTTP/1.1", "other", 401, 103},
		{"all resources", s.Entry, "OPTIONS * HTTP/1.1", "key", 404, 110},
		{"directory", s.Directory, "GET /lookup/1 HTTP/1.1", "key", 421, 114},
		{"readiness", s.Ready, "GET /lookup/1 HTTP/1.1", "key", 421, 114},
		{"metrics", metrics, "POST /metrics HTTP/1.1", "key", 421, 114},
	} {
		t.Run(tc.name, func(t *testing.T) {
			id := fmt.Sprintf("%016x", 0xa10b4e00+i)
			head := fmt.Sprintf("%s\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n",
				tc.first, platformtest.Host, id, tc.key)
			if got := rawStatus(t, tc.address, head); got != tc.status {
				t.Errorf("status %d, want %d", got, tc.status)
			}
			f.eventually("a line names the request", func() bool { return len(out.with(id)) > 0 })
			lines := out.with(id)
			if len(lines) != 1 || !strings.Contains(lines[0], fmt.Sprintf(`"code":%d,`, tc.code)) || !strings.Contains(lines[0], fmt.Sprintf(`"status":%d,`, tc.status)) {
				t.Errorf("lines %q, want one with code %d and status %d", lines, tc.code, tc.status)
			}
		})
	}
}

// TestRequestsThatNetHTTPRefuses guards against answers of net/http's own that leave no
// trace, and against a line about each usual request.
func TestRequestsThatNetHTTPRefuses(t *testing.T) {
	f, n, out, _ := loggingNode(t)
	for _, tc := range []struct {
		name, text string
		status     int
	}{
		{"malformed", "GET /a\r\n\r\n", 400},
		{"no host", "GET /a HTTP/1.1\r\nRequest-Id: 7\r\n\r\n", 400},
		{"unknown expectation", "GET /a HTTP/1.1\r\nHost: h\r\nExpect: more\r\n\r\n", 417},
		{"long head", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2*maxHeaderBytes) + "\r\n\r\n", 431},
		{"unknown encoding", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: more\r\n\r\n", 501},
		{"other version", "GET /a HTTP/2.1\r\nHost: h\r\n\r\n", 505},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before := len(out.with(eventlog.RequestUnread))
			if got := rawStatus(t, n.settings.Entry, tc.text); got != tc.status {
				t.Errorf("status %d, want %d", got, tc.status)
			}
			f.eventually("the connection's end is logged", func() bool { return len(out.with(eventlog.RequestUnread)) == before+1 })
		})
	}
	before := len(out.with(eventlog.RequestUnread))
	for range 3 {
		if status, body := f.get(n, "/lookup/1", "key"); status != http.StatusOK {
			t.Errorf("%d %s", status, body)
		}
	}
	http.DefaultClient.CloseIdleConnections()
	time.Sleep(100 * time.Millisecond)
	if after := len(out.with(eventlog.RequestUnread)); after != before {
		t.Errorf("%d lines about requests that were read", after-before)
	}
}

// TestLastAnswersAreLogged guards against requests that are refused at the end of a planned
// stop and stand in no line once the process has ended.
func TestLastAnswersAreLogged(t *testing.T) {
	_, n, out, log := loggingNode(t)
	answered := map[string]int{}
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop(time.Now()) }()
	var err error
	for i, running := 0, true; running; i++ {
		id := fmt.Sprintf("%016x", 0xb20c5f00+i)
		conn, dialErr := net.Dial("tcp", n.settings.Entry)
		if dialErr == nil {
			_, _ = fmt.Fprintf(conn, "GET /nowhere/ HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n\r\n", platformtest.Host, id)
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			if response, readErr := http.ReadResponse(bufio.NewReader(conn), nil); readErr == nil {
				answered[id] = response.StatusCode
				response.Body.Close()
			}
			conn.Close()
		}
		select {
		case err = <-stopped:
			running = false
		case <-time.After(5 * time.Millisecond):
		}
	}
	if err != nil {
		t.Error(err)
	}
	log.Close()
	counts := map[int]int{}
	for id, status := range answered {
		counts[status]++
		if lines := out.with(id, `"code":`, fmt.Sprintf(`"status":%d,`, status)); len(lines) != 1 {
			t.Errorf("%d lines about a request that got %d, want 1", len(lines), status)
		}
	}
	if counts[http.StatusNotFound] == 0 || counts[http.StatusServiceUnavailable] == 0 {
		t.Errorf("answers by status %v, want some before and some after the node refuses", counts)
	}
}

// TestEachNodeLogsEachConfiguration guards against a configuration that a node takes
// without a line, or with several.
func TestEachNodeLogsEachConfiguration(t *testing.T) {
	const nodes, versions = 4, 5
	f := newFleet(t, 0)
	out := &lineBuffer{}
	log := eventlog.New(out)
	t.Cleanup(log.Close)
	f.log = log.Logger(slog.LevelInfo)
	for i := range nodes {
		f.start(i)
	}
	for version := 1; version <= versions; version++ {
		if version > 1 {
			f.configure(version, "/lookup/")
		}
		f.eventually("all nodes have the configuration", func() bool {
			for _, n := range f.nodes {
				if c := n.storeView.View().Config; c == nil || c.Version != uint64(version) {
					return false
				}
			}
			return true
		})
	}
	time.Sleep(100 * time.Millisecond)
	for _, n := range f.nodes {
		for version := 1; version <= versions; version++ {
			taken := fmt.Sprintf(`"level":"INFO","msg":%q,"config":%d,"revision":`, eventlog.ConfigTaken, version)
			if lines := out.with(taken, `"node":"`+n.settings.Host+"-"); len(lines) != 1 {
				t.Errorf("%d lines of %s about configuration %d, want 1", len(lines), n.settings.Host, version)
			}
		}
	}
}
