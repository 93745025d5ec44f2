package runners

import (
	"context"
	"fmt"
	"testing"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/timeline"
)

// fixedMembers is a membership view with a fixed list of nodes.
type fixedMembers struct {
	peer.Members
	all []peer.Member
}

func (m fixedMembers) Self() peer.Member   { return m.all[0] }
func (m fixedMembers) Live() []peer.Member { return m.all }

// Guards against periodic tasks that exceed the control CPU budget of 3.1% of a
// core at the design size of 410 nodes and 600 runners. The table's part is the
// sum of 5 lease, 2 poll, 5 direct poll and 1 subscription ticks per second.
func BenchmarkTicksAtDesignSize(b *testing.B) {
	regions := []string{"south", "north"}
	var m fixedMembers
	for i := range 410 {
		m.all = append(m.all, peer.Member{ID: peer.NodeID(fmt.Sprintf("node-%04d", i)), Region: regions[i%2], State: peer.Alive})
	}
	d := config.Declarations{Limits: config.Limits{ShardsPerRegion: 256}}
	for i := range 600 {
		d.Upstreams = append(d.Upstreams, config.Upstream{
			Name: fmt.Sprintf("u%03d", i), Region: regions[i%2], Capacity: 8, ColdLimit: 2,
			Serves: []config.VersionRef{{Model: "m", Version: fmt.Sprint(i % 5)}},
		})
	}
	c := newCluster(1, 1, 4)
	n := c.nodes[0]
	n.id = m.all[0].ID
	c.handlers[n.id] = make(map[peer.Kind]peer.Handler)
	table := NewService(Options{Clock: clock.Real{}, Fetch: n.fetch})
	table.source, table.events = &config.Static{Snapshot: config.NewSnapshot(1, "", d)}, timeline.Discard{}
	table.messenger, table.members, table.leases = n, m, n
	table.register()
	for _, task := range []struct {
		name string
		run  func(context.Context)
	}{{"leases", table.reconcileLeases}, {"poll", table.pollOwned}, {"direct-poll", table.pollDirect}, {"subscribe", table.subscribe}} {
		b.Run(task.name, func(b *testing.B) {
			for b.Loop() {
				task.run(context.Background())
			}
		})
	}
}
