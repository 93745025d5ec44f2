package balance

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"slices"
	"testing"
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
	"cassiapin/pkg/runners"
)

type fakeSource struct {
	kernel.Base
	config.Static
}

func (*fakeSource) Name() string { return config.SourceServiceName }

type fakeTable struct {
	kernel.Base
	runners.Table
	all []runners.Candidate
	// oneRegion means that all candidates are in the node's region.
	oneRegion bool
}

func (*fakeTable) Name() string { return runners.ServiceName }

func (f *fakeTable) Candidates(dst []runners.Candidate, _ config.VersionRef, other bool) []runners.Candidate {
	if f.oneRegion {
		return append(dst, f.all...)
	}
	for i := range f.all {
		if other || f.all[i].Upstream.Region == "r" {
			dst = append(dst, f.all[i])
		}
	}
	return dst
}

type fakeMembers struct {
	kernel.Base
	peer.Members
	nodes int
}

func (*fakeMembers) Name() string { return peer.MembershipServiceName }
func (f *fakeMembers) Live() []peer.Member {
	return slices.Repeat([]peer.Member{{Region: "r"}}, f.nodes)
}

func candidate(name, region string) runners.Candidate {
	return runners.Candidate{
		Upstream: &config.Upstream{Name: name, Region: region, FailureDomain: "d", ColdLimit: 2},
		State:    runners.Warm, Capacity: 10, Limit: 100, Weight: 1,
	}
}

func newTestService(t testing.TB, o Options, table *fakeTable) (*Service, *clock.Fake) {
	t.Helper()
	fake := clock.NewFake(time.Unix(0, 0))
	k := kernel.New(fake, slog.New(slog.NewTextHandler(io.Discard, nil)))
	source := &fakeSource{}
	source.Snapshot = config.NewSnapshot(1, "", config.Declarations{
		Links: []config.Link{{Between: []string{"q", "r"}, BytesPerSecond: 4000}},
	})
	o.Region, o.FailureDomain = "r", "d"
	s, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	if err := k.Register(source, table, &fakeMembers{nodes: 4}, s); err != nil {
		t.Fatal(err)
	}
	if err := s.Provision(k); err != nil {
		t.Fatal(err)
	}
	return s, fake
}

func newTestTable(n int) *fakeTable {
	table := &fakeTable{oneRegion: true}
	rng := rand.New(rand.NewSource(7))
	for i := range n {
		c := candidate(fmt.Sprintf("runner-%03d", i), "r")
		c.Reported, c.Outstanding = rng.Intn(8), rng.Intn(3)
		table.all = append(table.all, c)
	}
	return table
}

func mustChoose(t *testing.T, s *Service, r Request) string {
	t.Helper()
	c, err := s.Choose(r)
	if err != nil {
		t.Fatal(err)
	}
	return c.Upstream.Name
}

// Guards against allocations on the hot path, whose garbage collection adds
// latency to all requests of a node.
func TestChooseDoesNotAllocate(t *testing.T) {
	for strategy := range pickers {
		s, _ := newTestService(t, Options{Strategy: strategy}, newTestTable(600))
		s.RecordSent(9, "runner-100")
		r := Request{Prefix: 9, PromptTokens: 4000, Avoid: "runner-200"}
		allocs := testing.AllocsPerRun(500, func() {
			r.Seed++
			s.RecordSent(r.Seed, "runner-300")
			if _, err := s.Choose(r); err != nil {
				t.Error(err)
			}
		})
		if allocs != 0 {
			t.Errorf("%s: %v allocations per choice", strategy, allocs)
		}
	}
}

// Guards against uneven load: with each choice counted as an outstanding request,
// every strategy must spread the requests almost evenly.
func TestChooseSpreadsLoad(t *testing.T) {
	for strategy := range pickers {
		table := &fakeTable{}
		for i := range 50 {
			table.all = append(table.all, candidate(fmt.Sprintf("u%d", i), "r"))
		}
		s, _ := newTestService(t, Options{Strategy: strategy}, table)
		for seed := range uint64(500) {
			name := mustChoose(t, s, Request{Seed: seed})
			for i := range table.all {
				if table.all[i].Upstream.Name == name {
					table.all[i].Outstanding++
				}
			}
		}
		for _, c := range table.all {
			if c.Outstanding < 6 || c.Outstanding > 14 {
				t.Errorf("%s: %s got %d of 500 requests, want 6 to 14", strategy, c.Upstream.Name, c.Outstanding)
			}
		}
	}
}

// Guards against choosing an avoided or full runner while another is free, or a
// cold runner at its limit, and against a wrong error code.
func TestChooseFiltersAndRefuses(t *testing.T) {
	a, b := candidate("a", "r"), candidate("b", "r")
	table := &fakeTable{all: []runners.Candidate{a, b}}
	s, _ := newTestService(t, Options{}, table)
	for seed := range uint64(20) {
		if got := mustChoose(t, s, Request{Avoid: "a", Seed: seed}); got != "b" {
			t.Fatalf("avoided runner %s was used", got)
		}
	}
	table.all[1].Outstanding = 100
	if got := mustChoose(t, s, Request{Avoid: "a"}); got != "a" {
		t.Fatalf("got %s, want the only usable runner", got)
	}
	expect := func(want result.Code) {
		t.Helper()
		if _, err := s.Choose(Request{}); result.CodeOf(err) != want {
			t.Fatalf("got %v, want code %d", err, want)
		}
	}
	table.all[0].Outstanding = 100
	expect(result.TooManyRequests)
	a.State, a.Outstanding = runners.Cold, 2
	table.all = []runners.Candidate{a}
	expect(result.ColdStartLimited)
	table.all = nil
	expect(result.NoRunner)
}

