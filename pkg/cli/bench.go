package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"cassiapin/pkg/bench"
	"cassiapin/pkg/result"
)

func newDemo() *cobra.Command {
	var seed int64
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a peak load with nodes and stand-ins in this process",
		Long: `Demo starts nodes and stand-ins on loopback, sends the mixed requests and bookings
of a Friday afternoon peak through the caller interface, withdraws a version
half-way and prints the outcomes of the requests. It exits with 1 if an invariant
was violated.`,
		Args: withUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := bench.Demo(cmd.Context(), seed, cmd.OutOrStdout())
			if err != nil {
				return err
			}
			if asJSON {
				if err := json.NewEncoder(cmd.OutOrStdout()).Encode(report); err != nil {
					return err
				}
			}
			return violationError(report.Violations)
		},
	}
	cmd.Flags().Int64Var(&seed, "seed", 1, "seed of the requests")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON object as the last line")
	return cmd
}

// violationError returns result.InvariantViolated if any invariant was
// violated.
func violationError(violations int) error {
	if violations > 0 {
		return result.New(result.InvariantViolated, "%d promises were broken", violations)
	}
	return nil
}

func newBench() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Measure policies under load and faults",
	}
	cmd.AddCommand(
		newBenchList(), newBenchRun(), newBenchCompare(), newBenchOverhead(), newBenchThroughput(), newBenchSlopes(), newBenchCheck(), newBenchReport(),
	)
	return cmd
}

func newBenchList() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the scenarios and policies",
		Args:  withUsageError(cobra.NoArgs),
		Run: func(cmd *cobra.Command, _ []string) {
			for _, s := range bench.Scenarios {
				fmt.Fprintf(cmd.OutOrStdout(), "%-26s %s\n", s.Name, s.Summary)
			}
			fmt.Fprintln(cmd.OutOrStdout(), "policies:", bench.Policies())
		},
	}
}

func newBenchRun() *cobra.Command {
	var p bench.Params
	var asJSON bool
	cmd := &cobra.Command{
		Use:     "run SCENARIO",
		Short:   "Run one scenario",
		Long:    "Run prints a table, or with --json one JSON object as the last line. It exits with 1 if an invariant was violated.",
		Example: "  cassiapin bench run friday --deployment vaxmynd --policy always-best --seed 7 --json",
		Args:    withUsageError(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			scenario, err := bench.Find(args[0])
			if err != nil {
				return err
			}
			report, err := scenario.Execute(cmd.Context(), p)
			if err != nil {
				return err
			}
			if asJSON {
				err = json.NewEncoder(cmd.OutOrStdout()).Encode(report)
			} else {
				report.Print(cmd.OutOrStdout())
			}
			if err != nil {
				return err
			}
			return violationError(report.TotalViolations())
		},
	}
	cmd.Flags().StringVar(&p.Deployment, "deployment", "berceuse", "berceuse or vaxmynd")
	cmd.Flags().StringVar(&p.Policy, "policy", "policy", "policy of the nodes; see bench list")
	cmd.Flags().Int64Var(&p.Seed, "seed", 1, "seed of the requests and of the stand-ins")
	cmd.Flags().DurationVar(&p.Duration, "duration", bench.DefaultDuration, "duration of the load")
	cmd.Flags().IntVar(&p.Nodes, "nodes", bench.DefaultNodes, "number of nodes")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func newBenchCompare() *cobra.Command {
	return &cobra.Command{
		Use:   "compare A.json B.json",
		Short: "Compare two reports",
		Args:  withUsageError(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := readReport(args[0])
			if err != nil {
				return err
			}
			b, err := readReport(args[1])
			if err != nil {
				return err
			}
			printComparison(cmd.OutOrStdout(), a, b)
			return nil
		},
	}
}

func readReport(file string) (*bench.Report, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, result.Wrap(err, result.UsageError, result.NotRun, "the report cannot be read")
	}
	var r bench.Report
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, result.Wrap(err, result.UsageError, result.NotRun, "%s is not a report", file)
	}
	return &r, nil
}

func printComparison(w io.Writer, a, b *bench.Report) {
	fmt.Fprintf(w, "%-18s %18s %18s %8s\n", "", a.Scenario+"/"+a.Policy, b.Scenario+"/"+b.Policy, "ratio")
	for _, row := range []struct {
		name string
		a, b float64
	}{
		{"requests", float64(a.Requests), float64(b.Requests)},
		{"answered", float64(a.Answered), float64(b.Answered)},
		{"refused", float64(a.Refused), float64(b.Refused)},
		{"failed", float64(a.Failed), float64(b.Failed)},
		{"cost", a.Cost, b.Cost},
		{"quality", a.Quality, b.Quality},
		{"exposure", float64(a.Exposure), float64(b.Exposure)},
		{"p50_ms", a.P50MS, b.P50MS},
		{"p99_ms", a.P99MS, b.P99MS},
		{"ttft_p99_ms", a.TTFTP99MS, b.TTFTP99MS},
		{"violations", float64(a.TotalViolations()), float64(b.TotalViolations())},
	} {
		ratio := "-"
		if row.a != 0 {
			ratio = fmt.Sprintf("%.3f", row.b/row.a)
		}
		fmt.Fprintf(w, "%-18s %18.3f %18.3f %8s\n", row.name, row.a, row.b, ratio)
	}
}
