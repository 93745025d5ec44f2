package edge

import (
	"slices"
	"time"

	"cassiapin/pkg/peer"
)

const (
	// directoryTTL is how long callers keep an answer of the directory. A
	// shorter time moves callers off a lost node sooner and costs more
	// questions.
	directoryTTL = 2 * time.Second
	// minDomainNodes is the number of nodes in the caller's failure domain that
	// makes others needless: one may be lost without all callers noticing.
	minDomainNodes = 2
	// maxAddresses bounds an answer.
	maxAddresses = 64
)

// directory answers callers' questions for entry addresses. It implements
// platform.Directory.
type directory struct {
	members peer.Members
	// maxTTL is the longest time that callers keep an answer.
	maxTTL time.Duration
}

// Resolve implements platform.Directory.
func (d *directory) Resolve(region, domain string) ([]string, time.Duration) {
	return nearest(d.members.Live(), region, domain), min(directoryTTL, d.maxTTL)
}

// nearest returns the entry addresses of the ready members in the smallest
// surroundings of the caller that have enough of them. Callers stay in their
// region as long as it has a ready member.
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
	return chosen[:min(len(chosen), maxAddresses)]
}
