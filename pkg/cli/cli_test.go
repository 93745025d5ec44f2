package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/result"
)

// run executes a command line and returns its output and exit code.
func run(args ...string) (output string, code int) {
	root := newRoot()
	var b bytes.Buffer
	root.SetOut(&b)
	root.SetErr(&b)
	root.SetArgs(args)
	err := root.Execute()
	if err != nil {
		b.WriteString(err.Error())
	}
	return b.String(), exitCode(err)
}

// Guards against changes of the exit codes and messages that pipelines rely on.
func TestExitCodesAndOutputOfCommands(t *testing.T) {
	t.Setenv("CASSIAPIN_KEY", "")
	t.Setenv("CASSIAPIN_NODES", "")
	bad := filepath.Join(t.TempDir(), "bad.cassiapin.toml")
	if err := os.WriteFile(bad, []byte("[[class]]\nname = \"x\"\ndeadline = \"5\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"version", []string{"version"}, exitOK, "cassiapin"},
		{"valid declarations", []string{"check", "../../examples/berceuse"}, exitOK, "valid: 4 organisations"},
		{"invalid declarations", []string{"check", bad}, exitInvalid, "bad.cassiapin.toml:3"},
		{"missing file", []string{"check", "none"}, exitInvalid, "no such file"},
		{"error code in output", []string{"check", bad}, exitInvalid, "405 declaration_error"},
		{"missing argument", []string{"publish"}, exitUsage, "701 usage_error"},
		{"unknown flag", []string{"check", "--nonsense"}, exitUsage, "nonsense"},
		{"missing key", []string{"status", "--node", "http://127.0.0.1:1"}, exitUsage, "operator key"},
		{"missing settings", []string{"node", "--settings", "none.toml"}, exitInvalid, "none.toml"},
		{"unknown scenario", []string{"bench", "run", "none"}, exitUsage, "no scenario"},
		{"unreachable node", []string{"status", "--node", "http://127.0.0.1:1", "--key-file", bad}, exitUnreachable, "did not answer"},
		{"completion", []string{"completion", "bash"}, exitOK, "bash completion"},
	}
	for _, c := range cases {
		output, code := run(c.args...)
		if code != c.code || !strings.Contains(output, c.want) {
			t.Errorf("%s: exit code %d, want %d; output %.200q", c.name, code, c.code, output)
		}
	}
}

// Guards against wrong exit codes of wrapped errors: a pipeline would mistake a
// publish conflict or a violated invariant for success or for another failure.
func TestExitCodesOfWrappedErrors(t *testing.T) {
	for code, want := range map[result.Code]int{
		result.PublishConflict: exitConflict, result.PlatformUnavailable: exitUnreachable,
		result.InvariantViolated: exitError, result.BoundExceeded: exitError,
	} {
		if got := exitCode(errors.Wrap(result.New(code, "x"), "y")); got != want {
			t.Errorf("%s gives %d, want %d", code, got, want)
		}
	}
}
