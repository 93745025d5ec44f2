package config

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/tomlfile"
)

const valid = `[[failure_domain]]
name = "dakar-a"
region = "dakar"
[[class]]
name = "tag"
quality_target = 0.8
deadline = "10s"
[[model]]
name = "small"
[[model.version]]
name = "1"
prior_quality = 0.8
[[model.version]]
name = "2"
prior_quality = 0.8
[[upstream]]
name = "r1"
url = "http://127.0.0.1:9000"
region = "dakar"
failure_domain = "dakar-a"
serves = ["small@1"]
capacity = 8
cold_limit = 2
[[organisation]]
name = "studio"
key_sha256 = ["0000000000000000000000000000000000000000000000000000000000000001"]
allow = ["small"]
default_class = "tag"
`

// Guards against inconsistent declarations that are accepted, and against
// problems reported without file and line.
func TestParseReportsProblemLine(t *testing.T) {
	if _, err := Parse([]File{{Name: "a.toml", Data: []byte(valid)}}); err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, old, new, want string }{
		{"wrong unit", `deadline = "10s"`, `deadline = "10"`, "a.toml:7"},
		{"unknown key", `capacity = 8`, `capcity = 8`, "a.toml:22"},
		{"undeclared model", `allow = ["small"]`, `allow = ["smal"]`, "a.toml:27"},
		{"undeclared version", `serves = ["small@1"]`, `serves = ["small@3"]`, "a.toml:21"},
		{"bad version", `serves = ["small@1"]`, `serves = ["small"]`, "a.toml:21"},
		{"host name", `127.0.0.1:9000`, `runner.example:9000`, "a.toml:18"},
		{"cold limit", `cold_limit = 2`, `cold_limit = 9`, "a.toml:23"},
		{"region of another failure domain", `region = "dakar"
failure_domain = "dakar-a"`, `region = "thies"
failure_domain = "dakar-a"`, "a.toml:19"},
		{"short hash", `000000000000000000000000000000000000000000000000000000001"`, `1"`, "a.toml:26"},
		{"quality", `quality_target = 0.8`, `quality_target = 1.8`, "a.toml:6"},
		{"drain below deadline", `deadline = "10s"`, `deadline = "90s"`, "drain_timeout"},
		{"duplicate", `name = "2"`, `name = "1"`, "a.toml:14"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(valid, c.old, c.new, 1)
			if text == valid {
				t.Fatal("the test case does not change the declarations")
			}
			_, err := Parse([]File{{Name: "a.toml", Data: []byte(text)}})
			var problems tomlfile.Problems
			if !errors.As(err, &problems) || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want a problem with %q", err, c.want)
			}
		})
	}
}

// Guards against a duplicate name in a second file that silently replaces the
// first declaration or is reported in the wrong file.
func TestParseJoinsFiles(t *testing.T) {
	second := "[[class]]\nname = \"tag\"\nquality_target = 0.5\ndeadline = \"1s\"\n"
	_, err := Parse([]File{{Name: "a.toml", Data: []byte(valid)}, {Name: "b.toml", Data: []byte(second)}})
	if err == nil || !strings.Contains(err.Error(), "b.toml:2") {
		t.Fatalf("got %v, want a problem at b.toml:2", err)
	}
}

// Guards against panics and endless loops on malformed declarations.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[[model.version]]\nname=1"))
	f.Add([]byte("[limits]\nentry_ttl = \"x\""))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Parse([]File{{Name: "f.toml", Data: data}})
		if err == nil && Check(b.Declarations) != nil {
			t.Fatal("accepted declarations do not pass Check")
		}
	})
}

// Guards against examples that are not valid declarations.
func TestExamplesAreValid(t *testing.T) {
	for _, folder := range []string{"berceuse", "vaxmynd"} {
		files, err := ReadFiles([]string{"../../examples/" + folder})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(files); err != nil {
			t.Errorf("%s:\n%v", folder, err)
		}
	}
}
