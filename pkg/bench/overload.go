package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cassiapin/pkg/standin/engine"
	"cassiapin/pkg/workload"
)

const (
	// overloadFactor is the load of the batched classes during the burst, as a
	// multiple of the total capacity of all runners.
	overloadFactor = 1.5
	// overloadTimeScale is the engines' time scale in the overload scenarios. At
	// the usual time scale, 1.5 times the capacity is 1,300 (berceuse) to 3,100
	// (vaxmynd) requests per second, too many for the nodes, callers and
	// stand-ins of one process on a shared machine.
	overloadTimeScale = 0.5
	// unloadedRate (requests per second) keeps the runners below 10% load in
	// friday-unloaded and still gives enough lookups for a p99.
	unloadedRate = 40
	// demoBurstFactor makes the burst in the demo visible without an overload.
	demoBurstFactor = 6
	// sampleTime is the duration of the generated sample from which batchLoad
	// computes the load; request sizes are heavy-tailed, so shorter samples vary.
	sampleTime = 2 * time.Minute
	sampleSeed = 1
)

// batchLoad returns the load of the batched classes without a burst, at the
// default rate, as a fraction of the total capacity of all runners.
//
// On a fully loaded engine, a request occupies a slot for
//
//	(first token base + new prompt tokens x prefill + answer tokens x interval)
//	x time scale x (1 + load slowdown) / speed
//
// so the work of a request is that time at speed 1, and the capacity of a runner
// is slots x speed. The system prompt is assumed to be in the prefix cache. Work
// counts the same on a small, fast model as on a large one, so this is the
// capacity if every request could run on any runner.
func batchLoad(d *workload.Deployment, timeScale float64) float64 {
	capacity := 0.0
	for _, r := range d.Runners {
		capacity += float64(r.Capacity) * r.Speed
	}
	work := time.Duration(0)
	options := workload.Options{Seed: sampleSeed, Rate: defaultRate, Duration: sampleTime}
	for r := range workload.New(d, options).All() {
		if c := d.Class(r.Class); c == nil || !c.Batch || r.IsService() {
			continue
		}
		prompt := max(0, r.PromptTokens-workload.SystemPromptTokens)
		work += engine.DefaultFirstTokenBase + time.Duration(prompt)*engine.DefaultPrefillPerToken +
			time.Duration(r.AnswerTokens)*engine.DefaultTokenInterval
	}
	perSecond := work.Seconds() / sampleTime.Seconds()
	return perSecond * timeScale * (1 + engine.DefaultLoadSlowdown) / capacity
}

// burstWindow returns the start and the length of the burst: the middle half of
// a 20 s run. It is no longer in longer runs, so that the last quarter of a 100 s
// run comes after the deadlines of the batched requests.
func burstWindow(duration time.Duration) (at, length time.Duration) {
	run := min(duration, DefaultDuration)
	return run / 4, run / 2
}

// fridayBurst raises the load of the batched classes to overloadFactor times the
// capacity during the burst.
func fridayBurst(o *workload.Options, p Params) {
	o.BurstAt, o.BurstFor = burstWindow(p.Duration)
	if d, err := workload.ByName(p.Deployment); err == nil {
		o.BurstFactor = overloadFactor / batchLoad(d, overloadTimeScale)
	}
}

const lookupClass = "lookup"

// latencies are the latencies of the answered requests in a part of a run, and
// the number of the others.
type latencies struct {
	*hdrhistogram.Histogram
	refused int
}

// runPart returns the name of the part of a run in which a request was due.
func runPart(offset, duration time.Duration) string {
	at, length := burstWindow(duration)
	switch {
	case offset < at:
		return "first_quarter"
	case offset < at+length:
		return "burst"
	case offset >= duration*3/4:
		return "last_quarter"
	}
	return "between"
}

// addLookupLatencies reports the latencies of model lookups separately for the
// time before the burst, the burst and the last quarter of the run, by the time
// at which a request was due: latency must recover after an overload.
func addLookupLatencies(run *Run) {
	all := newHistogram()
	parts := map[string]*latencies{}
	for _, name := range []string{"first_quarter", "burst", "between", "last_quarter"} {
		parts[name] = &latencies{newHistogram(), 0}
	}
	for i := range run.Outcomes {
		o := &run.Outcomes[i]
		if o.Request.Class != lookupClass || o.Request.IsService() {
			continue
		}
		part := parts[runPart(o.Request.Offset, run.Duration)]
		if !o.Answered {
			part.refused++
			continue
		}
		us := o.Ended.Sub(o.Due).Microseconds()
		_ = all.RecordValue(us) // callerTimeout keeps values within the range.
		_ = part.RecordValue(us)
	}
	run.Extra["lookup_model_p50_ms"], run.Extra["lookup_model_p99_ms"] = milliseconds(all, 50), milliseconds(all, 99)
	for name, part := range parts {
		run.Extra["lookup_"+name+"_p50_ms"] = milliseconds(part.Histogram, 50)
		run.Extra["lookup_"+name+"_p99_ms"] = milliseconds(part.Histogram, 99)
		run.Extra["lookup_"+name+"_refused"] = float64(part.refused)
	}
	for _, e := range run.Fleet.Engines {
		run.Extra["engines_fell_over"] += float64(e.Counters().Overloads)
	}
	lastEnd := time.Time{}
	for i := range run.Outcomes {
		if run.Outcomes[i].Ended.After(lastEnd) {
			lastEnd = run.Outcomes[i].Ended
		}
	}
	run.Extra["ended_after_s"] = lastEnd.Sub(run.Started).Seconds()
}
