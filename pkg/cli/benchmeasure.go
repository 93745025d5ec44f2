package cli

import (
	"encoding/json"
	"io"
	"os"
	"runtime/pprof"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cassiapin/pkg/bench"
	"cassiapin/pkg/result"
)

// withCPUProfile runs f and writes its CPU profile to the file. It takes no
// profile if file is empty.
func withCPUProfile(file string, f func() error) error {
	if file == "" {
		return f()
	}
	out, err := os.Create(file)
	if err != nil {
		return result.Wrap(err, result.UsageError, result.NotRun, "the profile cannot be written")
	}
	if err := pprof.StartCPUProfile(out); err != nil {
		return errors.CombineErrors(err, out.Close())
	}
	err = f()
	pprof.StopCPUProfile()
	return errors.CombineErrors(err, out.Close())
}

// writeOutput writes v as one JSON object or calls printText.
func writeOutput(w io.Writer, asJSON bool, v any, printText func(io.Writer) error) error {
	if asJSON {
		return json.NewEncoder(w).Encode(v)
	}
	return printText(w)
}

func newBenchOverhead() *cobra.Command {
	var asJSON bool
	var profile string
	cmd := &cobra.Command{
		Use:   "overhead",
		Short: "Measure the latency and memory that a node adds to direct engine calls",
		Long: `Overhead sends streams alternately through one node and directly to the stand-in
engine in the same process, at 1, 64 and 1,000 concurrent streams. Levels with
more streams use longer ones, so that the rate stays below the machine's limit.
Targets on an idle machine: p50 at most 0.3 ms and p99 at most 2 ms added.`,
		Args: withUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withCPUProfile(profile, func() error {
				r, err := bench.Overhead(cmd.Context())
				if err != nil {
					return err
				}
				return writeOutput(cmd.OutOrStdout(), asJSON, r, r.Print)
			})
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	cmd.Flags().StringVar(&profile, "cpuprofile", "", "write a CPU profile to this file")
	return cmd
}

func newBenchThroughput() *cobra.Command {
	var asJSON bool
	var profile string
	var nodes int
	cmd := &cobra.Command{
		Use:   "throughput",
		Short: "Find the highest rate without a failure",
		Long: `Throughput raises an open-loop rate over all nodes until requests fail or answers
lag behind the rate. Callers, nodes and stand-ins share this machine.`,
		Args: withUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withCPUProfile(profile, func() error {
				r, err := bench.Throughput(cmd.Context(), nodes)
				if err != nil {
					return err
				}
				return writeOutput(cmd.OutOrStdout(), asJSON, r, func(w io.Writer) error { r.Print(w); return nil })
			})
		},
	}
	cmd.Flags().IntVar(&nodes, "nodes", bench.ThroughputNodes, "number of nodes")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	cmd.Flags().StringVar(&profile, "cpuprofile", "", "write a CPU profile to this file")
	return cmd
}

func newBenchSlopes() *cobra.Command {
	var asJSON bool
	var o bench.SlopesOptions
	cmd := &cobra.Command{
		Use:   "slopes",
		Short: "Measure and extrapolate the cost of idle nodes",
		Long: `Slopes starts fleets of several sizes in this process and measures control
traffic, processor time, memory and platform calls per node without requests, and
the time until a new configuration is in force on all nodes. It fits the figures to
the number of nodes and to the runners that a node owns, and extrapolates them to
410 nodes and 600 runners.

Nodes in one process share their metrics, so sums are divided by the number of
nodes. The stand-ins' processor time is subtracted as far as it can be separated:
their idle processor time, measured before the nodes start, and for every poll and
platform call half of the cost of a call with both ends in this process.`,
		Args: withUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := bench.Slopes(cmd.Context(), o, func(p bench.SlopePoint) { p.PrintPoint(cmd.ErrOrStderr()) })
			if err != nil {
				return err
			}
			return writeOutput(cmd.OutOrStdout(), asJSON, r, r.Print)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	cmd.Flags().IntSliceVar(&o.Nodes, "nodes", []int{6, 12, 24, 48}, "numbers of nodes, with 100 runners")
	cmd.Flags().IntSliceVar(&o.Runners, "runners", []int{20, 100, 300, 600}, "numbers of runners, with 12 nodes")
	return cmd
}

// defaultBoundsFile is the file with the stated bounds, relative to the
// repository root.
const defaultBoundsFile = "bench/bounds.toml"

func newBenchCheck() *cobra.Command {
	var o bench.CheckOptions
	var asJSON bool
	var file string
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Compare scenarios with the stated bounds",
		Long: `Check runs the scenarios that bench/bounds.toml names, compares the policy with
the stated bounds and with the baselines on the same seed, and exits with 1 if a
bound is exceeded. With --short it runs a subset of less than a minute whose
bounds do not depend on the machine's speed; the seed selects the deployment.
With --idle it adds the bounds on absolute times, which need an idle machine.`,
		Args: withUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := os.ReadFile(file)
			if err != nil {
				return result.Wrap(err, result.UsageError, result.NotRun, "the bounds cannot be read")
			}
			bounds, err := bench.ReadBounds(file, text)
			if err != nil {
				return err
			}
			r, err := bench.Check(cmd.Context(), bounds, o)
			if err != nil {
				return err
			}
			if err := writeOutput(cmd.OutOrStdout(), asJSON, r, r.Print); err != nil {
				return err
			}
			if r.Exceeded > 0 {
				return result.New(result.BoundExceeded, "%d bounds are exceeded", r.Exceeded)
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&o.Short, "short", false, "run the subset that does not depend on the machine's speed")
	cmd.Flags().BoolVar(&o.Idle, "idle", false, "also check the bounds that need an idle machine")
	cmd.Flags().Int64Var(&o.Seed, "seed", 1, "seed of the requests and of the stand-ins")
	cmd.Flags().StringVar(&o.Only, "only", "", "check only the bound with this name")
	cmd.Flags().StringVar(&file, "bounds", defaultBoundsFile, "file with the bounds")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON, including the reports of the runs")
	return cmd
}

func newBenchReport() *cobra.Command {
	var out, assets string
	cmd := &cobra.Command{
		Use:   "report FILE...",
		Short: "Render reports as an HTML page",
		Long: `Report reads the output of "bench run --json" and "bench check --json" and writes a
page with charts of cost, quality, latency and violations and a table of the same
figures. The chart library does not ship its script: the page loads
echarts.min.js from --assets, a base URL or a folder, by default from the
library's own host. The table needs neither a script nor a network.`,
		Example: "  cassiapin bench report policy.json always-best.json --html page.html --assets ./",
		Args:    withUsageError(cobra.MinimumNArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error {
			var reports []*bench.Report
			for _, file := range args {
				data, err := os.ReadFile(file)
				if err != nil {
					return result.Wrap(err, result.UsageError, result.NotRun, "the report cannot be read")
				}
				parsed, err := bench.ParseReports(data)
				if err != nil {
					return result.Wrap(err, result.UsageError, result.NotRun, "%s cannot be used", file)
				}
				reports = append(reports, parsed...)
			}
			page, err := os.Create(out)
			if err != nil {
				return result.Wrap(err, result.UsageError, result.NotRun, "the page cannot be written")
			}
			return errors.CombineErrors(bench.WriteHTML(page, reports, assets), page.Close())
		},
	}
	cmd.Flags().StringVar(&out, "html", "", "output file")
	cmd.Flags().StringVar(&assets, "assets", "", "base URL or folder of echarts.min.js, with a trailing slash")
	_ = cmd.MarkFlagRequired("html") // The flag exists.
	return cmd
}
