// Package tomlfile decodes TOML strictly and records the line of every key, so
// that later checks can report file, line and reason.
package tomlfile

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Problem is an error in a file.
type Problem struct {
	File string `json:"file"`
	// Line is 1-based; 0 means the file as a whole.
	Line   int    `json:"line"`
	Reason string `json:"reason"`
}

// String formats the problem like a compiler error: file, line and reason.
func (p Problem) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.File, p.Reason)
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Reason)
}

// Problems is an error that lists the problems of one or more files.
type Problems []Problem

// Error returns one problem per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Positions maps key paths such as "model[0].version[1].name" to lines.
type Positions struct {
	file   string
	lines  map[string]int
	counts map[string]int
}

// Line returns the line of the path, or of the closest enclosing key. It returns
// 0 if there is none.
func (p *Positions) Line(path string) int {
	for path != "" {
		if line, ok := p.lines[path]; ok {
			return line
		}
		path = parentPath(path)
	}
	return 0
}

// Has reports whether the file sets the path.
func (p *Positions) Has(path string) bool {
	_, ok := p.lines[path]
	return ok
}

// Problem returns a problem at the path.
func (p *Positions) Problem(path, format string, args ...any) Problem {
	return Problem{File: p.file, Line: p.Line(path), Reason: fmt.Sprintf(format, args...)}
}

func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

// Decode decodes data into v. Unknown keys, wrong types and wrong units are
// errors of type Problems. The returned positions cover the whole file.
func Decode(file string, data []byte, v any) (*Positions, error) {
	positions, err := scan(file, data)
	if err != nil {
		return nil, err
	}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return nil, decodeProblems(file, err)
	}
	return positions, nil
}

func decodeProblems(file string, err error) Problems {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		var problems Problems
		for i := range missing.Errors {
			e := &missing.Errors[i]
			line, _ := e.Position()
			reason := fmt.Sprintf("unknown key %q", strings.Join(e.Key(), "."))
			problems = append(problems, Problem{File: file, Line: line, Reason: reason})
		}
		return problems
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return Problems{{File: file, Line: line, Reason: strings.TrimPrefix(decode.Error(), "toml: ")}}
	}
	return Problems{{File: file, Reason: err.Error()}}
}

// scan records the line of each key in the file.
func scan(file string, data []byte) (*Positions, error) {
	p := &Positions{file: file, lines: make(map[string]int), counts: make(map[string]int)}
	parser := &unstable.Parser{}
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		parts, line := keyParts(parser, node)
		switch node.Kind {
		case unstable.ArrayTable:
			table = p.enterArray(parts)
			p.lines[table] = line
		case unstable.Table:
			table = p.resolve("", parts)
			p.lines[table] = line
		case unstable.KeyValue:
			p.lines[p.resolve(table, parts)] = line
		}
	}
	if err := parser.Error(); err != nil {
		var parse *unstable.ParserError
		line := 0
		if errors.As(err, &parse) {
			line = 1 + bytes.Count(data[:offsetOf(data, parse.Highlight)], []byte("\n"))
		}
		return nil, Problems{{File: file, Line: line, Reason: err.Error()}}
	}
	return p, nil
}

// offsetOf returns the offset of part, a subslice of data, or the end of data if
// part is empty.
func offsetOf(data, part []byte) int {
	if len(part) == 0 {
		return len(data)
	}
	return cap(data) - cap(part)
}

func keyParts(parser *unstable.Parser, node *unstable.Node) (parts []string, line int) {
	it := node.Key()
	for it.Next() {
		key := it.Node()
		if line == 0 {
			line = parser.Shape(key.Raw).Start.Line
		}
		parts = append(parts, string(key.Data))
	}
	return parts, line
}

// resolve joins the parts below base. Each part that is an array of tables gets
// its latest index.
func (p *Positions) resolve(base string, parts []string) string {
	path := base
	for _, part := range parts {
		if path != "" {
			path += "."
		}
		path += part
		if n := p.counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

func (p *Positions) enterArray(parts []string) string {
	path := p.resolve("", parts[:len(parts)-1])
	if path != "" {
		path += "."
	}
	path += parts[len(parts)-1]
	index := p.counts[path]
	p.counts[path] = index + 1
	return fmt.Sprintf("%s[%d]", path, index)
}
