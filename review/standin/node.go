package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unsafe"
)

// node is one machine with the deploy file's program on it.
type node struct {
	name, zone              string
	entry, ready, directory string
	peerPort, metricsPort   int
	store                   *storePort
	settings, output        string
	cmd                     *exec.Cmd
	// descriptors limits the open files of the process, 0 to set no limit.
	descriptors int
	exited      chan struct{}
	log         *record
}

// program is built by the deploy file; run words are "target/cassiapin route".
const program = "target/cassiapin"

const settingsText = `host = %q
region = %q
failure_domain = %q
entry = %q
ready = %q
directory = %q
ip = "127.0.0.1"
peer_port = %d
metrics_port = %d
seeds = []
heartbeat = "1200ms"
[domains]
"reykjavik-a" = "sudvestur"
"akureyri-a" = "nordaustur"
"keflavik-b" = "sudvestur"
[store]
address = %q
reads_per_second = 2000
writes_per_second = 400
value_bytes = 1048576
[limits]
memory_mb = 284
[bounds]
grace = "8s"
drain = "2500ms"
config_lag = "2500ms"
rollback = "5000ms"
evacuation = "5000ms"
retry_ratio = 0.9
retry_extra = 58
retry_window = "10s"
exposure_share = 0.15
exposure_extra = 30
cold_factor = 1.5
cold_extra = 5
session_gap = "5s"
directory_ttl = "5s"
stability_window = "3000ms"
`

// The ports of nodes are taken from below the range from which the system draws
// the ports of outgoing connections, so that none of those takes one meanwhile.
const (
	firstPort = 18000
	lastPort  = 32000
)

// nextPort is where the search for a free port goes on.
var nextPort = firstPort + rand.Intn(lastPort-firstPort)

// freePorts returns n ports of the loopback address that are free for TCP and
// UDP.
func freePorts(n int) (ports []int) {
	for range lastPort - firstPort {
		if len(ports) == n {
			return ports
		}
		if nextPort++; nextPort > lastPort {
			nextPort = firstPort
		}
		address := "127.0.0.1:" + strconv.Itoa(nextPort)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		u.Close()
		ports = append(ports, nextPort)
	}
	panic("no free ports")
}

// newNode prepares a machine; the settings are those of the template.
func newNode(name, zone, folder string, port *storePort, log *record) *node {
	p := freePorts(5)
	at := func(i int) string { return "127.0.0.1:" + strconv.Itoa(p[i]) }
	n := &node{
		name: name, zone: zone, entry: at(0), ready: at(1), directory: at(2), metricsPort: p[3], peerPort: p[4],
		store: port, settings: filepath.Join(folder, name+".toml"), output: filepath.Join(folder, name+".log"), log: log,
	}
	text := fmt.Sprintf(settingsText, name, regions[zone], zone, n.entry, n.ready, n.directory, n.peerPort, n.metricsPort, port.address)
	must(os.WriteFile(n.settings, []byte(text), 0o600))
	return n
}

// start starts the program with the variable that names its settings.
func (n *node) start() {
	out, err := os.OpenFile(n.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	n.cmd = exec.Command(program, "route")
	n.cmd.Env = append(os.Environ(), "CASSIAPIN_NODE_FILE="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	// The process ends with this one, whatever happens.
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(n.cmd.Start())
	if n.descriptors > 0 {
		limitDescriptors(n.cmd.Process.Pid, n.descriptors)
	}
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		out.Close()
		n.log.line("%s: process ended: %s", n.name, cmd.ProcessState)
		close(exited)
	}(n.cmd, n.exited)
	n.log.line("%s: started", n.name)
}

// limitDescriptors sets the limit of open files of a process that this one has
// started, as the platform does.
func limitDescriptors(pid, files int) {
	limit := syscall.Rlimit{Cur: uint64(files), Max: uint64(files)}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		panic(fmt.Sprintf("set the limit of open files: %v", errno))
	}
}

func (n *node) signal(s syscall.Signal) {
	n.log.line("%s: %s", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// alive reports whether the process runs.
func (n *node) alive() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// end kills the process and waits for its end.
func (n *node) end() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// awaitReady waits until the platform's question gets a 200.
func (n *node) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r, err := client.Get("http://" + n.ready + "/-/readiness"); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// ownMemoryMB is the memory of the process without the pages of its program
// file; 0 if it has ended.
func (n *node) ownMemoryMB() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}
