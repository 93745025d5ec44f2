package tomlfile

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

type sample struct {
	Name string `toml:"name"`
	Item []struct {
		Size int `toml:"size"`
		Part []struct {
			Weight float64 `toml:"weight"`
		} `toml:"part"`
	} `toml:"item"`
}

const text = `name = "x"
[[item]]
size = 1
[[item.part]]
weight = 1.0
[[item]]
size = 2
[[item.part]]
[[item.part]]
weight = 2.0
`

// Guards against problems that are reported at the wrong line, which would point
// the operator to another declaration.
func TestPositions(t *testing.T) {
	var v sample
	p, err := Decode("a.toml", []byte(text), &v)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]int{"name": 1, "item[0].size": 3, "item[0].part[0].weight": 5,
		"item[1]": 6, "item[1].part[1].weight": 10, "item[1].part[1].missing": 9, "item[1].size": 7}
	got := make(map[string]int)
	for path := range want {
		got[path] = p.Line(path)
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Fatal(d)
	}
}

// Guards against unknown keys, wrong types and syntax errors that are accepted
// or reported without a line.
func TestDecodeReportsLine(t *testing.T) {
	cases := []struct {
		name, text string
		line       int
	}{
		{"unknown key", "name = \"x\"\n\nnmae = \"y\"\n", 3},
		{"unknown table key", "[[item]]\nsize = 1\n[[item]]\nsiez = 1\n", 4},
		{"wrong type", "name = \"x\"\n[[item]]\nsize = \"big\"\n", 3},
		{"syntax", "name = \"x\"\n[[item]\n", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var v sample
			_, err := Decode("a.toml", []byte(c.text), &v)
			var problems Problems
			if !errors.As(err, &problems) || len(problems) != 1 || problems[0].Line != c.line {
				t.Fatalf("got %v, want one problem at line %d", err, c.line)
			}
		})
	}
}
