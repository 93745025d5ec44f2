package settings

import (
	"strings"
	"testing"
)

const key = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

const valid = `[node]
host = "h1"
region = "dakar"
failure_domain = "dakar-a"
[entry]
listen = "127.0.0.1:8080"
[admin]
listen = "127.0.0.1:8081"
operator_key_sha256 = ["` + key + `"]
[peer]
listen = "127.0.0.1:8082"
ca = "settings.go"
certificate = "settings.go"
key = "settings.go"
[platform]
objects = ["http://127.0.0.1:9000"]
timeout = "500ms"
[session]
keys = ["` + key + `"]
`

// Guards against invalid settings that are accepted, and against errors that do
// not name the line or the cause.
func TestParse(t *testing.T) {
	if _, err := Parse("n.toml", []byte(valid)); err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, old, new, want string }{
		{"unknown key", `host = "h1"`, `hots = "h1"`, "n.toml:2"},
		{"wrong unit", `"500ms"`, `"500"`, "n.toml:17"},
		{"missing address", `listen = "127.0.0.1:8080"`, ``, "entry.listen is missing"},
		{"same address", `127.0.0.1:8081`, `127.0.0.1:8080`, "n.toml:8"},
		{"unreachable address", `"127.0.0.1:8080"`, `"0.0.0.0:8080"`, "set advertise"},
		{"host name", `"127.0.0.1:8080"`, `"localhost:8080"`, "n.toml:6"},
		{"key without certificate", `listen = "127.0.0.1:8080"`, "listen = \"127.0.0.1:8080\"\nkey = \"x\"", "certificate and key"},
		{"no peer address", `listen = "127.0.0.1:8082"`, `seeds = ["127.0.0.1:1"]`, "peer.listen is missing"},
		{"missing key file", `key = "settings.go"`, `key = "none.pem"`, "n.toml:14"},
		{"short session key", `keys = ["00`, `keys = ["`, "n.toml:19"},
		{"unknown planner", `[session]`, "[route]\nplanner = \"best\"\n[session]", "n.toml:19"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(valid, c.old, c.new, 1)
			_, err := Parse("n.toml", []byte(text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %q", err, c.want)
			}
		})
	}
}

// Guards against malformed settings that cause a panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Parse("f.toml", data)
	})
}
