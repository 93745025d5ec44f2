package integration

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"cassiapin/pkg/admin"
	"cassiapin/pkg/bench"
	"cassiapin/pkg/config"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/peer/keys"
	"cassiapin/pkg/publish"
	"cassiapin/pkg/runners"
	"cassiapin/pkg/settings"
	"cassiapin/pkg/standin"
	"cassiapin/pkg/standin/engine"
	"cassiapin/pkg/standin/httpservice"
	"cassiapin/pkg/standin/objectapi"
	"cassiapin/pkg/standin/rating"
	"cassiapin/pkg/standin/weights"
	"cassiapin/pkg/workload"
)

const (
	operatorKey = "integration-operator"
	// entryTTL is short so that graceful stops end soon.
	entryTTL = time.Second
	// tokenTimeout is the time limit for the next byte of a stream.
	tokenTimeout = 2 * time.Second
	// propagationLimit is the time within which all nodes must apply a mark or a
	// configuration.
	propagationLimit = 3 * time.Second
)

// options configure a fleet; zero fields take the defaults.
type options struct {
	seed int64
	// nodes is the number of nodes, 4 by default. They are assigned to the three
	// failure domains in turn.
	nodes int
	// timeScale is the time scale of the engines, 0.1 by default.
	timeScale float64
	leaseTTL  time.Duration
	// resetLinks puts a resetLink before each runner.
	resetLinks bool
	// change edits the declarations before the first publication.
	change func(d *config.Declarations)
}

// fleet is a set of node processes with stand-ins for their dependencies and
// fault-injecting links.
type fleet struct {
	t          *testing.T
	options    options
	deployment *workload.Deployment
	objects    *objectapi.Server
	engines    map[string]*engine.Engine
	services   map[string]*httpservice.Server
	// store accesses the object API directly, without a link.
	store    *objectstore.Client
	operator *admin.Client
	relay    *relay
	// runnerLinks are keyed by runner, serviceLinks by failure domain.
	runnerLinks, serviceLinks map[string]*link
	// resetLinks are keyed by runner; empty without that option.
	resetLinks              map[string]*resetLink
	objectsURL              string
	ratingLink, weightsLink *link
	declarations            config.Declarations
	record                  *record

	mu       sync.Mutex
	nodes    []*process
	outcomes []bench.Outcome
}

type starter interface {
	Start(listenAddr string) (url string, stop func(), err error)
}

