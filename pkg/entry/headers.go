package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/dispatch"
	"cassiapin/pkg/result"
)

// HTTP headers of the client API, documented in docs/configuration.md.
const (
	headerClass          = "Cassiapin-Class"
	headerSession        = "Cassiapin-Session"
	headerPriority       = "Cassiapin-Priority"
	headerDeadline       = "Cassiapin-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "Cassiapin-Request-Id"
	headerModel          = "Cassiapin-Model"
	headerVersion        = "Cassiapin-Version"
	headerSessionMoved   = "Cassiapin-Session-Moved"
	headerConfig         = "Cassiapin-Config"
	headerReplayed       = "Cassiapin-Replayed"
)

// movedFromUnknown is the value of headerSessionMoved when the previous version
// is unknown.
const movedFromUnknown = "unknown"

// Limits on the length of header values and paths.
const (
	maxIdempotencyKeyLength = 128
	maxSessionLength        = 512
	maxPathLength           = 2048
)

// singleHeaders must not be repeated, because this node and the upstreams could
// use different values.
var singleHeaders = []string{
	"Authorization", headerClass, headerSession, headerPriority, headerDeadline, headerIdempotencyKey, "Content-Type",
}

func checkHeaders(h http.Header) error {
	for _, name := range singleHeaders {
		if len(h.Values(name)) > 1 {
			return result.New(result.BadHeader, "header %s is given more than once", name)
		}
	}
	if !printable(h.Get(headerIdempotencyKey), maxIdempotencyKeyLength) {
		return result.New(result.BadHeader, "%s must have 1 to %d printable characters", headerIdempotencyKey, maxIdempotencyKeyLength)
	}
	if !printable(h.Get(headerSession), maxSessionLength) {
		return result.New(result.BadHeader, "%s must have 1 to %d printable characters", headerSession, maxSessionLength)
	}
	return nil
}

// printable reports whether text is printable ASCII of at most maxLength bytes.
// Empty text is accepted, because it stands for an absent header.
func printable(text string, maxLength int) bool {
	if len(text) > maxLength {
		return false
	}
	for i := range len(text) {
		if text[i] < 0x20 || text[i] > 0x7e {
			return false
		}
	}
	return true
}

// rejectAmbiguousPath rejects paths that servers may normalise differently.
func rejectAmbiguousPath(escaped string) error {
	lower := strings.ToLower(escaped)
	if len(escaped) > maxPathLength || strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") ||
		strings.Contains(lower, "%00") || strings.Contains(escaped, `\`) || strings.Contains(escaped, "//") {
		return result.New(result.BadRequest, "the path is not acceptable")
	}
	for _, segment := range strings.Split(strings.ReplaceAll(lower, "%2e", "."), "/") {
		if segment == "." || segment == ".." {
			return result.New(result.BadRequest, "the path is not acceptable")
		}
	}
	return nil
}

func bearerToken(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return key
}

// class returns the request class after checking that the organisation may use
// it.
func (c *caller) class(h http.Header) (*config.Class, error) {
	name := h.Get(headerClass)
	if name == "" {
		name = c.organisation.DefaultClass
	}
	class, ok := c.snapshot.Class(name)
	if !ok || !c.organisation.MayUseClass(name) {
		return nil, result.New(result.UnknownClass, "request class %q is not declared for the organisation", name)
	}
	return class, nil
}

// priority returns the lower of the requested and the class priority.
func priority(h http.Header, class *config.Class) (int, error) {
	text := h.Get(headerPriority)
	if text == "" {
		return class.Priority, nil
	}
	p, err := strconv.Atoi(text)
	if err != nil || p < 0 || p > 9 {
		return 0, result.New(result.BadHeader, "%s must be 0 to 9", headerPriority)
	}
	return min(p, class.Priority), nil
}

// deadline returns the earlier of the requested and the class deadline.
func deadline(h http.Header, class *config.Class, now time.Time) (time.Time, error) {
	classLimit := class.Deadline.Std()
	text := h.Get(headerDeadline)
	if text == "" {
		return now.Add(classLimit), nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return now, result.New(result.BadHeader, "%s must be a number of milliseconds above zero", headerDeadline)
	}
	return now.Add(min(classLimit, time.Duration(ms)*time.Millisecond)), nil
}

// setMeta sets the Cassiapin response headers.
func setMeta(h http.Header, m dispatch.Meta) {
	h.Set(headerRequestID, m.RequestID)
	if m.Version.Model != "" {
		h.Set(headerModel, m.Version.Model)
		h.Set(headerVersion, m.Version.Version)
	}
	if m.Session != "" {
		h.Set(headerSession, m.Session)
	}
	switch {
	case m.MovedFrom.Model != "":
		h.Set(headerSessionMoved, m.MovedFrom.String())
	case m.BindingLost:
		h.Set(headerSessionMoved, movedFromUnknown)
	}
	if m.Config != 0 {
		h.Set(headerConfig, strconv.FormatUint(m.Config, 10))
	}
	if m.Replayed {
		h.Set(headerReplayed, "true")
	}
}

// errorBody is an OpenAI error response extended by the numeric code and the
// run state.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message       string          `json:"message"`
	Type          string          `json:"type"`
	Code          string          `json:"code"`
	Param         *string         `json:"param"`
	CassiapinCode int             `json:"cassiapin_code"`
	Run           result.RunState `json:"run"`
}

func errorJSON(e *result.Error) []byte {
	kind := "invalid_request_error"
	if e.Code.HTTPStatus() >= http.StatusInternalServerError {
		kind = "server_error"
	}
	data, err := json.Marshal(errorBody{Error: errorDetail{
		Message: e.Message, Type: kind, Code: e.Code.String(), CassiapinCode: int(e.Code), Run: e.Run,
	}})
	if err != nil {
		return []byte(`{"error":{"message":"internal error"}}`)
	}
	return data
}

func writeError(w http.ResponseWriter, err error) {
	e := result.From(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Code.HTTPStatus())
	_, _ = w.Write(errorJSON(e))
}
