// Package salvage decodes JSON documents in which some values are none that encoding/json accepts, because other
// software wrote them. The smallest such value is left out, not the document.
package salvage

import (
	"bytes"
	"encoding/json"
	"slices"
)

// Unreadable is the JSON text that replaces a value which encoding/json refuses.
const Unreadable = `"unreadable"`

// Structure is the part of a document's structure that is searched for unreadable values.
type Structure struct {
	// Containers are the names of the members that are descended into. Any other member is replaced as a whole.
	Containers []string
	// Levels is the number of levels down to the values that are replaced, counted from the document itself.
	Levels int
}

// Decode decodes a document. Some writers' JSON has values that encoding/json refuses, such as infinite numbers or nesting
// beyond its limit; each of them counts as the text Unreadable in place of the value, and the rest is decoded.
func (s Structure) Decode(document []byte, into any) error {
	err := json.Unmarshal(document, into)
	if err == nil || json.Valid(document) {
		return err
	}
	return json.Unmarshal(s.salvage(document, s.Levels), into)
}

// salvage returns the value with the smallest unreadable parts replaced, at most levels deep.
func (s Structure) salvage(raw []byte, levels int) []byte {
	raw = bytes.TrimSpace(raw)
	if s.isReadable(raw) {
		return raw
	}
	parts, ok := split(raw)
	if !ok || levels == 0 {
		return []byte(Unreadable)
	}
	salvagePart, end := s.salvage, "]"
	if raw[0] == '{' {
		salvagePart, end = s.salvageMember, "}"
	}
	for i, part := range parts {
		parts[i] = salvagePart(part, levels-1)
	}
	return slices.Concat(raw[:1], bytes.Join(parts, []byte(",")), []byte(end))
}

// salvageMember does the same for a member of an object with its name.
func (s Structure) salvageMember(member []byte, levels int) []byte {
	label, value, _ := bytes.Cut(member, []byte(":"))
	var name string
	if json.Unmarshal(label, &name) != nil { // the names of containers have no colon
		return slices.Concat([]byte(Unreadable), []byte(":"), []byte(Unreadable))
	}
	switch {
	case slices.Contains(s.Containers, name):
		value = s.salvage(value, levels)
	case !s.isReadable(value):
		value = []byte(Unreadable)
	}
	return slices.Concat(label, []byte(":"), value)
}

// isReadable reports whether encoding/json accepts the value within the document.
func (s Structure) isReadable(raw []byte) bool {
	begin, end := bytes.Repeat([]byte("[0,"), s.Levels), bytes.Repeat([]byte("]"), s.Levels)
	return json.Valid(slices.Concat(begin, raw, end))
}

// split returns the parts of a list or an object: what is between its commas. It doesn't check the parts.
func split(raw []byte) (parts [][]byte, ok bool) {
	if len(raw) == 0 || raw[0] != '[' && raw[0] != '{' {
		return nil, false
	}
	depth, start, isText, isEscaped := 0, 1, false, false
	for i, c := range raw {
		switch {
		case isEscaped:
			isEscaped = false
		case isText:
			isText, isEscaped = c != '"', c == '\\'
		case c == '"':
			isText = true
		case c == '[', c == '{':
			depth++
		case depth == 1 && (c == ',' || c == ']' || c == '}'):
			if part := bytes.TrimSpace(raw[start:i]); len(part) > 0 {
				parts = append(parts, part)
			}
			if c != ',' {
				return parts, i == len(raw)-1
			}
			start = i + 1
		case c == ']', c == '}':
			depth--
		}
	}
	return nil, false
}

// IsOneValue reports whether the text stands for one value in a list, though encoding/json may refuse it: it doesn't end
// the list, and has no comma of its own.
func IsOneValue(raw []byte) bool {
	parts, ok := split(slices.Concat([]byte("["), raw, []byte("]")))
	return ok && len(parts) == 1
}
