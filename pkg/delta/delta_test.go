package delta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

const limit = 1 << 20

func routes(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf(`{"name":"r-%06d","host":"a.example","path-prefix":"/%08x/","service":"pool","attempts":3}`, i, i*7919))
	}
	return out
}

func join(version int, routes []string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s]}`, version, strings.Join(routes, ","))
}

// TestOneRouteMore guards against a patch that grows with the configuration: one
// route that is added or dropped at any place has to cost little more than itself.
func TestOneRouteMore(t *testing.T) {
	for _, at := range []int{0, 250, 499} {
		before := routes(500)
		after := append(append(append([]string{}, before[:at]...), `{"name":"r-new","host":"b.example","path-prefix":"/new/"}`), before[at:]...)
		for name, pair := range map[string][2][]byte{
			"added": {join(6, before), join(7, after)}, "dropped": {join(7, after), join(8, before)},
		} {
			patch := Diff(pair[0], pair[1])
			got, err := Apply(pair[0], patch, limit)
			if err != nil || !bytes.Equal(got, pair[1]) {
				t.Fatalf("%s at %d: not restored: %v", name, at, err)
			}
			if len(patch) > 400 {
				t.Errorf("%s at %d: a patch of %d bytes for a configuration of %d", name, at, len(patch), len(pair[1]))
			}
		}
	}
}

// TestRandomEdits restores targets after random insertions, removals and moves.
func TestRandomEdits(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		base := make([]byte, random.IntN(3000))
		for i := range base {
			base[i] = byte('a' + random.IntN(1+random.IntN(6)))
		}
		target := bytes.Clone(base)
		for range random.IntN(6) {
			from := random.IntN(len(target) + 1)
			to := from + random.IntN(len(target)-from+1)
			switch random.IntN(3) {
			case 0:
				target = append(target[:from:from], target[to:]...)
			case 1:
				target = append(target[:from:from], append([]byte("inserted text"), target[from:]...)...)
			default:
				target = append(bytes.Clone(target[to:]), target[:to]...)
			}
		}
		got, err := Apply(base, Diff(base, target), limit)
		if err != nil || !bytes.Equal(got, target) {
			t.Fatalf("base %q, target %q: got %q, %v", base, target, got, err)
		}
	}
}

// TestApplyRefuses guards against a target that is not what the sender had.
func TestApplyRefuses(t *testing.T) {
	base, target := join(1, routes(20)), join(2, routes(21))
	patch := Diff(base, target)
	if _, err := Apply(append(bytes.Clone(base), ' '), patch, limit); !errors.Is(err, ErrWrongBase) {
		t.Errorf("another base: %v, want %v", err, ErrWrongBase)
	}
	if _, err := Apply(base, patch, len(target)-1); !errors.Is(err, ErrMalformed) {
		t.Errorf("a target above the limit: %v, want %v", err, ErrMalformed)
	}
	for n := range patch {
		if _, err := Apply(base, patch[:n], limit); err == nil {
			t.Fatalf("a patch cut at byte %d of %d was applied", n, len(patch))
		}
		changed := bytes.Clone(patch)
		changed[n] ^= 0x15
		if got, err := Apply(base, changed, limit); err == nil && !bytes.Equal(got, target) {
			t.Fatalf("a patch changed at byte %d gave another target", n)
		}
	}
}

// FuzzApply applies arbitrary patches: no panic, and no target above the limit.
func FuzzApply(f *testing.F) {
	base := join(1, routes(3))
	f.Add(Diff(base, join(2, routes(4))))
	f.Fuzz(func(t *testing.T, patch []byte) {
		if got, err := Apply(base, patch, 4096); err == nil && len(got) > 4096 {
			t.Fatalf("%d bytes", len(got))
		}
	})
}
