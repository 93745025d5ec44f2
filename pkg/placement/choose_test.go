package placement

import (
	"fmt"
	"testing"
	"time"

	"cassiapin/pkg/topology"
)

var epoch = time.Unix(1_700_000_000, 0)

func newUpstream(id, domain, region string) *topology.Upstream {
	return &topology.Upstream{ID: id, Service: "pool", FailureDomain: domain, Region: region, Slots: 10, StartedMS: 1}
}

func request(now time.Time, list ...*topology.Upstream) Request {
	return Request{
		Upstreams: list, FailureDomain: "a", Region: "r", Now: now,
		Usable: func(*topology.Upstream, time.Time) bool { return true },
	}
}

func choose(t *testing.T, table *Table, r Request) string {
	t.Helper()
	c, ok := table.Choose(r, 0.5)
	if !ok {
		return ""
	}
	return c.Upstream.ID
}

// TestChoosePrefersNearUnlessLoaded guards against requests that are sent to
// another region while a near upstream is idle, and against overloading the near
// one before others are used.
func TestChoosePrefersNearUnlessLoaded(t *testing.T) {
	table := NewTable()
	near, far := newUpstream("near", "a", "r"), newUpstream("far", "c", "q")
	if got := choose(t, table, request(epoch, far, near)); got != "near" {
		t.Errorf("idle: %q", got)
	}
	for range 6 {
		table.Opened(near, 0, epoch)
	}
	if got := choose(t, table, request(epoch, far, near)); got != "far" {
		t.Errorf("near upstream loaded: %q", got)
	}
}

// TestChooseWithFreeSlots guards against requests that are sent to another
// region because one of several slots of the near upstream is taken, and against
// requests that queue at the near upstream while a far one has free slots.
func TestChooseWithFreeSlots(t *testing.T) {
	table := NewTable()
	near, far := newUpstream("near", "a", "r"), newUpstream("far", "c", "q")
	near.Slots, far.Slots = 6, 6
	for open, want := range []string{"near", "near", "near", "far", "far", "far"} {
		if got := choose(t, table, request(epoch, far, near)); got != want {
			t.Errorf("%d requests at the near upstream: %q, want %q", open, got, want)
		}
		table.Opened(near, 0, epoch)
	}
}

// TestChooseAvoidsPendingPrefill guards against short requests that queue behind
// the prefill of a long prompt at an upstream with few requests.
func TestChooseAvoidsPendingPrefill(t *testing.T) {
	table := NewTable()
	longPrompt, shortPrompts := newUpstream("long", "a", "r"), newUpstream("short", "a", "r")
	table.Opened(longPrompt, 2*time.Second, epoch)
	table.Opened(shortPrompts, 10*time.Millisecond, epoch)
	table.Opened(shortPrompts, 10*time.Millisecond, epoch)
	if got := choose(t, table, request(epoch, longPrompt, shortPrompts)); got != "short" {
		t.Errorf("chosen %q, want the upstream without a long prompt", got)
	}
	table.Read(longPrompt, 2*time.Second, epoch)
	if got := choose(t, table, request(epoch, longPrompt, shortPrompts)); got != "long" {
		t.Errorf("after the prefill: %q", got)
	}
}

// TestUnreachablePauseDoubles guards against sending requests to an upstream
// that has just refused a connection, and against never retrying it.
func TestUnreachablePauseDoubles(t *testing.T) {
	table := NewTable()
	u := newUpstream("u", "a", "r")
	now := epoch
	for i, want := range []time.Duration{pauseMin, 2 * pauseMin, 4 * pauseMin, pauseMax, pauseMax} {
		if got := table.Failed(u, true, now); got != want {
			t.Errorf("failure %d: pause %s, want %s", i, got, want)
		}
		if got := choose(t, table, request(now, u)); got != "" {
			t.Errorf("failure %d: chosen during the pause", i)
		}
		now = now.Add(want)
		if got := choose(t, table, request(now, u)); got != "u" {
			t.Errorf("failure %d: not tried after the pause", i)
		}
	}
	table.Succeeded(u, now)
	if got := table.Failed(u, true, now); got != pauseMin {
		t.Errorf("first failure after a success: pause %s", got)
	}
}

