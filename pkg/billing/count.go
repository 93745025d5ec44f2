package billing

import (
	"context"
	"crypto/sha256"

	"cassiapin/pkg/objectstore"
)

const (
	// partitionCount is the number of parts into which bill ids are spread by hash.
	partitionCount = 256
	// maxCountedIDs bounds the ids that one pass over the batches remembers, at
	// about 40 B each in a map.
	maxCountedIDs = 4_000_000
)

// billHash identifies a bill id in less memory than the id. 128 bits make a
// collision among the bills of years improbable.
type billHash [16]byte

// partition is what is counted of the ids of one part.
type partition struct {
	seen          map[billHash]struct{}
	organisations map[string]Total
	duplicates    int
}

// counter counts the bills of the parts from low up to, not including, high.
type counter struct {
	partitions [partitionCount]partition
	low, high  int
	ids        int
	maxIDs     int
}

// add counts a bill if its part belongs to the pass. When the ids exceed the
// bound, the highest part is left to a later pass; the last part stays, so
// that each pass ends at least one.
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

// nextPass adds the parts of the pass to the summary and prepares the next pass.
// It reports whether one is needed.
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

// Reconcile reads the batches and counts each bill id once. Of several bills
// with one id it counts the first in key order. It remembers at most
// maxCountedIDs ids at a time and reads the batches again for the others.
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
