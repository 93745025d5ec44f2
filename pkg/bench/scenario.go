package bench

import (
	"context"
	"sort"
	"time"

	"cassiapin/pkg/result"
	"cassiapin/pkg/workload"
)

// Params are the command-line parameters of one run.
type Params struct {
	Deployment string
	Policy     string
	Seed       int64
	Duration   time.Duration
	Nodes      int
}

// The defaults of Params.
const (
	DefaultDuration = 20 * time.Second
	DefaultNodes    = 6
	// timeScale makes the stand-in engines ten times as fast as real ones, so
	// that a short run has enough requests for percentiles.
	timeScale = 0.1
)

// Scenario defines a load and the faults injected during it.
type Scenario struct {
	Name    string
	Summary string
	// Fleet changes the fleet's options before the start.
	Fleet func(o *FleetOptions, p Params)
	// Load changes the load generator's options.
	Load func(o *workload.Options, p Params)
	// Faults injects faults concurrently with the load, until ctx is done.
	Faults func(ctx context.Context, run *Run, p Params) error
	// After evaluates the outcomes before the report is built.
	After func(run *Run)
}

// policies maps the policy names to the planner and balancer of the nodes.
var policies = map[string][2]string{
	"policy":            {"policy", "policy"},
	"always-best":       {"always-best", "policy"},
	"cheapest":          {"cheapest", "policy"},
	"fixed-split":       {"fixed-split", "policy"},
	"round-robin":       {"policy", "round-robin"},
	"least-outstanding": {"policy", "least-outstanding"},
}

// Policies returns the sorted names of the policies.
func Policies() []string {
	names := make([]string, 0, len(policies))
	for name := range policies {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Find returns the scenario with the given name.
func Find(name string) (*Scenario, error) {
	for i := range Scenarios {
		if Scenarios[i].Name == name {
			return &Scenarios[i], nil
		}
	}
	return nil, result.New(result.UsageError, "there is no scenario %q; see cassiapin bench list", name)
}

// settleTime is the time in which the nodes exchange their first load reports.
const settleTime = time.Second

// Execute runs the scenario and returns its report.
func (s *Scenario) Execute(ctx context.Context, p Params) (*Report, error) {
	policy, ok := policies[p.Policy]
	if !ok {
		return nil, result.New(result.UsageError, "there is no policy %q; there are %v", p.Policy, Policies())
	}
	if p.Nodes == 0 {
		p.Nodes = DefaultNodes
	}
	o := FleetOptions{
		Deployment: p.Deployment, Nodes: p.Nodes, Seed: p.Seed, TimeScale: timeScale,
		Planner: policy[0], Balancer: policy[1],
	}
	if s.Fleet != nil {
		s.Fleet(&o, p)
	}
	fleet, err := StartFleet(ctx, o)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	time.Sleep(settleTime)
	run, err := s.runLoad(ctx, fleet, p)
	if err != nil {
		return nil, err
	}
	report := &Report{Scenario: s.Name, Deployment: p.Deployment, Policy: p.Policy, Seed: p.Seed}
	return report, BuildReport(ctx, run, report)
}

// runLoad runs the load and the faults concurrently.
func (s *Scenario) runLoad(ctx context.Context, fleet *Fleet, p Params) (*Run, error) {
	run := &Run{Fleet: fleet, Withdrawn: make(map[string]time.Time), Extra: make(map[string]float64)}
	w := workload.Options{Seed: p.Seed, Rate: defaultRate, Duration: p.Duration}
	if s.Load != nil {
		s.Load(&w, p)
	}
	faultErr := make(chan error, 1)
	go func() {
		if s.Faults == nil {
			faultErr <- nil
			return
		}
		faultErr <- s.Faults(ctx, run, p)
	}()
	run.Started, run.Duration = time.Now(), p.Duration
	outcomes := sendLoad(ctx, fleet, w)
	if err := <-faultErr; err != nil {
		return nil, result.Wrap(err, result.ScenarioFailed, result.Unknown, "the faults of scenario %q could not be caused", s.Name)
	}
	run.Outcomes = outcomes
	if s.After != nil {
		s.After(run)
	}
	return run, nil
}

// waitUntil waits until the given fraction of the run's duration has passed since
// start.
func (p Params) waitUntil(ctx context.Context, start time.Time, fraction float64) {
	at := start.Add(time.Duration(fraction * float64(p.Duration)))
	select {
	case <-time.After(time.Until(at)):
	case <-ctx.Done():
	}
}
