package integration

import (
	"testing"
	"time"

	"cassiapin/pkg/bench"
	"cassiapin/pkg/result"
	"cassiapin/pkg/workload"
)

// slowTimeScale is the time scale of tests that inject faults during an answer.
// With it a token of the large model takes about 10 ms.
const slowTimeScale = 0.5

// generatedTokens returns the number of tokens that each runner has generated.
func (f *fleet) generatedTokens() map[string]int64 {
	tokens := make(map[string]int64)
	for name, e := range f.engines {
		tokens[name] = e.Counters().TokensGenerated
	}
	return tokens
}

// streamStartTokens is the number of tokens after which the start of a stream has
// reached the caller.
const streamStartTokens = 40

// awaitGeneratingRunner waits until a runner with a running request has generated
// at least streamStartTokens tokens since the given counts, and returns its name.
func (f *fleet) awaitGeneratingRunner(since map[string]int64) string {
	f.t.Helper()
	name := ""
	f.eventually(20*time.Second, "a runner generates an answer", func() bool {
		for n, e := range f.engines {
			if e.Load().Running > 0 && e.Counters().TokensGenerated >= since[n]+streamStartTokens {
				name = n
				return true
			}
		}
		return false
	})
	return name
}

// sendAsync sends requests in the background; the returned function waits for
// their outcomes.
func (f *fleet) sendAsync(requests ...workload.Request) (wait func() []bench.Outcome) {
	result := make(chan []bench.Outcome, 1)
	go func() {
		caller := f.newCaller(f.options.seed)
		defer caller.Close()
		result <- f.sendAll(caller, requests)
	}()
	return func() []bench.Outcome { return <-result }
}

// Guards against a stream that hangs, mixes texts or is reported as complete when
// the connection to its runner stops delivering data midway, and against a
// request that exceeds its deadline when no first byte arrives.
func TestBlackholedRunnerConnection(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{seed: 3, timeScale: slowTimeScale})
	tokens := f.generatedTokens()
	wait := f.sendAsync(f.chat("suggestion", "large", 1, 300, true))
	runner := f.awaitGeneratingRunner(tokens)
	f.runnerLinks[runner].blackhole(t)
	o := wait()[0]
	if o.FirstToken == 0 || !o.Answered && (o.Code == 0 || o.Run == result.NotRun) {
		t.Errorf("no data during a stream: %s", describe(o))
	}
	if took := o.Ended.Sub(o.Due); took > 20*time.Second {
		t.Errorf("no data during a stream: ended after %s, above the deadline", took)
	}
	f.runnerLinks[runner].heal(t)

	// All runners of the model become unresponsive, on new connections as well.
	f.blackholeModel("medium")
	lookups := f.sendAsync(f.chat("lookup", "medium", 2, 20, false), f.chat("lookup", "medium", 3, 20, true))()
	for _, o := range lookups {
		if o.Answered || o.Code == 0 {
			t.Errorf("no first byte: %s", describe(o))
		}
		if took := o.Ended.Sub(o.Due); took > 5*time.Second+propagationLimit {
			t.Errorf("no first byte: ended after %s with a deadline of 5 s", took)
		}
	}
	f.healModel("medium")
	f.eventually(30*time.Second, "requests are answered after the connections are restored", func() bool {
		return f.sendAsync(f.chat("lookup", "medium", 4, 20, false))()[0].Answered
	})
	f.finish()
}

func (f *fleet) blackholeModel(model string) {
	for _, name := range f.runnersOf(model) {
		f.runnerLinks[name].blackhole(f.t)
	}
}

func (f *fleet) healModel(model string) {
	for _, name := range f.runnersOf(model) {
		f.runnerLinks[name].heal(f.t)
	}
}

func (f *fleet) runnersOf(model string) []string {
	var names []string
	for _, r := range f.deployment.Runners {
		if r.Serves[0].Model == model {
			names = append(names, r.Name)
		}
	}
	return names
}

// Guards against a truncated body that is passed to the caller as an answer, and
// against an idempotent request that is not retried on another runner although
// the caller has not received any byte.
func TestConnectionResetDuringBody(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{seed: 4, timeScale: slowTimeScale, resetLinks: true})
	// An answer of 200 tokens has more than 1 KB, so at 1 KB/s its body takes
	// longer than a second.
	for _, name := range f.runnersOf("large") {
		f.resetLinks[name].limit(1000)
	}
	wait := f.sendAsync(f.chat("suggestion", "large", 1, 200, false))
	runner := ""
	f.eventually(20*time.Second, "a runner has written a complete answer", func() bool {
		for _, name := range f.runnersOf("large") {
			if f.engines[name].Counters().Answered > 0 {
				runner = name
			}
		}
		return runner != ""
	})
	f.resetLinks[runner].reset()
	for _, name := range f.runnersOf("large") {
		f.resetLinks[name].limit(0)
	}
	f.checkAllAnswered(wait())
	if answered := f.answeredBy("large"); answered != 2 {
		t.Errorf("runners wrote %d answers, want 2: the reset did not occur during the first one", answered)
	}
	f.resetLinks[runner].heal()

	// A stream that has started cannot be retried: it is resumed or ends with an
	// error.
	tokens := f.generatedTokens()
	wait = f.sendAsync(f.chat("suggestion", "large", 2, 300, true))
	runner = f.awaitGeneratingRunner(tokens)
	f.resetLinks[runner].reset()
	time.Sleep(200 * time.Millisecond) // New connections are refused meanwhile.
	f.resetLinks[runner].heal()
	if o := wait()[0]; o.FirstToken == 0 || !o.Answered && (o.Code == 0 || o.Run == result.NotRun) {
		t.Errorf("connection closed during a stream: %s", describe(o))
	}
	f.finish()
}

// answeredBy returns the number of answers written by the runners of a model.
func (f *fleet) answeredBy(model string) int64 {
	answered := int64(0)
	for _, name := range f.runnersOf(model) {
		answered += int64(f.engines[name].Counters().Answered)
	}
	return answered
}
