package standin_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/standin"
	"cassiapin/pkg/standin/hostlist"
	"cassiapin/pkg/standin/httpservice"
	"cassiapin/pkg/standin/rating"
	"cassiapin/pkg/standin/weights"
)

type startable interface {
	Start(listenAddr string) (url string, stop func(), err error)
}

func start(t *testing.T, s startable) string {
	t.Helper()
	url, stop, err := s.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return url
}

// call returns status 0 if the connection fails without a response.
func call(t *testing.T, method, url, attempt, body string, answer any) (status int) {
	t.Helper()
	req, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Attempt-Id", attempt)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if answer != nil && resp.StatusCode < 300 && resp.StatusCode != http.StatusNoContent {
		if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
			t.Fatal(err)
		}
	}
	return resp.StatusCode
}

// Guards against a lost booking response that cannot be queried by attempt id,
// and against a double booking that is not counted.
func TestBookingWithLostAnswer(t *testing.T) {
	s := httpservice.New(httpservice.Options{})
	url := start(t, s)
	s.LoseAnswers(1)
	if status := call(t, "POST", url+"/bookings", "a1", `{"slot":"mon-9"}`, nil); status != 0 {
		t.Fatalf("status %d, want a closed connection", status)
	}
	var a httpservice.Attempt
	if status := call(t, "GET", url+"/attempts/a1", "", "", &a); status != 200 || a.Status != 201 {
		t.Fatalf("status %d, attempt %+v", status, a)
	}
	var b httpservice.Booking
	if err := json.Unmarshal(a.Body, &b); err != nil || b.Slot != "mon-9" {
		t.Fatalf("booking %+v: %v", b, err)
	}
	if status := call(t, "GET", url+"/attempts/a2", "", "", nil); status != 404 {
		t.Fatalf("status %d for an attempt that was never executed, want 404", status)
	}
	if d := s.DoubleBooked(); len(d) != 0 {
		t.Fatalf("double bookings %v before the retry", d)
	}
	call(t, "POST", url+"/bookings", "a1", `{"slot":"mon-9"}`, nil)
	if d, c := s.DoubleBooked(), s.Counters(); len(d) != 1 || c.ByAttempt["a1"] != 2 {
		t.Fatalf("double bookings %v, counters %+v", d, c)
	}
}

// Guards against ratings that follow the version claimed by the caller instead
// of the true one, depend on the order of calls, or are never missing.
func TestRatingFollowsTrueQuality(t *testing.T) {
	good, bad := config.VersionRef{Model: "small", Version: "1"}, config.VersionRef{Model: "small", Version: "2"}
	quality := standin.NewQualityModel()
	quality.Set("", good, 0.8)
	quality.Set("", bad, 0.4)
	s := rating.New(rating.Options{Quality: quality, MissingShare: 0.3, Noise: 0.05, Seed: 3})
	url := start(t, s)
	sum, rated := 0.0, 0
	for i := range 300 {
		id := standin.AnswerID{Ref: bad, Class: "tag", Hash: standin.Hash64(fmt.Sprint(i))}
		body := fmt.Sprintf(`{"request_id":"r%d","class":"tag","model":"small","version":"1","answer":"%s x"}`, i, id)
		first, second := math.NaN(), math.NaN()
		for _, x := range []*float64{&first, &second} {
			var a struct{ Rating float64 }
			if call(t, "POST", url+"/rate", "", body, &a) == 200 {
				*x = a.Rating
			}
		}
		if first != second && !math.IsNaN(first) {
			t.Fatalf("first rating %f, second rating %f", first, second)
		}
		if !math.IsNaN(first) {
			sum += first
			rated++
		}
	}
	c := s.Counters()
	if mean := sum / float64(rated); mean < 0.36 || mean > 0.44 || rated < 180 || rated > 240 {
		t.Fatalf("mean %f of %d ratings, want 0.4 of about 210", mean, rated)
	}
	if c.Mismatched != c.Rated || c.ByVersion[bad] != c.Rated {
		t.Fatalf("counters %+v", c)
	}
}

// Guards against a host list that does not lag and a weight store without a
// rate limit.
func TestHostListLagsAndWeightsAreLimited(t *testing.T) {
	now := clock.NewFake(time.Unix(0, 0))
	hosts := hostlist.New(2*time.Second, now)
	url := start(t, hosts)
	list := func() (states []string) {
		var a struct{ Hosts []hostlist.Host }
		call(t, "GET", url+"/hosts", "", "", &a)
		for _, h := range a.Hosts {
			states = append(states, string(h.State))
		}
		return states
	}
	hosts.Set(hostlist.Host{Name: "r1"})
	now.Advance(2 * time.Second)
	hosts.SetState("r1", hostlist.Leaving)
	before := list()
	now.Advance(2 * time.Second)
	hosts.Remove("r1")
	after := list()
	if got := strings.Join(append(before, after...), " "); got != "live leaving" {
		t.Fatalf("states %q, want live, then leaving", got)
	}
	store := weights.New(weights.Options{PerMinute: 60, Clock: now})
	url = start(t, store)
	fetch := func() int { return call(t, "POST", url+"/fetch", "", `{"version":"small@2"}`, nil) }
	first, second := fetch(), fetch()
	now.Advance(time.Second)
	if third := fetch(); first != 200 || second != 429 || third != 200 {
		t.Fatalf("statuses %d %d %d, want 200 429 200", first, second, third)
	}
}

// Guards against calls that stay hung after the faults are cleared and refused
// calls that are not counted.
func TestInjectedFaults(t *testing.T) {
	s := hostlist.New(0, nil)
	url := start(t, s)
	s.SetFaults(standin.Faults{Refuse: true})
	if status := call(t, "GET", url+"/hosts", "", "", nil); status != 503 {
		t.Fatalf("status %d, want 503", status)
	}
	s.SetFaults(standin.Faults{Hang: true})
	hung := make(chan int, 1)
	go func() { hung <- call(t, "GET", url+"/hosts", "", "", nil) }()
	for deadline := time.Now().Add(10 * time.Second); s.FaultedCalls() < 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	s.SetFaults(standin.Faults{})
	// The client retries a GET if a reused connection closes without a response.
	if status := <-hung; status != 0 && status != 200 {
		t.Fatalf("status %d, want 0, or 200 from a retry", status)
	}
}
