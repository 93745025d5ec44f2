package edge

import (
	"slices"

	"cassiapin/pkg/topology"
)

// maxRemoved bounds the certificates that are remembered as removed: two and a half times
// the largest fleet's, since a copy that the store comes back from is some seconds old.
const maxRemoved = 1024

// certificate is a node's entry as of the latest answer with it.
type certificate struct {
	entry
	host     string
	revision topology.Revision
}

// certificates are those that the entries in the store make trusted. When the store comes
// back from an older copy, entries that it lacks stay trusted until their owners have
// written them again, and those that were removed or replaced before stay untrusted.
type certificates struct {
	// own is this node's fingerprint, which is always trusted.
	own string
	// trusted has the others by fingerprint.
	trusted map[string]certificate
	// removed has the revisions of the answers that showed that certificates were removed
	// or replaced, by fingerprint, and removals their order.
	removed  map[string]topology.Revision
	removals []string
	// listed is the store's revision in the latest list.
	listed topology.Revision
}

func newCertificates(own string) *certificates {
	return &certificates{own: own, trusted: make(map[string]certificate), removed: make(map[string]topology.Revision)}
}

func (c *certificates) has(fingerprint string) bool {
	_, trusted := c.trusted[fingerprint]
	return trusted || fingerprint == c.own
}

// trust records the entry of a certificate that is trusted.
func (c *certificates) trust(e certificate) {
	c.trusted[e.Fingerprint] = e
	if _, known := c.removed[e.Fingerprint]; known {
		delete(c.removed, e.Fingerprint)
		c.removals = slices.DeleteFunc(c.removals, func(f string) bool { return f == e.Fingerprint })
	}
}

// remove ends the trust in a certificate, as of an answer with a revision.
func (c *certificates) remove(fingerprint string, revision topology.Revision) {
	delete(c.trusted, fingerprint)
	if _, known := c.removed[fingerprint]; !known {
		if len(c.removals) == maxRemoved {
			delete(c.removed, c.removals[0])
			c.removals = slices.Delete(c.removals, 0, 1)
		}
		c.removals = append(c.removals, fingerprint)
	}
	c.removed[fingerprint] = revision
}

// revoked reports whether a certificate had been removed before its entry was written. In a
// later era of the store the entry may be that of the copy.
func (c *certificates) revoked(e certificate) bool {
	at, removed := c.removed[e.Fingerprint]
	return removed && (e.revision.Era != at.Era || !e.revision.After(at))
}

// verify records the entry of a host that was read alone. It returns false if the
// certificate isn't trusted because a later answer says otherwise.
func (c *certificates) verify(e certificate) bool {
	if c.revoked(e) || !c.has(e.Fingerprint) && !e.revision.After(c.listed) {
		return false
	}
	for _, known := range c.ofHost(e) {
		switch {
		case known.revision.After(e.revision), precedes(e, known):
			return false
		case succeeds(e, known):
			c.remove(known.Fingerprint, e.revision)
		}
	}
	c.trust(e)
	return true
}

// ofHost returns the other trusted certificates of an entry's host.
func (c *certificates) ofHost(e certificate) []certificate {
	var others []certificate
	for _, known := range c.trusted {
		if known.host == e.host && known.Fingerprint != e.Fingerprint {
			others = append(others, known)
		}
	}
	return others
}

// succeeds reports whether e replaces another entry of its host. Within an era of the store
// any later one does; across eras the process that started later has the later one.
func succeeds(e, known certificate) bool {
	if e.revision.Era == known.revision.Era {
		return e.revision.After(known.revision)
	}
	return known.StartedMS != 0 && e.StartedMS > known.StartedMS
}

// precedes reports whether e, which the store has, is the entry of an earlier process than
// another one of its host, and has come back with a copy.
func precedes(e, known certificate) bool {
	return e.revision.Era > known.revision.Era && e.StartedMS != 0 && e.StartedMS < known.StartedMS
}

// replace records a list of all entries at a revision of the store.
func (c *certificates) replace(list []certificate, revision topology.Revision) {
	before := c.trusted
	c.trusted, c.listed = make(map[string]certificate, len(list)), revision
	hosts := make(map[string]certificate, len(list))
	for _, e := range list {
		if !c.revoked(e) {
			c.trust(e)
			hosts[e.host] = e
		}
	}
	for fingerprint, known := range before {
		if _, again := c.trusted[fingerprint]; again {
			continue
		}
		e, replaced := hosts[known.host]
		switch {
		case known.revision.After(revision): // The list is older than this entry.
		case known.revision.Era == revision.Era, replaced && succeeds(e, known):
			c.remove(fingerprint, revision)
			continue
		case replaced && precedes(e, known):
			c.remove(e.Fingerprint, revision)
		}
		c.trusted[fingerprint] = known
	}
}

// hosts returns the number of hosts with a trusted certificate other than one host.
func (c *certificates) hosts(other string) int {
	hosts := make(map[string]bool, len(c.trusted))
	for _, e := range c.trusted {
		if e.host != other {
			hosts[e.host] = true
		}
	}
	return len(hosts)
}

// addresses returns the addresses of the nodes with a trusted certificate.
func (c *certificates) addresses() []string {
	var all []string
	for _, e := range c.trusted {
		all = append(all, e.PeerAddress)
	}
	slices.Sort(all)
	return slices.Compact(all)
}
