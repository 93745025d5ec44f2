package integration

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cassiapin/platform/platformtest"
)

// output collects the standard error of a process.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// process is one node process with its links.
type process struct {
	index int
	// id is the node's id, set once the node is ready.
	id       string
	domain   string
	cmd      *exec.Cmd
	log      output
	platform *link
	entry    *link
	peerAddr string
	adminURL string

	// done is closed when the process has exited; code is then its exit code.
	done chan struct{}
	code int
	// killed is set when the test has killed the process.
	killed bool
}

// start runs the binary with the settings.
func (p *process) start(t *testing.T, settings string) {
	t.Helper()
	platformtest.DependOnProgram(t)
	file := filepath.Join(t.TempDir(), fmt.Sprintf("node-%d.toml", p.index))
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(binary, "node", "--settings", file)
	p.cmd.Stderr = &p.log
	// The nodes are killed if the test process dies.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.done = make(chan struct{})
	go func() {
		_ = p.cmd.Wait() // The exit code is checked instead.
		p.code = p.cmd.ProcessState.ExitCode()
		close(p.done)
	}()
}

// signal sends a signal to this process only.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Errorf("%s to node %d: %v", s, p.index, err)
	}
}

// kill ends the process with SIGKILL, as a crash.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.killed = true
	p.signal(t, syscall.SIGKILL)
	<-p.done
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// stopTimeout is the limit of a graceful stop: the time to live of the entry
// addresses plus a second, the open requests and the last batch of bills.
const stopTimeout = 30 * time.Second

// terminate stops the node gracefully and checks its exit code.
func (p *process) terminate(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	select {
	case <-p.done:
		if p.code != 0 {
			t.Errorf("node %d exited with code %d after SIGTERM, want 0", p.index, p.code)
		}
	case <-time.After(stopTimeout):
		t.Errorf("node %d did not exit within %s after SIGTERM", p.index, stopTimeout)
	}
}

// logLines is the number of lines of a node's log shown for a failed test.
const logLines = 25

// finish kills the process at the end of a test, if it is still running, and
// checks its exit code and its log for races and crashes.
func (p *process) finish(t *testing.T) {
	if p.running() {
		p.killed = true
		_ = p.cmd.Process.Kill() // It may have exited meanwhile.
		<-p.done
	} else if !p.killed && p.code != 0 {
		t.Errorf("node %d exited unexpectedly with code %d", p.index, p.code)
	}
	text := p.log.String()
	for _, sign := range []string{"WARNING: DATA RACE", "panic:", "fatal error:"} {
		if i := strings.Index(text, sign); i >= 0 {
			t.Errorf("node %d: %.4000s", p.index, text[i:])
		}
	}
	if t.Failed() {
		lines := strings.Split(strings.TrimSpace(text), "\n")
		t.Logf("log of node %d (%s):\n%s", p.index, p.domain, strings.Join(lines[max(0, len(lines)-logLines):], "\n"))
	}
}
