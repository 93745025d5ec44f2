package bench

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"strings"
	"testing"

	"cassiapin/pkg/workload"
)

func readBoundsFile(t *testing.T) []Bound {
	t.Helper()
	const file = "../../bench/bounds.toml"
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	bounds, err := ReadBounds(file, text)
	if err != nil {
		t.Fatal(err)
	}
	return bounds
}

// TestShortCheck guards against changes that violate an invariant, miss a
// quality target, or cost more than the allowed share of always-best.
func TestShortCheck(t *testing.T) {
	if testing.Short() {
		t.Skip("runs fleets for half a minute")
	}
	r, err := Check(t.Context(), readBoundsFile(t), CheckOptions{Short: true, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Verdicts {
		if !v.Holds {
			t.Errorf("%s in %s: %s is %g %v, must be %s (%s)",
				v.Bound, v.Deployment, v.Measure, v.Value, v.Violations, v.Limit, v.Target)
		}
	}
}

// TestBoundsRejectMissingValuesAndTimedShortChecks guards against a check that
// passes because a value is missing, and against bounds that depend on the
// machine's speed in the short check, which CI runs.
func TestBoundsRejectMissingValuesAndTimedShortChecks(t *testing.T) {
	limit := 1.0
	b := Bound{Name: "x", Deployments: []string{"berceuse"}, Scenario: "steady", Measure: measureClassP99, Class: "none", Max: &limit}
	if value, known := b.valueFor(&Report{}); !known || b.holds(value) || !math.IsNaN(value) {
		t.Errorf("bound on a missing class: got value %g, want NaN and a failed bound", value)
	}
	for value, want := range map[float64]bool{0.9: true, 1: true, 1.01: false} {
		if b.holds(value) != want {
			t.Errorf("value %g with max 1: holds is not %t", value, want)
		}
	}
	b.Short = true
	if b.validate() == nil {
		t.Error("bound that depends on the machine's speed was accepted for the short check")
	}
	for _, b := range readBoundsFile(t) {
		if !strings.HasPrefix(b.Target, "1.") {
			t.Errorf("bound %s: target does not start with the section that states it (1.x)", b.Name)
		}
	}
}

// TestLeastSquares guards against a fit that does not recover the coefficients
// the data were generated from, and against a fit without an error estimate.
func TestLeastSquares(t *testing.T) {
	var x [][]float64
	var y []float64
	for i, nodes := range []int{6, 12, 24, 48, 12, 12} {
		row := slopeRow(math.Log2, nodes, 100*(i+1))
		x = append(x, row)
		y = append(y, 5+3*row[1]+0.5*row[2])
	}
	f := leastSquares([]string{"constant", "log2(nodes)", "runners/nodes"}, x, y)
	if f == nil {
		t.Fatal("no fit")
	}
	const tolerance = 1e-6
	for i, want := range []float64{5, 3, 0.5} {
		if math.Abs(f.Coefficients[i]-want) > tolerance || f.Errors[i] > tolerance {
			t.Errorf("coefficient %d is %g ± %g, want %g", i, f.Coefficients[i], f.Errors[i], want)
		}
	}
	if leastSquares([]string{"constant"}, [][]float64{{1}}, []float64{1}) != nil {
		t.Error("fit with as many points as terms was accepted; its error cannot be estimated")
	}
}

// TestHTML guards against a page that is unreadable without the chart script,
// and against report text that is not escaped.
func TestHTML(t *testing.T) {
	report := &Report{
		Scenario: "steady<b>", Deployment: workload.Berceuse().Name, Policy: defaultPolicy, Seed: 7,
		Classes: map[string]*ClassReport{"<b>look": {Quality: 0.875, QualityTarget: 0.82}}, Violations: map[string]int{violAtMostOnce: 0},
	}
	line, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	reports, err := ParseReports(append([]byte("a line of progress\n"), line...))
	if err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	if err := WriteHTML(&page, reports, "./"); err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]bool{"0.875": true, "./echarts.min.js": true, "<b>": false, "https://": false} {
		if strings.Contains(page.String(), text) != want {
			t.Errorf("page contains %q: want %t", text, want)
		}
	}
}
