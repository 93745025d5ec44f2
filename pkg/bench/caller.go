package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/entry"
	"cassiapin/pkg/result"
	"cassiapin/pkg/standin"
	"cassiapin/pkg/upstream"
	"cassiapin/pkg/workload"
)

// Outcome is the result of one request as the caller observed it.
type Outcome struct {
	Request workload.Request
	// Due is the scheduled send time; Ended is when the answer or refusal was
	// complete.
	Due, Ended time.Time
	// FirstToken is the time from Due to the first token of a stream.
	FirstToken time.Duration
	Answered   bool
	RequestID  string
	Version    config.VersionRef
	Text       string
	Usage      upstream.Usage
	// SessionMoved reports that the response announced that the session moved to
	// another version.
	SessionMoved bool
	// Code and Run come from the refusal; Code is 0 if the connection failed
	// without one.
	Code int
	Run  result.RunState
	// Cause is the transport error of a failure without a code.
	Cause error
}

// callerTimeout limits one request. It exceeds the longest class deadline
// (120 s): with 60 s, drafts refused at their 60 s deadline were counted as
// failures without a code.
const callerTimeout = 125 * time.Second

// bookingAttempts is the maximum number of attempts of a booking, all with the
// same idempotency key.
const bookingAttempts = 4

// Caller simulates API clients. Each client belongs to one region, fetches the
// entry addresses from a node of that region, caches them for their time to live
// and connects to the addresses in its region.
type Caller struct {
	client   *http.Client
	domains  []config.FailureDomain
	nodeURLs func(region string) []string

	mu     sync.Mutex
	random *rand.Rand
	cache  map[string]*cachedEntries
}

// cachedEntries are the cached entry addresses for the clients of one region.
type cachedEntries struct {
	urls    []string
	expires time.Time
}

// NewCaller returns a Caller with clients in the regions of the failure domains;
// nodeURLs returns the base URLs of the nodes that serve entry addresses in a
// region.
func NewCaller(seed int64, domains []config.FailureDomain, nodeURLs func(region string) []string) *Caller {
	return &Caller{
		client: &http.Client{
			Timeout:   callerTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second},
		},
		domains:  domains,
		nodeURLs: nodeURLs,
		random:   rand.New(rand.NewSource(seed)),
		cache:    make(map[string]*cachedEntries),
	}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// address returns a random entry address for the client with the identity, or ""
// if none is known.
func (c *Caller) address(ctx context.Context, identity string) string {
	index := standin.Hash64("caller", identity) % uint64(len(c.domains))
	region := c.domains[index].Region
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.cache[region]
	if !ok {
		cached = &cachedEntries{}
		c.cache[region] = cached
	}
	if len(cached.urls) == 0 || time.Now().After(cached.expires) {
		c.refresh(ctx, region, cached)
	}
	if len(cached.urls) == 0 {
		return ""
	}
	return cached.urls[c.random.Intn(len(cached.urls))]
}

// refresh queries the region's nodes in random order and keeps the cached
// addresses if none responds. If the region has no addresses, it uses those of
// other regions.
func (c *Caller) refresh(ctx context.Context, region string, cached *cachedEntries) {
	urls := c.nodeURLs(region)
	c.random.Shuffle(len(urls), func(i, j int) { urls[i], urls[j] = urls[j], urls[i] })
	for _, base := range urls {
		answer, err := c.fetchEntries(ctx, base)
		if err != nil || len(answer.Entries) == 0 {
			continue
		}
		var local, remote []string
		for _, e := range answer.Entries {
			if e.Region == region {
				local = append(local, e.URL)
			} else {
				remote = append(remote, e.URL)
			}
		}
		cached.urls = local
		if len(local) == 0 {
			cached.urls = remote
		}
		cached.expires = time.Now().Add(time.Duration(answer.TTLSeconds * float64(time.Second)))
		return
	}
}

