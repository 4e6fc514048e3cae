// Package tomlfile reads TOML documents strictly and reports every problem with
// its file, line, field and remedy. Settings and bundles share it.
package tomlfile

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Duration is a time.Duration written as text such as "250ms" or "15m".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration; write a number with a unit, such as \"250ms\" or \"15m\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the standard library's form.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Problem is one thing wrong with a document.
type Problem struct {
	// File is the name given to Decode.
	File string
	// Line counts from 1; 0 means that the field doesn't stand in the file.
	Line int
	// Field is the dotted path, with list positions counted from 0.
	Field string
	// Fault says what is wrong.
	Fault string
	// Remedy says what to write instead.
	Remedy string
}

// String formats the problem for a terminal.
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place += ":" + strconv.Itoa(p.Line)
	}
	text := place + ": " + p.Field + ": " + p.Fault
	if p.Remedy != "" {
		text += "; " + p.Remedy
	}
	return text
}

// Problems is a list of problems and an error when it isn't empty.
type Problems []Problem

// Error implements error.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, problem := range ps {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil when it is empty.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Document is a decoded file that can tell where each field stands.
type Document struct {
	file string
	data []byte
	// lines is made with the first problem: a document in order needs none.
	lines map[string]int
}

// Decode reads data strictly into target. Unknown fields and wrong types are
// returned as Problems with their lines.
func Decode(file string, data []byte, target any) (*Document, error) {
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return nil, decodeProblems(file, err)
	}
	return &Document{file: file, data: data}, nil
}

// decodeProblems turns the library's errors into Problems.
func decodeProblems(file string, err error) Problems {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		var problems Problems
		for _, detail := range missing.Errors {
			row, _ := detail.Position()
			problems = append(problems, Problem{
				File: file, Line: row, Field: strings.Join(detail.Key(), "."),
				Fault: "unknown key", Remedy: "remove it or correct its spelling",
			})
		}
		return problems
	}
	var detail *toml.DecodeError
	if errors.As(err, &detail) {
		row, _ := detail.Position()
		return Problems{{
			File: file, Line: row, Field: strings.Join(detail.Key(), "."),
			Fault: strings.TrimPrefix(detail.Error(), "toml: "), Remedy: "correct the value on this line",
		}}
	}
	return Problems{{File: file, Field: "document", Fault: err.Error(), Remedy: "write valid TOML"}}
}

// Problem returns a problem at the field's line.
func (d *Document) Problem(field, fault, remedy string) Problem {
	return Problem{File: d.file, Line: d.line(field), Field: field, Fault: fault, Remedy: remedy}
}

// line finds the field, or the nearest table around it.
func (d *Document) line(field string) int {
	if d.lines == nil {
		d.lines = indexLines(d.data)
	}
	for path := field; path != ""; {
		if line, ok := d.lines[path]; ok {
			return line
		}
		cut := strings.LastIndexByte(path, '.')
		if cut < 0 {
			return 0
		}
		path = path[:cut]
	}
	return 0
}

// locate maps every field's dotted path to its line. A document that already
// decoded can't fail to parse here.
func indexLines(data []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	parser := unstable.Parser{}
	parser.Reset(data)
	prefix := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		line := expressionLine(&parser, expression)
		switch expression.Kind {
		case unstable.Table:
			prefix = resolvePath(keyParts(expression), counts)
			lines[prefix] = line
		case unstable.ArrayTable:
			name := resolveArrayPath(keyParts(expression), counts)
			prefix = fmt.Sprintf("%s.%d", name, counts[name])
			counts[name]++
			lines[prefix] = line
		case unstable.KeyValue:
			path := strings.Join(keyParts(expression), ".")
			if prefix != "" {
				path = prefix + "." + path
			}
			lines[path] = line
		}
	}
	return lines
}

// resolveListPath resolves a list's parents but not the list itself.
func resolveArrayPath(key []string, counts map[string]int) string {
	last := len(key) - 1
	parent := resolvePath(key[:last], counts)
	if parent == "" {
		return key[last]
	}
	return parent + "." + key[last]
}

// resolvePath inserts the latest position behind each part that names a list.
func resolvePath(key []string, counts map[string]int) string {
	path := ""
	for _, part := range key {
		if path != "" {
			path += "."
		}
		path += part
		if count := counts[path]; count > 0 {
			path = fmt.Sprintf("%s.%d", path, count-1)
		}
	}
	return path
}

func keyParts(expression *unstable.Node) []string {
	var parts []string
	for it := expression.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
	}
	return parts
}

func expressionLine(parser *unstable.Parser, expression *unstable.Node) int {
	key := expression.Key()
	if !key.Next() {
		return 0
	}
	return parser.Shape(parser.Range(key.Node().Data)).Start.Line
}
