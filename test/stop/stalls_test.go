package stop

import (
	"sync"
	"time"
)

// stalls are the times for which this process did not run although it was due, and
// when each ended: bounds of time are longer by them.
var stalls struct {
	mu  sync.Mutex
	all map[time.Time]time.Duration
}

func watchMachine() {
	stalls.all = map[time.Time]time.Duration{}
	const interval = margin / 10
	for last := time.Now(); ; {
		time.Sleep(interval)
		now := time.Now()
		if late := now.Sub(last) - interval; late > margin/2 {
			stalls.mu.Lock()
			stalls.all[now] = late
			stalls.mu.Unlock()
		}
		last = now
	}
}

// stalledSince returns for how long this process did not run since a time.
func stalledSince(from time.Time) (total time.Duration) {
	stalls.mu.Lock()
	defer stalls.mu.Unlock()
	for end, late := range stalls.all {
		if end.After(from) {
			total += late
		}
	}
	return total
}
