package main

import (
	"fmt"
	"time"
)

const host = "ficu95.example"

// keys of the two tenants; each has two.
var keys = map[string][]string{
	"hule930": {"n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"},
	"zolo114": {"pw7xk2mmb41vqjsd03hd", "t9s0fgh2k4nqwx8b7yzr"},
}

type config struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

// baseConfig has the routes of the small deployment that the cases use: a
// resumable stream, and bookings that may run once.
func baseConfig() *config {
	c := &config{
		Version: 7,
		Routes: []map[string]any{
			{
				"name": "season-rota", "host": host, "path-prefix": "/stream/", "kind": "streaming", "timeout-ms": 20000,
				"target-latency-ms": 4000, "priority": 0, "sizes": []string{"m0", "m1", "m2"}, "service": "rota-model", "attempts": 3,
				"public": false, "sticky": true, "can-resume": true, "gap-target-ms": 1500, "allowed-regions": []string{},
			},
			{
				"name": "slot-book", "host": host, "path-prefix": "/book/", "kind": "unsafe", "timeout-ms": 1000,
				"target-latency-ms": 200, "priority": 2, "service": "booking-app", "attempts": 1,
				"public": false, "allowed-regions": []string{},
			},
			{
				"name": "slot-read", "host": host, "path-prefix": "/read/", "kind": "safe", "timeout-ms": 1000,
				"target-latency-ms": 200, "priority": 2, "service": "booking-app", "attempts": 2,
				"public": false, "allowed-regions": []string{},
			},
		},
		Services: []map[string]any{
			{"name": "rota-model", "health-check-path": "/health", "max-connections": 370, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": 10.0},
			{"name": "booking-app", "health-check-path": "/health", "max-connections": 110, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0},
		},
		Limits: map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	for _, name := range []string{"hule930", "zolo114"} {
		c.Tenants = append(c.Tenants, map[string]any{"name": name, "api-keys": keys[name], "priority": 1, "allowed-regions": []string{}})
	}
	return c
}

var regions = map[string]string{"reykjavik-a": "sudvestur", "akureyri-a": "nordaustur", "keflavik-b": "sudvestur"}

var zones = []string{"reykjavik-a", "akureyri-a", "keflavik-b"}

// system is the store, the runners and the nodes of a case.
type system struct {
	store   *store
	book    *book
	runners []*runner
}

// build starts the store, two model runners, a booking runner and the nodes, and
// waits until all are ready.
func (s *setting) build(nodeZones []string, model, booking runner) *system {
	y := s.prepare(nodeZones, model, booking)
	s.startNodes()
	return y
}

// prepare starts the store and the runners, and prepares a node for each zone
// that is named.
func (s *setting) prepare(nodeZones []string, model, booking runner) *system {
	y := &system{store: newStore(), book: &book{}}
	y.store.put("config", "main", baseConfig())
	for i, proto := range []runner{model, model, booking} {
		r := proto
		r.id, r.book, r.log = fmt.Sprintf("i-runner-%d", i+1), y.book, s.log
		if r.zone == "" {
			r.zone = zones[i]
		}
		r.service = "rota-model"
		if i == 2 {
			r.service = "booking-app"
		}
		r.start()
		y.runners = append(y.runners, &r)
		y.store.put("servers", r.id, r.entry())
	}
	for i, zone := range nodeZones {
		s.nodes = append(s.nodes, newNode(fmt.Sprintf("front-%s-%d", zone, i+1), zone, s.folder, y.store.open(), s.log))
	}
	return y
}

// startNodes starts all nodes and waits until they are ready.
func (s *setting) startNodes() {
	for _, n := range s.nodes {
		n.start()
	}
	for _, n := range s.nodes {
		if !n.awaitReady(15 * time.Second) {
			panic(n.name + " did not become ready")
		}
	}
	s.log.line("all nodes are ready")
}
