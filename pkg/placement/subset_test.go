package placement

import (
	"fmt"
	"slices"
	"testing"
)

func nodeNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("n%02d", i))
	}
	return out
}

// users returns the nodes in whose subsets an upstream is.
func users(t *testing.T, upstream string, nodes []string) []string {
	t.Helper()
	var out []string
	for _, node := range nodes {
		if NewSubset("a", node).Contains(newUpstream(upstream, "a", "r"), nodes) {
			out = append(out, node)
		}
	}
	return out
}

// TestSubsetCoverage guards against an upstream that no node prefers, and against
// subsets that all change when one node goes.
func TestSubsetCoverage(t *testing.T) {
	nodes := nodeNames(11)
	for i := range 50 {
		id := fmt.Sprint("u", i)
		before := users(t, id, nodes)
		if len(before) != subsetCover {
			t.Errorf("%s has %d nodes, want %d", id, len(before), subsetCover)
		}
		after := users(t, id, nodes[1:])
		for _, node := range before {
			if node != nodes[0] && !slices.Contains(after, node) {
				t.Errorf("%s left %s although %s went", id, node, nodes[0])
			}
		}
	}
}

// TestSubsetOfFewNodes guards against a small deployment that does not use all of its
// upstreams, and against other failure domains' upstreams in the subset of a large one.
func TestSubsetOfFewNodes(t *testing.T) {
	other := newUpstream("u", "b", "r")
	if !NewSubset("a", "n00").Contains(other, nodeNames(subsetCover)) {
		t.Error("a node of a small deployment does not use all upstreams")
	}
	if NewSubset("a", "n00").Contains(other, nodeNames(subsetCover+1)) {
		t.Error("an upstream of another failure domain is in the subset")
	}
}

// TestSubsetFollowsMembers guards against look-ups that outlive the members.
func TestSubsetFollowsMembers(t *testing.T) {
	nodes := nodeNames(8)
	s := NewSubset("a", nodes[0])
	for i := range 40 {
		u := newUpstream(fmt.Sprint("u", i), "a", "r")
		if s.Contains(u, nodes) && !s.Contains(u, nodes[:5]) {
			t.Fatalf("%s left the subset when other nodes went", u.ID)
		}
		if !s.Contains(u, nodes[:subsetCover]) {
			t.Fatalf("%s is not in the subset of one of three nodes", u.ID)
		}
	}
}
