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
	"cassiapin/pkg/standin/objectapi"
	"cassiapin/pkg/standin/plain"
	"cassiapin/pkg/standin/rating"
	"cassiapin/pkg/standin/weights"
	"cassiapin/pkg/workload"
)

const (
	operatorKey = "integration-operator"
	// entryTTL is declared short, so that graceful stops end soon.
	entryTTL = time.Second
	// tokenTimeout is the declared time limit for the next byte of a stream.
	tokenTimeout = 2 * time.Second
	// inForce is the time after which a mark must be in force.
	inForce = 3 * time.Second
)

// options configure a world; zero fields take the defaults.
type options struct {
	seed int64
	// nodes is 4 by default; the three failure domains take turns.
	nodes int
	// timeScale is that of the engines, 0.1 by default.
	timeScale float64
	leaseTTL  time.Duration
	change    func(d *config.Declarations)
}

// world is a fleet of node processes with its stand-ins and links.
type world struct {
	t          *testing.T
	options    options
	deployment *workload.Deployment
	objects    *objectapi.Server
	engines    map[string]*engine.Engine
	services   map[string]*plain.Server
	// store reaches the object API without a link.
	store    *objectstore.Client
	operator *admin.Client
	relay    *relay
	// runnerLinks and serviceLinks are by runner and by failure domain.
	runnerLinks, serviceLinks map[string]*link
	objectsURL                string
	ratingLink, weightsLink   *link
	declarations              config.Declarations
	record                    *record

	mu       sync.Mutex
	nodes    []*process
	outcomes []bench.Outcome
}

type starter interface {
	Start(listenAddr string) (url string, stop func(), err error)
}

