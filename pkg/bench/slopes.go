package bench

import (
	"bytes"
	"context"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cassiapin/pkg/config"
	"cassiapin/pkg/result"
)

// The fleet size that the design targets; see docs/design.md 1.3.
const (
	DesignNodes   = 410
	DesignRunners = 600
	designShards  = 256
)

// Parameters of the slopes measurement.
const (
	slopesRunners = 100
	slopesNodes   = 12
	slopesSettle  = 8 * time.Second
	// slopesInterval equals the lease renewal interval, so that each renewal is
	// counted once.
	slopesInterval = 10 * time.Second
	slopesChanges  = 3
	// slopesPropagationLimit limits the wait for a configuration to the 12 s
	// allowed at the design size.
	slopesPropagationLimit = 12 * time.Second
	// maxMemoryBytes aborts the measurement before it uses half of the machine's
	// memory.
	maxMemoryBytes = 12 << 30
)

// SlopesOptions are the fleet sizes to measure: numbers of nodes with 100
// runners, and numbers of runners with 12 nodes.
type SlopesOptions struct {
	Nodes   []int
	Runners []int
}

// SlopePoint has the figures of one idle fleet. All rates are per node and
// second.
type SlopePoint struct {
	Nodes   int `json:"nodes"`
	Runners int `json:"runners"`
	// WireBytes are UDP payload bytes, including QUIC overhead; Messages and
	// MessageBytes count the messages sent by the services.
	WireBytes    float64 `json:"wire_bytes"`
	Messages     float64 `json:"messages"`
	MessageBytes float64 `json:"message_bytes"`
	// ByKind has the message bytes by kind.
	ByKind map[string]float64 `json:"by_kind"`
	// ProcessorShare is the fraction of a core that a node uses, without the
	// stand-ins' share; RawShare includes it.
	ProcessorShare float64 `json:"processor_share"`
	RawShare       float64 `json:"raw_share"`
	MemoryMB       float64 `json:"memory_mb"`
	// PlatformReads and PlatformWrites are rates of calls; a watch is counted as
	// a read when it ends. Watches is the number of watches waiting at the end
	// of the measurement, over all nodes.
	PlatformReads  float64 `json:"platform_reads"`
	PlatformWrites float64 `json:"platform_writes"`
	Watches        float64 `json:"watches"`
	// PlatformCalls are the call rates by operation and outcome, from the nodes'
	// metrics.
	PlatformCalls map[string]float64 `json:"platform_calls"`
	Polls         float64            `json:"polls"`
	// InForceMS is the longest time until a change was in force on all nodes, or
	// -1 if it exceeded 12 s.
	InForceMS float64 `json:"in_force_ms"`
	// LoadAverage is the machine's load average after the measurement.
	LoadAverage float64 `json:"load_average"`
}

// SlopesReport is the result of "cassiapin bench slopes".
type SlopesReport struct {
	Points []SlopePoint `json:"points"`
	Fits   []SlopeFit   `json:"fits"`
}

// SlopeFit is the fit of one figure and its extrapolation.
type SlopeFit struct {
	Figure string `json:"figure"`
	Fit    *Fit   `json:"fit"`
	// Design is the extrapolation to 410 nodes and 600 runners, DesignError its
	// standard error.
	Design      float64 `json:"design"`
	DesignError float64 `json:"design_error"`
	// Budget is the stated limit, 0 for none.
	Budget float64 `json:"budget,omitempty"`
}

// Slopes measures fleets of several sizes.
func Slopes(ctx context.Context, o SlopesOptions, progress func(SlopePoint)) (*SlopesReport, error) {
	r := &SlopesReport{}
	type size struct{ nodes, runners int }
	seen := make(map[size]bool)
	var sizes []size
	add := func(s size) {
		if !seen[s] {
			seen[s] = true
			sizes = append(sizes, s)
		}
	}
	for _, n := range o.Nodes {
		add(size{n, slopesRunners})
	}
	for _, n := range o.Runners {
		add(size{slopesNodes, n})
	}
	for _, s := range sizes {
		p, err := measureSlopePoint(ctx, s.nodes, s.runners)
		if err != nil {
			return nil, err
		}
		r.Points = append(r.Points, *p)
		if progress != nil {
			progress(*p)
		}
	}
	r.fit()
	return r, nil
}

