// Package bench runs a fleet of real nodes over loopback against stand-ins, which
// simulate the upstreams and platform services. It generates a seeded open-loop
// load, injects the faults of a scenario, and checks invariants using the
// outcomes that callers observed and the stand-ins' counters.
package bench

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/admin"
	"cassiapin/pkg/config"
	"cassiapin/pkg/node"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/peer/keys"
	"cassiapin/pkg/publish"
	"cassiapin/pkg/settings"
	"cassiapin/pkg/standin"
	"cassiapin/pkg/standin/engine"
	"cassiapin/pkg/standin/hostlist"
	"cassiapin/pkg/standin/httpservice"
	"cassiapin/pkg/standin/objectapi"
	"cassiapin/pkg/standin/rating"
	"cassiapin/pkg/standin/weights"
	"cassiapin/pkg/workload"
)

// FleetOptions configures a fleet.
type FleetOptions struct {
	// Deployment is berceuse or vaxmynd.
	Deployment string
	Nodes      int
	// Planner and Balancer select the nodes' routing policies.
	Planner  string
	Balancer string
	Seed     int64
	// TimeScale multiplies the engines' response times; below 1 they are faster.
	TimeScale float64
	// ColdStart starts the engines cold instead of warm.
	ColdStart bool
	// BadVersion lowers the quality of medium@2 by a fifth.
	BadVersion bool
	// CuttableLink routes the nodes' traffic between regions through a link that
	// Fleet.CutLink can cut.
	CuttableLink bool
	// Change edits the declarations before the first publication.
	Change func(d *config.Declarations)
	// Log receives the nodes' log records; nil discards them.
	Log *slog.Logger
}

// Fleet is a set of nodes and stand-ins in this process.
type Fleet struct {
	Options    FleetOptions
	Deployment *workload.Deployment
	Objects    *objectapi.Server
	Engines    map[string]*engine.Engine
	Services   map[string]*httpservice.Server
	Hosts      *hostlist.Server
	Quality    *standin.QualityModel
	Store      *objectstore.Client
	Admin      *admin.Client

	link        link
	dir         string
	urls        workload.URLs
	objectsURL  string
	ratingURL   string
	weightsURL  string
	hostsURL    string
	operatorKey string
	sessionKey  string
	stopFuncs   []func()

	mu           sync.Mutex
	nodes        []*node.Node
	nextIndex    int
	declarations config.Declarations
}

