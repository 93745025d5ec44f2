package workload

import (
	"encoding/json"
	"fmt"
	"iter"
	"math"
	"math/rand"
	"strconv"
	"strings"
	"time"
)

// The defaults of Options.
const (
	DefaultRate        = 20
	DefaultDuration    = time.Minute
	DefaultBurstFactor = 6
)

const (
	// systemWords is the length of the prompt prefix shared by the requests of
	// one organisation and class.
	systemWords = 160
	// SystemPromptTokens is the number of prompt tokens that an engine's prefix
	// cache can have stored from requests of other sessions.
	SystemPromptTokens = systemWords
	// sessionEndProbability is the probability that a session ends after a request.
	sessionEndProbability = 0.15
	// sessionStartProbability is the probability that a request within a session
	// opens a new one although others are open.
	sessionStartProbability = 0.2
	// maxHistoryWords bounds the history that the requests of a session repeat.
	maxHistoryWords = 3000
	// maxSessions bounds the open sessions per organisation and class.
	maxSessions = 50
)

// Options configure a Generator; zero fields take the defaults.
type Options struct {
	Seed int64
	// Rate is the mean number of requests per second outside of the burst.
	Rate     float64
	Duration time.Duration
	// BurstAt and BurstFor are the start and the duration of the Friday burst;
	// if BurstFor is 0 there is none. During it, batched classes arrive
	// BurstFactor times as often.
	BurstAt, BurstFor time.Duration
	BurstFactor       float64
}

// Request is one timed request.
type Request struct {
	// Offset is the time after the start at which the request is sent,
	// regardless of the state of earlier requests.
	Offset   time.Duration
	Sequence int
	// Organisation and Key identify the caller.
	Organisation, Key string
	Class             string
	// Session is the name of the caller's session, or empty.
	Session string
	// Stream requests a streamed answer.
	Stream bool
	// Service, Method and Path are set for calls of the plain service; all
	// other requests are chat completions.
	Service, Method, Path string
	// IdempotencyKey is set for bookings.
	IdempotencyKey string
	// Slot is the booked slot, unique per booking.
	Slot string
	Body []byte
	// PromptTokens and AnswerTokens are the token counts as the engine counts
	// them.
	PromptTokens, AnswerTokens int
}

// IsService reports whether the request calls the plain service.
func (r *Request) IsService() bool { return r.Service != "" }

// session is an open session. Its requests repeat the history in their prompts.
type session struct {
	name    string
	history []string
}

type sessionKey struct{ organisation, class string }

// Generator generates the requests of a deployment. The sequence is a function
// of the deployment and the options. It is not safe for concurrent use.
type Generator struct {
	deployment     *Deployment
	options        Options
	rng            *rand.Rand
	now            float64 // seconds
	sequence       int
	sessions       map[sessionKey][]*session
	sessionsOpened int
	// prefixes caches system prompts.
	prefixes map[sessionKey]string
}

// New returns a generator.
func New(d *Deployment, o Options) *Generator {
	if o.Rate == 0 {
		o.Rate = DefaultRate
	}
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.BurstFactor == 0 {
		o.BurstFactor = DefaultBurstFactor
	}
	return &Generator{
		deployment: d, options: o, rng: rand.New(rand.NewSource(o.Seed)),
		sessions: make(map[sessionKey][]*session),
		prefixes: make(map[sessionKey]string),
	}
}

// All returns an iterator over the remaining requests in order of time.
func (g *Generator) All() iter.Seq[Request] {
	return func(yield func(Request) bool) {
		for r, ok := g.Next(); ok; r, ok = g.Next() {
			if !yield(r) {
				return
			}
		}
	}
}

// Next returns the next request; ok is false at the end of the duration.
func (g *Generator) Next() (r Request, ok bool) {
	// Thinning of a Poisson process: candidates arrive at the highest rate, and
	// each is accepted with the ratio of the current rate to the highest.
	highest := g.options.Rate
	if g.options.BurstFor > 0 {
		highest *= max(g.options.BurstFactor, 1)
	}
	for {
		g.now += g.rng.ExpFloat64() / highest
		if g.now >= g.options.Duration.Seconds() {
			return Request{}, false
		}
		if c := g.drawClass(g.rng.Float64() * highest / g.options.Rate); c != nil {
			return g.request(c), true
		}
	}
}

// drawClass returns the class at position x of the cumulative current shares,
// or nil if x is above their sum. Shares of a deployment sum to 1 outside of
// the burst.
func (g *Generator) drawClass(x float64) *Class {
	for i := range g.deployment.Classes {
		c := &g.deployment.Classes[i]
		share := c.Share
		if c.Batch && g.inBurst() {
			share *= g.options.BurstFactor
		}
		if x < share {
			return c
		}
		x -= share
	}
	return nil
}

func (g *Generator) inBurst() bool {
	at := g.now - g.options.BurstAt.Seconds()
	return at >= 0 && at < g.options.BurstFor.Seconds()
}

