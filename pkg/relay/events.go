package relay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes is the largest event accepted in a stream.
const maxEventBytes = 1 << 20

// errPartialEvent is returned for a stream that ends within an event.
var errPartialEvent = errors.New("event stream ended within an event")

// eventReader splits an event stream into events.
type eventReader struct {
	r *bufio.Reader
}

// eventBufferBytes fits usual events of a few hundred bytes; longer ones are
// collected in a separate, growing buffer.
const eventBufferBytes = 2 << 10

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBufferBytes)}
}

// next returns the bytes of the next event including the terminating blank
// line, and its id, or -1 if it has none. It returns io.EOF only between
// events.
func (e *eventReader) next() (raw []byte, id int64, err error) {
	id = -1
	for {
		line, err := e.r.ReadSlice('\n')
		raw = append(raw, line...)
		if len(raw) > maxEventBytes {
			return nil, -1, errors.Newf("event exceeds %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(raw)) > 0 {
				return nil, -1, errPartialEvent
			}
			return nil, -1, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(bytes.TrimSpace(raw)) == 0 {
				raw = raw[:0] // Skip blank lines between events.
				continue
			}
			return raw, id, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return nil, -1, errors.Wrap(err, "parse event id")
			}
			id = n
		}
	}
}