func (c *Caller) fetchEntries(ctx context.Context, base string) (entry.Entries, error) {
	var answer entry.Entries
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/entries", nil)
	if err != nil {
		return answer, err
	}
	response, err := c.client.Do(r)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

// Send sends one request that was due at the given time. A booking is retried
// with the same idempotency key, at a random entry address, until its outcome is
// known or the attempts are used up.
func (c *Caller) Send(ctx context.Context, due time.Time, r workload.Request) Outcome {
	o := Outcome{Request: r, Due: due}
	attempts := 1
	if r.IdempotencyKey != "" {
		attempts = bookingAttempts
	}
	for i := range attempts {
		if i > 0 {
			time.Sleep(time.Duration(i) * 200 * time.Millisecond)
		}
		c.attempt(ctx, &o)
		if o.Answered || (o.Code != 0 && o.Run == result.NotRun) {
			break
		}
	}
	o.Ended = time.Now()
	return o
}

func (c *Caller) attempt(ctx context.Context, o *Outcome) {
	o.Code, o.Run = 0, result.Unknown
	base := c.address(ctx, o.Request.Organisation+"/"+o.Request.Session)
	if base == "" {
		return
	}
	response, err := c.client.Do(c.httpRequest(ctx, base, o.Request))
	if err != nil {
		o.Cause = err
		return
	}
	defer response.Body.Close()
	o.RequestID = response.Header.Get("Cassiapin-Request-Id")
	o.SessionMoved = response.Header.Get("Cassiapin-Session-Moved") != ""
	o.Version = config.VersionRef{
		Model: response.Header.Get("Cassiapin-Model"), Version: response.Header.Get("Cassiapin-Version"),
	}
	switch {
	case response.StatusCode != http.StatusOK && response.StatusCode != http.StatusCreated:
		body, _ := io.ReadAll(response.Body)
		o.readError(body)
	case strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"):
		o.readStream(response.Body)
	default:
		o.readBody(response.Body)
	}
}

func (c *Caller) httpRequest(ctx context.Context, base string, r workload.Request) *http.Request {
	method, path := http.MethodPost, "/v1/chat/completions"
	if r.IsService() {
		method, path = r.Method, "/services/"+r.Service+r.Path
	}
	h, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(r.Body))
	if err != nil {
		panic(err) // The workload generates only valid paths.
	}
	h.Header.Set("Authorization", "Bearer "+r.Key)
	h.Header.Set("Content-Type", "application/json")
	h.Header.Set("Cassiapin-Class", r.Class)
	if r.Session != "" {
		h.Header.Set("Cassiapin-Session", r.Session)
	}
	if r.IdempotencyKey != "" {
		h.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	return h
}

// readError reads the error object of the OpenAI protocol.
func (o *Outcome) readError(body []byte) {
	var e struct {
		Error struct {
			Code int             `json:"cassiapin_code"`
			Run  result.RunState `json:"run"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &e) == nil {
		o.Code, o.Run = e.Error.Code, e.Error.Run
	}
}

func (o *Outcome) readBody(body io.Reader) {
	data, err := io.ReadAll(body)
	if err != nil {
		o.Cause = err
		return
	}
	if o.Request.IsService() {
		o.Answered, o.Text = true, string(data)
		return
	}
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
		Usage upstream.Usage `json:"usage"`
	}
	if json.Unmarshal(data, &answer) != nil || len(answer.Choices) == 0 {
		return
	}
	o.Answered, o.Text, o.Usage = true, answer.Choices[0].Message.Content, answer.Usage
}

// maxEventBytes limits the size of one server-sent event.
const maxEventBytes = 1 << 20

func (o *Outcome) readStream(body io.Reader) {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			o.Answered, o.Text = true, text.String()
			return
		}
		o.readChunk(&text, []byte(data))
	}
	o.Cause = scanner.Err()
}

func (o *Outcome) readChunk(text *strings.Builder, data []byte) {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Usage *upstream.Usage `json:"usage"`
		Error json.RawMessage `json:"error"`
	}
	if json.Unmarshal(data, &chunk) != nil {
		return
	}
	if chunk.Error != nil {
		o.readError(data)
	}
	if chunk.Usage != nil {
		o.Usage = *chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if choice.Delta.Content == "" {
			continue
		}
		if o.FirstToken == 0 {
			o.FirstToken = time.Since(o.Due)
		}
		text.WriteString(choice.Delta.Content)
	}
}