// StartFleet starts the stand-ins, publishes the declarations, starts the nodes
// and waits until they are ready.
func StartFleet(ctx context.Context, o FleetOptions) (*Fleet, error) {
	d, err := workload.ByName(o.Deployment)
	if err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	f := &Fleet{
		Options: o, Deployment: d, Quality: standin.NewQualityModel(),
		Engines: make(map[string]*engine.Engine), Services: make(map[string]*httpservice.Server),
		urls:        workload.URLs{Runners: make(map[string]string), Service: make(map[string]string)},
		operatorKey: randomHex(), sessionKey: randomHex(),
	}
	f.Admin = admin.NewClient(f.operatorKey)
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func randomHex() string {
	var raw [32]byte
	_, _ = rand.Read(raw[:]) // crypto/rand does not fail since Go 1.24.
	return hex.EncodeToString(raw[:])
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.startPlatform(); err != nil {
		return err
	}
	if err := f.startUpstreams(); err != nil {
		return err
	}
	if err := f.generateKeys(); err != nil {
		return err
	}
	f.declarations = f.Deployment.Declarations(f.urls)
	if f.Options.Change != nil {
		f.Options.Change(&f.declarations)
	}
	if err := config.Check(f.declarations); err != nil {
		return err
	}
	if _, err := f.Publish(ctx, func(*config.Declarations) {}); err != nil {
		return err
	}
	for range f.Options.Nodes {
		if _, err := f.AddNode(); err != nil {
			return err
		}
	}
	return f.WaitReady(ctx)
}

// listenAddress selects a free loopback port.
const listenAddress = "127.0.0.1:0"

type starter interface {
	Start(listenAddr string) (url string, stop func(), err error)
}

func (f *Fleet) startServer(s starter) (string, error) {
	url, stop, err := s.Start(listenAddress)
	if err == nil {
		f.stopFuncs = append(f.stopFuncs, stop)
	}
	return url, err
}

// hostListLag is the delay with which the host list shows a change.
const hostListLag = time.Second

func (f *Fleet) startPlatform() error {
	f.Objects = objectapi.New(objectapi.Options{WritesPerSecond: 300, ReadsPerSecond: 2000})
	f.Hosts = hostlist.New(hostListLag, nil)
	f.Deployment.SetTrueQuality(f.Quality, f.Options.BadVersion)
	ratings := rating.New(rating.Options{
		Quality: f.Quality, Delay: 20 * time.Millisecond, Jitter: 20 * time.Millisecond,
		MissingShare: 0.1, Noise: 0.05, Seed: f.Options.Seed,
	})
	for _, s := range []struct {
		url *string
		s   starter
	}{
		{&f.objectsURL, f.Objects}, {&f.ratingURL, ratings},
		{&f.weightsURL, weights.New(weights.Options{})}, {&f.hostsURL, f.Hosts},
	} {
		var err error
		if *s.url, err = f.startServer(s.s); err != nil {
			return err
		}
	}
	f.link.setURLRegion(f.objectsURL, f.Deployment.Regions()[0])
	var err error
	f.Store, err = objectstore.New(objectstore.Options{BaseURLs: []string{f.objectsURL}})
	return err
}

func (f *Fleet) startUpstreams() error {
	for _, r := range f.Deployment.Runners {
		o := r.EngineOptions()
		o.Seed, o.Quality, o.TimeScale = f.Options.Seed, f.Quality, f.Options.TimeScale
		o.Warm, o.WeightsURL = !f.Options.ColdStart, f.weightsURL
		e := engine.New(o)
		url, err := f.startServer(e)
		if err != nil {
			return err
		}
		f.Engines[r.Name], f.urls.Runners[r.Name] = e, url
		f.link.setURLRegion(url, r.Region)
	}
	for _, d := range f.Deployment.Domains {
		s := httpservice.New(httpservice.Options{LookupTime: 2 * time.Millisecond, BookingTime: 5 * time.Millisecond})
		url, err := f.startServer(s)
		if err != nil {
			return err
		}
		f.Services[d.Name], f.urls.Service[d.Name] = s, url
		f.link.setURLRegion(url, d.Region)
	}
	return nil
}

// generateKeys creates a certificate authority and the node certificate that all
// nodes of the fleet use.
func (f *Fleet) generateKeys() error {
	var err error
	if f.dir, err = os.MkdirTemp("", "cassiapin-bench-"); err != nil {
		return errors.Wrap(err, "create temporary directory for keys")
	}
	now := time.Now()
	if err := keys.MakeCA(f.dir, now); err != nil {
		return err
	}
	return keys.MakeNodeCert(f.dir, f.dir, "bench", now)
}

// Publish applies change to the declarations, publishes them and returns the
// number of the new configuration.
func (f *Fleet) Publish(ctx context.Context, change func(d *config.Declarations)) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.declarations)
	stored, err := publish.Publish(ctx, f.Store, f.declarations, publish.Options{Publisher: "bench", Now: time.Now()})
	return stored.Number, err
}

// Declarations returns the current declarations.
func (f *Fleet) Declarations() config.Declarations {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.declarations
}

