package cutover

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand"
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/result"
	"cassiapin/pkg/topology"
)

// world runs the real services of several nodes on one fake clock, with
// messages that are lost, late and out of order, and a store whose answers get
// lost.
type world struct {
	random *rand.Rand
	clock  *clock.Fake
	nodes  []*worldNode
	order  topology.Rollout
	inbox  []delivery
	// loss is the share of messages and of store answers that get lost.
	loss float64
	// finals are the final states that took effect, in order.
	finals []topology.RolloutState
	// running are the requests at the old release.
	running []run
	ends    []ending
	// brokenBy is set when the order was completed while requests ran.
	brokenBy string
}

// run is a request at the old release.
type run struct {
	end     time.Time
	movable bool
}

// ending is a request that ends at a moment.
type ending struct {
	at     time.Time
	closed func()
}

// endRequests plays the ends that are due.
func (w *world) endRequests() {
	var rest []ending
	for _, e := range w.ends {
		if w.clock.Now().Before(e.at) {
			rest = append(rest, e)
		} else {
			e.closed()
		}
	}
	w.ends = rest
}

func (w *world) node(id string) *worldNode {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

type delivery struct {
	at      time.Time
	to      string
	message Message
}

type worldNode struct {
	world   *world
	id      string
	service *Service
	dead    bool
	handle  func(Message)
	view    *topology.View
	viewAt  time.Time
}

func (n *worldNode) View() *topology.View     { return n.view }
func (n *worldNode) Changed() <-chan struct{} { return nil }
func (n *worldNode) Self() string             { return n.id }
func (n *worldNode) Peers() (ids []string) {
	for _, o := range n.world.nodes {
		if o != n && !o.dead {
			ids = append(ids, o.id)
		}
	}
	return ids
}

func (n *worldNode) Tell(node string, m Message) error {
	w := n.world
	if w.random.Float64() >= w.loss {
		late := time.Duration(w.random.Intn(60)) * time.Millisecond
		w.inbox = append(w.inbox, delivery{at: w.clock.Now().Add(late), to: node, message: m})
	}
	return nil
}

func (n *worldNode) TellAll(m Message) error {
	for _, id := range n.Peers() {
		_ = n.Tell(id, m) // Tell of a world does not fail.
	}
	return nil
}

func (n *worldNode) Receive(handle func(Message)) { n.handle = handle }

// WriteRollout implements Store with a conditional write.
func (n *worldNode) WriteRollout(_ context.Context, r *topology.Rollout, state topology.RolloutState) error {
	w := n.world
	if r.Revision != w.order.Revision {
		return result.New(result.ObjectConflict, "revision")
	}
	w.order.Revision++
	w.order.State = state
	if state.Final() {
		w.finals = append(w.finals, state)
	}
	if state == topology.RolloutCompleted {
		late := w.clock.Now().Sub(epoch) >= time.Duration(lastCall*float64(worldDuration))
		for _, r := range w.running {
			if w.clock.Now().Before(r.end) && !(r.movable && late) {
				w.brokenBy = fmt.Sprintf("completed at %s with a request until %s", w.since(w.clock.Now()), w.since(r.end))
			}
		}
	}
	if w.random.Float64() < w.loss {
		return result.New(result.PlatformUnavailable, "the answer was lost")
	}
	return nil
}

var epoch = time.Unix(1_700_000_000, 0)

func (w *world) since(t time.Time) time.Duration { return t.Sub(epoch) }

const (
	worldTick     = 25 * time.Millisecond
	worldDuration = 24 * time.Second
	sessionGap    = 5 * time.Second
)

func newWorld(seed int64, nodes int, loss float64) *world {
	w := &world{random: rand.New(rand.NewSource(seed)), clock: clock.NewFake(epoch), loss: loss}
	w.order = topology.Rollout{Service: "pool", Target: "v2", Duration: worldDuration, Created: 7, Revision: 7}
	for i := range nodes {
		w.start(fmt.Sprintf("node-%d", i))
	}
	return w
}

// start adds a node, or replaces the one with the id by a new process.
func (w *world) start(id string) {
	n := &worldNode{world: w, id: id, view: &topology.View{}}
	n.service = New(Options{
		Store: n, Knowledge: n, Fleet: n, SessionGap: sessionGap, ExposureShare: 0.15, ExposureExtra: 30,
	})
	if err := n.service.Provision(kernel.New(w.clock, slog.New(slog.DiscardHandler))); err != nil {
		panic(err)
	}
	for i, o := range w.nodes {
		if o.id == id {
			w.nodes[i] = n
			return
		}
	}
	w.nodes = append(w.nodes, n)
}

// see gives a node the store's present state.
func (n *worldNode) see() {
	order := n.world.order
	n.view = &topology.View{
		Upstreams: map[string][]*topology.Upstream{"pool": {
			{ID: "a", Service: "pool", Release: "v1"}, {ID: "b", Service: "pool", Release: "v2"},
		}},
		Rollouts: map[string]*topology.Rollout{"pool": &order},
	}
	n.service.follow()
}

// advance moves the world by one tick; each node sees the store with a delay.
func (w *world) advance() {
	w.clock.Advance(worldTick)
	now := w.clock.Now()
	var rest []delivery
	due := w.inbox
	w.inbox = nil
	w.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, d := range due {
		if now.Before(d.at) {
			rest = append(rest, d)
			continue
		}
		for _, n := range w.nodes {
			if n.id == d.to && !n.dead {
				n.handle(d.message)
			}
		}
	}
	w.inbox = append(rest, w.inbox...)
	for i, n := range w.nodes {
		if n.dead {
			continue
		}
		if now.Sub(n.viewAt) > time.Duration(40*(i+1))*time.Millisecond {
			n.viewAt = now
			n.see()
		}
		if w.clock.Now().UnixNano()/int64(worldTick)%int64(tick/worldTick) == int64(i)%int64(tick/worldTick) {
			n.service.step(context.Background())
		}
	}
}

func (w *world) live() *worldNode {
	for {
		if n := w.nodes[w.random.Intn(len(w.nodes))]; !n.dead {
			return n
		}
	}
}
