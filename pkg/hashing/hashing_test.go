package hashing

import (
	"fmt"
	"testing"
)

// TestHashSeparatesNames guards against sequences of names with the same
// concatenation that get the same hash, and against similar names whose hashes
// share the highest bit.
func TestHashSeparatesNames(t *testing.T) {
	if Hash("ab", "c") == Hash("a", "bc") || Hash("a") == Hash("a", "") {
		t.Error("hash ignores the boundaries of names")
	}
	high := 0
	for i := range 1000 {
		if Hash(fmt.Sprintf("node-%d", i))>>63 == 1 {
			high++
		}
	}
	if high < 430 || high > 570 {
		t.Errorf("%d of 1,000 similar names have the highest bit set, want 430 to 570", high)
	}
}
