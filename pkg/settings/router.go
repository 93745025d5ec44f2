package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/tomlfile"
)

// Router contains the settings of a node that runs on the users' platform.
type Router struct {
	Host          string `toml:"host"`
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure_domain"`
	// Entry is the listen address for callers, Ready that for the platform's
	// readiness probe and Directory that for lookups of entry addresses.
	Entry     string `toml:"entry"`
	Ready     string `toml:"ready"`
	Directory string `toml:"directory"`
	// IP is the IP address of the node.
	IP string `toml:"ip"`
	// PeerPort is the UDP port for messages between nodes, and MetricsPort the
	// TCP port of metrics; both are the same on all hosts.
	PeerPort    int `toml:"peer_port"`
	MetricsPort int `toml:"metrics_port"`
	// PeerAdvertise is the UDP address at which other nodes reach this one, if it is
	// not PeerAddress, as behind address translation.
	PeerAdvertise string `toml:"peer_advertise"`
	// Seeds are addresses of other nodes; their ports are ignored.
	Seeds []string `toml:"seeds"`
	// Heartbeat is the interval at which upstreams renew their entries.
	Heartbeat config.Duration `toml:"heartbeat"`
	// Domains maps each failure domain to its region.
	Domains map[string]string `toml:"domains"`
	Store   Store             `toml:"store"`
	Bounds  Bounds            `toml:"bounds"`
	Limits  Limits            `toml:"limits"`
	Log     Log               `toml:"log"`
}

// Limits is the size of the node's own host. Hosts of one fleet differ.
type Limits struct {
	// MemoryMB is the memory of the process in MB; the platform kills a process
	// that exceeds it.
	MemoryMB int `toml:"memory_mb"`
	// FileDescriptors is the number of files that the process may open; zero is that
	// which the process finds at its start.
	FileDescriptors int `toml:"file_descriptors"`
}

// defaultMemoryMB is the assumed memory of a host that states none.
const defaultMemoryMB = 256

// MemoryBytes returns Limits.MemoryMB in bytes.
func (r *Router) MemoryBytes() int64 { return int64(r.Limits.MemoryMB) << 20 }

// Store is the platform's object store.
type Store struct {
	Address string `toml:"address"`
	// ReadsPerSecond and WritesPerSecond are the limits for all nodes together.
	ReadsPerSecond  float64 `toml:"reads_per_second"`
	WritesPerSecond float64 `toml:"writes_per_second"`
	// ValueBytes is the maximum size of one object.
	ValueBytes int `toml:"value_bytes"`
}

// Bounds contains the limits set by the operators of the platform.
type Bounds struct {
	// Grace is the time between SIGTERM and SIGKILL.
	Grace config.Duration `toml:"grace"`
	// Drain is how long a draining upstream still serves requests.
	Drain config.Duration `toml:"drain"`
	// ConfigLag is the time within which a new configuration must be in force on
	// all nodes.
	ConfigLag config.Duration `toml:"config_lag"`
	// Rollback is the time within which a bad release must stop receiving
	// requests.
	Rollback config.Duration `toml:"rollback"`
	// Evacuation is the time within which an evacuated failure domain must stop
	// receiving requests.
	Evacuation config.Duration `toml:"evacuation"`
	// RetryRatio and RetryExtra are the retry budget of all nodes together in
	// RetryWindow: ratio times the requests, plus extra.
	RetryRatio  float64         `toml:"retry_ratio"`
	RetryExtra  float64         `toml:"retry_extra"`
	RetryWindow config.Duration `toml:"retry_window"`
	// ExposureShare is the maximum share of a service's requests that a release
	// under trial may receive, in addition to ExposureExtra requests.
	ExposureShare float64 `toml:"exposure_share"`
	ExposureExtra float64 `toml:"exposure_extra"`
	// ColdFactor and ColdExtra give the requests per second that a cold upstream
	// can take: the cold-start rate of its service times factor, plus extra.
	ColdFactor float64 `toml:"cold_factor"`
	ColdExtra  float64 `toml:"cold_extra"`
	// SessionGap is the longest pause between two requests of a session.
	SessionGap config.Duration `toml:"session_gap"`
	// DirectoryTTL is the longest time for which callers may cache a response of
	// the directory.
	DirectoryTTL config.Duration `toml:"directory_ttl"`
	// StabilityWindow is how long after its end a disruption still excuses stale
	// state.
	StabilityWindow config.Duration `toml:"stability_window"`
}

