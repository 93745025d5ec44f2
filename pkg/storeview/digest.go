package storeview

import (
	"cassiapin/pkg/hashing"
	"cassiapin/pkg/topology"
)

// digest identifies the state of a kind: the names and revisions of its
// objects. Two nodes with equal digests have the same objects, whatever store
// revisions they have read.
type digest struct {
	revisions map[string]topology.Revision
	sum       uint64
	// era is the era of the store that the state is from, and lost are the objects of
	// earlier eras that it lacks.
	era  uint64
	lost map[string]bool
}

func objectHash(name string, revision topology.Revision) uint64 {
	return hashing.Hash(name, revision.String())
}

// emptyDigest is the value of a state without objects; zero means unknown.
const emptyDigest = 1

func newDigest(objects []Object, era uint64) *digest {
	d := &digest{
		revisions: make(map[string]topology.Revision, len(objects)), sum: emptyDigest, era: era, lost: make(map[string]bool),
	}
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
	delete(d.lost, name)
	switch {
	case !c.Deleted:
		d.sum ^= objectHash(name, c.Object.Revision)
		d.revisions[name] = c.Object.Revision
	case c.Object.Revision.Era < d.era:
		d.lost[name] = true
	}
}

// inherit takes over the objects that the state before lacked or had, and this one lacks.
func (d *digest) inherit(before *digest) {
	for name := range before.lost {
		d.lost[name] = true
	}
	if before.era < d.era {
		for name := range before.revisions {
			d.lost[name] = true
		}
	}
	for name := range d.revisions {
		delete(d.lost, name)
	}
}

// value returns the digest, or zero if the kind has not been listed.
func (d *digest) value() uint64 {
	if d == nil {
		return 0
	}
	return d.sum
}

// has reports whether the state has an object at its revision.
func (d *digest) has(o Object) bool {
	if d == nil {
		return false
	}
	known, ok := d.revisions[o.Name]
	return ok && known == o.Revision
}

// missing returns the deletions of the objects that are not present any more.
func (d *digest) missing(present map[string]bool) (deletions []Change) {
	for name, revision := range d.revisions {
		if !present[name] {
			deletions = append(deletions, Change{Object: Object{Name: name, Revision: revision}, Deleted: true})
		}
	}
	return deletions
}

// isNews reports whether a change is later than the state. The object of a deletion has
// the revision of the deletion or of the change before it.
func (d *digest) isNews(c Change) bool {
	if d == nil {
		return true
	}
	known, ok := d.revisions[c.Object.Name]
	switch {
	case c.Deleted && d.lost[c.Object.Name]:
		return c.Object.Revision.Era == d.era
	case c.Deleted:
		return ok && (c.Object.Revision.IsZero() || !c.Object.Revision.Before(known))
	default:
		return !ok || c.Object.Revision.After(known)
	}
}

// news returns the changes that are later than the state. Of several changes of one
// object only the last counts, so that a deletion that is known is not undone for a
// moment by the creation before it.
func (d *digest) news(changes []Change) []Change {
	last := make(map[string]int, len(changes))
	for i, c := range changes {
		last[c.Object.Name] = i
	}
	var news []Change
	for i, c := range changes {
		if last[c.Object.Name] == i && d.isNews(c) {
			news = append(news, c)
		}
	}
	return news
}
