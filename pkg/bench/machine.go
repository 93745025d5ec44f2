package bench

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// loadAverage returns the machine's one-minute load average, or -1 if it is
// unknown. Timing figures are only comparable at a similar load.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return -1
	}
	fields := strings.Fields(string(text))
	if len(fields) == 0 {
		return -1
	}
	v, err := strconv.ParseFloat(fields[0], 64)
	if err != nil {
		return -1
	}
	return v
}

// processorTime returns the user and system time used by this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the bytes of live heap and stacks after a garbage
// collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC() // The second cycle frees objects released by finalizers.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
