package balance

import (
	"slices"
	"sync"
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/timeline"
)

const (
	// linkRefresh is the interval at which the node's share is recomputed.
	linkRefresh = time.Second
	// linkBurst is the size of a bucket, as a time at the node's rate.
	linkBurst = time.Second
)

// linkBudgets is a set of token buckets, one per other region. A node's rate is
// the declared rate of the link divided by the number of live nodes in its
// region, so that all nodes together stay within it without coordination. An
// undeclared link has no budget.
type linkBudgets struct {
	region   string
	clock    clock.Clock
	source   config.Source
	members  peer.Members
	recorder timeline.Recorder

	mu      sync.Mutex
	buckets map[string]*linkBucket
}

type linkBucket struct {
	rate      float64
	tokens    float64
	filled    time.Time
	refreshed time.Time
	exhausted bool
}

func newLinkBudgets(region string, c clock.Clock, source config.Source, members peer.Members, recorder timeline.Recorder) *linkBudgets {
	return &linkBudgets{
		region: region, clock: c, source: source, members: members, recorder: recorder,
		buckets: make(map[string]*linkBucket),
	}
}

// available reports whether the link to the region has tokens.
func (l *linkBudgets) available(region string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fill(region).tokens > 0
}

// charge subtracts the traffic of one request. The bucket may go negative, so
// that a request larger than the burst is admitted and delays later ones.
func (l *linkBudgets) charge(region string, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.fill(region)
	b.tokens -= float64(bytes)
	if b.tokens <= 0 && !b.exhausted {
		b.exhausted = true
		l.recorder.Record(timeline.Event{Kind: timeline.LinkBudgetReached, Detail: region})
	}
}

func (l *linkBudgets) fill(region string) *linkBucket {
	now := l.clock.Now()
	b, ok := l.buckets[region]
	if !ok {
		b = &linkBucket{filled: now}
		l.buckets[region] = b
	}
	if !ok || now.Sub(b.refreshed) >= linkRefresh {
		b.rate = l.nodeRate(region)
		b.refreshed = now
	}
	if !ok {
		b.tokens = b.rate * linkBurst.Seconds()
	}
	b.tokens = min(b.tokens+b.rate*now.Sub(b.filled).Seconds(), b.rate*linkBurst.Seconds())
	b.filled = now
	if b.tokens > 0 {
		b.exhausted = false
	}
	return b
}

// nodeRate returns this node's share of the link in bytes per second.
func (l *linkBudgets) nodeRate(region string) float64 {
	snapshot := l.source.Current()
	if snapshot == nil {
		return 0
	}
	declared := int64(0)
	for _, link := range snapshot.Declarations.Links {
		if slices.Contains(link.Between, l.region) && slices.Contains(link.Between, region) {
			declared = link.BytesPerSecond
		}
	}
	nodes := 0
	if l.members != nil {
		for _, m := range l.members.Live() {
			if m.Region == l.region {
				nodes++
			}
		}
	}
	return float64(declared) / float64(max(nodes, 1))
}
