package main

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"os"
	"regexp"
	"slices"
	"sync"
	"time"
)

func init() { cases["turned-away"] = turnedAway }

const (
	// turnedAwayFor is how long the store turns some machines away.
	turnedAwayFor = 9 * time.Second
	// keyGoneWithin is configuration-ms, and stretched what an unstable core adds.
	keyGoneWithin = 2500 * time.Millisecond
	stretched     = 5 * time.Second
)

// nodeZones are those of the deployment's nine machines.
var nodeZones = []string{
	"reykjavik-a", "reykjavik-a", "reykjavik-a", "reykjavik-a", "akureyri-a", "akureyri-a", "keflavik-b", "keflavik-b", "keflavik-b",
}

var idPattern = regexp.MustCompile(`"node":"([^"]+)"`)

// id is the name of this run of the process, from the node's own log.
func (n *node) id() string {
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		raw, _ := os.ReadFile(n.output)
		if m := idPattern.FindSubmatch(raw); m != nil {
			return string(m[1])
		}
	}
	panic(n.name + " logs no id")
}

// readersFirst orders the nodes so that the first of each zone come first, in
// the order in which the nodes choose those that read the store for all.
func readersFirst(nodes []*node) []*node {
	score := func(n *node) uint64 {
		h := fnv.New64a()
		h.Write([]byte("readers\x00" + n.id()))
		x := h.Sum64()
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
		x ^= x >> 33
		x *= 0xc4ceb9fe1a85ec53
		return x ^ x>>33
	}
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b *node) int { return cmp.Compare(score(b), score(a)) })
	var firsts, others []*node
	seen := map[string]bool{}
	for _, n := range sorted {
		if !seen[n.zone] {
			firsts = append(firsts, n)
		} else {
			others = append(others, n)
		}
		seen[n.zone] = true
	}
	return append(firsts, others...)
}

// turnedAway has the store turn three of nine machines away while a key is taken
// from a tenant.
func turnedAway(s *setting) int {
	y := s.build(nodeZones, runner{work: 30 * time.Millisecond, events: 3, eventGap: 10 * time.Millisecond}, runner{work: 30 * time.Millisecond})
	time.Sleep(12 * time.Second) // Calm, so that all nodes know each other.
	order := readersFirst(s.nodes)
	for _, n := range order {
		n.store.takeCalls()
	}
	time.Sleep(3 * time.Second)
	for i, n := range order {
		s.log.line("%s (place %d): %d calls to the store in 3 s", n.name, i, n.store.takeCalls())
	}
	gone := keys["hule930"][1]
	ask := func(n *node, id string) outcome {
		c, err := dial(n.entry)
		if err != nil {
			return outcome{id: id, sent: time.Now(), err: err}
		}
		defer c.conn.Close()
		return c.do(request{id: id, method: "POST", path: "/book/1", key: gone, deadline: 2 * time.Second})
	}
	for i, n := range order {
		if o := ask(n, fmt.Sprintf("before-%d", i)); o.status != 200 {
			panic(fmt.Sprintf("%s answers %d before the change", n.name, o.status))
		}
	}
	away := order[:3]
	down := time.Now()
	if s.trouble {
		for _, n := range away {
			n.store.setRefuse(true)
			s.log.line("the store turns %s away", n.name)
		}
	}
	time.Sleep(100 * time.Millisecond)
	c := baseConfig()
	c.Version = 12
	c.Tenants[0]["api-keys"] = keys["hule930"][:1]
	acknowledged := y.store.put("config", "main", c)
	s.log.line("version 12 acknowledged: key %s is taken away", gone)
	var mu sync.Mutex
	late := map[string]int{}
	var wait sync.WaitGroup
	for _, n := range order {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for k := 0; time.Since(down) < turnedAwayFor; k++ {
				o := ask(n, fmt.Sprintf("%s-%d", n.name, k))
				after := o.sent.Sub(acknowledged)
				runs := y.book.of(o.id)
				s.log.line("client: %s with the key that is gone, sent %d ms after the acknowledgement: status %d, runs %d", o.id, after.Milliseconds(), o.status, len(runs))
				if len(runs) > 0 && after > keyGoneWithin+stretched {
					mu.Lock()
					late[n.name]++
					mu.Unlock()
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	wait.Wait()
	for _, n := range away {
		n.store.setRefuse(false)
		s.log.line("the store serves %s again", n.name)
	}
	time.Sleep(1500 * time.Millisecond)
	for _, n := range order {
		o := ask(n, "end-"+n.name)
		s.log.line("%s at the end: status %d", n.name, o.status)
	}
	for name, n := range late {
		s.log.line("%s: %d requests ran with the key later than %v after the acknowledgement", name, n, keyGoneWithin+stretched)
	}
	if len(late) > 0 {
		return broken
	}
	return held
}
