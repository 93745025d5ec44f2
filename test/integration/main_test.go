// Package integration drives real node processes behind a fault-injecting
// proxy. The stand-ins run in the test process. Every link between callers,
// nodes, upstreams and the platform goes through toxiproxy, and every link
// between nodes through a UDP relay. Only the operator interface is reached
// directly, because the checks read the time line from it.
package integration

import (
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"cassiapin/pkg/peer/keys"
)

// maxFleets bounds the fleets that run at once; each has at most 6 processes.
const maxFleets = 4

// fleetSlots holds one token for each fleet that runs.
var fleetSlots = make(chan struct{}, maxFleets)

var (
	// binary is the path of the node binary, built with the race detector.
	binary string
	// keyFolder holds the certificate authority and the nodes' certificate.
	keyFolder string
)

func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard) // toxiproxy logs every connection.
	code, err := run(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, "integration:", err)
		code = 1
	}
	os.Exit(code)
}

func run(m *testing.M) (int, error) {
	folder, err := os.MkdirTemp("", "cassiapin-integration-")
	if err != nil {
		return 1, err
	}
	defer os.RemoveAll(folder)
	if err := statSources("../../cmd", "../../pkg"); err != nil {
		return 1, err
	}
	binary, keyFolder = filepath.Join(folder, "cassiapin"), folder
	build := exec.Command("go", "build", "-race", "-o", binary, "cassiapin/cmd/cassiapin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1, fmt.Errorf("build the node: %w", err)
	}
	now := time.Now()
	if err := keys.MakeCA(folder, now); err != nil {
		return 1, err
	}
	if err := keys.MakeNodeCert(folder, folder, "integration", now); err != nil {
		return 1, err
	}
	return m.Run(), nil
}

// statSources looks at the sources of the node's binary. The go command caches
// a test's result unless a file that the test looked at has changed, and the
// binary is not a part of the test's own program.
func statSources(folders ...string) error {
	for _, folder := range folders {
		err := filepath.WalkDir(folder, func(path string, _ fs.DirEntry, err error) error {
			if err == nil {
				_, err = os.Stat(path)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// The ports of nodes and proxies lie below the range from which the system
// takes the source ports of connections, so that a proxy or a node can be
// started again at its address.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var ports struct {
	mu   sync.Mutex
	next int
}

// freePort returns a port that is free for TCP and UDP on loopback.
func freePort(t *testing.T) int {
	t.Helper()
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.next == 0 {
		// Test processes that run side by side start at different ports.
		ports.next = firstPort + os.Getpid()*61%(lastPort-firstPort)
	}
	for range lastPort - firstPort {
		port := ports.next
		if ports.next++; ports.next == lastPort {
			ports.next = firstPort
		}
		if isFree(port) {
			return port
		}
	}
	t.Fatal("no free port")
	return 0
}

func isFree(port int) bool {
	address := loopback(port)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer l.Close()
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return c.Close() == nil
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
