package bench

import (
	"context"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"cassiapin/pkg/admin"
	"cassiapin/pkg/config"
	"cassiapin/pkg/result"
	"cassiapin/pkg/workload"
)

// DemoReport is the JSON object on the last line of "cassiapin demo --json".
type DemoReport struct {
	Requests            int     `json:"requests"`
	Answered            int     `json:"answered"`
	Refused             int     `json:"refused"`
	Failed              int     `json:"failed"`
	Billed              int     `json:"billed"`
	DoubleBilled        int     `json:"double_billed"`
	Unbilled            int     `json:"unbilled"`
	Disallowed          int     `json:"disallowed"`
	WithdrawnAfterGrace int     `json:"withdrawn_after_grace"`
	DuplicateBookings   int     `json:"duplicate_bookings"`
	Cost                float64 `json:"cost"`
	CostAlwaysBest      float64 `json:"cost_always_best"`
	Quality             float64 `json:"quality"`
	QualityTarget       float64 `json:"quality_target"`
	P50MS               float64 `json:"p50_ms"`
	P99MS               float64 `json:"p99_ms"`
	// Violations counts all invariant violations, including those above.
	Violations int `json:"broken"`
}

// The demo ends well within 30 s, including the start and the last bill batches.
const (
	demoDuration = 12 * time.Second
	demoNodes    = 6
)

// Demo runs the Friday afternoon workload of the Berceuse deployment in this
// process and prints progress and tables.
func Demo(ctx context.Context, seed int64, w io.Writer) (*DemoReport, error) {
	progress := func(format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) }
	progress("starting %d nodes and the stand-ins of Berceuse: two regions, three failure domains", demoNodes)
	scenario := Scenario{
		Name: "demo",
		Load: func(o *workload.Options, p Params) {
			o.BurstAt, o.BurstFor, o.BurstFactor = p.Duration/3, p.Duration/3, demoBurstFactor/2
		},
		Faults: func(ctx context.Context, run *Run, p Params) error {
			start := time.Now()
			p.waitUntil(ctx, start, 1.0/3)
			progress("the Friday burst begins")
			p.waitUntil(ctx, start, 0.5)
			run.Withdrawn[workload.Medium.String()] = time.Now().Add(propagationLimit)
			progress("withdrawing %s", workload.Medium)
			return run.Fleet.Mark(ctx, admin.MarkRequest{
				Version: workload.Medium.String(), State: config.MarkWithdrawn, Reason: "demo",
			})
		},
	}
	report, err := scenario.Execute(ctx, Params{
		Deployment: "berceuse", Policy: "policy", Seed: seed, Duration: demoDuration, Nodes: demoNodes,
	})
	if err != nil {
		return nil, err
	}
	printReport(w, report)
	return demoReport(report), nil
}

func demoReport(r *Report) *DemoReport {
	return &DemoReport{
		Requests: r.Requests, Answered: r.Answered, Refused: r.Refused, Failed: r.Failed,
		Billed: r.Billed, DoubleBilled: r.DoubleBilled, Unbilled: r.Unbilled,
		Disallowed: r.Violations[violAllowed], WithdrawnAfterGrace: r.Violations[violWithdrawn],
		DuplicateBookings: r.Violations[violAtMostOnce],
		Cost:              r.Cost, CostAlwaysBest: r.CostAlwaysBest,
		Quality: r.Quality, QualityTarget: r.QualityTarget, P50MS: r.P50MS, P99MS: r.P99MS,
		Violations: r.TotalViolations(),
	}
}

// printReport prints a report as tables.
func printReport(w io.Writer, r *Report) {
	t := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
	fmt.Fprintln(t, "CLASS\tREQUESTS\tANSWERED\tQUALITY\tTARGET\tCOST\tP50 MS\tP99 MS\tFIRST TOKEN P99 MS")
	for _, name := range sortedKeys(r.Classes) {
		c := r.Classes[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%.3f\t%.3f\t%.2f\t%.1f\t%.1f\t%.1f\n",
			name, c.Requests, c.Answered, c.Quality, c.QualityTarget, c.Cost, c.P50MS, c.P99MS, c.TTFTP99MS)
	}
	t.Flush()
	ratio := 0.0
	if r.CostAlwaysBest > 0 {
		ratio = r.Cost / r.CostAlwaysBest
	}
	fmt.Fprintf(w, "answered %d of %d, refused %d, failed %d\n", r.Answered, r.Requests, r.Refused, r.Failed)
	fmt.Fprintf(w, "cost %.2f, always-best %.2f, ratio %.2f\n", r.Cost, r.CostAlwaysBest, ratio)
	fmt.Fprintf(w, "bills %d, unbilled %d, double billed %d, exposure %d\n", r.Billed, r.Unbilled, r.DoubleBilled, r.Exposure)
	for _, code := range sortedKeys(r.RefusedByCode) {
		name := "connection failed"
		if code != 0 {
			name = result.Code(code).String()
		}
		fmt.Fprintf(w, "  %3d %-22s %d\n", code, name, r.RefusedByCode[code])
	}
	for _, name := range sortedKeys(r.Extra) {
		fmt.Fprintf(w, "  %s: %g\n", name, r.Extra[name])
	}
	for _, name := range sortedKeys(r.Violations) {
		if n := r.Violations[name]; n > 0 {
			fmt.Fprintf(w, "BROKEN %s: %d\n", name, n)
		}
	}
}

func sortedKeys[K int | string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

// Print writes the report as tables.
func (r *Report) Print(w io.Writer) { printReport(w, r) }
