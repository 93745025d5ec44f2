package integration

import (
	"testing"
	"time"

	"cassiapin/pkg/admin"
	"cassiapin/pkg/workload"
)

// Guards against bills that are lost with a node that dies right after its
// answers, and against bills that both the node and its peer have written.
func TestKilledNodeIsBilledOnce(t *testing.T) {
	t.Parallel()
	w := startWorld(t, options{seed: 5})
	victim := w.nodes[1]
	var requests []workload.Request
	for i := range 20 {
		requests = append(requests, w.chat("lookup", "small", i, 20, i%2 == 0))
	}
	for i := range 4 {
		requests = append(requests, w.booking(i))
	}
	outcomes := w.sendAll(pinned(t, victim), requests)
	w.record.look(victim)
	victim.kill(t)
	w.allAnswered(outcomes)
	// The peers see the death after 4 to 5 s and write the bills they hold.
	w.eventually(40*time.Second, "the peers have written the bills of the dead node", func() bool {
		bills := w.bills()
		for _, o := range outcomes {
			if _, ok := bills[billID(o)]; o.Answered && !ok {
				return false
			}
		}
		return true
	})
	// The dead node may have written its bills itself just before. Until its
	// peers see its death they name it to callers.
	w.eventually(10*time.Second, "the peers have seen the death", func() bool {
		return w.everywhere(func(s admin.Status) bool { return aliveAndReady(s) == len(w.running()) })
	})
	w.allAnswered(w.load(workload.Options{Seed: 5, Rate: 20, Duration: 2 * time.Second}))
	w.finish()
}

// Guards against a planned stop that cuts off or refuses requests, or that ends
// without writing its bills, over links that deliver answers late and in pieces.
func TestGracefulStopUnderLoad(t *testing.T) {
	t.Parallel()
	w := startWorld(t, options{seed: 8})
	w.roughLinks()
	wait := w.background(workload.Options{Seed: 8, Rate: 25, Duration: 8 * time.Second})
	time.Sleep(time.Second)
	w.nodes[0].terminate(t)
	w.nodes[1].terminate(t)
	w.allAnswered(wait())
	w.finish()
}

// Guards against a replacement of all nodes, one after the other, that loses
// requests, bills or the configuration.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	w := startWorld(t, options{seed: 9})
	wait := w.background(workload.Options{Seed: 9, Rate: 15, Duration: 20 * time.Second})
	for _, old := range w.running() {
		w.addNode()
		w.waitReady()
		old.terminate(t)
	}
	w.allAnswered(wait())
	w.finish()
}
