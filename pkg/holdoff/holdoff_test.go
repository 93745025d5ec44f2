package holdoff

import (
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

// TestParseRetryAfter guards against a faulty header that closes an upstream for
// good, or that is not heard at all.
func TestParseRetryAfter(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 0, "4": 4 * time.Second, "0.25": 250 * time.Millisecond, " 2 ": 2 * time.Second, "-3": 0, "0": 0, "NaN": 0,
		"soon": 0, "1e400": MaxRefusal, "Inf": MaxRefusal, "-Inf": 0, "3600": MaxRefusal, "99999999999999999999": MaxRefusal,
		epoch.UTC().Add(7 * time.Second).Format("Mon, 02 Jan 2006 15:04:05 GMT"):  7 * time.Second,
		epoch.UTC().Add(-7 * time.Second).Format("Mon, 02 Jan 2006 15:04:05 GMT"): 0,
	} {
		if got := ParseRetryAfter(text, epoch); got != want {
			t.Errorf("%q: %s, want %s", text, got, want)
		}
	}
}

// TestReopening guards against all waiting requests going to the upstream that
// opens first, and against an upstream that stays closed.
func TestReopening(t *testing.T) {
	var b Belief
	b.Refused(2*time.Second, epoch)
	opened := epoch.Add(2 * time.Second)
	for _, tc := range []struct {
		open int
		at   time.Time
		want State
	}{
		{0, opened.Add(-time.Millisecond), Refusing}, {0, opened, Open}, {1, opened, Reopening},
		{1, opened.Add(reopenStep), Open}, {2, opened.Add(reopenStep), Reopening}, {1000, opened.Add(reopenTime), Open},
	} {
		if got := b.State(tc.open, tc.at); got != tc.want {
			t.Errorf("%d open, %s after the refusal: %s, want %s", tc.open, tc.at.Sub(opened), got, tc.want)
		}
	}
}

// instance is one run of an upstream in the model: what its answers have said.
type instance struct {
	refusals []refusal
	left     time.Time
}

type refusal struct{ heard, until time.Time }

// TestBelief checks the belief against the users' rules with several instances at
// one address, answers out of order, pauses and faulty headers: no request in a
// refusal that has been heard, none after an instance has said that it leaves, and
// an instance that has said nothing, or whose refusals are over, gets requests.
func TestBelief(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		model := []*instance{{}}
		beliefs := []*Belief{{}}
		// inFlight are answers not yet heard: the instance, and its refusal.
		type answer struct {
			instance int
			wait     time.Duration
			leaving  bool
		}
		var inFlight []answer
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				model, beliefs = append(model, &instance{}), append(beliefs, &Belief{})
			case 1:
				inFlight = append(inFlight, answer{
					rapid.IntRange(0, len(model)-1).Draw(t, "instance"),
					time.Duration(rapid.IntRange(-1000, 90_000).Draw(t, "wait_ms")) * time.Millisecond,
					rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
				})
			case 2:
				if len(inFlight) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "answer")
				a := inFlight[i]
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
				if a.wait > 0 {
					model[a.instance].refusals = append(model[a.instance].refusals, refusal{now, now.Add(min(a.wait, MaxRefusal))})
				}
				beliefs[a.instance].Refused(a.wait, now)
				if a.leaving {
					if model[a.instance].left.IsZero() {
						model[a.instance].left = now
					}
					beliefs[a.instance].Left(now)
				}
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "step_ms")) * time.Millisecond)
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "pause_s")) * time.Second)
			case 5:
				i := rapid.IntRange(0, len(model)-1).Draw(t, "send")
				checkSend(t, model[i], beliefs[i], now)
			}
		}
	})
}

func checkSend(t *rapid.T, m *instance, b *Belief, now time.Time) {
	var last time.Time
	for _, r := range m.refusals {
		if r.until.After(last) {
			last = r.until
		}
	}
	got := b.State(0, now)
	switch {
	case !m.left.IsZero():
		if got != Leaving {
			t.Fatalf("an instance that leaves is %s", got)
		}
	case now.Before(last):
		if got != Refusing {
			t.Fatalf("%s before the end of a refusal: %s", last.Sub(now), got)
		}
	case got != Open:
		t.Fatalf("an instance without requests, %s after its refusals: %s", now.Sub(last), got)
	}
}

// TestReturnIsGradual plays many waiting requests at an upstream that opens and
// guards against a burst at its opening.
func TestReturnIsGradual(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	var b Belief
	b.Refused(time.Second, epoch)
	open, most := 0, 0
	for now := epoch; now.Before(epoch.Add(1500 * time.Millisecond)); now = now.Add(5 * time.Millisecond) {
		for b.State(open, now) == Open && open < 500 {
			open++
		}
		most = max(most, open)
		if open > 0 && random.Intn(20) == 0 {
			open--
		}
	}
	if most == 0 || most > int(500*time.Millisecond/reopenStep)+1 {
		t.Errorf("%d requests open half a second after the opening", most)
	}
}

// TestRefusalIsBounded guards against a refusal that closes an upstream for longer
// than MaxRefusal, whoever decoded it.
func TestRefusalIsBounded(t *testing.T) {
	var b Belief
	now := time.Now()
	if b.Refused(time.Hour, now); b.Until().After(now.Add(MaxRefusal)) {
		t.Errorf("refused for %s", b.Until().Sub(now))
	}
}
