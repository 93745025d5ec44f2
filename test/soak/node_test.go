package soak

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

// Ports of all nodes; each node has an address of the loopback network.
const (
	entryPort = 18101 + iota
	readyPort
	directoryPort
	metricsPort
	peerPort
)

// node is a host of the fleet with one process after another.
type node struct {
	t                *testing.T
	host, ip, domain string
	file             string
	// storeProxy is the node's own path to the store.
	storeProxy *faultProxy
	// faultMu is held by the series of faults that has the node.
	faultMu sync.Mutex

	mu           sync.Mutex
	cmd          *exec.Cmd
	done         chan struct{}
	exitExpected bool
	paused       bool
	log          bytes.Buffer
}

func newNode(t *testing.T, slot, index int, store string) *node {
	t.Helper()
	n := &node{
		t: t, host: fmt.Sprintf("host-%d", index), ip: fmt.Sprintf("127.0.%d.%d", 3+slot, 10+index), domain: fmt.Sprintf("z%d", 1+index%2),
		storeProxy: newFaultProxy(t, store),
	}
	n.file = filepath.Join(t.TempDir(), "node.toml")
	settings := platformtest.Node{
		Host: n.host, Domain: n.domain, IP: n.ip,
		Entry: n.address(entryPort), Ready: n.address(readyPort), Directory: n.address(directoryPort),
		PeerPort: peerPort, MetricsPort: metricsPort, Store: n.storeProxy.address(), Seeds: "[]",
	}.Settings()
	if err := os.WriteFile(n.file, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	n.start()
	t.Cleanup(n.finish)
	return n
}

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// resolve asks the node's directory; nil is no answer.
func (n *node) resolve() []string {
	addresses, err := platformtest.Resolve(n.address(directoryPort), "r1", callerDomain)
	if err != nil {
		n.t.Logf("directory of %s: %v", n.host, err)
	}
	return addresses
}

// Write implements io.Writer for the output of the processes.
func (n *node) Write(p []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.log.Write(p)
}

func (n *node) start() {
	cmd := exec.Command(binary, "route", "--settings", n.file)
	cmd.Stdout, cmd.Stderr = n, n
	// A test process that is killed takes its nodes along.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		n.t.Errorf("start %s: %v", n.host, err)
		return
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done, n.exitExpected, n.paused = cmd, done, false, false
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait() // How it ended is checked by whether it was planned.
		n.mu.Lock()
		planned := n.exitExpected
		n.mu.Unlock()
		if !planned {
			n.t.Errorf("%s ended by itself: %s", n.host, cmd.ProcessState)
		}
		close(done)
	}()
}

// signal sends a signal to the node's process, if it runs.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch s {
	case syscall.SIGSTOP:
		n.paused = true
	case syscall.SIGCONT:
		n.paused = false
	default:
		n.exitExpected = true
	}
	_ = n.cmd.Process.Signal(s) // It may have ended.
}

// end ends the process with a signal and waits for that; a process that does
// not end within its grace period is killed, as the platform does.
func (n *node) stop(s syscall.Signal) {
	n.signal(s)
	if s != syscall.SIGKILL {
		n.signal(syscall.SIGCONT)
	}
	select {
	case <-n.done:
	case <-time.After(stopTimeout):
		n.signal(syscall.SIGKILL)
		<-n.done
	}
}

// stopTimeout is the grace period of the settings and what the platform allows
// beyond it.
const stopTimeout = 3 * time.Second

func (n *node) finish() {
	n.stop(syscall.SIGKILL)
	n.mu.Lock()
	defer n.mu.Unlock()
	text := n.log.String()
	for _, sign := range []string{"WARNING: DATA RACE", "panic:", "fatal error:"} {
		if i := strings.Index(text, sign); i >= 0 {
			n.t.Errorf("%s: %.4000s", n.host, text[i:])
		}
	}
	if n.t.Failed() && logFolder != "" {
		file := filepath.Join(logFolder, strings.ReplaceAll(n.t.Name(), "/", "-")+"-"+n.host+".log")
		if err := os.WriteFile(file, n.log.Bytes(), 0o600); err != nil {
			n.t.Error(err)
		}
	}
}
