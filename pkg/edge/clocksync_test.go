package edge

import (
	"log/slog"
	"testing"
	"time"

	"cassiapin/pkg/clock"
)

// TestClocksFollow guards against a hybrid clock that does not advance past the
// stamp of a node whose clock is ahead, and against a malformed probe that moves
// the clock.
func TestClocksFollow(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	now := time.Unix(1_700_000_000, 0)
	ahead := &clockSync{hlc: clock.NewHLC(clock.NewFake(now.Add(2 * time.Second))), log: log}
	behind := &clockSync{hlc: clock.NewHLC(clock.NewFake(now)), log: log}
	sent := ahead.ProbeData()
	behind.ObserveProbe("ahead", sent)
	got, err := clock.ParseStamp(string(behind.ProbeData()))
	if err != nil {
		t.Fatal(err)
	}
	if want, _ := clock.ParseStamp(string(sent)); got.Compare(want) <= 0 {
		t.Errorf("after a stamp of %v the next is %v, want a later one", want, got)
	}
	for _, bad := range []string{"", "x", "99999999999999.0"} {
		behind.ObserveProbe("broken", []byte(bad))
	}
	if next, _ := clock.ParseStamp(string(behind.ProbeData())); next.WallMS != got.WallMS {
		t.Errorf("a malformed probe moved the clock from %v to %v", got, next)
	}
}
