// Package tomlfile decodes TOML documents strictly and reports every problem with
// its file, line, field and remedy. Settings and bundles use it.
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

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Problem is one error in a document.
type Problem struct {
	// File is the name given to Decode.
	File string
	// Line is the line of the field, or of the nearest enclosing table if the field isn't
	// in the file, counted from 1; 0 if neither is.
	Line int
	// Field is the dotted path of the field, with array indexes from 0.
	Field string
	// Fault describes the error.
	Fault string
	// Remedy describes what to write instead; it may be empty.
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

// Problems is a list of problems; it implements error.
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

// Document is a decoded file that can look up the line of each field.
type Document struct {
	file string
	data []byte
	// lines maps the dotted path of each field to its line. It is built for the first
	// problem, because a valid document doesn't need it.
	lines map[string]int
}

// Decode decodes data strictly into target. Unknown fields and wrong types are
// returned as Problems with their lines. file is the name that problems report.
func Decode(file string, data []byte, target any) (*Document, error) {
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return nil, decodeProblems(file, err)
	}
	return &Document{file: file, data: data}, nil
}

// decodeProblems converts an error of the TOML library to Problems.
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

// line returns the line of the field, or else of the nearest enclosing table; 0 if there is
// neither.
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

// indexLines returns the line of each field, keyed by the field's dotted path. It needs no
// error check, because the document has already been decoded and so parses.
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

// resolveArrayPath returns the path of an array of tables. It adds indexes to the array's
// parents but not to the array itself.
func resolveArrayPath(key []string, counts map[string]int) string {
	last := len(key) - 1
	parent := resolvePath(key[:last], counts)
	if parent == "" {
		return key[last]
	}
	return parent + "." + key[last]
}

// resolvePath returns the path of a key, with the latest index after each part that names an
// array of tables.
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

// keyParts returns the parts of an expression's dotted key.
func keyParts(expression *unstable.Node) []string {
	var parts []string
	for it := expression.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
	}
	return parts
}

// expressionLine returns the line of an expression's key.
func expressionLine(parser *unstable.Parser, expression *unstable.Node) int {
	key := expression.Key()
	if !key.Next() {
		return 0
	}
	return parser.Shape(parser.Range(key.Node().Data)).Start.Line
}
