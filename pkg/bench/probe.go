package bench

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cassiapin/pkg/config"
	"cassiapin/pkg/result"
	"cassiapin/pkg/standin/engine"
	"cassiapin/pkg/workload"
)

// Parameters of the overhead and throughput measurements. All requests are
// identical, so that two runs differ only in the path.
const (
	probeTokens      = 32
	probeChunkTokens = 4
	probeCapacity    = 8192
	probeFirstToken  = 100 * time.Microsecond
	// probeDeadline is the deadline of probeClass.
	probeDeadline = 60 * time.Second
	probeClass    = "probe"
	// probeIdlePerHost keeps a connection open for each concurrent stream.
	probeIdlePerHost = 2048
	// probeShards is the number of shards per region in a probe's fleet.
	probeShards = 4
)

// startProbeEngine starts an engine that streams an answer in about the given time.
func startProbeEngine(name string, length time.Duration) (url string, stop func(), err error) {
	e := engine.New(engine.Options{
		Name: name, Capacity: probeCapacity, QueueLimit: probeCapacity, Warm: true,
		Versions:        []engine.Version{{Ref: workload.Small}},
		PrefillPerToken: time.Nanosecond, FirstTokenBase: probeFirstToken,
		TokenInterval: max(time.Nanosecond, length/probeTokens), LoadSlowdown: 1e-9,
		ChunkTokens: probeChunkTokens,
	})
	return e.Start(listenAddress)
}

// startProbeFleet starts nodes whose only runners are the given engines. The engines
// are distributed over the failure domains in order of their names, so that the
// link between the regions does not limit the measurement.
func startProbeFleet(ctx context.Context, nodes int, engines map[string]string) (*Fleet, error) {
	fleet, err := StartFleet(ctx, FleetOptions{
		Deployment: "berceuse", Nodes: nodes, Seed: 1,
		Change: func(d *config.Declarations) {
			d.Limits.ShardsPerRegion = probeShards
			d.Limits.ConcurrentRequests = probeCapacity
			d.Limits.QueuePerOrganisation = probeCapacity
			d.Classes = append(d.Classes, config.Class{Name: probeClass, Deadline: config.Duration(probeDeadline)})
			d.Upstreams = d.Upstreams[:0]
			for i, name := range sortedKeys(engines) {
				domain := d.FailureDomains[i%len(d.FailureDomains)]
				d.Upstreams = append(d.Upstreams, config.Upstream{
					Name: name, URL: engines[name], Region: domain.Region, FailureDomain: domain.Name,
					Serves: []config.VersionRef{workload.Small}, Capacity: probeCapacity, ColdLimit: probeCapacity,
				})
			}
		},
	})
	if err != nil {
		return nil, err
	}
	return fleet, nil
}

// probe sends identical requests to one base URL.
type probe struct {
	client *http.Client
	base   string
	header http.Header
	body   []byte
	stream bool
}

func newProbe(base, key string, stream bool) *probe {
	h := make(http.Header)
	h.Set("Content-Type", "application/json")
	h.Set("Authorization", "Bearer "+key)
	h.Set("Cassiapin-Class", probeClass)
	body := fmt.Sprintf(`{"model":"small","stream":%t,"max_tokens":%d,"seed":1,`+
		`"messages":[{"role":"user","content":"Which statue stands in the harbour room, and who holds it this week?"}]}`,
		stream, probeTokens)
	return &probe{
		client: &http.Client{
			Timeout:   callerTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: probeIdlePerHost, DisableCompression: true},
		},
		base: base, header: h, body: []byte(body), stream: stream,
	}
}

func (p *probe) close() { p.client.CloseIdleConnections() }

// open sends the request and returns the response; the caller closes its body.
func (p *probe) open(ctx context.Context) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, p.base+"/v1/chat/completions", bytes.NewReader(p.body))
	if err != nil {
		return nil, err
	}
	r.Header = p.header
	response, err := p.client.Do(r)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		response.Body.Close()
		return nil, result.New(result.ScenarioFailed, "status %d: %s", response.StatusCode, text)
	}
	return response, nil
}

// send makes one request and returns the times to the first token and to the end
// of the response.
func (p *probe) send(ctx context.Context) (first, total time.Duration, err error) {
	start := time.Now()
	response, err := p.open(ctx)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	if !p.stream {
		_, err = io.Copy(io.Discard, response.Body)
		total = time.Since(start)
		return total, total, err
	}
	whole := false
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		line := scanner.Text()
		if first == 0 && strings.Contains(line, `"content":"`) {
			first = time.Since(start)
		}
		whole = whole || line == "data: [DONE]"
	}
	if !whole {
		return 0, 0, result.New(result.StreamCut, "the stream ended without its marker")
	}
	return first, time.Since(start), scanner.Err()
}

// timings collects request latencies in microseconds and failures.
type timings struct {
	mu           sync.Mutex
	first, total *hdrhistogram.Histogram
	failed       atomic.Int64
	lastError    error
}

func newTimings() *timings { return &timings{first: newHistogram(), total: newHistogram()} }

func (t *timings) add(first, total time.Duration, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.failed.Add(1)
		t.lastError = err
		return
	}
	_ = t.first.RecordValue(first.Microseconds()) // callerTimeout keeps values within the range.
	_ = t.total.RecordValue(total.Microseconds())
}

// closedLoop keeps the given number of requests in flight for the given time.
func (p *probe) closedLoop(ctx context.Context, concurrency int, length time.Duration, t *timings) {
	var wait sync.WaitGroup
	end := time.Now().Add(length)
	for range concurrency {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(end) && ctx.Err() == nil {
				t.add(p.send(ctx))
			}
		}()
	}
	wait.Wait()
}

// warmTimeout limits the wait until a node considers its runners warm.
const warmTimeout = 10 * time.Second

// warmUp waits until requests succeed, then opens connections for the given
// number of streams; 0 opens none.
func (p *probe) warmUp(ctx context.Context, concurrency int) error {
	deadline := time.Now().Add(warmTimeout)
	for {
		response, err := p.open(ctx)
		if err == nil {
			response.Body.Close()
			break
		}
		if time.Now().After(deadline) {
			return result.Wrap(err, result.ScenarioFailed, result.Unknown, "the node does not serve the probe")
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.closedLoop(ctx, concurrency, settleTime, newTimings())
	return ctx.Err()
}
