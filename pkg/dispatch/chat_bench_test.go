package dispatch

import (
	"testing"

	"cassiapin/pkg/config"
)

// BenchmarkChatBody measures parsing and rewriting a body, which has been a
// noticeable cost in throughput profiles.
func BenchmarkChatBody(b *testing.B) {
	body := []byte(`{"model":"small","stream":true,"max_tokens":32,"seed":1,` +
		`"messages":[{"role":"user","content":"Which statue stands in the harbour room, and who holds it this week?"}]}`)
	b.ReportAllocs()
	for b.Loop() {
		c, err := ParseChat(body)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := c.engineBody(config.VersionRef{Model: "small", Version: "1"}, "probe", true); err != nil {
			b.Fatal(err)
		}
	}
}
