package runners

import (
	"cmp"
	"slices"

	"cassiapin/pkg/config"
)

// Sizes of the subset of runners that a node uses for one version.
const (
	localSubsetSize  = 8
	remoteSubsetSize = 2
)

// runnerSubset is this node's subset of the runners of one version.
type runnerSubset struct {
	local, remote []*runner
}

// view is the immutable index of the runners under one configuration.
type view struct {
	number  uint64
	runners map[string]*runner
	subsets map[config.VersionRef]*runnerSubset
	// ordered lists all runners by name.
	ordered []*runner
	// usedLocal lists the runners of the node's subsets, usedAll also those of
	// the other regions.
	usedLocal, usedAll []*runner
	// shards lists the runners of the node's own region by shard.
	shards map[string][]*runner
}

// buildView indexes the snapshot, reusing unchanged runners of the old view.
func buildView(old *view, s *config.Snapshot, node, region string) *view {
	v := &view{
		number:  s.Number,
		runners: make(map[string]*runner),
		subsets: make(map[config.VersionRef]*runnerSubset),
		shards:  make(map[string][]*runner),
	}
	for i := range s.Declarations.Upstreams {
		u := &s.Declarations.Upstreams[i]
		shard := ShardLease(u.Region, u.Name, s.Limits.ShardsPerRegion)
		r := old.reuse(u, shard)
		v.runners[u.Name] = r
		v.ordered = append(v.ordered, r)
		if region == "" || u.Region == region {
			v.shards[shard] = append(v.shards[shard], r)
		}
		for _, ref := range u.Serves {
			v.add(ref, r, region == "" || u.Region == region)
		}
	}
	slices.SortFunc(v.ordered, func(a, b *runner) int { return cmp.Compare(a.name, b.name) })
	for _, subset := range v.subsets {
		subset.local = pickSubset(subset.local, node, localSubsetSize)
		subset.remote = pickSubset(subset.remote, node, remoteSubsetSize)
	}
	v.usedLocal, v.usedAll = v.collectUsed(false), v.collectUsed(true)
	return v
}

// reuse returns the existing runner with its new declaration, or a new one if
// its address, shard or failure domain has changed.
func (v *view) reuse(u *config.Upstream, shard string) *runner {
	r := v.runners[u.Name]
	if r == nil || r.shard != shard || r.domainKey != config.DomainKey(u.FailureDomain) {
		return newRunner(u, shard)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.decl.URL != u.URL {
		return newRunner(u, shard)
	}
	if r.decl.Capacity != u.Capacity {
		r.limit = newGradientLimit(u.Capacity)
	}
	r.decl = u
	return r
}

func (v *view) add(ref config.VersionRef, r *runner, local bool) {
	subset := v.subsets[ref]
	if subset == nil {
		subset = &runnerSubset{}
		v.subsets[ref] = subset
	}
	if local {
		subset.local = append(subset.local, r)
		return
	}
	subset.remote = append(subset.remote, r)
}

// pickSubset returns the n runners with the highest rendezvous scores for the
// node, so that the nodes are spread over the runners.
func pickSubset(all []*runner, node string, n int) []*runner {
	slices.SortFunc(all, func(a, b *runner) int {
		if c := cmp.Compare(subsetScore(node, b.name), subsetScore(node, a.name)); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	return all[:min(n, len(all))]
}

// used returns the runners of the node's subsets by name. The caller must not
// change the slice.
func (v *view) used(remote bool) []*runner {
	if remote {
		return v.usedAll
	}
	return v.usedLocal
}

func (v *view) collectUsed(remote bool) []*runner {
	seen := make(map[*runner]bool)
	for _, subset := range v.subsets {
		for _, r := range subset.local {
			seen[r] = true
		}
		if remote || len(subset.local) == 0 {
			for _, r := range subset.remote {
				seen[r] = true
			}
		}
	}
	var out []*runner
	for _, r := range v.ordered {
		if seen[r] {
			out = append(out, r)
		}
	}
	return out
}
