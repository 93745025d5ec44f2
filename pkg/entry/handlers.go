package entry

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"goji.io/pat"

	"cassiapin/pkg/budget"
	"cassiapin/pkg/config"
	"cassiapin/pkg/dispatch"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
)

// memoryRetry is the least time after which a body may have room; up to as much
// again is added at random, so that callers do not return at once.
const memoryRetry = time.Second

// headCopies is the number of copies of a request's header that are held until its
// answer ends: that of the server and that of the call.
const headCopies = 2

// readBody reads the request body with a read timeout, a limit of its own and the
// organisation's share of the memory for all heads and bodies. The body is valid
// until release is called.
func (s *Service) readBody(w http.ResponseWriter, r *http.Request, c *caller) (body []byte, release func(), err error) {
	account := s.bodies.Of(c.organisation.Name)
	head := headCopies * budget.HeaderBytes(r.Header)
	if !account.Take(head) {
		return nil, nil, s.bodyError(w, c, budget.ErrNoMemory)
	}
	buffer := &budget.Buffer{Account: account, Limit: int(c.snapshot.Limits.BodyBytes)}
	release = func() {
		buffer.Release()
		account.Release(head)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(s.clock.Now().Add(readBodyTimeout))
	if r.ContentLength > 0 {
		err = buffer.ReadExactly(r.Body, int(min(r.ContentLength, math.MaxInt)))
	} else {
		err = buffer.ReadAll(r.Body)
	}
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		return buffer.Bytes, release, nil
	}
	release()
	return nil, nil, s.bodyError(w, c, err)
}

// bodyError returns the error for the caller of a request whose body was not read to
// its end.
func (*Service) bodyError(w http.ResponseWriter, c *caller, err error) error {
	w.Header().Set("Connection", "close") // The rest of the body is not read.
	switch {
	case errors.Is(err, budget.ErrTooLarge):
		return result.New(result.BodyTooLarge, "the body exceeds %d bytes", c.snapshot.Limits.BodyBytes)
	case errors.Is(err, budget.ErrNoMemory):
		return result.New(result.MemoryExhausted, "there is no memory for the request").WithRetryAfter(memoryRetry + rand.N(memoryRetry))
	}
	return result.Wrap(err, result.BadRequest, result.NotRun, "the body could not be read")
}

func (s *Service) chat(w http.ResponseWriter, r *http.Request, c *caller) {
	request, release, err := s.chatRequest(w, r, c)
	if err != nil {
		w.Header().Set(headerRequestID, c.requestID)
		writeError(w, err)
		return
	}
	defer release()
	sink := &eventSink{
		writer: w, control: http.NewResponseController(w), now: s.clock.Now, timeout: s.options.WriteTimeout,
	}
	if request.Chat.Stream {
		request.Sink = sink
	}
	res, err := s.dispatcher.Chat(r.Context(), request)
	if err != nil {
		sink.fail(err, c.requestID)
		return
	}
	if sink.started {
		return
	}
	setMeta(w.Header(), res.Meta)
	w.Header().Set("Content-Type", res.ContentType)
	sink.extendWriteDeadline()
	_, _ = w.Write(res.Body)
}

// chatRequest decodes a chat request, whose body is held until release is called.
func (s *Service) chatRequest(w http.ResponseWriter, r *http.Request, c *caller) (request *dispatch.ChatRequest, release func(), err error) {
	now := s.clock.Now()
	class, err := c.class(r.Header)
	if err != nil {
		return nil, nil, err
	}
	requestPriority, err := priority(r.Header, class)
	if err != nil {
		return nil, nil, err
	}
	requestDeadline, err := deadline(r.Header, class, now)
	if err != nil {
		return nil, nil, err
	}
	body, release, err := s.readBody(w, r, c)
	if err != nil {
		return nil, nil, err
	}
	chat, err := dispatch.ParseChat(body)
	if err != nil {
		release()
		return nil, nil, err
	}
	return &dispatch.ChatRequest{
		ID:             c.requestID,
		Organisation:   c.organisation,
		Class:          class,
		Session:        r.Header.Get(headerSession),
		Priority:       requestPriority,
		Deadline:       requestDeadline,
		IdempotencyKey: r.Header.Get(headerIdempotencyKey),
		Chat:           chat,
	}, release, nil
}

// eventSink writes server-sent events to the caller.
type eventSink struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	now     func() time.Time
	timeout time.Duration
	started bool
}

// extendWriteDeadline sets the deadline of the next write. Connections without
// support for write deadlines are limited by the request deadline only.
func (e *eventSink) extendWriteDeadline() { _ = e.control.SetWriteDeadline(e.now().Add(e.timeout)) }

// Start implements dispatch.Sink.
func (e *eventSink) Start(m dispatch.Meta) error {
	e.started = true
	h := e.writer.Header()
	setMeta(h, m)
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	e.writer.WriteHeader(http.StatusOK)
	return e.flush()
}

// Event implements dispatch.Sink.
func (e *eventSink) Event(data []byte) error {
	e.extendWriteDeadline()
	if _, err := e.writer.Write([]byte("data: ")); err != nil {
		return err
	}
	if _, err := e.writer.Write(data); err != nil {
		return err
	}
	if _, err := e.writer.Write([]byte("\n\n")); err != nil {
		return err
	}
	return e.flush()
}

func (e *eventSink) flush() error { return e.control.Flush() }

