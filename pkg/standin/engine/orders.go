package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/standin"
)

const (
	maxOrderBytes   = 64 << 10
	maxOrderHistory = 1000
	// weightsRetryInterval is the delay after a refusal by the weight store.
	weightsRetryInterval = 100 * time.Millisecond
	// maxReports bounds the number of retained load reports.
	maxReports = 512
)

// Order is the body of POST /orders.
type Order struct {
	// Action is "load", "unload" or "role".
	Action  string `json:"action"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// OrderRecord is an order with its fencing number and outcome.
type OrderRecord struct {
	Order
	Fencing uint64
	// Stale is set if the fencing number was stale, Accepted if the order was
	// accepted.
	Stale, Accepted bool
}

// Orders returns the most recent orders in order of arrival.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderRecord(nil), e.orderHistory...)
}

// Role returns the role of the last role order.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxOrderBytes))
	var o Order
	if err != nil || json.Unmarshal(body, &o) != nil {
		standin.WriteError(w, http.StatusBadRequest, "bad_order", "malformed order")
		return
	}
	fencing, err := strconv.ParseUint(r.Header.Get(headerFencing), 10, 64)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "bad_fencing", "X-Fencing-Number is required")
		return
	}
	status, message := e.handleOrder(o, fencing)
	if status >= http.StatusBadRequest {
		standin.WriteError(w, status, "order_refused", message)
		return
	}
	standin.WriteJSON(w, status, map[string]any{"state": message, "fencing": fencing})
}

// handleOrder checks the fencing number, applies the order and records it.
func (e *Engine) handleOrder(o Order, fencing uint64) (status int, message string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rec := OrderRecord{Order: o, Fencing: fencing, Stale: fencing < e.fencing}
	refused := rec.Stale && e.options.Fencing
	if refused {
		e.counters.StaleRefused++
		status, message = http.StatusConflict, "the fencing number is old"
	} else {
		status, message = e.applyOrder(o)
		rec.Accepted = status < http.StatusBadRequest
	}
	if rec.Accepted {
		e.counters.Orders++
		e.fencing = max(e.fencing, fencing)
		if rec.Stale {
			e.counters.StaleAccepted++
		}
	}
	if len(e.orderHistory) >= maxOrderHistory {
		e.orderHistory = e.orderHistory[1:]
	}
	e.orderHistory = append(e.orderHistory, rec)
	return status, message
}

func (e *Engine) applyOrder(o Order) (status int, message string) {
	if o.Action == "role" {
		e.role = o.Role
		return http.StatusOK, "role"
	}
	ref, err := config.ParseVersionRef(o.Version)
	if err != nil {
		return http.StatusBadRequest, "version is not model@version"
	}
	_, loaded := e.loaded[ref]
	switch {
	case o.Action == "unload":
		e.unload(ref)
		return http.StatusOK, "unloaded"
	case o.Action != "load":
		return http.StatusBadRequest, "unknown action"
	case loaded:
		return http.StatusOK, "loaded"
	case !e.loading[ref]:
		e.loading[ref] = true
		go e.fetchAndLoad(ref)
	}
	return http.StatusAccepted, "loading"
}

func (e *Engine) unload(ref config.VersionRef) {
	delete(e.loaded, ref)
	delete(e.loading, ref)
	kept := e.loadOrder[:0]
	for _, r := range e.loadOrder {
		if r != ref {
			kept = append(kept, r)
		}
	}
	e.loadOrder = kept
}

// fetchAndLoad obtains a token from the weight store and loads the version
// after the load time, unless it was unloaded in the meantime.
func (e *Engine) fetchAndLoad(ref config.VersionRef) {
	for e.options.WeightsURL != "" && !e.fetchWeights(ref) {
		if e.options.Clock.Sleep(e.ctx, weightsRetryInterval) != nil {
			return
		}
	}
	if e.options.Clock.Sleep(e.ctx, e.scaled(e.options.LoadTime)) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading[ref] {
		delete(e.loading, ref)
		e.load(ref)
	}
}

func (e *Engine) fetchWeights(ref config.VersionRef) bool {
	body, err := json.Marshal(map[string]string{"version": ref.String(), "engine": e.options.Name})
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(e.ctx, http.MethodPost, e.options.WeightsURL+"/fetch", bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		_ = resp.Body.Close() // only the status is used
	}
	granted := err == nil && resp.StatusCode == http.StatusOK
	e.mu.Lock()
	defer e.mu.Unlock()
	if granted {
		e.counters.WeightFetches++
	} else {
		e.counters.WeightRefusals++
	}
	return granted
}

type timedReport struct {
	at     time.Time
	report Report
}

// report returns the current load. The caller must hold the lock.
func (e *Engine) report(now time.Time) Report {
	r := Report{
		Upstream: e.options.Name, State: e.state(now),
		Running: len(e.batch.running), Queued: len(e.batch.waiting),
		Capacity: e.options.Capacity, MaxConcurrency: e.concurrencyLimit(now),
		Versions: append([]config.VersionRef(nil), e.loadOrder...),
	}
	if now.Before(e.cold.downUntil) {
		r.MaxConcurrency = 0
	}
	if e.leaving {
		r.State = Leaving
	}
	return r
}

// recordReport stores the current load for later reports. A sample is skipped if the
// previous one is less than a tenth of the lag old.
func (e *Engine) recordReport(now time.Time) {
	if e.options.ReportLag <= 0 {
		return
	}
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].at) < e.options.ReportLag/10 {
		return
	}
	if len(e.reports) >= maxReports {
		e.reports = append(e.reports[:0], e.reports[maxReports/2:]...)
	}
	e.reports = append(e.reports, timedReport{at: now, report: e.report(now)})
}

// laggedReport returns the newest report that is at least ReportLag old, or
// the oldest one if there is none.
func (e *Engine) laggedReport(now time.Time) Report {
	e.recordReport(now)
	if len(e.reports) == 0 {
		return e.report(now)
	}
	chosen := 0
	for i, r := range e.reports {
		if now.Sub(r.at) >= e.options.ReportLag {
			chosen = i
		}
	}
	return e.reports[chosen].report
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.counters.LoadPolls++
	e.polls++
	r := e.laggedReport(e.options.Clock.Now())
	r.Sequence = e.polls
	state := e.state(e.options.Clock.Now())
	e.mu.Unlock()
	w.Header().Set(headerState, string(state))
	standin.WriteJSON(w, http.StatusOK, r)
}
