package plan

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"strings"
	"testing"
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/quality"
	"cassiapin/pkg/result"
)

var (
	cheapRef     = config.VersionRef{Model: "cheap", Version: "1"}
	oldRef       = config.VersionRef{Model: "best", Version: "1"}
	newRef       = config.VersionRef{Model: "best", Version: "2"}
	withdrawnRef = config.VersionRef{Model: "best", Version: "0"}
)

type fakeSource struct {
	kernel.Base
	config.Static
}

func (*fakeSource) Name() string { return config.SourceServiceName }

type fakeEstimator struct {
	kernel.Base
	quality.Estimator
	estimates map[config.VersionRef]quality.Estimate
}

func (*fakeEstimator) Name() string { return quality.ServiceName }
func (f *fakeEstimator) Estimate(_ string, ref config.VersionRef) quality.Estimate {
	return f.estimates[ref]
}

// fakeRollouts replaces best@1 by best@2 for cohorts below share and allows
// unratedLeft more unrated answers.
type fakeRollouts struct {
	kernel.Base
	share       float64
	unratedLeft int
}

func (*fakeRollouts) Name() string { return rolloutService }
func (f *fakeRollouts) Assign(ref config.VersionRef, cohort float64) (config.VersionRef, string) {
	switch {
	case ref.Model != "best" || f.share == 0:
		return ref, ""
	case cohort < f.share:
		return newRef, "ro"
	}
	return oldRef, ""
}
func (f *fakeRollouts) Reserve(_, _ string, pinned bool) bool {
	if f.unratedLeft <= 0 && !pinned {
		return false
	}
	f.unratedLeft--
	return true
}
func (f *fakeRollouts) Release(string, config.VersionRef) { f.unratedLeft++ }

type fixture struct {
	*Service
	source    *fakeSource
	estimator *fakeEstimator
	rollouts  *fakeRollouts
	clock     *clock.Fake
}

