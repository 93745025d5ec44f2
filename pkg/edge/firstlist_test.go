package edge

import (
	"math/rand"
	"testing"
	"time"

	"cassiapin/pkg/storeview"
	"cassiapin/platform/platformtest"
)

// TestFirstListIsLate guards against a node that takes itself for the only one while its
// first list of the nodes is on its way, and against one that is the only one and doesn't
// serve.
func TestFirstListIsLate(t *testing.T) {
	const late = 700 * time.Millisecond
	for _, tc := range []struct {
		name   string
		others int
	}{{"a fleet", 2}, {"the only node", 0}} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, tc.others)
			f.store.Lapse(platformtest.Lapse{Random: rand.New(rand.NewSource(1)), MinLate: late, MaxLate: late})
			n := f.start(tc.others)
			nodes := &fleet{members: n.members, registry: n.registry}
			rank := func() int { return n.storeView.Confirmation(storeview.Configurations).Rank }
			if tc.others > 0 {
				for began := time.Now(); len(n.members.Live()) <= 1; time.Sleep(5 * time.Millisecond) {
					if rank, count := rank(), nodes.NodeCount(); len(n.members.Live()) <= 1 && (rank < storeview.Readers || count <= 1) {
						t.Fatalf("%s after its start the node has rank %d and takes 1/%d of each limit", time.Since(began), rank, count)
					}
				}
			}
			f.eventually("the node serves and counts all", func() bool {
				status, _ := f.get(n, "/lookup/1", "key")
				return status == 200 && nodes.NodeCount() == tc.others+1 && (tc.others > 0 || rank() == 0)
			})
		})
	}
}
