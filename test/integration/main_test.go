// Package integration tests real node processes behind fault-injecting proxies.
// The stand-ins for upstreams and the platform run in the test process. Every
// connection between callers, nodes, upstreams and the platform goes through
// toxiproxy, and traffic between nodes through a UDP relay. Only the operator
// interface is accessed directly, because the checks read the time line from it.
package integration

import (
	"fmt"
	"io"
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

// maxFleets limits the fleets that run concurrently. Each has at most 6
// processes.
const maxFleets = 4

// fleetSlots contains one token for each running fleet.
var fleetSlots = make(chan struct{}, maxFleets)

var (
	// binary is the path of the node binary, built with the race detector.
	binary string
	// keyFolder contains the certificate authority and the nodes' certificate.
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

// The ports of nodes and proxies are below the ephemeral port range, so that no
// outgoing connection takes the port of a proxy or node that is restarted.
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
		// Concurrent test processes start at different ports.
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
