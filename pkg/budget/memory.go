// Package budget bounds what all requests of a node hold together: the memory of
// heads, bodies and answers, and connections with their file descriptors.
package budget

import (
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Account reserves memory.
type Account interface {
	// Take reserves n bytes. It returns false, and reserves nothing, if that would
	// exceed a bound.
	Take(n int) bool
	// Release returns n reserved bytes.
	Release(n int)
}

// Memory bounds the bytes that a node buffers for all answers together. It
// answers the load of upstreams that send bytes without end on many connections
// at once. It is safe for concurrent use; a nil Memory has no bound.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a bound of limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Export makes the reserved bytes of the process's only Memory a metric.
func (m *Memory) Export() {
	metrics.GetOrCreateGauge("cassiapin_answer_memory_bytes", func() float64 { return float64(m.Used()) })
}

// Take implements Account.
func (m *Memory) Take(n int) bool {
	if m == nil {
		return true
	}
	if m.used.Add(int64(n)) > m.limit {
		m.used.Add(-int64(n))
		return false
	}
	return true
}

// Release implements Account.
func (m *Memory) Release(n int) {
	if m != nil {
		m.used.Add(-int64(n))
	}
}

// Used returns the reserved bytes.
func (m *Memory) Used() int64 {
	if m == nil {
		return 0
	}
	return m.used.Load()
}

// ArrivingHeads owns the memory of heads that are being read: it is not known yet
// whose requests they belong to. No organisation has this name.
const ArrivingHeads = "\x00arriving"

// shareFactor times the free memory is what one owner may hold. So a single owner
// gets two thirds of the memory, and there is always room for another one.
const shareFactor = 2

// SharedMemory bounds the bytes of requests, their heads and bodies, all together and
// by owner: the more memory is in use, the less may one owner hold. It is safe for
// concurrent use; a nil SharedMemory has no bound.
type SharedMemory struct {
	limit int64

	mu     sync.Mutex
	used   int64
	owners map[string]int64
}

// NewSharedMemory returns a bound of limit bytes.
func NewSharedMemory(limit int64) *SharedMemory {
	return &SharedMemory{limit: limit, owners: make(map[string]int64)}
}

// bodiesRefused counts requests without room for their head or body.
var bodiesRefused = metrics.GetOrCreateCounter("cassiapin_bodies_refused_total")

// Export makes the state of the process's only SharedMemory a metric.
func (m *SharedMemory) Export() {
	metrics.GetOrCreateGauge("cassiapin_body_memory_bytes", func() float64 { return float64(m.Used()) })
	metrics.GetOrCreateGauge("cassiapin_body_memory_limit_bytes", func() float64 { return float64(m.limit) })
}

// Used returns the reserved bytes.
func (m *SharedMemory) Used() int64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Of returns the account of one request of an owner.
func (m *SharedMemory) Of(owner string) Account { return &requestAccount{memory: m, owner: owner} }

// requestAccount is the account of one request.
type requestAccount struct {
	memory *SharedMemory
	owner  string
	// held is what the request holds; the memory's lock guards it.
	held int64
}

// Take implements Account. A single request may use all of the memory.
func (a *requestAccount) Take(n int) bool {
	m := a.memory
	if m == nil || n == 0 {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	own, free := m.owners[a.owner], m.limit-m.used
	fits := int64(n) <= free && (m.used == a.held || own+int64(n) <= shareFactor*(free-int64(n)))
	if !fits {
		bodiesRefused.Inc()
		return false
	}
	m.used += int64(n)
	a.held += int64(n)
	m.owners[a.owner] = own + int64(n)
	return true
}

// Release implements Account.
func (a *requestAccount) Release(n int) {
	m := a.memory
	if m == nil || n == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= int64(n)
	a.held -= int64(n)
	if m.owners[a.owner] -= int64(n); m.owners[a.owner] == 0 {
		delete(m.owners, a.owner)
	}
}