// fail reports an error. Before the stream has started it sends an error
// response, afterwards a final event without the terminal marker, so that the
// stream never looks complete.
func (e *eventSink) fail(err error, requestID string) {
	if !e.started {
		e.writer.Header().Set(headerRequestID, requestID)
		writeError(e.writer, err)
		return
	}
	// The write fails if the caller has disconnected.
	_ = e.Event(errorJSON(result.From(err)))
}

func (s *Service) plainService(w http.ResponseWriter, r *http.Request, c *caller) {
	w.Header().Set(headerRequestID, c.requestID)
	request, release, err := s.serviceRequest(w, r, c)
	if err != nil {
		writeError(w, err)
		return
	}
	defer release()
	res, err := s.dispatcher.CallService(r.Context(), request)
	if err != nil {
		writeError(w, err)
		return
	}
	setMeta(w.Header(), res.Meta)
	if res.ContentType != "" {
		w.Header().Set("Content-Type", res.ContentType)
	}
	w.WriteHeader(res.Status)
	_, _ = w.Write(res.Body)
}

// serviceRequest decodes a service call, whose body is held until release is called.
func (s *Service) serviceRequest(w http.ResponseWriter, r *http.Request, c *caller) (
	request *dispatch.ServiceRequest, release func(), err error,
) {
	name := pat.Param(r, "name")
	service, ok := c.snapshot.Service(name)
	if !ok || !mayCallService(service, c.organisation.Name) {
		return nil, nil, result.New(result.NotFound, "no service %q for the organisation", name)
	}
	body, release, err := s.readBody(w, r, c)
	if err != nil {
		return nil, nil, err
	}
	header := make(http.Header)
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language"} {
		if v := r.Header.Get(name); v != "" {
			header.Set(name, v)
		}
	}
	return &dispatch.ServiceRequest{
		ID:             c.requestID,
		Organisation:   c.organisation,
		Service:        service,
		Method:         r.Method,
		Path:           r.URL.EscapedPath()[len("/services/")+len(name):],
		Query:          r.URL.RawQuery,
		Header:         header,
		Body:           body,
		IdempotencyKey: r.Header.Get(headerIdempotencyKey),
	}, release, nil
}

func mayCallService(service *config.Service, organisation string) bool {
	if len(service.Organisations) == 0 {
		return true
	}
	for _, o := range service.Organisations {
		if o == organisation {
			return true
		}
	}
	return false
}

// modelList is the response of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models lists "auto" and the models and versions that the organisation may use,
// without withdrawn versions.
func (s *Service) models(w http.ResponseWriter, _ *http.Request, c *caller) {
	marks := s.config.Marks()
	ids := []string{"auto"}
	for _, m := range c.snapshot.Declarations.Models {
		usable := false
		for _, v := range m.Versions {
			ref := config.VersionRef{Model: m.Name, Version: v.Name}
			if c.organisation.Allows(ref) && !c.snapshot.Withdrawn(ref) && !marks.Withdrawn(ref) {
				usable = true
				ids = append(ids, ref.String())
			}
		}
		if usable {
			ids = append(ids, m.Name)
		}
	}
	sort.Strings(ids)
	list := modelList{Object: "list"}
	for _, id := range ids {
		list.Data = append(list.Data, modelEntry{ID: id, Object: "model", OwnedBy: "cassiapin"})
	}
	writeJSON(w, http.StatusOK, list)
}

// Entries is the response of GET /v1/entries.
type Entries struct {
	Entries []Entry `json:"entries"`
	// TTLSeconds is how long a caller may cache the response.
	TTLSeconds float64 `json:"ttl_s"`
}

// Entry is the address of one node that accepts requests.
type Entry struct {
	URL           string `json:"url"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
}

// entries lists the ready nodes, nodes of the local region first. Nodes in
// failure domains that are marked out of service are omitted.
func (s *Service) entries(w http.ResponseWriter, _ *http.Request) {
	answer := Entries{Entries: []Entry{}, TTLSeconds: s.entryTTL().Seconds()}
	if s.members == nil {
		if !s.draining.Load() {
			answer.Entries = append(answer.Entries, Entry{URL: s.options.SelfURL, Region: s.options.Region})
		}
		writeJSON(w, http.StatusOK, answer)
		return
	}
	marks := s.config.Marks()
	members := s.members.Reachable()
	if len(members) <= 1 {
		members = s.members.Live() // An isolated node that reaches no other may be the one that is cut off.
	}
	for _, m := range members {
		if m.State == peer.Alive && m.Ready && !marks.DomainOut(m.FailureDomain) {
			answer.Entries = append(answer.Entries, Entry{URL: m.EntryAddress, Region: m.Region, FailureDomain: m.FailureDomain})
		}
	}
	sort.SliceStable(answer.Entries, func(i, j int) bool {
		return answer.Entries[i].Region == s.options.Region && answer.Entries[j].Region != s.options.Region
	})
	writeJSON(w, http.StatusOK, answer)
}

func (s *Service) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

// ready is the readiness probe.
func (s *Service) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.draining.Load():
		writeError(w, result.New(result.Draining, "the node is leaving"))
	case s.config.Current() == nil:
		writeError(w, result.New(result.NoConfiguration, "the node has no configuration yet"))
	case s.members != nil && s.members.Isolated():
		writeError(w, result.New(result.Isolated, "the node cannot reach most other nodes"))
	default:
		writeJSON(w, http.StatusOK, map[string]string{"status": "ready"})
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