func (f *fleet) serve(s starter) string {
	f.t.Helper()
	url, stop, err := s.Start("127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(stop)
	return url
}

// startFleet starts the stand-ins and the nodes and waits until all nodes are
// ready.
func startFleet(t *testing.T, o options) *fleet {
	t.Helper()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	if o.nodes == 0 {
		o.nodes = 4
	}
	if o.timeScale == 0 {
		o.timeScale = 0.1
	}
	if o.leaseTTL == 0 {
		o.leaseTTL = settings.DefaultLeaseTTL
	}
	f := &fleet{
		t: t, options: o, deployment: workload.Berceuse(), operator: admin.NewClient(operatorKey),
		engines: make(map[string]*engine.Engine), services: make(map[string]*httpservice.Server),
		resetLinks: make(map[string]*resetLink), runnerLinks: make(map[string]*link), serviceLinks: make(map[string]*link), relay: newRelay(t, o.seed),
	}
	f.startPlatform()
	f.startUpstreams()
	f.record = newRecord(f)
	if _, err := f.publish(func(*config.Declarations) {}); err != nil {
		t.Fatal(err)
	}
	for range o.nodes {
		f.addNode()
	}
	f.waitReady()
	return f
}

func (f *fleet) startPlatform() {
	f.objects = objectapi.New(objectapi.Options{WritesPerSecond: 300, ReadsPerSecond: 2000})
	f.objectsURL = f.serve(f.objects)
	quality := standin.NewQualityModel()
	f.deployment.SetTrueQuality(quality, false)
	ratings := rating.New(rating.Options{
		Quality: quality, Delay: 20 * time.Millisecond, Jitter: 20 * time.Millisecond,
		MissingShare: 0.1, Noise: 0.05, Seed: f.options.seed,
	})
	f.ratingLink = newLink(f.t, "rating", f.serve(ratings))
	f.weightsLink = newLink(f.t, "weights", f.serve(weights.New(weights.Options{})))
	var err error
	if f.store, err = objectstore.New(objectstore.Options{BaseURLs: []string{f.objectsURL}}); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) startUpstreams() {
	urls := workload.URLs{Runners: make(map[string]string), Service: make(map[string]string)}
	for _, r := range f.deployment.Runners {
		o := r.EngineOptions()
		// With equal seeds all engines give the same answers.
		o.Seed, o.TimeScale, o.Warm = f.options.seed, f.options.timeScale, true
		e := engine.New(o)
		l := newLink(f.t, r.Name, f.serve(e))
		f.engines[r.Name], f.runnerLinks[r.Name], urls.Runners[r.Name] = e, l, l.url()
		if f.options.resetLinks {
			reset := newResetLink(f.t, l.url())
			f.resetLinks[r.Name], urls.Runners[r.Name] = reset, reset.url()
		}
	}
	for _, d := range f.deployment.Domains {
		s := httpservice.New(httpservice.Options{LookupTime: 2 * time.Millisecond, BookingTime: 20 * time.Millisecond})
		l := newLink(f.t, "service-"+d.Name, f.serve(s))
		f.services[d.Name], f.serviceLinks[d.Name], urls.Service[d.Name] = s, l, l.url()
	}
	f.declarations = f.deployment.Declarations(urls)
	f.declarations.Limits.EntryTTL = config.Duration(entryTTL)
	f.declarations.Limits.TokenTimeout = config.Duration(tokenTimeout)
	if f.options.change != nil {
		f.options.change(&f.declarations)
	}
	if err := config.Check(f.declarations); err != nil {
		f.t.Fatal(err)
	}
}

// publish changes the declarations and publishes them as an operator does.
func (f *fleet) publish(change func(d *config.Declarations)) (uint64, error) {
	change(&f.declarations)
	stored, err := publish.Publish(context.Background(), f.store, f.declarations,
		publish.Options{Publisher: "integration", Now: time.Now()})
	return stored.Number, err
}

// maxSeeds is the maximum number of seed addresses in a node's settings.
const maxSeeds = 3

// addNode starts another node process.
func (f *fleet) addNode() *process {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	index := len(f.nodes)
	domain := f.deployment.Domains[index%len(f.deployment.Domains)]
	entryPort, adminPort, peerPort := freePort(f.t), freePort(f.t), freePort(f.t)
	p := &process{
		index: index, domain: domain.Name, adminURL: "http://" + loopback(adminPort),
		entry:    newLink(f.t, fmt.Sprintf("entry-%d", index), loopback(entryPort)),
		platform: newLink(f.t, fmt.Sprintf("platform-%d", index), f.objectsURL),
		peerAddr: f.relay.add(f.t, peerPort),
	}
	var seeds []string
	for _, other := range f.nodes {
		if other.running() && len(seeds) < maxSeeds {
			seeds = append(seeds, fmt.Sprintf("%q", other.peerAddr))
		}
	}
	p.start(f.t, f.settingsText(p, domain, entryPort, peerPort, seeds))
	f.nodes = append(f.nodes, p)
	f.t.Cleanup(func() { p.finish(f.t) })
	go f.record.pollUntilExit(p)
	return p
}

func (f *fleet) settingsText(p *process, domain config.FailureDomain, entryPort, peerPort int, seeds []string) string {
	sum := sha256.Sum256([]byte(operatorKey))
	return fmt.Sprintf(`[node]
host = "host-%02d"
region = %q
failure_domain = %q
[entry]
listen = %q
advertise = %q
[admin]
listen = %q
operator_key_sha256 = [%q]
[peer]
listen = %q
advertise = %q
seeds = [%s]
ca = %q
certificate = %q
key = %q
[platform]
objects = [%q]
rating = %q
weights = %q
lease_ttl = %q
[session]
keys = [%q]
[route]
seed = %d
`, p.index, domain.Region, domain.Name, loopback(entryPort), p.entry.address(),
		strings.TrimPrefix(p.adminURL, "http://"), hex.EncodeToString(sum[:]),
		loopback(peerPort), p.peerAddr, strings.Join(seeds, ", "),
		filepath.Join(keyFolder, keys.CAFile), filepath.Join(keyFolder, keys.NodeFile), filepath.Join(keyFolder, keys.NodeKeyFile),
		p.platform.url(), f.ratingLink.url(), f.weightsLink.url(), f.options.leaseTTL,
		strings.Repeat("5a", 32), f.options.seed*100+int64(p.index)+1)
}

// running returns the nodes whose processes are running.
func (f *fleet) running() []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*process
	for _, p := range f.nodes {
		if p.running() {
			list = append(list, p)
		}
	}
	return list
}

