package cli

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cassiapin/pkg/eventlog"
)

// TestReloadIgnoresInvalidSettings guards against an invalid settings file that
// stops a running process or changes its log level.
func TestReloadIgnoresInvalidSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte("host = 7\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	level := &slog.LevelVar{}
	f := &settingsFile{name: file, level: level, log: slog.New(slog.NewJSONHandler(&out, &slog.HandlerOptions{Level: level}))}
	f.reload()
	if !strings.Contains(out.String(), eventlog.SettingsFailed) || level.Level() != slog.LevelInfo {
		t.Errorf("invalid settings: %s, level %s", out.String(), level.Level())
	}
	if !f.loadedModTime.Equal(modTime(file)) {
		t.Error("an unchanged settings file would be reloaded")
	}
	valid := `host = "h"
region = "r"
failure_domain = "z"
entry = "10.0.0.1:80"
ready = "10.0.0.1:81"
directory = "10.0.0.1:82"
ip = "10.0.0.1"
peer_port = 7340
metrics_port = 7341
heartbeat = "1s"
domains = { z = "r" }
store = { address = "10.9.0.1:90" }
log = { level = "error" }
[bounds]
grace = "8s"
drain = "2s"
config_lag = "2s"
rollback = "5s"
evacuation = "5s"
retry_window = "10s"
session_gap = "5s"
directory_ttl = "5s"
stability_window = "3s"
`
	if err := os.WriteFile(file, []byte(valid), 0o600); err != nil {
		t.Fatal(err)
	}
	f.reload()
	if level.Level() != slog.LevelError {
		t.Errorf("the log level is %s after a valid change: %s", level.Level(), out.String())
	}
}
