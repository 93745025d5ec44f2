package edge

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cassiapin/pkg/drain"
	"cassiapin/platform/platformtest"
)

// TestLateRequestsOfPlannedStop guards against requests that are passed on late in
// a planned stop and cut off at its end without an answer.
func TestLateRequestsOfPlannedStop(t *testing.T) {
	for name, ahead := range map[string]string{"unused connection": "", "request begun": "POST /booking/1 HTTP/1.1\r\nHost: "} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			n := f.nodes[0]
			var ran atomic.Int64
			f.store.RemoveRunner("i-1")
			f.store.RemoveRunner("i-2")
			f.store.PutRunner("i-3", "v1", platformtest.Runner(t, func(_ http.ResponseWriter, q *http.Request) {
				ran.Add(1)
				<-q.Context().Done()
			}))
			f.store.PutRoutes(2, platformtest.AtMostOnceRoute("/booking/"))
			f.eventually("the node knows the runner and the route", func() bool {
				v := n.storeView.View()
				all := v.Upstreams["pool"]
				return v.Config.Version == 2 && len(all) == 1 && all[0].ID == "i-3"
			})
			grace := n.settings.Bounds.Grace.Std()
			accepting := time.Duration(drain.AcceptShare * float64(grace))
			stopped := make(chan error, 1)
			go func() { stopped <- n.Stop(time.Now()) }()
			time.Sleep(accepting - 100*time.Millisecond)
			conn := dialRaw(t, n.settings.Entry)
			_, _ = io.WriteString(conn, ahead)
			time.Sleep(300 * time.Millisecond)
			_, err := io.WriteString(conn, strings.TrimPrefix(rawRequest("/booking/1", "7"), ahead))
			if err == nil {
				_ = conn.SetReadDeadline(time.Now().Add(grace))
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil && (response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "") {
					t.Errorf("status %d, Retry-After %q", response.StatusCode, response.Header.Get("Retry-After"))
				}
				if err != nil && ahead != "" {
					t.Errorf("a request that was begun has no answer: %v", err)
				}
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
			if got := ran.Load(); got > 0 {
				t.Errorf("%d requests were passed on too late to be answered", got)
			}
		})
	}
}