// entryURLs returns the entry URLs of the running nodes.
func (f *fleet) entryURLs() []string {
	var urls []string
	for _, p := range f.running() {
		urls = append(urls, p.entry.url())
	}
	return urls
}

// readyTimeout is the time limit for all nodes to become ready on a busy machine.
const readyTimeout = 40 * time.Second

// waitReady waits until every running node has a configuration, reports all
// nodes alive and ready and has load reports of its region's runners, and until
// every runner has an owner.
func (f *fleet) waitReady() {
	f.t.Helper()
	f.eventually(readyTimeout, "all nodes are ready", func() bool {
		nodes := f.running()
		owned := make(map[string]bool)
		for _, p := range nodes {
			s, ok := f.status(p)
			if !ok || s.Config == 0 || aliveAndReady(s) < len(nodes) || !f.hasLoadReports(s) {
				return false
			}
			p.id = s.Node
			for _, r := range s.Runners {
				if r.Owner != "" {
					owned[r.Report.Upstream] = true
				}
			}
		}
		return len(owned) == len(f.declarations.Upstreams)
	})
}

func aliveAndReady(s admin.Status) int {
	n := 0
	for _, m := range s.Members {
		if m.State == peer.Alive && m.Ready {
			n++
		}
	}
	return n
}

// hasLoadReports reports whether the node has load reports of all runners in its
// region.
func (f *fleet) hasLoadReports(s admin.Status) bool {
	states := make(map[string]runners.State)
	for _, r := range s.Runners {
		states[r.Report.Upstream] = r.Report.State
	}
	for _, r := range f.declarations.Upstreams {
		if state := states[r.Name]; r.Region == s.Region && (state == "" || state == runners.Unknown) {
			return false
		}
	}
	return true
}

// statusTimeout is the time limit of one call to the operator interface.
const statusTimeout = 2 * time.Second

func (f *fleet) status(p *process) (admin.Status, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	s, err := f.operator.Status(ctx, p.adminURL)
	return s, err == nil
}

// mark sets a mark through the node.
func (f *fleet) mark(p *process, m admin.MarkRequest) {
	f.t.Helper()
	if _, err := f.operator.SetMark(context.Background(), p.adminURL, m); err != nil {
		f.t.Fatalf("mark %+v at node %d: %v", m, p.index, err)
	}
}

// degradeLinks adds latency, fragmentation and delayed closes to the responses of
// upstreams.
func (f *fleet) degradeLinks() {
	for _, links := range []map[string]*link{f.runnerLinks, f.serviceLinks} {
		for _, l := range links {
			l.addToxic(f.t, "latency", "downstream", attributes{"latency": 3, "jitter": 2})
			l.addToxic(f.t, "slicer", "downstream", attributes{"average_size": 64, "size_variation": 32, "delay": 50})
			l.addToxic(f.t, "slow_close", "downstream", attributes{"delay": 200})
		}
	}
}

// receivedRequests returns the number of requests that the upstreams of a failure
// domain have received.
func (f *fleet) receivedRequests(domain string) int64 {
	var total int64
	for _, r := range f.deployment.Runners {
		if r.FailureDomain == domain {
			total += f.engines[r.Name].Counters().Received
		}
	}
	c := f.services[domain].Counters()
	return total + c.Bookings + c.Lookups
}

// eventually waits until a condition is true. The limit only ends a test that
// hangs.
func (f *fleet) eventually(limit time.Duration, what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("condition not met after %s: %s", limit, what)
		}
	}
}
