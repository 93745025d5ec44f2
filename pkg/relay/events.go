package relay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/budget"
)

const (
	// maxEventBytes is the largest event accepted in a stream.
	maxEventBytes = 1 << 20
	// maxFillerBytes bounds the comments and blank lines between two events.
	maxFillerBytes = 64 << 10
	// freeBufferBytes is the part of each buffer that is not counted against the
	// node's memory, so that usual answers pass while some upstreams send bytes
	// without end.
	freeBufferBytes = 16 << 10
	// readBufferBytes fits usual events of a few hundred bytes.
	readBufferBytes = 2 << 10
)

var (
	// errPartialEvent is returned for a stream that ends within an event.
	errPartialEvent = errors.New("event stream ended within an event")
	// errOnlyFiller is returned for a stream of comments or blank lines.
	errOnlyFiller = errors.Newf("%d bytes of comments and blank lines without an event", maxFillerBytes)
)

// newBuffer returns a buffer for an answer or event.
func newBuffer(memory *budget.Memory, limit int) budget.Buffer {
	return budget.Buffer{Account: memory, Limit: limit, Free: freeBufferBytes}
}

// streamEvent is one event of a stream.
type streamEvent struct {
	// raw has the bytes of the event with the terminating blank line. It is
	// valid until the next call of next.
	raw []byte
	// id is -1 if the event has none.
	id int64
	// comment is set if there are only comment lines, which keep a connection
	// alive but are no progress of the stream.
	comment bool
}

// eventReader splits an event stream into events.
type eventReader struct {
	r      *bufio.Reader
	buffer budget.Buffer
	// filler is the number of bytes since the last event.
	filler int
}

// newEventReader returns a reader that has to be closed.
func newEventReader(r io.Reader, memory *budget.Memory) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, readBufferBytes), buffer: newBuffer(memory, maxEventBytes)}
}

// close releases the memory of the reader.
func (e *eventReader) close() { e.buffer.Release() }

// next returns the next event. It returns io.EOF only between events.
func (e *eventReader) next() (streamEvent, error) {
	next := streamEvent{id: -1, comment: true}
	e.buffer.Bytes = e.buffer.Bytes[:0]
	for lineStart := 0; ; {
		part, err := e.r.ReadSlice('\n')
		if appendErr := e.buffer.Append(part); appendErr != nil {
			return streamEvent{}, appendErr
		}
		if next.comment {
			if e.filler += len(part); e.filler > maxFillerBytes {
				return streamEvent{}, errOnlyFiller
			}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			next.comment = next.comment && e.buffer.Bytes[lineStart] == ':'
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.buffer.Bytes)) > 0 {
				return streamEvent{}, errPartialEvent
			}
			return streamEvent{}, err
		}
		text := bytes.TrimRight(e.buffer.Bytes[lineStart:], "\r\n")
		if len(text) == 0 && lineStart == 0 {
			e.buffer.Bytes = e.buffer.Bytes[:0] // Skip blank lines between events.
			continue
		}
		if len(text) == 0 {
			if !next.comment {
				e.filler = 0
			}
			next.raw = e.buffer.Bytes
			return next, nil
		}
		next.comment = next.comment && text[0] == ':'
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			if next.id, err = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err != nil {
				return streamEvent{}, errors.Wrap(err, "parse event id")
			}
		}
		lineStart = len(e.buffer.Bytes)
	}
}
