package result

import (
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against differences between docs/errors.md and Table.
func TestErrorsPageListsTheCodes(t *testing.T) {
	page, err := os.ReadFile("../../docs/errors.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), Markdown()) {
		t.Fatalf("docs/errors.md does not contain the current table:\n%s", Markdown())
	}
}

// Guards against duplicate codes or names.
func TestTableIsUniqueAndOrdered(t *testing.T) {
	names := make(map[string]bool)
	for i, info := range Table {
		if i > 0 && Table[i-1].Code >= info.Code {
			t.Errorf("code %d is out of order", info.Code)
		}
		if names[info.Name] {
			t.Errorf("name %q is used twice", info.Name)
		}
		names[info.Name] = true
	}
}

// Guards against errors with not_run although an attempt may have run.
func TestWorstKeepsPossibleRun(t *testing.T) {
	states := []RunState{NotRun, Ran, Unknown}
	for i, a := range states {
		for j, b := range states {
			if got, want := a.Worst(b), states[max(i, j)]; got != want {
				t.Errorf("%s with %s gives %s, want %s", a, b, got, want)
			}
		}
	}
	if e := From(errors.New("anything")); e.Run != Unknown {
		t.Errorf("an untyped error has run state %s", e.Run)
	}
}
