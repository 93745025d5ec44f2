package bench

import (
	"context"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"cassiapin/pkg/result"
	"cassiapin/pkg/workload"
)

// Parameters of the overhead measurement.
const (
	// overheadRate limits the requests per second: levels with more concurrent
	// streams use longer ones. This way the paths are compared, not the time
	// spent waiting for a processor.
	overheadRate = 800
	// overheadMinStream is the minimum duration of a stream, used with one stream
	// at a time.
	overheadMinStream = 4 * time.Millisecond
	// overheadRounds is the number of alternations between engine and node, so
	// that other load on the machine affects both equally.
	overheadRounds    = 4
	overheadRoundTime = 2 * time.Second
	// overheadNodes provides a peer in another failure domain, to which the
	// measured node replicates its bills.
	overheadNodes    = 2
	memoryStreams    = 1000
	memoryStreamTime = 50 * time.Second
	coreConcurrency  = 64
	coreTime         = 3 * time.Second
)

// OverheadLevels are the measured numbers of concurrent streams.
var OverheadLevels = []int{1, 64, 1000}

// Latency is a pair of percentiles in milliseconds.
type Latency struct {
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
}

func (l Latency) sub(o Latency) Latency { return Latency{l.P50MS - o.P50MS, l.P99MS - o.P99MS} }

// PathReport is the result of one path.
type PathReport struct {
	Requests   int64   `json:"requests"`
	Failed     int64   `json:"failed"`
	FirstToken Latency `json:"first_token"`
	Whole      Latency `json:"whole"`
}

// OverheadLevel compares the paths at one number of concurrent streams.
type OverheadLevel struct {
	Streams int        `json:"streams"`
	Direct  PathReport `json:"direct"`
	Node    PathReport `json:"node"`
	// AddedFirstToken and AddedWhole are differences of percentiles.
	AddedFirstToken Latency `json:"added_first_token"`
	AddedWhole      Latency `json:"added_whole"`
}

// OverheadReport is the result of "cassiapin bench overhead".
type OverheadReport struct {
	LoadAverageBefore float64         `json:"load_average_before"`
	LoadAverageAfter  float64         `json:"load_average_after"`
	Levels            []OverheadLevel `json:"levels"`
	// RequestsPerSecondPerCore is the rate of streamed requests that one core
	// of a node serves; ProcessorUSPerRequest is the processor time per request.
	// Both come from the difference in the process's processor time with and
	// without the node.
	RequestsPerSecondPerCore float64 `json:"requests_per_second_per_core"`
	ProcessorUSPerRequest    float64 `json:"processor_us_per_request"`
	// MemoryPerStreamBytes is the node's heap and stack memory per open stream.
	MemoryPerStreamBytes float64 `json:"memory_per_stream_bytes"`
}

// probePair has probes for the two paths to one engine.
type probePair struct {
	direct, node *probe
	close        func()
}

// newProbePair starts an engine whose streams take the given time and a fleet in
// front of it, and warms up both paths.
func newProbePair(ctx context.Context, length time.Duration, concurrency int) (*probePair, error) {
	url, stop, err := startProbeEngine("probe-engine", length)
	if err != nil {
		return nil, err
	}
	fleet, err := startProbeFleet(ctx, overheadNodes, map[string]string{"probe-engine": url})
	if err != nil {
		stop()
		return nil, err
	}
	key := workload.Berceuse().Organisations[0].Key
	p := &probePair{direct: newProbe(url, key, true), node: newProbe(fleet.Nodes()[0].EntryURL(), key, true)}
	p.close = func() {
		p.direct.close()
		p.node.close()
		fleet.Close()
		stop()
	}
	for _, path := range []*probe{p.direct, p.node} {
		if err := path.warmUp(ctx, concurrency); err != nil {
			p.close()
			return nil, err
		}
	}
	return p, nil
}

// Overhead measures the latency, processor time and memory that a node adds to
// direct calls of the engine.
func Overhead(ctx context.Context) (*OverheadReport, error) {
	r := &OverheadReport{LoadAverageBefore: loadAverage()}
	for _, streams := range OverheadLevels {
		level, err := overheadLevel(ctx, streams)
		if err != nil {
			return nil, err
		}
		r.Levels = append(r.Levels, *level)
	}
	if err := r.measureCore(ctx); err != nil {
		return nil, err
	}
	if err := r.measureMemory(ctx); err != nil {
		return nil, err
	}
	r.LoadAverageAfter = loadAverage()
	return r, nil
}

