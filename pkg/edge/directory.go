package edge

import (
	"math/rand/v2"
	"slices"
	"time"

	"cassiapin/pkg/peer"
)

const (
	// directoryTTL is how long callers cache an answer of the directory. A
	// shorter time moves callers off a failed node sooner but costs more
	// lookups.
	directoryTTL = 2 * time.Second
	// minDomainNodes is the number of nodes in the caller's failure domain from
	// which no others are returned: with two, one may fail without an effect on
	// all callers.
	minDomainNodes = 2
	// maxAddresses limits the addresses in an answer.
	maxAddresses = 64
)

// directory resolves entry addresses for callers. It implements
// platform.Directory.
type directory struct {
	members peer.Members
	// storeInTouch reports whether the store has answered lately.
	storeInTouch func() bool
	// maxTTL is the longest time that callers may cache an answer.
	maxTTL time.Duration
}

// Resolve implements platform.Directory.
func (d *directory) Resolve(region, domain string) ([]string, time.Duration) {
	return sampleAddresses(nearest(d.candidates(), region, domain), maxAddresses), min(directoryTTL, d.maxTTL)
}

// candidates returns the members that callers may be sent to. It answers the loss of
// most nodes at once: an isolated node that the store still answers takes those that
// it can't reach for lost. Without the store it is rather this node that is cut off.
func (d *directory) candidates() []peer.Member {
	if d.members.Isolated() && d.storeInTouch() {
		return d.members.Reachable()
	}
	return d.members.Live()
}

// sampleAddresses returns at most n of the addresses, chosen at random for each answer,
// so that callers are spread over all nodes of a large failure domain.
func sampleAddresses(addresses []string, n int) []string {
	if len(addresses) <= n {
		return addresses
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:n]
}

// nearest returns the entry addresses of the ready members in the caller's
// failure domain if it has enough of them, or else in its region, or else in
// all regions. Callers stay in their region while it has a ready member.
func nearest(members []peer.Member, region, domain string) []string {
	var inDomain, inRegion, all []string
	for _, m := range members {
		if !m.Ready || m.State != peer.Alive {
			continue
		}
		all = append(all, m.EntryAddress)
		if m.Region == region {
			inRegion = append(inRegion, m.EntryAddress)
			if m.FailureDomain == domain {
				inDomain = append(inDomain, m.EntryAddress)
			}
		}
	}
	chosen := all
	switch {
	case len(inDomain) >= minDomainNodes:
		chosen = inDomain
	case len(inRegion) > 0:
		chosen = inRegion
	}
	slices.Sort(chosen)
	return chosen
}
