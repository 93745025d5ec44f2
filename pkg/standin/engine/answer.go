package engine

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/config"
	"cassiapin/pkg/standin"
)

// Parameters of the natural answer length, which is log-normally distributed.
const (
	medianAnswerTokens = 80
	answerSigma        = 0.7
	maxAnswerTokens    = 4000
)

// chatRequest is the part of an OpenAI request that the engine uses.
type chatRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Stream              bool              `json:"stream"`
	Seed                int64             `json:"seed"`
	MaxTokens           int               `json:"max_tokens"`
	MaxCompletionTokens int               `json:"max_completion_tokens"`
	Metadata            map[string]string `json:"metadata"`
}

func parseChat(body []byte) (*chatRequest, error) {
	var c chatRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, errors.Wrap(err, "malformed request")
	}
	if len(c.Messages) == 0 {
		return nil, errors.New("messages is empty")
	}
	return &c, nil
}

// messageText returns the text of a message's content.
func messageText(content json.RawMessage) string {
	var text string
	if json.Unmarshal(content, &text) != nil {
		var parts []struct{ Text string }
		_ = json.Unmarshal(content, &parts) // other content has no text
		for _, p := range parts {
			text += p.Text
		}
	}
	return text
}

// sharesText reports whether a message before the last has the text.
func (c *chatRequest) sharesText(text string) bool {
	for _, m := range c.Messages[:len(c.Messages)-1] {
		if messageText(m.Content) == text {
			return true
		}
	}
	return false
}

// prompt joins the texts of all messages.
func (c *chatRequest) prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role + ": " + messageText(m.Content) + "\n")
	}
	return b.String()
}

// ref returns the version requested by the header and the model field; either
// part may be empty.
func (c *chatRequest) ref(header string) config.VersionRef {
	model, version, _ := strings.Cut(c.Model, "@")
	if m, v, ok := strings.Cut(header, "@"); ok {
		return config.VersionRef{Model: m, Version: v}
	}
	if header != "" {
		version = header
	}
	return config.VersionRef{Model: model, Version: version}
}

// answer is a generated answer. All its tokens are computed up front.
type answer struct {
	id           standin.AnswerID
	tokens       []string
	cutAtMax     bool
	hashes       []uint64 // of the prompt's blocks
	promptTokens int
	cachedTokens int
}

func (a *answer) text() string { return strings.Join(a.tokens, " ") }

func (a *answer) finishReason() string {
	if a.cutAtMax {
		return "length"
	}
	return "stop"
}

func (a *answer) usage() map[string]any {
	return map[string]any{
		"prompt_tokens": a.promptTokens, "completion_tokens": len(a.tokens),
		"total_tokens": a.promptTokens + len(a.tokens), "cached_tokens": a.cachedTokens,
		"prompt_tokens_details": map[string]any{"cached_tokens": a.cachedTokens},
	}
}

var vocabulary = strings.Fields(`the river carries morning light over quiet stones and slow water
	turns beneath old bridges where singers rest their hands on warm wood while evening gathers
	round lamps in narrow streets a bell answers from far hills every season keeps its measure
	rain marks time on copper roofs small birds repeat one note until summer opens its doors
	someone writes down names dates rooms keys and shelves so that nothing given is lost`)

// compose generates n tokens. The first token is the answer id. A low-quality
// answer uses few distinct words, so that a check of the text alone can detect
// it to some degree.
func compose(id standin.AnswerID, quality float64, n int) []string {
	tokens := make([]string, 0, n)
	tokens = append(tokens, id.String())
	distinct := 3 + int(quality*float64(len(vocabulary)-3))
	h := id.Hash
	for len(tokens) < n {
		h = h*6364136223846793005 + 1442695040888963407
		tokens = append(tokens, vocabulary[int(h>>33)%distinct])
	}
	return tokens
}

// generate computes the answer to a request without simulating its duration.
func (e *Engine) generate(c *chatRequest, ref config.VersionRef, class string) *answer {
	prompt := c.prompt()
	seed := strconv.FormatInt(c.Seed, 10) + "/" + strconv.FormatInt(e.options.Seed, 10)
	id := standin.AnswerID{Ref: ref, Class: class, Hash: standin.Hash64(prompt, ref.String(), seed)}
	n := naturalLength(c, id)
	words := strings.Fields(prompt)
	a := &answer{id: id, promptTokens: len(words), hashes: blockHashes(ref.Model, words)}
	limit := c.MaxTokens
	if c.MaxCompletionTokens > 0 {
		limit = c.MaxCompletionTokens
	}
	if limit > 0 && limit < n {
		n, a.cutAtMax = limit, true
	}
	a.tokens = compose(id, e.options.Quality.Quality(id), n)
	return a
}

// naturalLength returns metadata.answer_tokens, or a pseudo-random length
// derived from the answer's hash.
func naturalLength(c *chatRequest, id standin.AnswerID) int {
	if n, err := strconv.Atoi(c.Metadata["answer_tokens"]); err == nil {
		return min(max(n, 1), maxAnswerTokens)
	}
	u1, u2 := standin.Unit(id.Hash^1), standin.Unit(id.Hash^2)
	normal := math.Sqrt(-2*math.Log(1-u1)) * math.Cos(2*math.Pi*u2)
	n := int(medianAnswerTokens * math.Exp(answerSigma*normal))
	return min(max(n, 1), maxAnswerTokens)
}

// Expected returns the text with which every engine that has the same seed and
// quality model answers the body, so that tests can check complete answers.
func (e *Engine) Expected(body []byte, ref config.VersionRef, class string) (string, error) {
	c, err := parseChat(body)
	if err != nil {
		return "", err
	}
	if class == "" {
		class = c.Metadata["class"]
	}
	return e.generate(c, ref, class).text(), nil
}

// Tokens returns the number of prompt tokens in the body and the number of
// tokens in its answer.
func (e *Engine) Tokens(body []byte, ref config.VersionRef) (prompt, answer int, err error) {
	c, err := parseChat(body)
	if err != nil {
		return 0, 0, err
	}
	a := e.generate(c, ref, c.Metadata["class"])
	return a.promptTokens, len(a.tokens), nil
}
