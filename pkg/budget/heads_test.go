package budget

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestHeadMeter guards against bytes of a head that are not counted, are counted once
// it has been read, or are not given back.
func TestHeadMeter(t *testing.T) {
	memory := NewSharedMemory(100 * headExpansion)
	m := NewHeadMeter(memory.Of("heads"), 10)
	steps := []struct {
		name string
		do   func() bool
		ok   bool
		used int64
	}{
		{"before the first head", func() bool { return m.Add(1000) }, true, 0},
		{"the free part", func() bool { m.Begin(); return m.Add(10) }, true, 0},
		{"more", func() bool { return m.Add(50) }, true, 50 * headExpansion},
		{"too much", func() bool { return m.Add(51) }, false, 50 * headExpansion},
		{"the next head", func() bool { m.Begin(); return m.Add(20) }, true, 10 * headExpansion},
		{"a body", func() bool { m.End(); return m.Add(1000) }, true, 0},
	}
	for _, s := range steps {
		if ok := s.do(); ok != s.ok || memory.Used() != s.used {
			t.Errorf("%s: %v with %d bytes in use, want %v with %d", s.name, ok, memory.Used(), s.ok, s.used)
		}
	}
	if !NewHeadMeter(nil, 0).Add(1) {
		t.Error("a meter without an account has a bound")
	}
}

// TestUnfinishedHeadsBoundedTogether guards against heads that are sound one by one,
// are never finished and exceed the memory of the host together.
func TestUnfinishedHeadsBoundedTogether(t *testing.T) {
	const limit, connections, headBytes = 8 << 20, 100, 32 << 10
	memory := NewSharedMemory(limit)
	c := NewConnections(2 * connections)
	c.LimitHeads(func() Account { return memory.Of(ArrivingHeads) })
	s := httptest.NewUnstartedServer(c.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	s.Listener = c.Listener(s.Listener)
	s.Config.ConnState, s.Config.ConnContext = c.ConnState, ConnContext
	s.Start()
	t.Cleanup(s.Close)
	var head strings.Builder
	for i := 0; head.Len() < headBytes; i++ {
		fmt.Fprintf(&head, "%x:\r\n", i)
	}
	var all []caller
	for range connections {
		conn := dial(t, s)
		_, _ = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\n%s", head.String()) // It fails once there is no memory.
		all = append(all, conn)
	}
	eventually(t, "no unfinished head is counted", func() bool { return memory.Used() > 0 })
	for range 20 {
		if used := memory.Used(); used > limit {
			t.Fatalf("%d bytes in use, the bound is %d", used, limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if open := c.Open(); open >= connections {
		t.Errorf("%d connections with unfinished heads are open, %d bytes each", open, headBytes)
	}
	if status := dial(t, s).get(); status != http.StatusOK {
		t.Errorf("a usual request: status %d", status)
	}
	for _, conn := range all {
		_ = conn.Close()
	}
	eventually(t, "memory of closed connections is still in use", func() bool { return memory.Used() == 0 })
}
