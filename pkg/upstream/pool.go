package upstream

import (
	"net/http"
	"net/url"
	"sync"

	"cassiapin/pkg/config"
)

// transportPool has one transport per upstream origin, so that upstreams do
// not share a connection limit.
type transportPool struct {
	dial DialFunc

	mu       sync.RWMutex
	byOrigin map[string]*http.Transport
}

func newTransportPool(dial DialFunc) *transportPool {
	return &transportPool{dial: dial, byOrigin: make(map[string]*http.Transport)}
}

// originOf returns the scheme and host of a URL.
func originOf(raw string) string {
	u, err := url.Parse(raw)
	if err != nil {
		return raw
	}
	return u.Scheme + "://" + u.Host
}

func (p *transportPool) get(rawURL string) *http.Transport {
	origin := originOf(rawURL)
	p.mu.RLock()
	t := p.byOrigin[origin]
	p.mu.RUnlock()
	if t != nil {
		return t
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if t = p.byOrigin[origin]; t == nil {
		t = newTransport(p.dial)
		p.byOrigin[origin] = t
	}
	return t
}

// retainDeclared removes the transports of upstreams that are not in the
// snapshot. Requests in flight are not interrupted.
func (p *transportPool) retainDeclared(s *config.Snapshot) {
	if s == nil {
		return
	}
	declared := make(map[string]bool)
	for i := range s.Declarations.Upstreams {
		declared[originOf(s.Declarations.Upstreams[i].URL)] = true
	}
	for i := range s.Declarations.Services {
		for _, e := range s.Declarations.Services[i].Endpoints {
			declared[originOf(e.URL)] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for origin, t := range p.byOrigin {
		if !declared[origin] {
			delete(p.byOrigin, origin)
			t.CloseIdleConnections()
		}
	}
}

func (p *transportPool) closeIdle() {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, t := range p.byOrigin {
		t.CloseIdleConnections()
	}
}
