// Package explain reconstructs the path of one request from the log lines of
// several nodes, with the node state that each step was based on.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/eventlog"
)

// Line is one structured log line.
type Line struct {
	Time    time.Time
	Node    string
	Message string
	// Stamp is the node's hybrid clock, zero in lines without one. It orders
	// the lines of all nodes even if a wall clock jumps.
	Stamp  clock.Stamp
	Fields map[string]any
}

// Step is a line about the request and the node's state at that time.
type Step struct {
	Line Line
	// Context has the latest lines of the same node, before the step, about the
	// configuration, the store and the step's upstream.
	Context []Line `json:"Beliefs"`
	// index is the index of the line in the input.
	index int
}

// maxLine is the longest accepted log line in bytes.
const maxLine = 1 << 20

// Read returns the structured lines of a log. It skips text before a line's JSON
// object, such as the prefix of a log collector, and lines without an object.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	var lines []Line
	for scanner.Scan() {
		if l, ok := parse(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "read a log")
}

func parse(raw []byte) (Line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(raw[start:], &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.Message, _ = fields["msg"].(string)
	l.Node, _ = fields["node"].(string)
	text, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil || l.Message == "" {
		return Line{}, false
	}
	l.Time = at
	if text, ok := fields[eventlog.StampField].(string); ok {
		if l.Stamp, err = clock.ParseStamp(text); err != nil {
			return Line{}, false
		}
	}
	for _, name := range []string{"msg", "node", "time", "level", eventlog.StampField} {
		delete(fields, name)
	}
	return l, true
}

// Request returns the steps of the request with the id, in the order of the
// nodes' hybrid clocks. Lines without a stamp are ordered by their position in
// the input within one node, and by wall clock across nodes.
func Request(id string, lines []Line) []Step {
	var steps []Step
	for i, l := range lines {
		if l.Fields["request"] == id {
			steps = append(steps, Step{Line: l, Context: contextLines(lines[:i], l), index: i})
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int {
		if a.Line.Stamp != b.Line.Stamp && a.Line.Stamp != (clock.Stamp{}) && b.Line.Stamp != (clock.Stamp{}) {
			return a.Line.Stamp.Compare(b.Line.Stamp)
		}
		if a.Line.Node == b.Line.Node {
			return a.index - b.index
		}
		return a.Line.Time.Compare(b.Line.Time)
	})
	return steps
}

// contextLines returns the node's latest lines before the step about the
// configuration, the store, and the step's upstream.
func contextLines(before []Line, step Line) []Line {
	var upstream, config, store *Line
	for i := len(before) - 1; i >= 0; i-- {
		l := &before[i]
		if l.Node != step.Node {
			continue
		}
		switch l.Message {
		case eventlog.UpstreamRead, eventlog.UpstreamGone:
			if upstream == nil && step.Fields["upstream"] != nil && l.Fields["upstream"] == step.Fields["upstream"] {
				upstream = l
			}
		case eventlog.ConfigTaken:
			if config == nil {
				config = l
			}
		case eventlog.StoreLost, eventlog.StoreRegained:
			if store == nil {
				store = l
			}
		}
	}
	var out []Line
	for _, l := range []*Line{config, store, upstream} {
		if l != nil {
			out = append(out, *l)
		}
	}
	return out
}

// Write prints the steps as text, with the age of each context line at its step.
func Write(w io.Writer, steps []Step) error {
	for _, s := range steps {
		if _, err := fmt.Fprintf(w, "%s %s %s\n", s.Line.Time.Format(time.RFC3339Nano), s.Line.Node, s.Line); err != nil {
			return err
		}
		for _, l := range s.Context {
			age := s.Line.Time.Sub(l.Time).Round(time.Millisecond)
			if _, err := fmt.Fprintf(w, "    known for %s: %s\n", age, l); err != nil {
				return err
			}
		}
	}
	return nil
}

// String formats message and fields.
func (l Line) String() string {
	var b strings.Builder
	b.WriteString(l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name != "request" {
			fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
		}
	}
	return b.String()
}

// MarshalJSON encodes the fields together with time, node and message.
func (l Line) MarshalJSON() ([]byte, error) {
	fields := maps.Clone(l.Fields)
	fields["time"], fields["node"], fields["msg"] = l.Time, l.Node, l.Message
	return json.Marshal(fields)
}
