package billing

import (
	"context"
	"crypto/sha256"

	"cassiapin/pkg/objectstore"
)

const (
	// partitionCount is the number of hash partitions of the bill ids.
	partitionCount = 256
	// maxCountedIDs bounds the ids kept in memory in one pass over the batches, at
	// about 40 B per map entry.
	maxCountedIDs = 4_000_000
)

// billHash is a truncated hash of a bill id, which needs less memory than the id.
// With 128 bits a collision among the bills of several years is improbable.
type billHash [16]byte

// partition accumulates the bills of one hash partition.
type partition struct {
	seen          map[billHash]struct{}
	organisations map[string]Total
	duplicates    int
}

// counter counts the bills of the partitions from low up to but excluding high.
type counter struct {
	partitions [partitionCount]partition
	low, high  int
	ids        int
	maxIDs     int
}

// add counts a bill if its partition belongs to the current pass. If the ids exceed
// maxIDs, the highest partitions are deferred to a later pass; at least one
// partition remains, so that every pass makes progress.
func (c *counter) add(b Bill) {
	sum := sha256.Sum256([]byte(b.ID))
	index := int(sum[len(sum)-1])
	if index < c.low || index >= c.high {
		return
	}
	p, id := &c.partitions[index], billHash(sum[:len(billHash{})])
	if _, dup := p.seen[id]; dup {
		p.duplicates++
		return
	}
	if p.seen == nil {
		p.seen, p.organisations = make(map[billHash]struct{}), make(map[string]Total)
	}
	p.seen[id] = struct{}{}
	total := p.organisations[b.Organisation]
	total.add(b)
	p.organisations[b.Organisation] = total
	for c.ids++; c.ids > c.maxIDs && c.high > c.low+1; {
		c.high--
		c.ids -= len(c.partitions[c.high].seen)
		c.partitions[c.high] = partition{}
	}
}

// nextPass adds the partitions of the pass to the summary, prepares the next pass
// and reports whether one is needed.
func (c *counter) nextPass(sum *Summary) bool {
	for i := c.low; i < c.high; i++ {
		sum.Duplicates += c.partitions[i].duplicates
		for name, t := range c.partitions[i].organisations {
			total := sum.Organisations[name]
			total.merge(t)
			sum.Organisations[name] = total
		}
		c.partitions[i] = partition{}
	}
	c.low, c.high, c.ids = c.high, partitionCount, 0
	return c.low < partitionCount
}

// Reconcile reads the batches and counts each bill id once; of several bills with
// the same id it counts the first in key order. It keeps about maxCountedIDs ids in
// memory at a time and reads the batches again for the remaining ids.
func Reconcile(ctx context.Context, store objectstore.Store, f Filter) (Summary, error) {
	return reconcile(ctx, store, f, maxCountedIDs)
}

func reconcile(ctx context.Context, store objectstore.Store, f Filter, maxIDs int) (Summary, error) {
	sum := Summary{Organisations: make(map[string]Total)}
	c := &counter{high: partitionCount, maxIDs: maxIDs}
	for first := true; ; first = false {
		stats, err := Each(ctx, store, f, c.add)
		if first {
			sum.Batches, sum.Malformed = stats.Batches, stats.Malformed
		}
		if err != nil {
			return sum, err
		}
		if !c.nextPass(&sum) {
			return sum, nil
		}
	}
}