// measureSlopePoint measures one fleet.
func measureSlopePoint(ctx context.Context, nodes, runners int) (*SlopePoint, error) {
	var stubs *loadStubs
	var startErr error
	fleet, err := StartFleet(ctx, FleetOptions{
		Deployment: "berceuse", Nodes: 0, Seed: 1,
		Change: func(d *config.Declarations) {
			// Use the same number of shards per node as at the design size.
			d.Limits.ShardsPerRegion = max(1, int(math.Ceil(float64(designShards*nodes)/DesignNodes)))
			if stubs, startErr = startLoadStubs(runners, d.FailureDomains); startErr == nil {
				d.Upstreams = stubs.upstreams
			}
		},
	})
	if stubs != nil {
		defer stubs.close()
	}
	if startErr != nil {
		err = startErr
	}
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	m := &slopeMeter{fleet: fleet, stubs: stubs, nodes: nodes}
	if err := m.calibrate(ctx); err != nil {
		return nil, err
	}
	for range nodes {
		if _, err := fleet.AddNode(); err != nil {
			return nil, err
		}
	}
	if err := fleet.WaitReady(ctx); err != nil {
		return nil, err
	}
	if err := sleep(ctx, slopesSettle); err != nil {
		return nil, err
	}
	p := &SlopePoint{Nodes: nodes, Runners: runners}
	if err := m.measure(ctx, p); err != nil {
		return nil, err
	}
	p.InForceMS, err = m.propagationMS(ctx)
	p.LoadAverage = loadAverage()
	return p, err
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// slopeMeter measures one fleet.
type slopeMeter struct {
	fleet *Fleet
	stubs *loadStubs
	nodes int
	// pollSeconds and callSeconds are the stand-ins' processor time for one poll
	// and one platform call; idleShare is the fraction of a core used by the
	// process before the nodes start.
	pollSeconds, callSeconds, idleShare float64
	baseMemory                          uint64
}

// calibrate measures the stand-ins before the nodes start.
func (m *slopeMeter) calibrate(ctx context.Context) error {
	var err error
	if m.pollSeconds, err = processorSecondsPerGet(ctx, m.stubs.upstreams[0].URL+"/load"); err != nil {
		return err
	}
	// Most calls read or write leases; the cost is approximated by reading one
	// that does not exist.
	if m.callSeconds, err = processorSecondsPerGet(ctx, m.fleet.objectsURL+"/objects/lease/none"); err != nil {
		return err
	}
	before := processorTime()
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	m.idleShare = (processorTime() - before).Seconds() / settleTime.Seconds()
	m.baseMemory = memoryInUse()
	return nil
}

// counterSample has the counters at one point in time.
type counterSample struct {
	at            time.Time
	cpu           time.Duration
	counters      map[string]float64
	reads, writes int64
	watches       int64
	polls         int64
}

func (m *slopeMeter) sample() counterSample {
	c := m.fleet.Objects.Counters()
	return counterSample{
		counters: readCounters(), polls: m.stubs.polls.Load(),
		reads: c.Gets + c.Lists + c.Watches, writes: c.Creates + c.Updates + c.Deletes, watches: c.WaitingWatches,
		cpu: processorTime(), at: time.Now(),
	}
}

// readCounters returns the values of the process's metrics, which all nodes
// share.
func readCounters() map[string]float64 {
	var text bytes.Buffer
	metrics.WritePrometheus(&text, false)
	values := make(map[string]float64)
	for line := range strings.Lines(text.String()) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			values[name] = v
		}
	}
	return values
}

// labelReplacer reduces the labels of a metric to their values.
var labelReplacer = strings.NewReplacer("{", "", "}", "", `"`, "", "op=", "", "outcome=", "")

// measure fills p with the figures of an idle interval.
func (m *slopeMeter) measure(ctx context.Context, p *SlopePoint) error {
	before := m.sample()
	if err := sleep(ctx, slopesInterval); err != nil {
		return err
	}
	after := m.sample()
	seconds := after.at.Sub(before.at).Seconds()
	rate := func(delta float64) float64 { return delta / seconds / float64(m.nodes) }
	p.ByKind, p.PlatformCalls = make(map[string]float64), make(map[string]float64)
	for name, value := range after.counters {
		delta := rate(value - before.counters[name])
		switch {
		case name == "cassiapin_peer_wire_sent_bytes_total":
			p.WireBytes = delta
		case strings.HasPrefix(name, "cassiapin_platform_calls_total") && delta > 0:
			p.PlatformCalls[labelReplacer.Replace(strings.TrimPrefix(name, "cassiapin_platform_calls_total"))] = delta
		case strings.HasPrefix(name, "cassiapin_peer_sent_messages_total"):
			p.Messages += delta
		case strings.HasPrefix(name, "cassiapin_peer_sent_bytes_total"):
			p.MessageBytes += delta
			if _, kind, ok := strings.Cut(name, `kind="`); ok && delta > 0 {
				p.ByKind[strings.TrimSuffix(kind, `"}`)] = delta
			}
		}
	}
	calls := float64(after.reads - before.reads + after.writes - before.writes)
	p.PlatformReads, p.PlatformWrites = rate(float64(after.reads-before.reads)), rate(float64(after.writes-before.writes))
	p.Watches, p.Polls = float64(after.watches), rate(float64(after.polls-before.polls))
	used := (after.cpu - before.cpu).Seconds()
	p.RawShare = rate(used)
	standInSeconds := m.idleShare*seconds + m.pollSeconds*float64(after.polls-before.polls) + m.callSeconds*calls
	p.ProcessorShare = max(0, rate(used-standInSeconds))
	memory := memoryInUse()
	p.MemoryMB = (float64(memory) - float64(m.baseMemory)) / float64(m.nodes) / (1 << 20)
	if memory > maxMemoryBytes {
		return result.New(result.ScenarioFailed, "the fleet uses %d MB, more than this measurement may", memory>>20)
	}
	return nil
}

// propagationMS publishes changes and returns the longest time in milliseconds
// until one was in force on all nodes, or -1 if it exceeded the limit.
func (m *slopeMeter) propagationMS(ctx context.Context) (float64, error) {
	slowestMS := 0.0
	for i := range slopesChanges {
		number, err := m.fleet.Publish(ctx, func(d *config.Declarations) {
			d.Organisations[0].Weight = 1 + float64(i+1)/10
		})
		if err != nil {
			return 0, err
		}
		start := time.Now()
		for !m.allNodesHave(number) {
			if time.Since(start) > slopesPropagationLimit {
				return -1, nil
			}
			if err := sleep(ctx, 2*time.Millisecond); err != nil {
				return 0, err
			}
		}
		slowestMS = max(slowestMS, float64(time.Since(start).Microseconds())/1000)
	}
	return slowestMS, nil
}

func (m *slopeMeter) allNodesHave(number uint64) bool {
	for _, n := range m.fleet.Nodes() {
		if n.ConfigNumber() < number {
			return false
		}
	}
	return true
}
