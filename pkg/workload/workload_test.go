package workload

import (
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cassiapin/pkg/config"
	"cassiapin/pkg/standin/engine"
)

func urls(d *Deployment) URLs {
	u := URLs{Runners: map[string]string{}, Service: map[string]string{}}
	for _, r := range d.Runners {
		u.Runners[r.Name] = "http://127.0.0.1:1"
	}
	for _, f := range d.Domains {
		u.Service[f.Name] = "http://127.0.0.1:2"
	}
	return u
}

func allDeployments() []*Deployment { return []*Deployment{Berceuse(), Vaxmynd()} }

// Guards against a run that cannot be reproduced from its seed, and against
// seeds without effect.
func TestSameSeedGivesSameRequests(t *testing.T) {
	for _, d := range allDeployments() {
		o := Options{Seed: 11, Rate: 50, Duration: 10 * time.Second, BurstAt: 5 * time.Second, BurstFor: 5 * time.Second}
		first := slices.Collect(New(d, o).All())
		// reflect.DeepEqual stops at the first difference; a diff of thousands
		// of bodies takes minutes.
		if !reflect.DeepEqual(first, slices.Collect(New(d, o).All())) {
			t.Fatal("the same seed gives different requests")
		}
		o.Seed++
		if reflect.DeepEqual(first, slices.Collect(New(d, o).All())) {
			t.Fatal("a different seed gives the same requests")
		}
	}
}

// Guards against declarations that fail validation or lack a model in a failure
// domain, requests that the declarations do not cover, and duplicate booking
// slots.
func TestRequestsMatchDeclarations(t *testing.T) {
	for _, d := range allDeployments() {
		if err := config.Check(d.Declarations(urls(d))); err != nil {
			t.Fatalf("%s: %v", d.Name, err)
		}
		s := config.NewSnapshot(1, "", d.Declarations(urls(d)))
		if n := len(s.Declarations.Upstreams); n != map[string]int{"berceuse": 10, "vaxmynd": 20}[d.Name] {
			t.Fatalf("%s has %d runners", d.Name, n)
		}
		for _, ref := range []config.VersionRef{Small, Medium, Medium2, Large} {
			domains := map[string]bool{}
			for _, u := range s.Serving(ref) {
				domains[u.FailureDomain] = true
			}
			if _, ok := s.Version(ref); !ok || len(domains) != len(d.Domains) {
				t.Fatalf("%s: %s is served in %v", d.Name, ref, domains)
			}
		}
		slots := map[string]bool{}
		kinds := map[string]int{}
		for r := range New(d, Options{Seed: 1, Rate: 100, Duration: 10 * time.Second}).All() {
			org, known := s.OrganisationByKey(r.Key)
			if _, ok := s.Class(r.Class); !ok || !known || org.Name != r.Organisation {
				t.Fatalf("undeclared class or organisation: request %+v", r)
			}
			if r.Slot != "" && slots[r.Slot] {
				t.Fatalf("slot %s is booked twice", r.Slot)
			}
			slots[r.Slot] = true
			switch service, ok := s.Service(r.Service); {
			case r.IsService() && (!ok || service.Idempotent(r.Method, r.Path) != (r.IdempotencyKey == "")):
				t.Fatalf("undeclared service or unexpected idempotency key: request %+v", r)
			case r.IsService():
				kinds["service"]++
			case r.Session != "":
				kinds["session"]++
			case r.Stream:
				kinds["stream"]++
			}
		}
		if len(kinds) != 3 {
			t.Fatalf("%s: request kinds %v, want 3", d.Name, kinds)
		}
	}
}

// Guards against a burst without effect, arrivals that deviate from the
// configured rate, and lengths without a heavy tail.
func TestRatesAndTails(t *testing.T) {
	const rate, half = 50, 30
	for _, d := range allDeployments() {
		o := Options{Seed: 5, Rate: rate, Duration: 2 * half * time.Second, BurstAt: half * time.Second, BurstFor: half * time.Second, BurstFactor: 6}
		baseline, burst, lookups := 0.0, 0.0, [2]float64{}
		var answers []int
		for r := range New(d, o).All() {
			count, part := &baseline, 0
			if r.Offset >= o.BurstAt {
				count, part = &burst, 1
			}
			*count++
			if r.Class == "lookup" {
				lookups[part]++
			}
			if r.AnswerTokens > 0 {
				answers = append(answers, r.AnswerTokens)
			}
		}
		batch := 0.0
		for _, c := range d.Classes {
			if c.Batch {
				batch += c.Share
			}
		}
		expectNear(t, "requests before the burst", baseline, rate*half)
		expectNear(t, "burst requests", burst, rate*half*(1+5*batch))
		expectNear(t, "lookups in the burst", lookups[1], lookups[0])
		slices.Sort(answers)
		if median, p99 := answers[len(answers)/2], answers[len(answers)*99/100]; p99 < 8*median {
			t.Fatalf("answers: median %d, p99 %d, want a heavy tail", median, p99)
		}
	}
}

func expectNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 0.1*want {
		t.Fatalf("%s: %.0f, want about %.0f", what, got, want)
	}
}

// Guards against token counts that differ from the engine's, and against
// runners whose engine does not load the declared versions.
func TestEngineAgreesOnTokensAndVersions(t *testing.T) {
	d := Vaxmynd()
	e := engine.New(d.Runners[0].EngineOptions())
	if diff := cmp.Diff(d.Runners[0].Serves, e.Load().Versions); diff != "" {
		t.Fatal(diff)
	}
	for r := range New(d, Options{Seed: 2, Rate: 20, Duration: 5 * time.Second}).All() {
		if r.IsService() {
			continue
		}
		text, err := e.Expected(r.Body, Small, "")
		if err != nil || len(text) == 0 {
			t.Fatalf("%q: %v", text, err)
		}
		if prompt, answer, err := e.Tokens(r.Body, Small); err != nil || prompt != r.PromptTokens || answer != r.AnswerTokens {
			t.Fatalf("engine counts %d and %d, workload %d and %d: %v", prompt, answer, r.PromptTokens, r.AnswerTokens, err)
		}
	}
}
