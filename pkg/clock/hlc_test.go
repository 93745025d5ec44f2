package clock

import "testing"

// TestShortStamp guards against a stamp that is parsed as a different one, and
// against invalid text that is accepted.
func TestShortStamp(t *testing.T) {
	for _, s := range []Stamp{{}, {WallMS: 1767496944100, Logical: 4_000_000_000}, {WallMS: -1}} {
		if got, err := ParseStamp(s.Short()); err != nil || got != s {
			t.Errorf("%s parsed as %v, %v", s.Short(), got, err)
		}
	}
	for _, text := range []string{"", "1", "1.", ".1", "1.-1", "1.4294967296", "x.1"} {
		if s, err := ParseStamp(text); err == nil {
			t.Errorf("%q parsed as %v, want an error", text, s)
		}
	}
}
