package dispatch

import (
	"encoding/json"
	"hash/fnv"
	"sort"
	"strconv"
	"strings"

	"cassiapin/pkg/config"
	"cassiapin/pkg/hashing"
	"cassiapin/pkg/result"
)

// Limits of a request, in addition to the declared body size.
const (
	maxMessages = 1024
	// maxSharedParts bounds SharedParts.
	maxSharedParts = 64
	maxModelLength = 130
	// prefixBytes is the length of the prompt prefix that is hashed for cache
	// affinity. It covers a shared system prompt but not the part that differs.
	prefixBytes = 512
	// bytesPerToken is typical of natural text and used for estimates only.
	bytesPerToken = 4
)

// Chat is a parsed chat completion request. Fields that the router does not
// interpret are forwarded unchanged.
type Chat struct {
	fields map[string]json.RawMessage
	// Model and Version are requested by the caller; both are empty for "auto".
	Model   string
	Version string
	Stream  bool
	// Prompt is the text of all messages.
	Prompt string
	// SharedParts identify the messages before the last by hashes of their texts:
	// other requests may have the same.
	SharedParts []string
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// ParseChat parses the body of a chat completion request. It fails with
// result.BadRequest.
func ParseChat(body []byte) (*Chat, error) {
	c := &Chat{}
	if err := json.Unmarshal(body, &c.fields); err != nil || c.fields == nil {
		return nil, result.New(result.BadRequest, "the body is not a JSON object")
	}
	var model string
	if err := c.field("model", &model); err != nil {
		return nil, err
	}
	if err := c.setModel(model); err != nil {
		return nil, err
	}
	if err := c.field("stream", &c.Stream); err != nil {
		return nil, err
	}
	var messages []message
	if err := c.field("messages", &messages); err != nil {
		return nil, err
	}
	if len(messages) == 0 || len(messages) > maxMessages {
		return nil, result.New(result.BadRequest, "messages must have 1 to %d entries", maxMessages)
	}
	var prompt strings.Builder
	for i, m := range messages {
		text, err := messageText(m)
		if err != nil {
			return nil, err
		}
		if i < len(messages)-1 && i < maxSharedParts {
			c.SharedParts = append(c.SharedParts, strconv.FormatUint(hashing.Hash(text), 16))
		}
		prompt.WriteString(text)
		prompt.WriteByte('\n')
	}
	c.Prompt = prompt.String()
	return c, nil
}

func (c *Chat) field(name string, value any) error {
	raw, ok := c.fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, value); err != nil {
		return result.New(result.BadRequest, "field %q has the wrong type", name)
	}
	return nil
}

func (c *Chat) setModel(model string) error {
	if len(model) > maxModelLength {
		return result.New(result.BadRequest, "the model name is too long")
	}
	if model == "" || model == "auto" {
		return nil
	}
	c.Model = model
	// A model name without a version is the common case. The error of
	// ParseVersionRef for it captures a stack trace, which would dominate the
	// cost of parsing a body.
	if !strings.Contains(model, "@") {
		return nil
	}
	if ref, err := config.ParseVersionRef(model); err == nil {
		c.Model, c.Version = ref.Model, ref.Version
	}
	return nil
}

func messageText(m message) (string, error) {
	if m.Role == "" {
		return "", result.New(result.BadRequest, "a message has no role")
	}
	if len(m.Content) == 0 || string(m.Content) == "null" {
		return "", nil
	}
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if json.Unmarshal(m.Content, &parts) != nil {
		return "", result.New(result.BadRequest, "a message's content is neither text nor a list of parts")
	}
	var all strings.Builder
	for _, p := range parts {
		all.WriteString(p.Text)
	}
	return all.String(), nil
}

// PromptTokens estimates the number of prompt tokens.
func (c *Chat) PromptTokens() int { return len(c.Prompt)/bytesPerToken + 1 }

// PrefixHash hashes the first prefixBytes bytes of the prompt for cache affinity.
func (c *Chat) PrefixHash() uint64 {
	h := fnv.New64a()
	h.Write([]byte(c.Prompt[:min(len(c.Prompt), prefixBytes)]))
	return h.Sum64()
}

// engineBody returns the request body for the engine: the caller's fields with
// the chosen model, the stream mode and the class in the metadata. The caller's
// fields are valid JSON and are copied unchanged, sorted by name, so that a
// repeated request has the same body.
func (c *Chat) engineBody(ref config.VersionRef, class string, stream bool) ([]byte, error) {
	metadata, err := c.metadata(class)
	if err != nil {
		return nil, err
	}
	fields := make(map[string]json.RawMessage, len(c.fields)+addedFields)
	size := len(metadata) + addedBytes
	for k, v := range c.fields {
		fields[k] = v
		size += len(k) + len(v) + len(`"":,`)
	}
	fields["model"] = mustJSON(ref.Model)
	fields["stream"] = strconv.AppendBool(nil, stream)
	delete(fields, "stream_options")
	if stream {
		// Billing needs the token counts of streamed answers too.
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	fields["metadata"] = metadata
	return appendObject(make([]byte, 0, size), fields), nil
}

// Extra capacity for the fields other than the metadata that engineBody adds.
const (
	addedFields = 4
	addedBytes  = 256
)

// metadata returns the caller's metadata with the class added.
func (c *Chat) metadata(class string) (json.RawMessage, error) {
	metadata := make(map[string]json.RawMessage, 1)
	if raw, ok := c.fields["metadata"]; ok && string(raw) != "null" {
		if err := json.Unmarshal(raw, &metadata); err != nil {
			return nil, result.New(result.BadRequest, "field %q has the wrong type", "metadata")
		}
	}
	metadata["class"] = mustJSON(class)
	return appendObject(nil, metadata), nil
}

// appendObject appends a JSON object with the fields sorted by name.
func appendObject(b []byte, fields map[string]json.RawMessage) []byte {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	b = append(b, '{')
	for i, name := range names {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendName(b, name)
		b = append(b, ':')
		b = append(b, fields[name]...)
	}
	return append(b, '}')
}

// appendName appends a field name as a JSON string.
func appendName(b []byte, name string) []byte {
	for i := range len(name) {
		if c := name[i]; (c < 'a' || c > 'z') && c != '_' {
			return append(b, mustJSON(name)...)
		}
	}
	b = append(b, '"')
	b = append(b, name...)
	return append(b, '"')
}

// mustJSON encodes a value of a type that always encodes.
func mustJSON(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
