package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"cassiapin/pkg/result"
	"cassiapin/platform/platformtest"
)

const (
	// configurationBound is the time in which a configuration must be in force, as in
	// the settings, and stabilityWindow how long a node is excused after a fault.
	configurationBound = 2500 * time.Millisecond
	stabilityWindow    = 3 * time.Second
	// addedRoutes is the number of configurations that have the route that one of them
	// has added.
	addedRoutes = 12
	// proberCount is the number of callers that ask for added routes.
	proberCount = 3
	// storeFaultKey is the key of the times of faults of the store itself.
	storeFaultKey = "store"
)

// addedRoute is a route that a configuration has added.
type addedRoute struct {
	path string
	// acknowledged is when the store had the configuration.
	acknowledged time.Time
}

// configure writes the next configuration, unless it is a quiet time. It adds a route
// and removes the oldest of the added ones.
func (f *fleet) configure() {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	if time.Now().Before(f.quietUntil) {
		return
	}
	f.version += 1 + f.random.Intn(3)
	f.added = append(f.added, addedRoute{path: fmt.Sprintf("/added-%d/", f.version)})
	f.added = f.added[max(0, len(f.added)-addedRoutes):]
	routes := []platformtest.Route{platformtest.RepeatableRoute("/lookup/"), platformtest.AtMostOnceRoute("/booking/"),
		platformtest.StreamRoute("/draft/"), platformtest.StreamRoute("/long/")}
	for _, r := range f.added {
		routes = append(routes, platformtest.RepeatableRoute(r.path))
	}
	f.store.PutRoutes(f.version, routes...)
	f.added[len(f.added)-1].acknowledged = time.Now()
	f.event("configuration %d", f.version)
}

// setQuiet begins a time without configurations; zero ends one.
func (f *fleet) setQuiet(d time.Duration) {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	f.quietUntil = time.Now().Add(d)
	if d > 0 {
		f.event("no configurations for %v", d)
	}
}

// quiet reports whether it is a time without configurations.
func (f *fleet) quiet() bool {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	return time.Now().Before(f.quietUntil)
}

// latestPath returns the path of the route that the newest configuration has added.
func (f *fleet) latestPath() string {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	return f.added[len(f.added)-1].path
}

// routeInForce returns a route that all nodes must have by a time; choose picks one of n.
func (f *fleet) routeInForce(at time.Time, choose func(n int) int) (r addedRoute, ok bool) {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	due := slices.IndexFunc(f.added, func(r addedRoute) bool { return at.Sub(r.acknowledged) < configurationBound })
	if due < 0 {
		due = len(f.added)
	}
	if due == 0 {
		return r, false
	}
	return f.added[choose(due)], true
}

// declared reports whether the newest configuration has a route.
func (f *fleet) declared(path string) bool {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	return slices.ContainsFunc(f.added, func(r addedRoute) bool { return r.path == path })
}

// inTouch reports whether neither a node nor what its configuration comes from had a
// fault lately.
func (f *fleet) inTouch(n *node, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range []string{n.address(entryPort), n.storeProxy.address(), storeFaultKey, peerFaultKey} {
		if f.faulty(key, at.Add(-stabilityWindow), time.Now()) {
			return false
		}
	}
	return true
}

// probe asks all nodes for added routes whose bound has passed until stop is closed.
// No node may ever deny them, and nodes in touch must know them.
func (c *caller) probe(stop <-chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	defer c.client.CloseIdleConnections()
	f := c.fleet
	asked, known := 0, 0
	for i := 0; ; i++ {
		select {
		case <-stop:
			f.event("%s: %d requests for added routes, %d of them served", c.name, asked, known)
			return
		case <-time.After(30 * time.Millisecond):
		}
		n := f.nodes[c.random.Intn(len(f.nodes))]
		r, ok := f.routeInForce(time.Now(), func(n int) int { return n - 1 - c.random.Intn(n)*c.random.Intn(2) })
		if !ok {
			continue
		}
		o := c.send(n.address(entryPort), r.path, fmt.Sprintf("%s-%d", c.name, i))
		if !f.declared(r.path) {
			continue // It was removed while the request was open.
		}
		asked++
		age := o.sent.Sub(r.acknowledged)
		switch {
		case o.served():
			known++
		case o.status == http.StatusNotFound:
			f.fail(o, fmt.Sprintf("was denied %.2f s after its configuration", age.Seconds()))
		case strings.HasPrefix(o.body, fmt.Sprint(int(result.NoConfiguration), " ")) && f.inTouch(n, o.sent):
			f.fail(o, fmt.Sprintf("was not known by a node in touch %.2f s after its configuration", age.Seconds()))
		}
	}
}
