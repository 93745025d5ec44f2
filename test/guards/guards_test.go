// Package guards checks that each promise has a test that fails when its guard is
// taken out of the code. It does so in scratch copies of the repository.
//
// CASSIAPIN_GUARDS=all takes out every guard of guards.toml, CASSIAPIN_GUARDS=N,M the
// guards from N on, M of them; by default a small sample is run.
package guards

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// guard is a piece of code without which a promise is not kept.
type guard struct {
	Promise, File string
	// Old is the code and New what replaces it.
	Old, New string
	// Test are the arguments of go test that fail without the guard.
	Test string
	// Survives is the reason why none does; empty if one has to.
	Survives string
}

const (
	root = "../.."
	// workers is the number of copies that are tested at once.
	workers = 3
	// sampleStep is the distance between the guards that run by default.
	sampleStep = 13
)

func load(t *testing.T) []guard {
	t.Helper()
	var file struct{ Guard []guard }
	if _, err := toml.DecodeFile("guards.toml", &file); err != nil {
		t.Fatal(err)
	}
	return file.Guard
}

// selected returns the guards to take out.
func selected(t *testing.T, all []guard) []guard {
	t.Helper()
	switch text := os.Getenv("CASSIAPIN_GUARDS"); text {
	case "":
		var sample []guard
		for i := 0; i < len(all); i += sampleStep {
			sample = append(sample, all[i])
		}
		return sample
	case "all":
		return all
	default:
		var first, count int
		if _, err := fmt.Sscanf(text, "%d,%d", &first, &count); err != nil || first < 0 || first > len(all) {
			t.Fatalf("CASSIAPIN_GUARDS=%q: %v", text, err)
		}
		return all[first:min(first+count, len(all))]
	}
}

// apply returns the file's text without the guard.
func (g guard) apply(text string) (string, error) {
	if n := strings.Count(text, g.Old); n != 1 {
		return "", fmt.Errorf("%s has %q %d times, want once", g.File, g.Old, n)
	}
	return strings.Replace(text, g.Old, g.New, 1), nil
}

// TestGuardsExist guards against a list that no longer matches the code.
func TestGuardsExist(t *testing.T) {
	for _, g := range load(t) {
		text, err := os.ReadFile(filepath.Join(root, g.File))
		if err == nil {
			_, err = g.apply(string(text))
		}
		if err != nil {
			t.Error(err)
		}
		if g.Promise == "" || g.Test == "" {
			t.Errorf("%s: %q lacks its promise or its test", g.File, g.Old)
		}
	}
}

// TestPromisesAreGuarded guards against promises whose guard can be taken out
// without a failing test.
func TestPromisesAreGuarded(t *testing.T) {
	copies := make(chan string, workers)
	for range workers {
		folder := t.TempDir()
		copySources(t, folder)
		copies <- folder
	}
	for _, g := range selected(t, load(t)) {
		t.Run(g.Promise+" "+g.File, func(t *testing.T) {
			t.Parallel()
			folder := <-copies
			defer func() { copies <- folder }()
			seen := g.failsWithout(t, folder)
			if seen != (g.Survives == "") {
				t.Errorf("%q in %s is taken out: go test %s fails is %v, listed as surviving: %q", g.Old, g.File, g.Test, seen, g.Survives)
			}
		})
	}
}

// failsWithout reports whether the test fails in a copy without the guard.
func (g guard) failsWithout(t *testing.T, folder string) bool {
	t.Helper()
	file := filepath.Join(folder, g.File)
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	changed, err := g.apply(string(text))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Error(err)
		}
	}()
	args := strings.Fields(g.Test)
	if out, err := command(folder, "vet", "./"+filepath.Dir(g.File)); err != nil {
		t.Fatalf("without %q the code does not compile: %s", g.Old, out)
	}
	out, err := command(folder, append([]string{"test", "-count=1", "-timeout=120s"}, args...)...)
	if err != nil && strings.Contains(out, "no test files") || strings.Contains(out, "no tests to run") {
		t.Fatalf("go test %s: %s", g.Test, out)
	}
	return err != nil
}

// command runs the go command in a copy. Paths of copies are trimmed, so that they
// share the build cache.
func command(folder string, args ...string) (string, error) {
	c := exec.Command("go", args...)
	c.Dir = folder
	c.Env = append(os.Environ(), "GOFLAGS="+os.Getenv("GOFLAGS")+" -trimpath", "CASSIAPIN_GUARDS=")
	out, err := c.CombinedOutput()
	return string(out), err
}

// copySources copies what the tests need.
func copySources(t *testing.T, folder string) {
	t.Helper()
	for _, part := range []string{"go.mod", "go.sum", "cmd", "deploy", "docs", "examples", "pkg", "platform", "bench"} {
		from := filepath.Join(root, part)
		info, err := os.Stat(from)
		if err != nil {
			t.Fatal(err)
		}
		if !info.IsDir() {
			copyFile(t, from, filepath.Join(folder, part))
			continue
		}
		err = filepath.WalkDir(from, func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			to := filepath.Join(folder, strings.TrimPrefix(path, root))
			if entry.IsDir() {
				return os.MkdirAll(to, 0o700)
			}
			copyFile(t, path, to)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	data, err := os.ReadFile(from)
	if err == nil {
		err = os.WriteFile(to, data, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}