func (g *Generator) request(c *Class) Request {
	g.sequence++
	o := g.drawOrganisation()
	r := Request{
		Offset:   time.Duration(g.now * float64(time.Second)),
		Sequence: g.sequence, Organisation: o.Name, Key: o.Key, Class: c.Declared.Name,
	}
	switch {
	case g.rng.Float64() >= c.Service:
		g.chat(&r, c)
	case c.Declared.NonIdempotent:
		g.booking(&r)
	default:
		r.Service, r.Method = g.deployment.Service, "GET"
		r.Path = "/lookup/" + g.word() + "-" + strconv.Itoa(g.rng.Intn(10_000))
	}
	return r
}

func (g *Generator) drawOrganisation() *Organisation {
	total := 0.0
	for _, o := range g.deployment.Organisations {
		total += o.Share
	}
	x := g.rng.Float64() * total
	for i := range g.deployment.Organisations {
		if x -= g.deployment.Organisations[i].Share; x < 0 {
			return &g.deployment.Organisations[i]
		}
	}
	return &g.deployment.Organisations[0]
}

func (g *Generator) booking(r *Request) {
	r.Service, r.Method, r.Path = g.deployment.Service, "POST", "/bookings"
	r.Slot = fmt.Sprintf("%s-%d-%d", g.deployment.Name, g.options.Seed, r.Sequence)
	r.IdempotencyKey = "booking-" + r.Slot
	r.Body = fmt.Appendf(nil, `{"slot":%q}`, r.Slot)
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model    string            `json:"model"`
	Messages []message         `json:"messages"`
	Stream   bool              `json:"stream,omitempty"`
	Metadata map[string]string `json:"metadata"`
}

func (g *Generator) chat(r *Request, c *Class) {
	words := g.words(g.drawLength(c.Prompt))
	var history []string
	if g.rng.Float64() < c.Session {
		history = g.assignSession(r, words)
	}
	r.Stream = g.rng.Float64() < c.Stream
	r.AnswerTokens = g.drawLength(c.Answer)
	system := g.prefix(sessionKey{r.Organisation, r.Class})
	// The sequence number makes every prompt, and so every answer, unique.
	user := strings.Join(append(history, words...), " ") + " request " + strconv.Itoa(r.Sequence)
	body := chatBody{
		Model: "auto", Stream: r.Stream,
		Messages: []message{{"system", system}, {"user", user}},
		Metadata: map[string]string{
			"class": r.Class, "organisation": r.Organisation,
			"answer_tokens": strconv.Itoa(r.AnswerTokens),
		},
	}
	// The engine counts the two role labels as words.
	r.PromptTokens = strings.Count(system, " ") + strings.Count(user, " ") + 2 + len(body.Messages)
	r.Body, _ = json.Marshal(body) // strings and a bool cannot fail
}

// prefix returns the system prompt of an organisation and class.
func (g *Generator) prefix(key sessionKey) string {
	p, ok := g.prefixes[key]
	if !ok {
		p = g.deployment.systemPrompt(key.organisation, key.class)
		g.prefixes[key] = p
	}
	return p
}

// assignSession assigns a session to the request and returns the session's
// history before it.
func (g *Generator) assignSession(r *Request, words []string) (history []string) {
	key := sessionKey{r.Organisation, r.Class}
	open := g.sessions[key]
	if len(open) == 0 || len(open) < maxSessions && g.rng.Float64() < sessionStartProbability {
		g.sessionsOpened++
		name := fmt.Sprintf("%s-%d-%d", r.Organisation, g.options.Seed, g.sessionsOpened)
		open = append(open, &session{name: name})
	}
	i := g.rng.Intn(len(open))
	s := open[i]
	r.Session = s.name
	history = append([]string(nil), s.history...)
	s.history = append(s.history, words...)
	if len(s.history) > maxHistoryWords || g.rng.Float64() < sessionEndProbability {
		open = append(open[:i], open[i+1:]...)
	}
	g.sessions[key] = open
	return history
}

// drawLength samples a length from the capped Pareto distribution.
func (g *Generator) drawLength(l Length) int {
	if l.Min <= 0 {
		return 1
	}
	n := float64(l.Min) / math.Pow(1-g.rng.Float64(), 1/l.Alpha)
	return int(min(n, float64(l.Max)))
}

var lexicon = strings.Fields(`verse chorus bridge melody harmony rhythm drum kora voice lullaby take
	reel label tempo key studio booth string breath statue gallery wing hall shift guard visitor
	ticket loan wax plinth label case light repair note season week friday morning evening list
	name place date condition crack polish clean move store return ask answer find who holds`)

func (g *Generator) word() string { return lexicon[g.rng.Intn(len(lexicon))] }

func (g *Generator) words(n int) []string {
	words := make([]string, n)
	for i := range words {
		words[i] = g.word()
	}
	return words
}
