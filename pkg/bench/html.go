package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"strings"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"

	"cassiapin/pkg/result"
)

// ParseReports parses the output of "bench run --json" or "bench check --json".
// Both print their JSON object as the last line; earlier lines are ignored.
func ParseReports(data []byte) ([]*Report, error) {
	lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	last := lines[len(lines)-1]
	var check CheckReport
	if err := json.Unmarshal(last, &check); err == nil && len(check.Reports) > 0 {
		return check.Reports, nil
	}
	var one Report
	if err := json.Unmarshal(last, &one); err != nil || one.Scenario == "" {
		return nil, result.New(result.UsageError, "the last line is neither a report nor a check")
	}
	return []*Report{&one}, nil
}

// WriteHTML writes a page with charts and a table of the reports. The chart
// library does not include its script, so the page loads echarts.min.js from
// assets, which is a base URL or a directory; empty means the library's default
// host. The table needs no script.
func WriteHTML(w io.Writer, reports []*Report, assets string) error {
	page := components.NewPage()
	page.SetPageTitle("cassiapin bench")
	if assets != "" {
		page.SetAssetsHost(assets)
	}
	page.AddCharts(costChart(reports), qualityChart(reports), latencyChart(reports), violationChart(reports))
	var html bytes.Buffer
	if err := page.Render(&html); err != nil {
		return err
	}
	var table bytes.Buffer
	if err := reportTable.Execute(&table, reports); err != nil {
		return err
	}
	end := []byte("</body>")
	_, err := w.Write(bytes.Replace(html.Bytes(), end, append(table.Bytes(), end...), 1))
	return err
}

// markupRemover removes characters that could close a chart's script element:
// the library writes names into it without escaping.
var markupRemover = strings.NewReplacer("<", "", ">", "")

// label returns the report's name in the charts.
func (r *Report) label() string {
	return markupRemover.Replace(fmt.Sprintf("%s %s %s #%d", r.Scenario, r.Deployment, r.Policy, r.Seed))
}

// newChart returns an empty bar chart.
func newChart(title, subtitle string, axis []string) *charts.Bar {
	bar := charts.NewBar()
	bar.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: title, Subtitle: subtitle}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true), Trigger: "axis"}),
		charts.WithLegendOpts(opts.Legend{Show: opts.Bool(true), Top: "bottom"}),
	)
	names := make([]string, len(axis))
	for i, name := range axis {
		names[i] = markupRemover.Replace(name)
	}
	bar.SetXAxis(names)
	return bar
}

func barData(values []float64) []opts.BarData {
	data := make([]opts.BarData, len(values))
	for i, v := range values {
		data[i].Value = v
	}
	return data
}

// reportValues returns one value per report.
func reportValues(reports []*Report, value func(*Report) float64) []float64 {
	values := make([]float64, len(reports))
	for i, r := range reports {
		values[i] = value(r)
	}
	return values
}

func reportLabels(reports []*Report) []string {
	names := make([]string, len(reports))
	for i, r := range reports {
		names[i] = r.label()
	}
	return names
}

func costChart(reports []*Report) *charts.Bar {
	bar := newChart("Cost", "of all answers, and of the same tokens at the best model", reportLabels(reports))
	bar.AddSeries("cost", barData(reportValues(reports, func(r *Report) float64 { return r.Cost })))
	bar.AddSeries("always-best", barData(reportValues(reports, func(r *Report) float64 { return r.CostAlwaysBest })))
	return bar
}

// classNames returns the class names of all reports in order.
func classNames(reports []*Report) []string {
	names := make(map[string]bool)
	for _, r := range reports {
		for name := range r.Classes {
			names[name] = true
		}
	}
	return sortedKeys(names)
}

// addClassSeries adds one series per report, with one value per class.
func addClassSeries(bar *charts.Bar, reports []*Report, classes []string, value func(*ClassReport) float64) {
	for _, r := range reports {
		values := make([]float64, len(classes))
		for i, name := range classes {
			if c := r.Classes[name]; c != nil {
				values[i] = value(c)
			}
		}
		bar.AddSeries(r.label(), barData(values))
	}
}

func qualityChart(reports []*Report) *charts.Bar {
	classes := classNames(reports)
	bar := newChart("Quality against target", "true mean quality of each class minus its target; below 0 misses it", classes)
	addClassSeries(bar, reports, classes, func(c *ClassReport) float64 {
		if c.Quality == 0 {
			return 0
		}
		return c.Quality - c.QualityTarget
	})
	return bar
}

func latencyChart(reports []*Report) *charts.Bar {
	classes := classNames(reports)
	bar := newChart("Latency by class", "p99 of whole answers in ms", classes)
	addClassSeries(bar, reports, classes, func(c *ClassReport) float64 { return c.P99MS })
	return bar
}

func violationChart(reports []*Report) *charts.Bar {
	kinds := make(map[string]bool)
	for _, r := range reports {
		for kind := range r.Violations {
			kinds[kind] = true
		}
	}
	axis := sortedKeys(kinds)
	bar := newChart("Violations", "invariant violations by kind", axis)
	for _, r := range reports {
		values := make([]float64, len(axis))
		for i, kind := range axis {
			values[i] = float64(r.Violations[kind])
		}
		bar.AddSeries(r.label(), barData(values))
	}
	return bar
}

// reportTable shows the figures of the charts without a script.
var reportTable = template.Must(template.New("table").Parse(`
<h2>Figures</h2>
<p>The charts need the script echarts.min.js; this table does not.</p>
<table border="1" cellpadding="4" style="border-collapse:collapse;font-family:sans-serif">
<tr><th>scenario</th><th>deployment</th><th>policy</th><th>seed</th><th>requests</th><th>answered</th><th>refused</th>
<th>failed</th><th>cost</th><th>always-best</th><th>violations</th><th>class</th><th>quality</th><th>target</th>
<th>p50 ms</th><th>p99 ms</th></tr>
{{range $r := .}}{{range $name, $c := $r.Classes}}<tr><td>{{$r.Scenario}}</td><td>{{$r.Deployment}}</td>
<td>{{$r.Policy}}</td><td>{{$r.Seed}}</td><td>{{$r.Requests}}</td><td>{{$r.Answered}}</td><td>{{$r.Refused}}</td>
<td>{{$r.Failed}}</td><td>{{printf "%.1f" $r.Cost}}</td><td>{{printf "%.1f" $r.CostAlwaysBest}}</td><td>{{$r.TotalViolations}}</td>
<td>{{$name}}</td><td>{{printf "%.3f" $c.Quality}}</td><td>{{printf "%.3f" $c.QualityTarget}}</td>
<td>{{printf "%.1f" $c.P50MS}}</td><td>{{printf "%.1f" $c.P99MS}}</td></tr>
{{end}}{{end}}</table>
`))