// Guards against prefix affinity that outweighs a queue, an eviction event
// without effect, and an unbounded prefix table.
func TestPrefixAffinity(t *testing.T) {
	table := &fakeTable{}
	for i := range 100 {
		table.all = append(table.all, candidate(fmt.Sprintf("u%02d", i), "r"))
	}
	s, _ := newTestService(t, Options{PrefixEntries: 64}, table)
	s.ApplyCacheEvent("u42", 5, true)
	hits := func() (n int) {
		for seed := range uint64(50) {
			if mustChoose(t, s, Request{Prefix: 5, PromptTokens: 1024, Seed: seed}) == "u42" {
				n++
			}
		}
		return n
	}
	if n := hits(); n != 50 {
		t.Errorf("idle runner with the prefix was chosen %d of 50 times, want 50", n)
	}
	table.all[42].Reported = 9
	if n := hits(); n != 0 {
		t.Errorf("loaded runner with the prefix was chosen %d of 50 times, want 0", n)
	}
	table.all[42].Reported = 0
	s.ApplyCacheEvent("u42", 5, false)
	if n := hits(); n > 10 {
		t.Errorf("runner was chosen %d of 50 times after its eviction event, want at most 10", n)
	}
	for p := range uint64(10_000) {
		s.RecordSent(p, "u1")
	}
	if n := len(s.prefix.buckets) * prefixWays; n != 64 {
		t.Errorf("prefix table has %d entries, want 64", n)
	}
}

// Guards against traffic on the region link that exceeds the node's share of the
// budget, or is sent while local runners are free.
func TestLinkBudget(t *testing.T) {
	local, far := candidate("near", "r"), candidate("far", "q")
	table := &fakeTable{all: []runners.Candidate{local, far}}
	s, fake := newTestService(t, Options{}, table)
	if got := mustChoose(t, s, Request{Bytes: 1}); got != "near" {
		t.Fatalf("runner %s was chosen while the local runner is free", got)
	}
	table.all[0].Reported = 30
	if got := mustChoose(t, s, Request{Bytes: 1}); got != "far" {
		t.Fatalf("runner %s was chosen while the local runner queues", got)
	}
	table.all = table.all[1:]
	sent := 0
	for range 10 * 20 { // 10 s at 20 requests/s
		if _, err := s.Choose(Request{Bytes: 250}); err == nil {
			sent += 250
		} else if result.CodeOf(err) != result.LinkBudgetExhausted {
			t.Fatal(err)
		}
		fake.Advance(50 * time.Millisecond)
	}
	// The share of 4,000 B/s over 4 nodes for 10 s, plus 1 s of burst.
	if sent < 10_000 || sent > 11_250 {
		t.Errorf("%d bytes were sent over the link in 10 s, want 10,000 to 11,250", sent)
	}
}

// Guards against an ejected runner that never receives a probe, and against a
// burst of probes to it.
func TestHalfOpenGetsOneProbe(t *testing.T) {
	back := candidate("back", "r")
	back.HalfOpen = true
	s, fake := newTestService(t, Options{}, &fakeTable{all: []runners.Candidate{candidate("a", "r"), back}})
	for range 2 {
		probes := 0
		for range 20 {
			if mustChoose(t, s, Request{}) == "back" {
				probes++
			}
		}
		if probes != 1 {
			t.Fatalf("%d probes within one probe interval, want 1", probes)
		}
		fake.Advance(probeInterval)
	}
}

// BenchmarkChoose600 measures one choice over 600 runners with a known prefix.
func BenchmarkChoose600(b *testing.B) {
	s, _ := newTestService(b, Options{}, newTestTable(600))
	s.RecordSent(9, "runner-100")
	times := make([]time.Duration, 0, b.N)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		begin := time.Now()
		if _, err := s.Choose(Request{Prefix: 9, PromptTokens: 500, Seed: uint64(i)}); err != nil {
			b.Fatal(err)
		}
		times = append(times, time.Since(begin))
	}
	b.StopTimer()
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)*99/100]), "p99-ns")
}

// Guards against batch requests that use every slot of a runner, so that lookups
// have to wait, and against a reserve that keeps a node from using its own share
// when other nodes have filled the runner.
func TestBatchLeavesRoomForUrgentRequests(t *testing.T) {
	table := &fakeTable{all: []runners.Candidate{candidate("a", "r")}}
	s, _ := newTestService(t, Options{}, table)
	c := &table.all[0]
	for _, step := range []struct {
		reported, outstanding int
		batch                 bool
	}{
		{0, 3, true}, {0, 4, false}, {2, 1, true}, {6, 0, true}, {6, 1, false}, {30, 0, true}, {30, 1, false},
	} {
		c.Reported, c.Outstanding = step.reported, step.outstanding
		_, err := s.Choose(Request{Reserve: 0.3})
		if (err == nil) != step.batch || err != nil && result.CodeOf(err) != result.TooManyRequests {
			t.Errorf("%+v: %v", step, err)
		}
		if _, err := s.Choose(Request{}); err != nil {
			t.Errorf("no runner for an urgent request at %+v: %v", step, err)
		}
	}
	c.Reported, c.Outstanding = 6, 2
	if _, err := s.Choose(Request{Reserve: 0.1}); err != nil {
		t.Errorf("a request that is not batch work was refused free capacity: %v", err)
	}
	c.Reported, c.Outstanding, c.Limit = 0, 2, 3
	if _, err := s.Choose(Request{Reserve: 0.3}); result.CodeOf(err) != result.TooManyRequests {
		t.Errorf("a batch request may use the last slot of the node's limit: got %v, want TooManyRequests", err)
	}
}
