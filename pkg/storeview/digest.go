package storeview

import (
	"strconv"

	"cassiapin/pkg/hashing"
	"cassiapin/pkg/topology"
)

// digest identifies the state of a kind: the names and revisions of its
// objects. Two nodes with equal digests have the same objects, whatever store
// revisions they have read.
type digest struct {
	revisions map[string]topology.Revision
	sum       uint64
}

func objectHash(name string, revision topology.Revision) uint64 {
	return hashing.Hash(name, strconv.FormatUint(uint64(revision), 10))
}

// emptyDigest is the value of a state without objects; zero means unknown.
const emptyDigest = 1

func newDigest(objects []Object) *digest {
	d := &digest{revisions: make(map[string]topology.Revision, len(objects)), sum: emptyDigest}
	for _, o := range objects {
		d.apply(Change{Object: o})
	}
	return d
}

// apply adds one change. A nil digest stays unknown.
func (d *digest) apply(c Change) {
	if d == nil {
		return
	}
	name := c.Object.Name
	if old, ok := d.revisions[name]; ok {
		d.sum ^= objectHash(name, old)
		delete(d.revisions, name)
	}
	if !c.Deleted {
		d.sum ^= objectHash(name, c.Object.Revision)
		d.revisions[name] = c.Object.Revision
	}
}

// value returns the digest, or zero if the kind has not been listed.
func (d *digest) value() uint64 {
	if d == nil {
		return 0
	}
	return d.sum
}
