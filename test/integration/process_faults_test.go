package integration

import (
	"testing"
	"time"

	"cassiapin/pkg/admin"
	"cassiapin/pkg/workload"
)

// Guards against bills that are lost when a node crashes right after its
// answers, and against bills that are counted twice because both the node and a
// peer have written them.
func TestKilledNodeIsBilledOnce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{seed: 5})
	node := f.nodes[1]
	var requests []workload.Request
	for i := range 20 {
		requests = append(requests, f.chat("lookup", "small", i, 20, i%2 == 0))
	}
	for i := range 4 {
		requests = append(requests, f.booking(i))
	}
	outcomes := f.sendAll(newPinnedCaller(t, node), requests)
	f.record.poll(node)
	node.kill(t)
	f.checkAllAnswered(outcomes)
	// The peers detect the crash after 4 to 5 s and write their copies of the
	// bills.
	f.eventually(40*time.Second, "the peers have written the bills of the crashed node", func() bool {
		bills := f.bills()
		for _, o := range outcomes {
			if _, ok := bills[billID(o)]; o.Answered && !ok {
				return false
			}
		}
		return true
	})
	// The node may have written its bills itself just before the crash. Until its
	// peers detect the crash, the directory still returns it to callers.
	f.eventually(10*time.Second, "the peers have detected the crash", func() bool {
		return f.allNodes(func(s admin.Status) bool { return aliveAndReady(s) == len(f.running()) })
	})
	f.checkAllAnswered(f.runLoad(workload.Options{Seed: 5, Rate: 20, Duration: 2 * time.Second}))
	f.finish()
}

// Guards against a graceful stop that cuts off or rejects requests or loses
// bills, over links that deliver responses late and in fragments.
func TestGracefulStopUnderLoad(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{seed: 8})
	f.degradeLinks()
	wait := f.startLoad(workload.Options{Seed: 8, Rate: 25, Duration: 8 * time.Second})
	time.Sleep(time.Second)
	f.nodes[0].terminate(t)
	f.nodes[1].terminate(t)
	f.checkAllAnswered(wait())
	f.finish()
}

// Guards against a rolling replacement of all nodes that loses requests, bills
// or the configuration.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{seed: 9})
	wait := f.startLoad(workload.Options{Seed: 9, Rate: 15, Duration: 20 * time.Second})
	for _, old := range f.running() {
		f.addNode()
		f.waitReady()
		old.terminate(t)
	}
	f.checkAllAnswered(wait())
	f.finish()
}