func overheadLevel(ctx context.Context, streams int) (*OverheadLevel, error) {
	length := max(overheadMinStream, time.Duration(streams)*time.Second/overheadRate)
	p, err := newProbePair(ctx, length, streams)
	if err != nil {
		return nil, err
	}
	defer p.close()
	direct, node := newTimings(), newTimings()
	for range overheadRounds {
		p.direct.closedLoop(ctx, streams, overheadRoundTime, direct)
		p.node.closedLoop(ctx, streams, overheadRoundTime, node)
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if node.failed.Load() > 0 {
		return nil, result.Wrap(node.lastError, result.ScenarioFailed, result.Unknown,
			"%d requests through the node failed at %d streams", node.failed.Load(), streams)
	}
	l := &OverheadLevel{Streams: streams, Direct: direct.report(), Node: node.report()}
	l.AddedFirstToken = l.Node.FirstToken.sub(l.Direct.FirstToken)
	l.AddedWhole = l.Node.Whole.sub(l.Direct.Whole)
	return l, nil
}

func (t *timings) report() PathReport {
	return PathReport{
		Requests: t.total.TotalCount(), Failed: t.failed.Load(),
		FirstToken: Latency{milliseconds(t.first, 50), milliseconds(t.first, 99)},
		Whole:      Latency{milliseconds(t.total, 50), milliseconds(t.total, 99)},
	}
}

// measureCore compares the processor time per request on both paths.
func (r *OverheadReport) measureCore(ctx context.Context) error {
	p, err := newProbePair(ctx, 0, coreConcurrency)
	if err != nil {
		return err
	}
	defer p.close()
	cpuPerRequest := func(path *probe) float64 {
		t := newTimings()
		before := processorTime()
		path.closedLoop(ctx, coreConcurrency, coreTime, t)
		return float64((processorTime() - before).Microseconds()) / float64(max(1, t.total.TotalCount()))
	}
	direct := cpuPerRequest(p.direct)
	r.ProcessorUSPerRequest = cpuPerRequest(p.node) - direct
	if r.ProcessorUSPerRequest > 0 {
		r.RequestsPerSecondPerCore = 1e6 / r.ProcessorUSPerRequest
	}
	return ctx.Err()
}

// measureMemory compares the memory per open stream on both paths.
func (r *OverheadReport) measureMemory(ctx context.Context) error {
	p, err := newProbePair(ctx, memoryStreamTime, 0)
	if err != nil {
		return err
	}
	defer p.close()
	direct, err := p.direct.memoryGrowth(ctx)
	if err != nil {
		return err
	}
	node, err := p.node.memoryGrowth(ctx)
	r.MemoryPerStreamBytes = (node - direct) / memoryStreams
	return err
}

// memoryGrowth opens memoryStreams streams and returns the growth of the memory
// in use, in bytes.
func (p *probe) memoryGrowth(ctx context.Context) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := memoryInUse()
	var (
		wait    sync.WaitGroup
		mu      sync.Mutex
		openErr error
	)
	for range memoryStreams {
		wait.Add(1)
		go func() {
			defer wait.Done()
			response, err := p.open(ctx)
			if err == nil {
				_, err = io.ReadFull(response.Body, make([]byte, 1))
				context.AfterFunc(ctx, func() { response.Body.Close() })
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				openErr = err
			}
		}()
	}
	wait.Wait()
	after := memoryInUse()
	return float64(after) - float64(before), openErr
}

// Print writes the report as a table.
func (r *OverheadReport) Print(w io.Writer) error {
	fmt.Fprintf(w, "load average %.1f before, %.1f after\n", r.LoadAverageBefore, r.LoadAverageAfter)
	t := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
	fmt.Fprintln(t, "STREAMS\tPATH\tREQUESTS\tFAILED\tFIRST TOKEN P50 MS\tP99 MS\tWHOLE P50 MS\tP99 MS")
	for _, l := range r.Levels {
		for _, row := range []struct {
			name string
			p    PathReport
		}{{"direct", l.Direct}, {"node", l.Node}} {
			fmt.Fprintf(t, "%d\t%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\n", l.Streams, row.name, row.p.Requests, row.p.Failed,
				row.p.FirstToken.P50MS, row.p.FirstToken.P99MS, row.p.Whole.P50MS, row.p.Whole.P99MS)
		}
		fmt.Fprintf(t, "%d\tadded\t\t\t%.3f\t%.3f\t%.3f\t%.3f\n", l.Streams,
			l.AddedFirstToken.P50MS, l.AddedFirstToken.P99MS, l.AddedWhole.P50MS, l.AddedWhole.P99MS)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "one core of the node serves %.0f streamed requests/s (%.0f µs each); an open stream takes %.1f KiB\n",
		r.RequestsPerSecondPerCore, r.ProcessorUSPerRequest, r.MemoryPerStreamBytes/1024)
	return err
}