// LoadRouter reads and checks the settings of a node on the platform. The
// error is of type tomlfile.Problems.
func LoadRouter(file string) (*Router, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, tomlfile.Problems{{File: file, Reason: err.Error()}}
	}
	return ParseRouter(file, data)
}

// ParseRouter decodes and checks the settings of a node on the platform.
func ParseRouter(file string, data []byte) (*Router, error) {
	r := &Router{}
	positions, err := tomlfile.Decode(file, data, r)
	if err != nil {
		return nil, err
	}
	setDefault(&r.Log.Level, "info")
	setDefault(&r.Log.Format, "json")
	if r.Limits.MemoryMB == 0 {
		r.Limits.MemoryMB = defaultMemoryMB
	}
	c := &checker{positions: positions}
	c.required("host", r.Host)
	c.required("region", r.Region)
	c.required("failure_domain", r.FailureDomain)
	c.address("entry", r.Entry, true)
	c.address("ready", r.Ready, true)
	c.address("directory", r.Directory, true)
	c.address("store.address", r.Store.Address, false)
	c.required("ip", r.IP)
	c.port("peer_port", r.PeerPort)
	c.port("metrics_port", r.MetricsPort)
	if r.PeerAdvertise != "" {
		c.address("peer_advertise", r.PeerAdvertise, false)
	}
	c.bounds(&r.Bounds)
	if r.Limits.MemoryMB < 0 {
		c.fail("limits.memory_mb", "limits.memory_mb is below zero")
	}
	if r.Limits.FileDescriptors < 0 {
		c.fail("limits.file_descriptors", "limits.file_descriptors is below zero")
	}
	if r.Domains[r.FailureDomain] != r.Region {
		c.fail("domains", "domains lists failure domain %q in region %q, not %q", r.FailureDomain, r.Domains[r.FailureDomain], r.Region)
	}
	c.oneOf("log.level", r.Log.Level, "debug", "info", "warn", "error")
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return r, nil
}

const maxPort = 1<<16 - 1

func (c *checker) port(path string, port int) {
	if port <= 0 || port > maxPort {
		c.fail(path, "%s %d is not a port", path, port)
	}
}

func (c *checker) bounds(b *Bounds) {
	for path, d := range map[string]config.Duration{
		"bounds.grace": b.Grace, "bounds.drain": b.Drain, "bounds.config_lag": b.ConfigLag,
		"bounds.rollback": b.Rollback, "bounds.evacuation": b.Evacuation, "bounds.retry_window": b.RetryWindow,
		"bounds.session_gap": b.SessionGap, "bounds.directory_ttl": b.DirectoryTTL,
		"bounds.stability_window": b.StabilityWindow,
	} {
		if d.Std() <= 0 {
			c.fail(path, "%s is missing or not above zero", path)
		}
	}
	for path, x := range map[string]float64{
		"bounds.retry_ratio": b.RetryRatio, "bounds.retry_extra": b.RetryExtra,
		"bounds.exposure_share": b.ExposureShare, "bounds.cold_factor": b.ColdFactor,
	} {
		if x < 0 {
			c.fail(path, "%s is below zero", path)
		}
	}
}

// PeerAddress returns the address on which the node listens for messages between nodes.
func (r *Router) PeerAddress() string { return net.JoinHostPort(r.IP, strconv.Itoa(r.PeerPort)) }

// AdvertisedPeerAddress returns the address at which other nodes reach this one.
func (r *Router) AdvertisedPeerAddress() string {
	if r.PeerAdvertise != "" {
		return r.PeerAdvertise
	}
	return r.PeerAddress()
}

// PeerSeeds returns the seeds with PeerPort as their port.
func (r *Router) PeerSeeds() []string {
	seeds := make([]string, 0, len(r.Seeds))
	for _, s := range r.Seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			seeds = append(seeds, net.JoinHostPort(host, strconv.Itoa(r.PeerPort)))
		}
	}
	return seeds
}

// StabilityWindow returns Bounds.StabilityWindow as a time.Duration.
func (r *Router) StabilityWindow() time.Duration { return r.Bounds.StabilityWindow.Std() }
