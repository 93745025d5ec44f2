// Package settings reads the settings of a process: its addresses, location and
// keys. They are read once at startup; everything that may change while a
// process runs is declared in the configuration instead.
package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/config"
	"cassiapin/pkg/tomlfile"
)

// Settings contains the settings of one node.
type Settings struct {
	Node     Node     `toml:"node"`
	Entry    Listener `toml:"entry"`
	Admin    Admin    `toml:"admin"`
	Peer     Peer     `toml:"peer"`
	Platform Platform `toml:"platform"`
	Session  Session  `toml:"session"`
	Route    Route    `toml:"route"`
	Log      Log      `toml:"log"`
}

// Node is the location of the process.
type Node struct {
	// Host is the host name in logs and in the timeline.
	Host          string `toml:"host"`
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure_domain"`
}

// Listener is the address of an HTTP server.
type Listener struct {
	// Listen is the IP address and port to bind.
	Listen string `toml:"listen"`
	// Advertise is the IP address and port that clients use; empty means Listen.
	Advertise string `toml:"advertise"`
	// Certificate and Key are PEM files; without them the listener uses plain
	// HTTP.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
}

// Admin is the operator interface.
type Admin struct {
	Listener
	// OperatorKeySHA256 lists the hex SHA-256 hashes of operator keys.
	OperatorKeySHA256 []string `toml:"operator_key_sha256"`
}

