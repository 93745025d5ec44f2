package explain

import (
	"strings"
	"testing"
)

const log = `
  26.1 front-1 {"time":"2026-01-04T03:22:24.100Z","level":"INFO","msg":"configuration taken","node":"front-1-a","config":2,"revision":5}
2026/01/04 some library: not JSON
  26.2 front-1 {"time":"2026-01-04T03:22:24.200Z","level":"INFO","msg":"upstream read","node":"front-1-a","upstream":"i-1","leaving":false}
  26.2 front-2 {"time":"2026-01-04T03:22:24.250Z","level":"INFO","msg":"upstream gone","node":"front-2-b","upstream":"i-1"}
  26.3 front-1 {"time":"2026-01-04T03:22:24.300Z","level":"WARN","msg":"attempt failed","node":"front-1-a","request":"r1","upstream":"i-1","code":301}
  26.3 front-1 {"time":"2026-01-04T03:22:24.300Z","level":"WARN","msg":"attempt failed","node":"front-1-a","request":"r2","upstream":"i-1","code":301}
  26.4 front-1 {"time":"2026-01-04T03:22:22.000Z","level":"ERROR","msg":"request failed","node":"front-1-a","request":"r1","code":502}
{"broken
`

// TestRequest guards against including steps of another request or the state of
// another node, and against reordering when a clock is set back between steps.
func TestRequest(t *testing.T) {
	lines, err := Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	steps := Request("r1", lines)
	if len(steps) != 2 || steps[0].Line.Message != "attempt failed" || steps[1].Line.Message != "request failed" {
		t.Fatalf("steps %v", steps)
	}
	var text strings.Builder
	if err := Write(&text, steps); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"known for 200ms: configuration taken config=2", "known for 100ms: upstream read leaving=false upstream=i-1",
		"attempt failed code=301 upstream=i-1", "request failed code=502",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is not in\n%s", want, text.String())
		}
	}
	if strings.Contains(text.String(), "upstream gone") {
		t.Errorf("state of another node is in\n%s", text.String())
	}
	if steps := Request("r3", lines); len(steps) != 0 {
		t.Errorf("steps of an unknown request: %v", steps)
	}
}

// TestOrderOfNodes guards against ordering the steps of several nodes by wall
// clocks when one of them has jumped.
func TestOrderOfNodes(t *testing.T) {
	lines, err := Read(strings.NewReader(`
{"time":"2026-01-04T03:22:27.000Z","msg":"attempt failed","node":"ahead","stamp":"1767496944100.0","request":"r1","code":301}
{"time":"2026-01-04T03:22:27.050Z","msg":"request refused","node":"ahead","stamp":"1767496944100.4","request":"r1"}
{"time":"2026-01-04T03:22:24.900Z","msg":"request done","node":"other","stamp":"1767496944100.10","request":"r1"}
{"time":"2026-01-04T03:22:24.000Z","msg":"model escalated","node":"other","stamp":"1767496944000.0","request":"r1"}
`))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, s := range Request("r1", lines) {
		got = append(got, s.Line.Message)
	}
	if want := "model escalated, attempt failed, request refused, request done"; strings.Join(got, ", ") != want {
		t.Errorf("steps %v, want %s", got, want)
	}
}
