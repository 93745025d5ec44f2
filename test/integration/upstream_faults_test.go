package integration

import (
	"testing"
	"time"

	"cassiapin/pkg/bench"
	"cassiapin/pkg/result"
	"cassiapin/pkg/workload"
)

// slowEngines is the time scale of tests that hit answers half-way: a token of
// the large model takes about 10 ms.
const slowEngines = 0.5

// generated returns the tokens that each runner has generated.
func (w *world) generated() map[string]int64 {
	tokens := make(map[string]int64)
	for name, e := range w.engines {
		tokens[name] = e.Counters().TokensGenerated
	}
	return tokens
}

// streamStart is the number of tokens after which a stream has reached its
// caller.
const streamStart = 40

// busyRunner waits until a runner has begun an answer since the count of tokens
// and returns its name.
func (w *world) busyRunner(since map[string]int64) string {
	w.t.Helper()
	name := ""
	w.eventually(20*time.Second, "a runner generates an answer", func() bool {
		for n, e := range w.engines {
			if e.Load().Running > 0 && e.Counters().TokensGenerated >= since[n]+streamStart {
				name = n
				return true
			}
		}
		return false
	})
	return name
}

// send sends requests at once, without waiting for their outcomes.
func (w *world) send(requests ...workload.Request) (wait func() []bench.Outcome) {
	result := make(chan []bench.Outcome, 1)
	go func() {
		caller := w.newCaller(w.options.seed)
		defer caller.Close()
		result <- w.sendAll(caller, requests)
	}()
	return func() []bench.Outcome { return <-result }
}

// Guards against a stream that hangs, mixes texts or is called whole when the
// connection to its runner goes silent for good in the middle, and against a
// request that waits beyond its deadline when it goes silent before the first
// byte.
func TestSilentRunnerConnection(t *testing.T) {
	t.Parallel()
	w := startWorld(t, options{seed: 3, timeScale: slowEngines})
	tokens := w.generated()
	wait := w.send(w.chat("suggestion", "large", 1, 300, true))
	runner := w.busyRunner(tokens)
	w.runnerLinks[runner].silence(t)
	o := wait()[0]
	if o.FirstToken == 0 || !o.Answered && (o.Code == 0 || o.Run == result.NotRun) {
		t.Errorf("silence in a stream: %s", describe(o))
	}
	if took := o.Ended.Sub(o.Due); took > 20*time.Second {
		t.Errorf("silence in a stream: ended after %s, above the deadline", took)
	}
	w.runnerLinks[runner].heal(t)

	// All runners of the model go silent, new connections as well.
	w.silenceModel("medium")
	lookups := w.send(w.chat("lookup", "medium", 2, 20, false), w.chat("lookup", "medium", 3, 20, true))()
	for _, o := range lookups {
		if o.Answered || o.Code == 0 {
			t.Errorf("silence before the first byte: %s", describe(o))
		}
		if took := o.Ended.Sub(o.Due); took > 5*time.Second+inForce {
			t.Errorf("silence before the first byte: ended after %s with a deadline of 5 s", took)
		}
	}
	w.healModel("medium")
	w.eventually(30*time.Second, "requests are answered after the silence", func() bool {
		return w.send(w.chat("lookup", "medium", 4, 20, false))()[0].Answered
	})
	w.finish()
}

func (w *world) silenceModel(model string) {
	for _, name := range w.runnersOf(model) {
		w.runnerLinks[name].silence(w.t)
	}
}

func (w *world) healModel(model string) {
	for _, name := range w.runnersOf(model) {
		w.runnerLinks[name].heal(w.t)
	}
}

func (w *world) runnersOf(model string) []string {
	var names []string
	for _, r := range w.deployment.Runners {
		if r.Serves[0].Model == model {
			names = append(names, r.Name)
		}
	}
	return names
}

// Guards against a cut body that is given to the caller as an answer, and
// against an idempotent request that is not repeated elsewhere although the
// caller has got no byte yet.
func TestResetInTheMiddleOfABody(t *testing.T) {
	t.Parallel()
	w := startWorld(t, options{seed: 4, timeScale: slowEngines})
	// A whole answer of 200 tokens has more than 1 KB; at 1 KB/s its body takes
	// longer than a second.
	for _, name := range w.runnersOf("large") {
		w.runnerLinks[name].toxic(t, "bandwidth", "downstream", attributes{"rate": 1})
	}
	wait := w.send(w.chat("suggestion", "large", 1, 200, false))
	runner := ""
	w.eventually(20*time.Second, "a runner has written a whole answer", func() bool {
		for _, name := range w.runnersOf("large") {
			if w.engines[name].Counters().Answered > 0 {
				runner = name
			}
		}
		return runner != ""
	})
	w.runnerLinks[runner].cut()
	for _, name := range w.runnersOf("large") {
		w.runnerLinks[name].heal(t)
	}
	w.allAnswered(wait())

	// A stream that has begun cannot be repeated: it is resumed or ends with an
	// error.
	tokens := w.generated()
	wait = w.send(w.chat("suggestion", "large", 2, 300, true))
	runner = w.busyRunner(tokens)
	w.runnerLinks[runner].cut()
	time.Sleep(200 * time.Millisecond) // Connection attempts meet the closed address.
	w.runnerLinks[runner].heal(t)
	if o := wait()[0]; o.FirstToken == 0 || !o.Answered && (o.Code == 0 || o.Run == result.NotRun) {
		t.Errorf("reset in a stream: %s", describe(o))
	}
	w.finish()
}
