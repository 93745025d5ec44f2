package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Size limits of one server-sent event. Call.MaxResponseBytes limits the total.
const (
	maxLineBytes    = 256 << 10
	maxEventBytes   = 1 << 20
	readBufferBytes = 4 << 10
)

var (
	doneMarker = []byte("[DONE]")
	dataField  = []byte("data")
)

// eventReader reads the data of server-sent events.
type eventReader struct {
	r    *bufio.Reader
	line []byte
	data []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, readBufferBytes)}
}

// next returns the data of the next event. The terminal marker is complete at
// the end of its line; every other event must end with a blank line, so that a
// truncated event is never returned. At the end of the input it returns
// io.ErrUnexpectedEOF.
func (e *eventReader) next() ([]byte, error) {
	e.data = nil
	hasData := false
	for {
		line, err := e.readLine()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return e.data, nil
			}
			continue
		}
		value, ok := dataOf(line)
		if !ok {
			continue
		}
		if !hasData && bytes.Equal(value, doneMarker) {
			return doneMarker, nil
		}
		if hasData {
			e.data = append(e.data, '\n')
		}
		hasData = true
		if e.data = append(e.data, value...); len(e.data) > maxEventBytes {
			return nil, errTooLarge
		}
	}
}

// readLine returns the next line without its line ending.
func (e *eventReader) readLine() ([]byte, error) {
	e.line = e.line[:0]
	for {
		part, err := e.r.ReadSlice('\n')
		e.line = append(e.line, part...)
		if len(e.line) > maxLineBytes {
			return nil, errTooLarge
		}
		switch {
		case err == nil:
			line := bytes.TrimSuffix(e.line, []byte("\n"))
			return bytes.TrimSuffix(line, []byte("\r")), nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}

// dataOf returns the value of a data field, and false for comments and other
// fields.
func dataOf(line []byte) ([]byte, bool) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	if !bytes.Equal(field, dataField) {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}

// completion has the fields of an OpenAI response or chunk that are used.
type completion struct {
	Choices []struct {
		Delta   struct{ Content string } `json:"delta"`
		Message struct{ Content string } `json:"message"`
	} `json:"choices"`
	Usage *completionUsage `json:"usage"`
	Error json.RawMessage  `json:"error"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (u *completionUsage) usage() Usage {
	return Usage{
		PromptTokens:     u.PromptTokens,
		CachedTokens:     max(u.CachedTokens, u.Details.CachedTokens),
		CompletionTokens: u.CompletionTokens,
	}
}

// hasError reports whether the engine sent an error instead of a completion.
func (c *completion) hasError() bool {
	return len(c.Error) > 0 && !bytes.Equal(c.Error, []byte("null"))
}

// parseChunk parses the data of one event.
func parseChunk(data []byte) (Chunk, error) {
	if bytes.Equal(data, doneMarker) {
		return Chunk{Data: data, Done: true}, nil
	}
	var c completion
	if err := json.Unmarshal(data, &c); err != nil {
		return Chunk{}, errors.Wrap(err, "malformed event")
	}
	if c.hasError() {
		return Chunk{}, errors.New("the engine sent an error event")
	}
	chunk := Chunk{Data: data}
	if len(c.Choices) > 0 {
		chunk.Text = c.Choices[0].Delta.Content
	}
	if c.Usage != nil {
		u := c.Usage.usage()
		chunk.Usage = &u
	}
	return chunk, nil
}