// TestRetractFailure guards against avoiding an upstream because of a
// retracted failure.
func TestRetractFailure(t *testing.T) {
	table := NewTable()
	near, far := newUpstream("near", "a", "r"), newUpstream("far", "c", "q")
	table.Failed(near, false, epoch)
	if got := choose(t, table, request(epoch, near, far)); got != "far" {
		t.Errorf("after a failure: %q", got)
	}
	table.RetractFailure(near, epoch)
	if got := choose(t, table, request(epoch, near, far)); got != "near" {
		t.Errorf("after the failure was retracted: %q", got)
	}
}

// TestMaxOpenNotExceeded guards against opening more connections to an
// upstream than this node's share.
func TestMaxOpenNotExceeded(t *testing.T) {
	table := NewTable()
	near, far := newUpstream("near", "a", "r"), newUpstream("far", "c", "q")
	near.Slots = 1000
	for range 5 {
		table.Opened(near, 0, epoch)
	}
	r := request(epoch, near, far)
	r.MaxOpen = 5
	if got := choose(t, table, r); got != "far" {
		t.Errorf("chosen %q although its connection limit is reached", got)
	}
	table.Closed(near, epoch)
	if got := choose(t, table, r); got != "near" {
		t.Errorf("chosen %q after a connection was closed", got)
	}
}

// TestPartlyFailingUpstreamGetsFewer guards against sending an upstream that
// fails half of its requests its full share, and against never retrying it.
func TestPartlyFailingUpstreamGetsFewer(t *testing.T) {
	table := NewTable()
	failing, healthy := newUpstream("failing", "a", "r"), newUpstream("healthy", "a", "r")
	now := epoch
	got := map[string]int{}
	for i := range 400 {
		now = now.Add(20 * time.Millisecond)
		c, _ := table.Choose(request(now, failing, healthy), float64(i%97)/97)
		got[c.Upstream.ID]++
		if c.Upstream == failing && i%2 == 0 {
			table.Failed(failing, false, now)
		} else {
			table.Succeeded(c.Upstream, now)
		}
	}
	if got["failing"] > 100 {
		t.Errorf("failing upstream got %d of 400 requests", got["failing"])
	}
	if got["failing"] == 0 {
		t.Error("failing upstream got no requests")
	}
}

// TestAffinityAgreesAcrossNodes guards against nodes that prefer different
// upstreams for one prefix, so that each upstream has to process it, and against
// a hot prefix that overloads its upstream.
func TestAffinityAgreesAcrossNodes(t *testing.T) {
	var list []*topology.Upstream
	for i := range 6 {
		list = append(list, newUpstream(fmt.Sprintf("u%d", i), string(rune('a'+i%2)), "r"))
	}
	chosen := map[string]bool{}
	for node := range 8 {
		r := request(epoch, list...)
		r.Prompt = Prompt{Key: "large/4711", Tokens: 8000, Prefill: 150 * time.Millisecond}
		r.FailureDomain = string(rune('a' + node%2))
		c, _ := NewTable().Choose(r, float64(node)/8)
		chosen[c.Upstream.ID] = true
	}
	if len(chosen) != 1 {
		t.Errorf("8 idle nodes chose %d upstreams for one prefix", len(chosen))
	}
	table := NewTable()
	upstreams := map[string]bool{}
	for range 20 {
		r := request(epoch, list...)
		r.Prompt = Prompt{Key: "large/4711", Tokens: 8000, Prefill: 150 * time.Millisecond}
		c, _ := table.Choose(r, 0.3)
		table.Opened(c.Upstream, 100*time.Millisecond, epoch)
		upstreams[c.Upstream.ID] = true
	}
	if len(upstreams) < 3 {
		t.Errorf("20 requests with one prefix were spread over %d upstreams, want at least 3", len(upstreams))
	}
}

// TestPrefillEstimatorIgnoresQueueing guards against an estimate that grows with
// queueing time, which most samples include.
func TestPrefillEstimatorIgnoresQueueing(t *testing.T) {
	e := NewPrefillEstimator()
	for i := range 200 {
		took := 300 * time.Millisecond // 10,000 tokens without queueing.
		if i%4 != 0 {
			took += time.Duration(i%7) * 300 * time.Millisecond
		}
		e.Observe("large", 10_000, took)
	}
	if got := e.Estimate("large", 10_000); got < 250*time.Millisecond || got > 600*time.Millisecond {
		t.Errorf("estimate %s, want about 300 ms", got)
	}
	e.Observe("small", 100, time.Second)
	if got := e.Estimate("small", 55_000); got != NewPrefillEstimator().Estimate("small", 55_000) {
		t.Errorf("a short prompt changed the estimate to %s", got)
	}
}