func newFixture(t *testing.T, strategy Strategy) fixture {
	t.Helper()
	f := fixture{
		source: &fakeSource{}, rollouts: &fakeRollouts{}, clock: clock.NewFake(time.Unix(1000, 0)),
		estimator: &fakeEstimator{estimates: map[config.VersionRef]quality.Estimate{
			cheapRef: {Mean: 0.7, Lower: 0.68, Deviation: 0.1, Cost: 1, Time: time.Second, Rated: 500},
			oldRef:   {Mean: 0.9, Lower: 0.88, Deviation: 0.1, Cost: 10, Time: 3 * time.Second, Rated: 500},
			newRef:   {Mean: 0.95, Lower: 0.9, Deviation: 0.1, Cost: 9, Time: 3 * time.Second, Rated: 5},
		}},
	}
	f.source.Snapshot = config.NewSnapshot(1, "", config.Declarations{
		Organisations: []config.Organisation{{Name: "o", Allow: []string{"cheap", "best"}}},
		Models: []config.Model{
			{Name: "cheap", Versions: []config.Version{{Name: "1"}}},
			{Name: "best", Versions: []config.Version{{Name: "0"}, {Name: "1"}, {Name: "2"}, {Name: "3"}}},
			{Name: "other", Versions: []config.Version{{Name: "1"}}},
		},
		Withdrawals: []config.Withdrawal{{Version: withdrawnRef}},
	})
	var err error
	if f.Service, err = New(Options{Strategy: strategy, Rand: rand.New(rand.NewSource(3))}); err != nil {
		t.Fatal(err)
	}
	k := kernel.New(f.clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err := k.Register(f.source, f.estimator, f.rollouts, f.Service); err != nil {
		t.Fatal(err)
	}
	if err := f.Provision(k); err != nil {
		t.Fatal(err)
	}
	return f
}

func request(target float64, check config.CheckKind) Request {
	return Request{
		Organisation: "o", Class: &config.Class{Name: "tag", QualityTarget: target, Check: check},
		Allowed: []config.VersionRef{cheapRef, oldRef}, Cohort: 0.5, Remaining: time.Minute,
	}
}

// steps lists the versions of a plan, for example "cheap@1 best@1".
func steps(p Plan) string {
	var names []string
	for _, s := range p.Steps {
		names = append(names, s.Version.String())
	}
	return strings.Join(names, " ")
}

// Guards against plans that cost more than necessary, miss a target that can be
// met, exceed the deadline, or run a non-idempotent request twice.
func TestPlanIsCheapestThatMeetsTarget(t *testing.T) {
	f := newFixture(t, StrategyPolicy)
	nonIdempotent := request(0.8, config.CheckRating)
	nonIdempotent.Class.NonIdempotent = true
	short := request(0.8, config.CheckRating)
	short.Remaining = 3500 * time.Millisecond // Too short for both steps.
	shorter := request(0.8, config.CheckRating)
	shorter.Remaining = time.Second
	for i, c := range []struct {
		request Request
		want    string
	}{
		{request(0.6, config.CheckRating), "cheap@1"},
		{request(0.8, config.CheckRating), "cheap@1 best@1"},
		{request(0.8, config.CheckNone), "best@1"},
		{request(0.99, config.CheckNone), "best@1"},
		{nonIdempotent, "best@1"},
		{short, "best@1"},
		{shorter, "cheap@1"},
	} {
		p, err := f.Plan(c.request)
		if err != nil || steps(p) != c.want {
			t.Errorf("case %d: planned %q, %v, want %q", i, steps(p), err, c.want)
		}
		if len(p.Steps) == 2 && (p.Cost >= 10 || p.Quality < 0.8 || p.Steps[0].Accept <= 0 || p.Steps[1].Accept != 0) {
			t.Errorf("case %d: cascade with wrong expectations or thresholds: %+v", i, p)
		}
	}
	unmeetable := request(0.6, config.CheckNone)
	unmeetable.Remaining = time.Millisecond
	refused := 0
	for range 400 {
		if _, err := f.Plan(unmeetable); result.CodeOf(err) == result.DeadlineUnmeetable {
			refused++
		}
	}
	if refused < 360 || refused == 400 {
		t.Errorf("%d of 400 requests with unmeetable deadlines were refused, want about 95%%", refused)
	}
}

// Guards against cascades whose expected acceptance and quality differ from
// those of the answers they serve.
func TestCascadeExpectationMatchesSimulation(t *testing.T) {
	rng := rand.New(rand.NewSource(5))
	const mean, deviation, threshold, n = 0.7, 0.1, 0.75, 200_000
	var accepted, sum float64
	for range n {
		// Rating noise of the same variance as the quality: reliability 0.5.
		quality := mean + deviation/1.4142*rng.NormFloat64()
		if quality+deviation/1.4142*rng.NormFloat64() >= threshold {
			accepted++
			sum += quality
		}
	}
	p, q := acceptedByRating(mean, deviation, threshold)
	if d := p - accepted/n; d > 0.005 || d < -0.005 {
		t.Errorf("computed acceptance %.4f, simulated %.4f", p, accepted/n)
	}
	if d := q - sum/accepted; d > 0.005 || d < -0.005 {
		t.Errorf("computed quality of accepted answers %.4f, simulated %.4f", q, sum/accepted)
	}
}

// Guards against a session that changes its version, stays on a withdrawn
// version or is moved without MovedFrom, and against ignoring the version that
// the caller requested.
func TestPinnedAndRequestedVersions(t *testing.T) {
	f := newFixture(t, StrategyPolicy)
	f.rollouts.share = 1
	r := request(0.1, config.CheckNone)
	r.Class.Explore = true
	r.Pinned = oldRef
	for range 100 {
		if p, err := f.Plan(r); err != nil || steps(p) != "best@1" || p.Explore || p.MovedFrom != (config.VersionRef{}) {
			t.Fatalf("got %+v, %v, want the pinned version", p, err)
		}
	}
	r.Pinned = withdrawnRef
	if p, err := f.Plan(r); err != nil || p.MovedFrom != withdrawnRef || steps(p) == "best@0" {
		t.Fatalf("got %+v, %v, want a move from the withdrawn version", p, err)
	}
	r.Pinned = config.VersionRef{Model: "best", Version: "3"} // No runner.
	if _, err := f.Plan(r); result.CodeOf(err) != result.NoRunner {
		t.Fatal(err)
	}
	for i, c := range []struct {
		model, version, want string
		code                 result.Code
	}{
		{"best", "1", "best@1", 0}, {"cheap", "", "cheap@1", 0}, {"best", "0", "", result.VersionWithdrawn},
		{"best", "3", "", result.NoRunner}, {"best", "9", "", result.ModelNotAllowed},
		{"other", "", "", result.ModelNotAllowed}, {"none", "", "", result.ModelNotAllowed},
	} {
		r := request(0.1, config.CheckNone)
		r.Model, r.Version = c.model, c.version
		if p, err := f.Plan(r); steps(p) != c.want || result.CodeOf(err) != c.code {
			t.Errorf("case %d: planned %q, %v", i, steps(p), err)
		}
	}
}

// Guards against assigning a new version to cohorts outside its share or beyond
// its limit of unrated answers.
func TestRolloutAssignment(t *testing.T) {
	f := newFixture(t, StrategyPolicy)
	f.rollouts.share, f.rollouts.unratedLeft = 0.3, 5
	r := request(0.85, config.CheckNone)
	r.Allowed = append(r.Allowed, newRef)
	counts := map[string]int{}
	for i := range 100 {
		r.Cohort = float64(i) / 100
		p, err := f.Plan(r)
		if err != nil || (p.Rollout != "") != (steps(p) == "best@2") || (p.Rollout != "" && r.Cohort >= 0.3) {
			t.Fatalf("cohort %.2f: got %+v, %v", r.Cohort, p, err)
		}
		counts[steps(p)]++
	}
	if fmt.Sprint(counts) != "map[best@1:95 best@2:5]" {
		t.Fatal(counts)
	}
}

// Guards against exploration that exceeds its cost share, runs in classes that
// forbid it or never runs, and against exploring versions that cost more than a
// sufficient plan or whose upper bound is below the target.
func TestExplorationBudget(t *testing.T) {
	f := newFixture(t, StrategyPolicy)
	run := func(explore, nonIdempotent bool, target, lower float64) (share float64) {
		f.estimator.estimates[cheapRef] = quality.Estimate{Mean: 0.7, Lower: lower, Cost: 1, Time: time.Second}
		total, explored := 0.0, 0.0
		for range 3000 {
			r := request(target, config.CheckNone)
			r.Class.Explore, r.Class.NonIdempotent = explore, nonIdempotent
			p, err := f.Plan(r)
			if err != nil {
				t.Fatal(err)
			}
			total += p.Cost
			if p.Explore {
				explored += p.Cost
			}
			f.clock.Advance(10 * time.Millisecond)
		}
		return explored / total
	}
	if s := run(true, false, 0.8, 0.55); s < 0.01 || s > 0.02 {
		t.Errorf("exploration took %.4f of the cost, want 0.01 to 0.02", s)
	}
	if s := run(true, false, 0.8, 0.65) + run(true, false, 0.6, 0.65); s != 0 {
		t.Errorf("exploration of versions that cannot be better took %.4f of the cost, want 0", s)
	}
	if s := run(false, false, 0.8, 0.55) + run(true, true, 0.8, 0.55); s != 0 {
		t.Errorf("exploration took %.4f of the cost where it is forbidden, want 0", s)
	}
}

// Guards against baseline strategies that select other versions than documented.
func TestBaselines(t *testing.T) {
	for strategy, want := range map[Strategy]float64{StrategyAlwaysBest: 0, StrategyCheapest: 1, StrategyFixedSplit: 0.5} {
		f, n := newFixture(t, strategy), 0.0
		for range 2000 {
			if p, err := f.Plan(request(0.8, config.CheckRating)); err != nil {
				t.Fatal(err)
			} else if steps(p) == "cheap@1" {
				n++
			}
		}
		if d := n/2000 - want; d > 0.05 || d < -0.05 {
			t.Errorf("%s used the cheap version for %.3f of the requests, want %.1f", strategy, n/2000, want)
		}
	}
}

// Guards against a heuristic that accepts empty, refusing or repetitive answers,
// or rejects normal ones.
func TestHeuristic(t *testing.T) {
	long := strings.Repeat("word ", 80)
	for _, c := range []struct {
		prompt, answer string
		good           bool
	}{
		{"tag this", "amphora, terracotta, cracked", true},
		{"écris un couplet", "La mer se lève sur Dakar et le vent porte la kora vers les îles du soir", true},
		{"tag this", "  ", false},
		{"tag this", "I’m sorry, but I can't help with that.", false},
		{"couplet", "Je suis désolé, je ne peux pas.", false},
		{"tag this", "Tag this", false},
		{long, strings.Repeat("the same words ", 40), false},
	} {
		if score := heuristic(c.prompt, c.answer); score < 0 || score > 1 || (score >= heuristicThreshold) != c.good {
			t.Errorf("answer %q: score %.2f", c.answer, score)
		}
	}
}
