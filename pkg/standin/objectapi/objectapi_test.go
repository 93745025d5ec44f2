package objectapi

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cassiapin/pkg/clock"
)

func start(t *testing.T, o Options) (*Server, string) {
	t.Helper()
	s := New(o)
	url, stop, err := s.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	return s, url
}

func call(method, url, header, condition string, body []byte) (*http.Response, []byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	if header != "" {
		req.Header.Set(header, condition)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, data, err
}

// Guards against two concurrent updates of the same version that both succeed.
func TestConditionalUpdateHasOneWinner(t *testing.T) {
	s, url := start(t, Options{})
	v := s.Put("config/current", []byte("0"))
	var won, lost atomic.Int64
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			resp, _, err := call("PUT", url+"/objects/config/current", "If-Match",
				`"`+strconv.FormatUint(v, 10)+`"`, []byte{byte(i)})
			if err != nil {
				t.Error(err)
				return
			}
			switch resp.StatusCode {
			case 200:
				won.Add(1)
			case 412:
				lost.Add(1)
			}
		})
	}
	wg.Wait()
	if won.Load() != 1 || lost.Load() != 15 {
		t.Fatalf("%d updates succeeded and %d conflicted, want 1 and 15", won.Load(), lost.Load())
	}
}

// Guards against a lost response whose write is lost too, or that the client
// receives as a success.
func TestLostAnswerKeepsTheWrite(t *testing.T) {
	s, url := start(t, Options{})
	s.SetFaults(Faults{LoseAnswers: 1})
	if resp, _, err := call("PUT", url+"/objects/a/b", "If-None-Match", "*", []byte("x")); err == nil {
		t.Fatalf("got status %d, want a closed connection", resp.StatusCode)
	}
	if o, ok := s.Object("a/b"); !ok || string(o.Value) != "x" {
		t.Fatalf("object %+v ok %v, want the written value", o, ok)
	}
	resp, _, err := call("PUT", url+"/objects/a/b", "If-None-Match", "*", []byte("x"))
	if err != nil || resp.StatusCode != 412 {
		t.Fatalf("second create: %v %v, want 412", resp, err)
	}
	if c := s.Counters(); c.LostAnswers != 1 || c.Applied != 1 || c.Conflicts != 1 {
		t.Fatalf("counters %+v", c)
	}
}

// Guards against watches that miss a deletion or do not return on a change.
func TestWatchReportsChangesAndDeletions(t *testing.T) {
	s, url := start(t, Options{})
	v := s.Put("lease/a", []byte("1"))
	type answer struct {
		Objects []Object
		Version uint64
	}
	got := make(chan answer, 1)
	go func() {
		_, data, err := call("GET", url+"/watch?prefix=lease/&timeout_ms=60000&after="+strconv.FormatUint(v, 10), "", "", nil)
		var a answer
		if err != nil || json.Unmarshal(data, &a) != nil {
			t.Errorf("watch: %v %s", err, data)
		}
		got <- a
	}()
	for s.Counters().WaitingWatches == 0 {
		time.Sleep(time.Millisecond)
	}
	s.Put("other", nil)
	resp, _, err := call("DELETE", url+"/objects/lease/a", "If-Match", `"1"`, nil)
	if err != nil || resp.StatusCode != 204 {
		t.Fatalf("delete: %v %v", resp, err)
	}
	a := <-got
	if len(a.Objects) != 1 || !a.Objects[0].Deleted || a.Version < 3 {
		t.Fatalf("watch returned %+v, want the deletion of lease/a", a)
	}
}

// Guards against a store that accepts more writes than its rate limit.
func TestWritesAreLimited(t *testing.T) {
	s, url := start(t, Options{WritesPerSecond: 2, Clock: clock.NewFake(time.Unix(0, 0))})
	statuses := map[int]int{}
	for i := range 5 {
		resp, _, err := call("PUT", url+"/objects/k"+strconv.Itoa(i), "If-None-Match", "*", nil)
		if err != nil {
			t.Fatal(err)
		}
		statuses[resp.StatusCode]++
	}
	if statuses[201] != 2 || statuses[429] != 3 || s.Counters().LimitedWrites != 3 {
		t.Fatalf("statuses %v", statuses)
	}
}