// Peer is the interface between nodes.
type Peer struct {
	Listen    string `toml:"listen"`
	Advertise string `toml:"advertise"`
	// Seeds are addresses of other nodes.
	Seeds []string `toml:"seeds"`
	// CA, Certificate and Key are PEM files for mutual TLS.
	CA          string `toml:"ca"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
}

// Platform contains the addresses of the platform's services.
type Platform struct {
	// Objects are base URLs of the object API.
	Objects []string `toml:"objects"`
	// Rating, Weights and Hosts are base URLs of optional services; empty means
	// not available.
	Rating  string `toml:"rating"`
	Weights string `toml:"weights"`
	Hosts   string `toml:"hosts"`
	// Timeout bounds one call of the object API.
	Timeout config.Duration `toml:"timeout"`
	// LeaseTTL is the time to live of leases; it must be the same on all nodes.
	LeaseTTL config.Duration `toml:"lease_ttl"`
}

// Session contains the keys of session tokens.
type Session struct {
	// Keys are hex keys of at least 32 bytes. The first signs new tokens; all
	// verify.
	Keys []string `toml:"keys"`
}

// Route selects the routing policies. Values other than policy are baselines for
// comparison.
type Route struct {
	// Planner is policy, always-best, cheapest or fixed-split.
	Planner string `toml:"planner"`
	// Balancer is policy, round-robin or least-outstanding.
	Balancer string `toml:"balancer"`
	// Seed makes random choices reproducible; 0 means a random seed.
	Seed int64 `toml:"seed"`
}

// Log selects the log output.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
	// Format is text or json.
	Format string `toml:"format"`
}

// DefaultPlatformTimeout bounds one call of the object API, which responds within
// milliseconds when healthy.
const DefaultPlatformTimeout = time.Second

// DefaultLeaseTTL is the default time to live of leases. MinLeaseTTL leaves room
// for a renewal that takes the full timeout of a call.
const (
	DefaultLeaseTTL = 30 * time.Second
	MinLeaseTTL     = 3 * time.Second
)

// minSessionKeyBytes is the key size that HMAC-SHA-256 needs for full strength.
const minSessionKeyBytes = 32

// Load reads and checks a settings file. The error is of type
// tomlfile.Problems.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, tomlfile.Problems{{File: file, Reason: err.Error()}}
	}
	return Parse(file, data)
}

// Parse decodes and checks settings. The error is of type tomlfile.Problems.
func Parse(file string, data []byte) (*Settings, error) {
	s := &Settings{}
	positions, err := tomlfile.Decode(file, data, s)
	if err != nil {
		return nil, err
	}
	s.setDefaults()
	c := &checker{positions: positions, settings: s}
	c.run()
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return s, nil
}

func (s *Settings) setDefaults() {
	setDefault(&s.Entry.Advertise, s.Entry.Listen)
	setDefault(&s.Admin.Advertise, s.Admin.Listen)
	setDefault(&s.Peer.Advertise, s.Peer.Listen)
	setDefault(&s.Platform.Timeout, config.Duration(DefaultPlatformTimeout))
	setDefault(&s.Platform.LeaseTTL, config.Duration(DefaultLeaseTTL))
	setDefault(&s.Route.Planner, "policy")
	setDefault(&s.Route.Balancer, "policy")
	setDefault(&s.Log.Level, "info")
	setDefault(&s.Log.Format, "text")
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// URL returns the base URL that clients use for the listener.
func (l Listener) URL() string {
	if l.Certificate != "" {
		return "https://" + l.Advertise
	}
	return "http://" + l.Advertise
}

// checker collects the problems of a settings file.
type checker struct {
	positions *tomlfile.Positions
	settings  *Settings
	problems  tomlfile.Problems
}

func (c *checker) fail(path, format string, args ...any) {
	c.problems = append(c.problems, c.positions.Problem(path, format, args...))
}

func (c *checker) run() {
	s := c.settings
	c.required("node.host", s.Node.Host)
	c.required("node.region", s.Node.Region)
	c.required("node.failure_domain", s.Node.FailureDomain)
	c.listener("entry", s.Entry)
	c.listener("admin", s.Admin.Listener)
	c.conflicts()
	c.admin()
	c.peer()
	c.platform()
	c.sessionKeys()
	c.oneOf("route.planner", s.Route.Planner, "policy", "always-best", "cheapest", "fixed-split")
	c.oneOf("route.balancer", s.Route.Balancer, "policy", "round-robin", "least-outstanding")
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "text", "json")
}

func (c *checker) required(path, value string) {
	if value == "" {
		c.fail(path, "%s is missing", path)
	}
}

func (c *checker) oneOf(path, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.fail(path, "%s %q is not one of %v", path, value, allowed)
}

// address checks an IP address with port. unspecified permits 0.0.0.0 and [::].
func (c *checker) address(path, value string, unspecified bool) {
	if value == "" {
		c.fail(path, "%s is missing", path)
		return
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		c.fail(path, "%s %q is not an IP address with a port", path, value)
		return
	}
	if !unspecified && a.Addr().IsUnspecified() {
		c.fail(path, "%s %q is not reachable from other hosts; set advertise", path, value)
	}
}

func (c *checker) listener(path string, l Listener) {
	c.address(path+".listen", l.Listen, true)
	if l.Listen != "" {
		c.address(path+".advertise", l.Advertise, false)
	}
	if (l.Certificate == "") != (l.Key == "") {
		c.fail(path, "%s needs both certificate and key, or neither", path)
	}
	c.file(path+".certificate", l.Certificate)
	c.file(path+".key", l.Key)
}

func (c *checker) file(path, name string) {
	if name == "" {
		return
	}
	if _, err := os.Stat(name); err != nil {
		c.fail(path, "%s: %v", path, errors.UnwrapAll(err))
	}
}

func (c *checker) conflicts() {
	s := c.settings
	if s.Entry.Listen != "" && s.Entry.Listen == s.Admin.Listen {
		if a, err := netip.ParseAddrPort(s.Entry.Listen); err != nil || a.Port() != 0 {
			c.fail("admin.listen", "admin.listen and entry.listen are the same address")
		}
	}
	if s.Entry.Advertise != "" && s.Entry.Advertise == s.Admin.Advertise && s.Entry.Listen != s.Admin.Listen {
		c.fail("admin.advertise", "admin.advertise and entry.advertise are the same address")
	}
}

func (c *checker) admin() {
	if len(c.settings.Admin.OperatorKeySHA256) == 0 {
		c.fail("admin", "admin.operator_key_sha256 is missing")
	}
	for _, key := range c.settings.Admin.OperatorKeySHA256 {
		if raw, err := hex.DecodeString(key); err != nil || len(raw) != 32 {
			c.fail("admin.operator_key_sha256", "operator key hash is not 64 hexadecimal digits")
		}
	}
}

func (c *checker) peer() {
	p := c.settings.Peer
	c.address("peer.listen", p.Listen, true)
	if p.Listen != "" {
		c.address("peer.advertise", p.Advertise, false)
	}
	for _, seed := range p.Seeds {
		c.address("peer.seeds", seed, false)
	}
	for path, name := range map[string]string{"peer.ca": p.CA, "peer.certificate": p.Certificate, "peer.key": p.Key} {
		c.required(path, name)
		c.file(path, name)
	}
}

func (c *checker) platform() {
	p := c.settings.Platform
	if len(p.Objects) == 0 {
		c.fail("platform", "platform.objects is missing")
	}
	for _, text := range p.Objects {
		c.url("platform.objects", text)
	}
	c.url("platform.rating", p.Rating)
	c.url("platform.weights", p.Weights)
	c.url("platform.hosts", p.Hosts)
	if p.Timeout < 0 {
		c.fail("platform.timeout", "platform.timeout must be above zero")
	}
	if p.LeaseTTL.Std() < MinLeaseTTL {
		c.fail("platform.lease_ttl", "platform.lease_ttl must be at least %s", MinLeaseTTL)
	}
}

func (c *checker) url(path, text string) {
	if text == "" {
		return
	}
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.fail(path, "%s %q is not an http or https URL", path, text)
	}
}

func (c *checker) sessionKeys() {
	if len(c.settings.Session.Keys) == 0 {
		c.fail("session", "session.keys is missing")
	}
	for i, key := range c.settings.Session.Keys {
		if raw, err := hex.DecodeString(key); err != nil || len(raw) < minSessionKeyBytes {
			c.fail("session.keys", "session key %s is not hexadecimal with at least %d bytes", fmt.Sprint(i+1), minSessionKeyBytes)
		}
	}
}

// SessionKeys returns the decoded keys.
func (s *Settings) SessionKeys() [][]byte {
	keys := make([][]byte, 0, len(s.Session.Keys))
	for _, text := range s.Session.Keys {
		if raw, err := hex.DecodeString(text); err == nil {
			keys = append(keys, raw)
		}
	}
	return keys
}
