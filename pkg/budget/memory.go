package limits

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

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

// Take reserves n bytes. It returns false, and reserves nothing, if that would
// exceed the bound.
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

// Release returns n reserved bytes.
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
