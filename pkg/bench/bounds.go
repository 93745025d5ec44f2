package bench

import (
	"math"
	"strings"

	"cassiapin/pkg/result"
	"cassiapin/pkg/tomlfile"
)

// Bound is a limit on one measure; bench/bounds.toml documents the fields.
type Bound struct {
	Name            string   `toml:"name" json:"name"`
	Target          string   `toml:"target" json:"target"`
	Scenario        string   `toml:"scenario" json:"scenario"`
	Deployments     []string `toml:"deployments" json:"deployments,omitempty"`
	Measure         string   `toml:"measure" json:"measure"`
	Class           string   `toml:"class" json:"class,omitempty"`
	Against         string   `toml:"against" json:"against,omitempty"`
	AgainstScenario string   `toml:"against_scenario" json:"against_scenario,omitempty"`
	Compare         []string `toml:"compare" json:"compare,omitempty"`
	Seeds           int      `toml:"seeds" json:"seeds,omitempty"`
	Max             *float64 `toml:"max" json:"max,omitempty"`
	Min             *float64 `toml:"min" json:"min,omitempty"`
	Short           bool     `toml:"short" json:"short,omitempty"`
	Idle            bool     `toml:"idle" json:"idle,omitempty"`
}

// The measures that a bound can name; "extra.NAME" refers to Report.Extra.
const (
	measureViolations = "violations"
	measureCost       = "cost"
	measureMargin     = "quality_margin"
	measureExposure   = "exposure"
	measureClassP99   = "class_p99_ms"
	measureExtra      = "extra."
	// Measured on an idle machine, without a scenario report.
	measureAddedP50 = "added_p50_ms"
	measureAddedP99 = "added_p99_ms"
	measureHighest  = "highest_rate"
)

// defaultPolicy is the policy that bounds apply to.
const defaultPolicy = "policy"

// ReadBounds parses and validates a bounds file.
func ReadBounds(file string, text []byte) ([]Bound, error) {
	var all struct {
		Bounds []Bound `toml:"bound"`
	}
	if _, err := tomlfile.Decode(file, text, &all); err != nil {
		return nil, err
	}
	for i := range all.Bounds {
		if err := all.Bounds[i].validate(); err != nil {
			return nil, err
		}
	}
	return all.Bounds, nil
}

func (b *Bound) validate() error {
	b.Seeds = max(1, b.Seeds)
	switch {
	case (b.Max == nil) == (b.Min == nil):
		return result.New(result.UsageError, "bound %q needs either max or min", b.Name)
	case b.Short && b.dependsOnSpeed():
		return result.New(result.UsageError, "bound %q depends on the machine's speed and cannot be short", b.Name)
	case b.Idle:
		return nil
	case len(b.Deployments) == 0:
		return result.New(result.UsageError, "bound %q names no deployment", b.Name)
	}
	for _, policy := range append([]string{b.Against}, b.Compare...) {
		if _, ok := policies[policy]; !ok && policy != "" {
			return result.New(result.UsageError, "bound %q names the unknown policy %q", b.Name, policy)
		}
	}
	for _, scenario := range []string{b.Scenario, b.AgainstScenario} {
		if _, err := Find(scenario); err != nil && scenario != "" {
			return err
		}
	}
	if _, ok := b.valueFor(&Report{}); !ok {
		return result.New(result.UsageError, "bound %q has the unknown measure %q", b.Name, b.Measure)
	}
	return nil
}

// dependsOnSpeed reports whether the measure depends on the machine's speed.
func (b *Bound) dependsOnSpeed() bool { return b.Measure == measureClassP99 || b.Idle }

// holds reports whether the value is within the bound; NaN never is.
func (b *Bound) holds(value float64) bool {
	if math.IsNaN(value) {
		return false
	}
	return (b.Max == nil || value <= *b.Max) && (b.Min == nil || value >= *b.Min)
}

// valueFor returns the bound's measure from a report, or NaN if the report has
// no value for it.
func (b *Bound) valueFor(r *Report) (value float64, known bool) {
	switch b.Measure {
	case measureViolations:
		return float64(r.TotalViolations()), true
	case measureCost:
		return r.Cost / float64(r.Answered), true
	case measureMargin:
		return r.qualityMargin(), true
	case measureExposure:
		return float64(r.Exposure) / max(exposureAnswers, exposureShare*float64(r.Requests)), true
	case measureClassP99:
		if c := r.Classes[b.Class]; c != nil && c.Answered > 0 {
			return c.P99MS, true
		}
		return math.NaN(), true
	}
	if name, ok := strings.CutPrefix(b.Measure, measureExtra); ok {
		return r.Extra[name], true
	}
	return 0, false
}

// qualityMargin returns the smallest difference between a class's mean quality
// and its target.
func (r *Report) qualityMargin() float64 {
	margin := math.NaN()
	for _, c := range r.Classes {
		if c.QualityTarget == 0 || c.Quality == 0 {
			continue
		}
		if d := c.Quality - c.QualityTarget; math.IsNaN(margin) || d < margin {
			margin = d
		}
	}
	return margin
}
