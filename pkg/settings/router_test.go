package settings

import (
	"strings"
	"testing"
	"time"
)

const routerText = `host = "front-1"
region = "r1"
failure_domain = "z1"
entry = "10.0.0.1:80"
ready = "10.0.0.1:81"
directory = "10.0.0.1:82"
ip = "10.0.0.1"
peer_port = 7340
metrics_port = 7341
seeds = ["10.0.0.2:83"]
heartbeat = "1200ms"
[domains]
z1 = "r1"
[store]
address = "10.9.0.1:90"
[bounds]
grace = "8s"
drain = "2500ms"
config_lag = "2500ms"
rollback = "5000ms"
evacuation = "5000ms"
retry_ratio = 0.9
retry_extra = 56
retry_window = "10s"
exposure_share = 0.15
exposure_extra = 30
cold_factor = 1.5
cold_extra = 5
session_gap = "5s"
directory_ttl = "5s"
stability_window = "3000ms"
`

// TestParseRouter guards against bounds that are not read from the settings.
func TestParseRouter(t *testing.T) {
	s, err := ParseRouter("s.toml", []byte(routerText))
	if err != nil {
		t.Fatal(err)
	}
	if s.Bounds.ConfigLag.Std() != 2500*time.Millisecond || s.Bounds.RetryExtra != 56 || s.PeerAddress() != "10.0.0.1:7340" ||
		len(s.PeerSeeds()) != 1 || s.PeerSeeds()[0] != "10.0.0.2:7340" || s.Log.Format != "json" {
		t.Errorf("settings %+v", s)
	}
}

// TestParseRouterErrors guards against invalid settings that are accepted, and
// against errors that do not name the line or key.
func TestParseRouterErrors(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{`host = "front-1"`, ``, "host is missing"},
		{`entry = "10.0.0.1:80"`, `entry = "front"`, "s.toml:4"},
		{`peer_port = 7340`, `peer_port = 70000`, "s.toml:8"},
		{`peer_port = 7340`, "peer_port = 7340\npeer_advertise = \"0.0.0.0:7340\"", "s.toml:9"},
		{`z1 = "r1"`, `z1 = "r2"`, "failure domain"},
		{`grace = "8s"`, `grace = "0s"`, "bounds.grace"},
		{`drain = "2500ms"`, `drain = "soon"`, "s.toml:18"},
		{`retry_ratio = 0.9`, `retry_ratio = -1`, "bounds.retry_ratio"},
		{`evacuation = "5000ms"`, ``, "bounds.evacuation"},
		{`ip = "10.0.0.1"`, "ip = \"10.0.0.1\"\nodd = 1", "odd"},
		{`address = "10.9.0.1:90"`, `address = ""`, "store.address"},
	} {
		_, err := ParseRouter("s.toml", []byte(strings.Replace(routerText, tc.old, tc.new, 1)))
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%q instead of %q: %v, want %q in it", tc.new, tc.old, err, tc.want)
		}
	}
}

// FuzzRouter guards against a settings file that causes a panic.
func FuzzRouter(f *testing.F) {
	f.Add(routerText)
	f.Add("[bounds]\ngrace = 7")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = ParseRouter("s.toml", []byte(text))
	})
}