func (w *world) serve(s starter) string {
	w.t.Helper()
	url, stop, err := s.Start("127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(stop)
	return url
}

// startWorld starts the stand-ins and the nodes and waits until all are ready.
func startWorld(t *testing.T, o options) *world {
	t.Helper()
	worldSlots <- struct{}{}
	t.Cleanup(func() { <-worldSlots })
	if o.nodes == 0 {
		o.nodes = 4
	}
	if o.timeScale == 0 {
		o.timeScale = 0.1
	}
	if o.leaseTTL == 0 {
		o.leaseTTL = settings.DefaultLeaseTTL
	}
	w := &world{
		t: t, options: o, deployment: workload.Berceuse(), operator: admin.NewClient(operatorKey),
		engines: make(map[string]*engine.Engine), services: make(map[string]*plain.Server),
		runnerLinks: make(map[string]*link), serviceLinks: make(map[string]*link), relay: newRelay(t, o.seed),
	}
	w.startPlatform()
	w.startUpstreams()
	w.record = newRecord(w)
	if _, err := w.publish(func(*config.Declarations) {}); err != nil {
		t.Fatal(err)
	}
	for range o.nodes {
		w.addNode()
	}
	w.waitReady()
	return w
}

func (w *world) startPlatform() {
	w.objects = objectapi.New(objectapi.Options{WritesPerSecond: 300, ReadsPerSecond: 2000})
	w.objectsURL = w.serve(w.objects)
	truth := standin.NewQualityModel()
	w.deployment.SetTrueQuality(truth, false)
	ratings := rating.New(rating.Options{
		Quality: truth, Delay: 20 * time.Millisecond, Jitter: 20 * time.Millisecond,
		MissingShare: 0.1, Noise: 0.05, Seed: w.options.seed,
	})
	w.ratingLink = newLink(w.t, "rating", w.serve(ratings))
	w.weightsLink = newLink(w.t, "weights", w.serve(weights.New(weights.Options{})))
	var err error
	if w.store, err = objectstore.New(objectstore.Options{BaseURLs: []string{w.objectsURL}}); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) startUpstreams() {
	urls := workload.URLs{Runners: make(map[string]string), Service: make(map[string]string)}
	for _, r := range w.deployment.Runners {
		o := r.EngineOptions()
		// Equal seeds give equal answers at all engines.
		o.Seed, o.TimeScale, o.Warm = w.options.seed, w.options.timeScale, true
		e := engine.New(o)
		l := newLink(w.t, r.Name, w.serve(e))
		w.engines[r.Name], w.runnerLinks[r.Name], urls.Runners[r.Name] = e, l, l.url()
	}
	for _, d := range w.deployment.Domains {
		s := plain.New(plain.Options{LookupTime: 2 * time.Millisecond, BookingTime: 20 * time.Millisecond})
		l := newLink(w.t, "service-"+d.Name, w.serve(s))
		w.services[d.Name], w.serviceLinks[d.Name], urls.Service[d.Name] = s, l, l.url()
	}
	w.declarations = w.deployment.Declarations(urls)
	w.declarations.Limits.EntryTTL = config.Duration(entryTTL)
	w.declarations.Limits.TokenTimeout = config.Duration(tokenTimeout)
	if w.options.change != nil {
		w.options.change(&w.declarations)
	}
	if err := config.Check(w.declarations); err != nil {
		w.t.Fatal(err)
	}
}

// publish changes the declarations and publishes them as an operator does.
func (w *world) publish(change func(d *config.Declarations)) (uint64, error) {
	change(&w.declarations)
	stored, err := publish.Publish(context.Background(), w.store, w.declarations,
		publish.Options{Publisher: "integration", Now: time.Now()})
	return stored.Number, err
}

// maxSeeds is the number of seeds that a node is given.
const maxSeeds = 3

// addNode starts one more node process.
func (w *world) addNode() *process {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	index := len(w.nodes)
	place := w.deployment.Domains[index%len(w.deployment.Domains)]
	entryPort, adminPort, peerPort := freePort(w.t), freePort(w.t), freePort(w.t)
	p := &process{
		index: index, domain: place.Name, adminURL: "http://" + loopback(adminPort),
		entry:    newLink(w.t, fmt.Sprintf("entry-%d", index), loopback(entryPort)),
		platform: newLink(w.t, fmt.Sprintf("platform-%d", index), w.objectsURL),
		peerAddr: w.relay.add(w.t, peerPort),
	}
	var seeds []string
	for _, other := range w.nodes {
		if other.running() && len(seeds) < maxSeeds {
			seeds = append(seeds, fmt.Sprintf("%q", other.peerAddr))
		}
	}
	p.start(w.t, w.settingsText(p, place, entryPort, peerPort, seeds))
	w.nodes = append(w.nodes, p)
	w.t.Cleanup(func() { p.finish(w.t) })
	go w.record.follow(p)
	return p
}

func (w *world) settingsText(p *process, place config.FailureDomain, entryPort, peerPort int, seeds []string) string {
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
`, p.index, place.Region, place.Name, loopback(entryPort), p.entry.address(),
		strings.TrimPrefix(p.adminURL, "http://"), hex.EncodeToString(sum[:]),
		loopback(peerPort), p.peerAddr, strings.Join(seeds, ", "),
		filepath.Join(keyFolder, keys.CAFile), filepath.Join(keyFolder, keys.NodeFile), filepath.Join(keyFolder, keys.NodeKeyFile),
		p.platform.url(), w.ratingLink.url(), w.weightsLink.url(), w.options.leaseTTL,
		strings.Repeat("5a", 32), w.options.seed*100+int64(p.index)+1)
}

// running returns the nodes whose processes run.
func (w *world) running() []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*process
	for _, p := range w.nodes {
		if p.running() {
			list = append(list, p)
		}
	}
	return list
}

// entryURLs returns the callers' addresses of the running nodes.
func (w *world) entryURLs() []string {
	var urls []string
	for _, p := range w.running() {
		urls = append(urls, p.entry.url())
	}
	return urls
}

// readyTimeout bounds the start of a node on a busy machine.
const readyTimeout = 40 * time.Second

// waitReady waits until every running node has a configuration, sees all
// others alive and ready, knows the loads of its region's runners, and every
// runner has an owner.
func (w *world) waitReady() {
	w.t.Helper()
	w.eventually(readyTimeout, "all nodes are ready", func() bool {
		nodes := w.running()
		owned := make(map[string]bool)
		for _, p := range nodes {
			s, ok := w.status(p)
			if !ok || s.Config == 0 || aliveAndReady(s) < len(nodes) || !w.loadsKnown(s) {
				return false
			}
			p.id = s.Node
			for _, r := range s.Runners {
				if r.Owner != "" {
					owned[r.Report.Upstream] = true
				}
			}
		}
		return len(owned) == len(w.declarations.Upstreams)
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

// loadsKnown reports whether the node knows the loads of all runners in its
// region.
func (w *world) loadsKnown(s admin.Status) bool {
	states := make(map[string]runners.State)
	for _, r := range s.Runners {
		states[r.Report.Upstream] = r.Report.State
	}
	for _, r := range w.declarations.Upstreams {
		if state := states[r.Name]; r.Region == s.Region && (state == "" || state == runners.Unknown) {
			return false
		}
	}
	return true
}

// statusTimeout bounds one call of the operator interface.
const statusTimeout = 2 * time.Second

func (w *world) status(p *process) (admin.Status, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	s, err := w.operator.Status(ctx, p.adminURL)
	return s, err == nil
}

// mark sets a mark through the node.
func (w *world) mark(p *process, m admin.MarkRequest) {
	w.t.Helper()
	if _, err := w.operator.SetMark(context.Background(), p.adminURL, m); err != nil {
		w.t.Fatalf("mark %+v at node %d: %v", m, p.index, err)
	}
}

// roughLinks delays, cuts into pieces and closes late what upstreams send.
func (w *world) roughLinks() {
	for _, links := range []map[string]*link{w.runnerLinks, w.serviceLinks} {
		for _, l := range links {
			l.toxic(w.t, "latency", "downstream", attributes{"latency": 3, "jitter": 2})
			l.toxic(w.t, "slicer", "downstream", attributes{"average_size": 64, "size_variation": 32, "delay": 50})
			l.toxic(w.t, "slow_close", "downstream", attributes{"delay": 200})
		}
	}
}

// received is the number of requests that the upstreams of a failure domain
// have received.
func (w *world) received(domain string) int64 {
	var total int64
	for _, r := range w.deployment.Runners {
		if r.FailureDomain == domain {
			total += w.engines[r.Name].Counters().Received
		}
	}
	c := w.services[domain].Counters()
	return total + c.Bookings + c.Lookups
}

// eventually waits for a condition; the bound only ends a test that hangs.
func (w *world) eventually(limit time.Duration, what string, condition func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			w.t.Fatalf("after %s it is still not true that %s", limit, what)
		}
	}
}
