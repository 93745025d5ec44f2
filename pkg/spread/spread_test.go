package spread

import (
	"fmt"
	"testing"
)

// TestHashSeparatesNames guards against names that are joined to the same number, and against
// similar names that fall into one half of the numbers.
func TestHashSeparatesNames(t *testing.T) {
	if Hash("ab", "c") == Hash("a", "bc") || Hash("a") == Hash("a", "") {
		t.Error("the ends of the names do not count")
	}
	high := 0
	for i := range 1000 {
		if Hash(fmt.Sprintf("node-%d", i))>>63 == 1 {
			high++
		}
	}
	if high < 430 || high > 570 {
		t.Errorf("%d of 1,000 similar names are in the upper half", high)
	}
}