// AddNode starts one more node and assigns failure domains round-robin.
func (f *Fleet) AddNode() (*node.Node, error) {
	f.mu.Lock()
	index := f.nextIndex
	f.nextIndex++
	var seeds []string
	for _, n := range f.nodes {
		seeds = append(seeds, n.PeerAddress())
	}
	f.mu.Unlock()
	domain := f.Deployment.Domains[index%len(f.Deployment.Domains)]
	s, err := settings.Parse("bench", []byte(f.settingsText(index, domain, seeds)))
	if err != nil {
		return nil, err
	}
	o := node.Options{Log: f.Options.Log}
	if f.Options.CuttableLink {
		o.Dial, o.WrapPeerConn = f.link.dialer(domain.Region), f.link.wrapPacketConn(domain.Region)
	}
	n, err := node.New(s, o)
	if err != nil {
		return nil, err
	}
	f.link.setRegion(n.PeerAddress(), domain.Region)
	if err := n.Start(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	return n, nil
}

// maxSeeds is the maximum number of seeds in a node's settings.
const maxSeeds = 3

func (f *Fleet) settingsText(index int, domain config.FailureDomain, seeds []string) string {
	sum := sha256.Sum256([]byte(f.operatorKey))
	quoted := make([]string, 0, maxSeeds)
	for _, s := range seeds[:min(len(seeds), maxSeeds)] {
		quoted = append(quoted, fmt.Sprintf("%q", s))
	}
	planner, balancer := f.Options.Planner, f.Options.Balancer
	if planner == "" {
		planner = "policy"
	}
	if balancer == "" {
		balancer = "policy"
	}
	return fmt.Sprintf(`[node]
host = "host-%02d"
region = %q
failure_domain = %q
[entry]
listen = %q
[admin]
listen = %q
operator_key_sha256 = [%q]
[peer]
listen = %q
seeds = [%s]
ca = %q
certificate = %q
key = %q
[platform]
objects = [%q]
rating = %q
weights = %q
hosts = %q
[session]
keys = [%q]
[route]
planner = %q
balancer = %q
seed = %d
`, index, domain.Region, domain.Name, listenAddress, listenAddress, hex.EncodeToString(sum[:]), listenAddress,
		strings.Join(quoted, ", "), filepath.Join(f.dir, keys.CAFile), filepath.Join(f.dir, keys.NodeFile),
		filepath.Join(f.dir, keys.NodeKeyFile), f.objectsURL, f.ratingURL, f.weightsURL, f.hostsURL,
		f.sessionKey, planner, balancer, f.Options.Seed+int64(index)+1)
}

// Nodes returns the running nodes.
func (f *Fleet) Nodes() []*node.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*node.Node(nil), f.nodes...)
}

// StopNode stops a node gracefully.
func (f *Fleet) StopNode(ctx context.Context, n *node.Node) error {
	err := n.Stop(ctx)
	f.removeNode(n)
	return err
}

// removeNode removes a node from the list of running nodes.
func (f *Fleet) removeNode(removed *node.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, n := range f.nodes {
		if n == removed {
			f.nodes = append(f.nodes[:i:i], f.nodes[i+1:]...)
			return
		}
	}
}

// readyTimeout limits how long WaitReady waits.
const readyTimeout = 15 * time.Second

// WaitReady waits until every node has a configuration and counts at least as
// many live members as the fleet has nodes.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		nodes := f.Nodes()
		ready := 0
		for _, n := range nodes {
			if n.Ready() && n.LiveMembers() >= len(nodes) {
				ready++
			}
		}
		if ready == len(nodes) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("%d of %d nodes are ready after %s", ready, len(nodes), readyTimeout)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// Mark sets a mark through the admin interface of the first node.
func (f *Fleet) Mark(ctx context.Context, m admin.MarkRequest) error {
	_, err := f.Admin.SetMark(ctx, f.Nodes()[0].AdminURL(), m)
	return err
}

// Close stops the nodes without draining, then the stand-ins.
func (f *Fleet) Close() {
	var wait sync.WaitGroup
	for _, n := range f.Nodes() {
		wait.Add(1)
		go func() {
			defer wait.Done()
			n.Kill()
		}()
	}
	wait.Wait()
	for i := len(f.stopFuncs) - 1; i >= 0; i-- {
		f.stopFuncs[i]()
	}
	if f.dir != "" {
		_ = os.RemoveAll(f.dir) // A leftover temporary directory is harmless.
	}
}
