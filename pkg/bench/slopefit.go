package bench

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
	"text/tabwriter"
)

// slopeFigures are the fitted figures, with the budgets per node from
// docs/design.md 1.3; 0 means none.
var slopeFigures = []struct {
	name   string
	budget float64
	value  func(p *SlopePoint) float64
	// fleetWide means that a part of the figure is constant for the whole fleet,
	// such as the calls of the relays, so its share per node falls with the
	// number of nodes.
	fleetWide bool
}{
	{"wire_bytes_per_second", 9000, func(p *SlopePoint) float64 { return p.WireBytes }, false},
	{"messages_per_second", 0, func(p *SlopePoint) float64 { return p.Messages }, false},
	{"message_bytes_per_second", 0, func(p *SlopePoint) float64 { return p.MessageBytes }, false},
	{"processor_share", 0.031, func(p *SlopePoint) float64 { return p.ProcessorShare }, false},
	{"memory_mb", 64, func(p *SlopePoint) float64 { return p.MemoryMB }, false},
	{"platform_reads_per_second", 0, func(p *SlopePoint) float64 { return p.PlatformReads }, true},
	{"platform_writes_per_second", 0, func(p *SlopePoint) float64 { return p.PlatformWrites }, true},
	{"in_force_ms", 12000, func(p *SlopePoint) float64 { return p.InForceMS }, false},
}

// growths are the candidate terms for the growth of a figure with the number of
// nodes.
var growths = []struct {
	name string
	term func(nodes float64) float64
}{
	{"log2(nodes)", math.Log2},
	{"nodes", func(nodes float64) float64 { return nodes }},
	{fleetWideGrowth, func(nodes float64) float64 { return 1 / nodes }},
}

// fleetWideGrowth is the per-node term of a cost that is constant for the fleet.
const fleetWideGrowth = "1/nodes"

// slopeRow returns the terms of the model: a constant, the growth with the nodes
// and the number of runners per node.
func slopeRow(growth func(float64) float64, nodes, runners int) []float64 {
	return []float64{1, growth(float64(nodes)), float64(runners) / float64(nodes)}
}

// fit fits every figure with the growth term that gives the smallest residual.
func (r *SlopesReport) fit() {
	for _, figure := range slopeFigures {
		best := SlopeFit{Figure: figure.name, Budget: figure.budget}
		var row []float64
		for _, g := range growths {
			if g.name == fleetWideGrowth && !figure.fleetWide {
				continue
			}
			var x [][]float64
			var y []float64
			for i := range r.Points {
				p := &r.Points[i]
				x = append(x, slopeRow(g.term, p.Nodes, p.Runners))
				y = append(y, figure.value(p))
			}
			f := leastSquares([]string{"constant", g.name, "runners/nodes"}, x, y)
			if f != nil && (best.Fit == nil || f.Residual < best.Fit.Residual) {
				best.Fit, row = f, slopeRow(g.term, DesignNodes, DesignRunners)
			}
		}
		if best.Fit != nil {
			best.Design, best.DesignError = best.Fit.predict(row)
		}
		r.Fits = append(r.Fits, best)
	}
}

// PrintPoint writes the figures of a measured fleet in one line.
func (p SlopePoint) PrintPoint(w io.Writer) {
	fmt.Fprintf(w, "%3d nodes %3d runners: wire %6.0f B/s, messages %5.1f/s %6.0f B/s, core %.2f%% (raw %.2f%%), "+
		"memory %.1f MB, platform %.2f reads/s %.2f writes/s %g watches, polls %.1f/s, in force %.0f ms, load %.1f\n",
		p.Nodes, p.Runners, p.WireBytes, p.Messages, p.MessageBytes, 100*p.ProcessorShare, 100*p.RawShare,
		p.MemoryMB, p.PlatformReads, p.PlatformWrites, p.Watches, p.Polls, p.InForceMS, p.LoadAverage)
}

// Print writes the fits as a table.
func (r *SlopesReport) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
	fmt.Fprintf(t, "FIGURE PER NODE\tFIT (± STANDARD ERROR)\tRESIDUAL\tAT %d NODES, %d RUNNERS\tBUDGET\n", DesignNodes, DesignRunners)
	for _, f := range r.Fits {
		if f.Fit == nil {
			fmt.Fprintf(t, "%s\ttoo few points\n", f.Figure)
			continue
		}
		var terms []string
		for i, name := range f.Fit.Names {
			term := fmt.Sprintf("%.3g±%.1g", f.Fit.Coefficients[i], f.Fit.Errors[i])
			if i > 0 {
				term += "·" + name
			}
			terms = append(terms, term)
		}
		budget := "-"
		if f.Budget > 0 {
			budget = fmt.Sprintf("%g", f.Budget)
		}
		fmt.Fprintf(t, "%s\t%s\t%.3g\t%.4g ± %.2g\t%s\n",
			f.Figure, strings.Join(terms, " + "), f.Fit.Residual, f.Design, f.DesignError, budget)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(r.Points) == 0 {
		return nil
	}
	last := r.Points[len(r.Points)-1]
	printRates(w, "message bytes by kind at the last point:", last.ByKind)
	printRates(w, "platform calls at the last point:", last.PlatformCalls)
	return nil
}

// printRates writes the rates in descending order.
func printRates(w io.Writer, title string, rates map[string]float64) {
	names := sortedKeys(rates)
	sort.SliceStable(names, func(i, j int) bool { return rates[names[i]] > rates[names[j]] })
	fmt.Fprint(w, title)
	for _, name := range names {
		fmt.Fprintf(w, " %s %.3g", name, rates[name])
	}
	fmt.Fprintln(w)
}
