package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/tomlfile"
)

// FileSuffix is the suffix of declaration files in folders.
const FileSuffix = ".cassiapin.toml"

// Bundle contains the merged declarations of several files and the origin of
// each.
type Bundle struct {
	Declarations Declarations
	origins      map[string]origin
}

// origin is the file of a top-level declaration and its path in that file.
type origin struct {
	positions *tomlfile.Positions
	path      string
}

// problem returns a Problem at a path of the merged declarations, for example
// "organisation[2].allow", with its position in the original file.
func (b *Bundle) problem(path, format string, args ...any) tomlfile.Problem {
	end := strings.IndexByte(path, ']') + 1
	if end == 0 {
		end = len(path)
		if dot := strings.IndexByte(path, '.'); dot >= 0 {
			end = dot
		}
	}
	o, ok := b.origins[path[:end]]
	if !ok {
		return tomlfile.Problem{File: "declarations", Reason: fmt.Sprintf(format, args...)}
	}
	return o.positions.Problem(o.path+path[end:], format, args...)
}

// File is one declaration file.
type File struct {
	Name string
	Data []byte
}

// Parse decodes and merges the files, then validates the result as a whole. The
// error is of type tomlfile.Problems and lists every problem found.
func Parse(files []File) (*Bundle, error) {
	b := &Bundle{origins: make(map[string]origin)}
	var problems tomlfile.Problems
	for _, f := range files {
		var d Declarations
		positions, err := tomlfile.Decode(f.Name, f.Data, &d)
		if err != nil {
			var p tomlfile.Problems
			if errors.As(err, &p) {
				problems = append(problems, p...)
			} else {
				problems = append(problems, tomlfile.Problem{File: f.Name, Reason: err.Error()})
			}
			continue
		}
		problems = append(problems, b.add(d, positions)...)
	}
	if len(problems) == 0 {
		problems = b.validate()
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return b, nil
}

// ReadFiles reads the given files and, recursively in folders, every file whose
// name ends in FileSuffix, sorted by path.
func ReadFiles(paths []string) ([]File, error) {
	var names []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, errors.Wrap(err, "read declarations")
		}
		if !info.IsDir() {
			names = append(names, path)
			continue
		}
		err = filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
			if err == nil && !entry.IsDir() && strings.HasSuffix(name, FileSuffix) {
				names = append(names, name)
			}
			return err
		})
		if err != nil {
			return nil, errors.Wrap(err, "read declarations")
		}
	}
	sort.Strings(names)
	files := make([]File, 0, len(names))
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "read declarations")
		}
		files = append(files, File{Name: name, Data: data})
	}
	if len(files) == 0 {
		return nil, errors.Newf("no file %s* found in %s", "*"+FileSuffix, strings.Join(paths, ", "))
	}
	return files, nil
}

// add appends the declarations of one file.
func (b *Bundle) add(d Declarations, positions *tomlfile.Positions) tomlfile.Problems {
	all := &b.Declarations
	all.Organisations = appendDeclared(b, "organisation", all.Organisations, d.Organisations, positions)
	all.Classes = appendDeclared(b, "class", all.Classes, d.Classes, positions)
	all.Models = appendDeclared(b, "model", all.Models, d.Models, positions)
	all.Upstreams = appendDeclared(b, "upstream", all.Upstreams, d.Upstreams, positions)
	all.Services = appendDeclared(b, "service", all.Services, d.Services, positions)
	all.Rollouts = appendDeclared(b, "rollout", all.Rollouts, d.Rollouts, positions)
	all.Withdrawals = appendDeclared(b, "withdrawal", all.Withdrawals, d.Withdrawals, positions)
	all.FailureDomains = appendDeclared(b, "failure_domain", all.FailureDomains, d.FailureDomains, positions)
	all.Links = appendDeclared(b, "link", all.Links, d.Links, positions)
	if !positions.Has("limits") {
		return nil
	}
	if _, exists := b.origins["limits"]; exists {
		return tomlfile.Problems{positions.Problem("limits", "[limits] is already declared in another file")}
	}
	b.origins["limits"] = origin{positions: positions, path: "limits"}
	all.Limits = d.Limits
	return nil
}

func appendDeclared[T any](b *Bundle, kind string, all, more []T, positions *tomlfile.Positions) []T {
	for i := range more {
		merged := fmt.Sprintf("%s[%d]", kind, len(all)+i)
		b.origins[merged] = origin{positions: positions, path: fmt.Sprintf("%s[%d]", kind, i)}
	}
	return append(all, more...)
}

// Hash returns the hex SHA-256 of the declarations' canonical JSON.
func Hash(d Declarations) (string, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return "", errors.Wrap(err, "encode declarations")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// Check validates declarations that did not come from files, for example
// those of a configuration read from the platform. The error is of type
// tomlfile.Problems.
func Check(d Declarations) error {
	b := &Bundle{Declarations: d}
	if problems := b.validate(); len(problems) > 0 {
		return problems
	}
	return nil
}
