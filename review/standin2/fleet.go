package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// place is a zone and its region.
type place struct{ zone, region string }

// machine is one machine of the system and its process.
type machine struct {
	name, ip string
	place
	folder, store string
	ports         ports
	cmd           *exec.Cmd
	// ended is when the process was killed for good, zero while it is to run.
	ended time.Time
}

// ports are the same on all machines.
type ports struct{ front, ready, directory, peer int }

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// freePorts returns ports that are free on the address.
func freePorts(ip string) (ports, error) {
	var p ports
	for _, to := range []*int{&p.front, &p.ready, &p.directory, &p.peer} {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return p, err
		}
		defer l.Close()
		*to = l.Addr().(*net.TCPAddr).Port
	}
	return p, nil
}

// settings renders platform/node.toml.tmpl with the bounds of vaxmynd-hq.
func (m *machine) settings(seeds []string, domains map[string]string) string {
	list, _ := json.Marshal(seeds)
	text := fmt.Sprintf(`host = %q
region = %q
failure_domain = %q
entry = %q
ready = %q
directory = %q
ip = %q
peer_port = %d
metrics_port = 9464
seeds = %s
heartbeat = "1200ms"

[domains]
`, m.name, m.region, m.zone, m.address(m.ports.front), m.address(m.ports.ready), m.address(m.ports.directory), m.ip, m.ports.peer, list)
	for zone, region := range domains {
		text += fmt.Sprintf("%q = %q\n", zone, region)
	}
	return text + fmt.Sprintf(`
[store]
address = %q
reads_per_second = 2000
writes_per_second = 400
value_bytes = 1048576

[limits]
memory_mb = 284
file_descriptors = 4100

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
`, m.store)
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	log, err := os.OpenFile(filepath.Join(m.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command("target/cassiapin", "route")
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.folder, "CASSIAPIN_NODE_FILE=" + filepath.Join(m.folder, m.name+".toml")}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return m.cmd.Start()
}

func (m *machine) signal(s syscall.Signal) { _ = m.cmd.Process.Signal(s) }

// kill ends the process as a loss of power does.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	_ = m.cmd.Wait()
}

// isReady asks the readiness address as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + m.address(m.ports.ready) + "/-/readiness")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// resolve asks the directory as a client at a place does.
func (m *machine) resolve(at place) (addresses []string, ttl time.Duration, err error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	q := url.Values{"name": {"rota.example"}, "region": {at.region}, "zone": {at.zone}}
	r, err := client.Get("http://" + m.address(m.ports.directory) + "/-/resolve?" + q.Encode())
	if err != nil {
		return nil, 0, err
	}
	defer r.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"address-ttl-s"`
	}
	if r.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("status %d", r.StatusCode)
	}
	err = json.NewDecoder(r.Body).Decode(&body)
	return body.Addresses, time.Duration(body.TTL * float64(time.Second)), err
}

// fleet is a small deployment.
type fleet struct {
	store    *store
	machines []*machine
	folder   string
	started  time.Time

	mu     sync.Mutex
	record *os.File
}

// write writes a line to record.txt.
func (f *fleet) write(format string, args ...any) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = f.record.WriteString(line)
	return line
}

// note writes a line to record.txt and to standard output.
func (f *fleet) note(format string, args ...any) { fmt.Print(f.write(format, args...)) }

// newFleet starts the store, writes the first configuration and starts the machines.
func newFleet(folder, record string, places []place) (*fleet, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, started: time.Now(), record: file}
	net16 := fmt.Sprintf("127.%d.%d.", 64+os.Getpid()%128, os.Getpid()/128%256)
	if f.store, err = newStore(net16 + "250"); err != nil {
		return nil, err
	}
	f.store.put("config", "main", firstConfig())
	p, err := freePorts(net16 + "10")
	if err != nil {
		return nil, err
	}
	domains := map[string]string{}
	count := map[string]int{}
	var seeds []string
	for i, at := range places {
		domains[at.zone] = at.region
		count[at.zone]++
		m := &machine{
			name: fmt.Sprintf("front-%s-%d", at.zone, count[at.zone]), ip: fmt.Sprintf("%s%d", net16, 10+i), place: at,
			folder: folder, store: f.store.address, ports: p,
		}
		f.machines = append(f.machines, m)
		if count[at.zone] == 1 {
			seeds = append(seeds, m.address(p.peer))
		}
	}
	for _, m := range f.machines {
		if err := os.WriteFile(filepath.Join(folder, m.name+".toml"), []byte(m.settings(seeds, domains)), 0o600); err != nil {
			return nil, err
		}
		if err := m.start(); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, m := range f.machines {
		if m.cmd != nil && m.cmd.Process != nil && m.ended.IsZero() {
			m.signal(syscall.SIGCONT)
			m.kill()
		}
	}
}

// awaitReady waits until all machines are ready and name each other.
func (f *fleet) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		ready := 0
		for _, m := range f.machines {
			addresses, _, err := m.resolve(place{"", "elsewhere"})
			if m.isReady() && err == nil && len(addresses) == len(f.machines) {
				ready++
			}
		}
		if ready == len(f.machines) {
			return true
		}
	}
	return false
}

// firstConfig is a configuration with one route to a service without runners.
func firstConfig() map[string]any {
	return map[string]any{
		"version":  3,
		"routes":   []any{map[string]any{"name": "slot-read", "host": "rota.example", "path-prefix": "/slots/", "kind": "safe", "service": "booking-app", "attempts": 2, "timeout-ms": 1000, "target-latency-ms": 200, "priority": 2}},
		"services": []any{map[string]any{"name": "booking-app", "health-check-path": "/health", "max-connections": 110}},
		"tenants":  []any{map[string]any{"name": "hall-1", "api-keys": []string{"k1"}}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 20000},
	}
}
