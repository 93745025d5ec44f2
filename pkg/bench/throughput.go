package bench

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"cassiapin/pkg/result"
	"cassiapin/pkg/workload"
)

// Parameters of the throughput measurement.
const (
	// ThroughputTarget is the target rate in requests per second.
	ThroughputTarget = 5200
	// ThroughputNodes is the number of nodes that the target applies to.
	ThroughputNodes   = 10
	throughputEngines = 12
	throughputStep    = 5 * time.Second
	// throughputProbesPerNode is the number of probes per node. One of them
	// streams, so one request in five is streamed.
	throughputProbesPerNode = 5
	// throughputMaxOpen limits the open requests, so that a backlog does not
	// exhaust the file descriptors: an open request uses four. Requests above it
	// fail.
	throughputMaxOpen = 2500
	throughputGrace   = 5 * time.Second
	// throughputTick is the interval at which due requests are sent.
	throughputTick = time.Millisecond
)

// throughputRates are the rates in requests per second, tried in order until one
// fails.
var throughputRates = []float64{1000, 2000, 3000, 4000, 5200, 6500, 8000, 10000, 12500, 15000}

// RateStep is the result at one rate.
type RateStep struct {
	Rate   float64 `json:"rate"`
	Sent   int     `json:"sent"`
	Failed int     `json:"failed"`
	// Achieved is the number of answers per second, from the first request to the
	// last answer.
	Achieved float64 `json:"achieved"`
	Whole    Latency `json:"whole"`
	Error    string  `json:"error,omitempty"`
}

// ThroughputReport is the result of "cassiapin bench throughput".
type ThroughputReport struct {
	Nodes             int        `json:"nodes"`
	LoadAverageBefore float64    `json:"load_average_before"`
	LoadAverageAfter  float64    `json:"load_average_after"`
	Steps             []RateStep `json:"steps"`
	// Highest is the highest sustained rate, or 0 if there is none.
	Highest float64 `json:"highest"`
}

// minAchievedShare is the fraction of the offered rate that a step must achieve.
const minAchievedShare = 0.9

func (s *RateStep) sustained() bool { return s.Failed == 0 && s.Achieved >= minAchievedShare*s.Rate }

// Throughput raises the rate offered to the nodes until requests fail or the
// achieved rate falls behind.
func Throughput(ctx context.Context, nodes int) (*ThroughputReport, error) {
	r := &ThroughputReport{Nodes: nodes, LoadAverageBefore: loadAverage()}
	engines := make(map[string]string)
	for i := range throughputEngines {
		name := fmt.Sprintf("probe-engine-%d", i+1)
		url, stop, err := startProbeEngine(name, 0)
		if err != nil {
			return nil, err
		}
		defer stop()
		engines[name] = url
	}
	fleet, err := startProbeFleet(ctx, nodes, engines)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	probes := fleetProbes(fleet)
	for _, p := range probes {
		defer p.close()
		if err := p.warmUp(ctx, 4); err != nil {
			return nil, err
		}
	}
	for _, rate := range throughputRates {
		step := offerRate(ctx, probes, rate)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		r.Steps = append(r.Steps, step)
		if !step.sustained() {
			break
		}
		r.Highest = rate
	}
	r.LoadAverageAfter = loadAverage()
	return r, nil
}

// fleetProbes returns throughputProbesPerNode probes per node, one of them
// streaming.
func fleetProbes(f *Fleet) []*probe {
	var probes []*probe
	organisations := workload.Berceuse().Organisations
	for i, n := range f.Nodes() {
		for j := range throughputProbesPerNode {
			key := organisations[(i+j)%len(organisations)].Key
			probes = append(probes, newProbe(n.EntryURL(), key, j == 0))
		}
	}
	return probes
}

// offerRate sends an open-loop load: requests are sent when they are due, whether
// or not earlier ones have completed.
func offerRate(ctx context.Context, probes []*probe, rate float64) RateStep {
	ctx, cancel := context.WithTimeout(ctx, throughputStep+throughputGrace)
	defer cancel()
	var wait sync.WaitGroup
	t := newTimings()
	slots := make(chan struct{}, throughputMaxOpen)
	start := time.Now()
	sent := 0
	for time.Since(start) < throughputStep && ctx.Err() == nil {
		for due := int(rate * time.Since(start).Seconds()); sent < due; sent++ {
			select {
			case slots <- struct{}{}:
			default:
				t.add(0, 0, result.New(result.TooManyRequests, "more than %d requests are open", throughputMaxOpen))
				continue
			}
			wait.Add(1)
			go func(p *probe) {
				defer wait.Done()
				t.add(p.send(ctx))
				<-slots
			}(probes[sent%len(probes)])
		}
		time.Sleep(throughputTick)
	}
	wait.Wait()
	s := RateStep{Rate: rate, Sent: sent, Failed: int(t.failed.Load()), Whole: t.report().Whole}
	s.Achieved = float64(t.total.TotalCount()) / time.Since(start).Seconds()
	if t.lastError != nil {
		s.Error = t.lastError.Error()
	}
	return s
}

// Print writes the report as a table.
func (r *ThroughputReport) Print(w io.Writer) {
	fmt.Fprintf(w, "%d nodes, load average %.1f before, %.1f after\n", r.Nodes, r.LoadAverageBefore, r.LoadAverageAfter)
	for _, s := range r.Steps {
		fmt.Fprintf(w, "%6.0f/s offered, %6.0f/s answered, %d of %d failed, p50 %.2f ms, p99 %.2f ms %s\n",
			s.Rate, s.Achieved, s.Failed, s.Sent, s.Whole.P50MS, s.Whole.P99MS, s.Error)
	}
	fmt.Fprintf(w, "highest rate without a failure: %.0f/s; target %d/s\n", r.Highest, ThroughputTarget)
}
