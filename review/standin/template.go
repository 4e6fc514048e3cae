package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// gap is a gap of a settings template, as DEPLOY.md describes them.
var gap = regexp.MustCompile(`\{\{([#^/]?)([A-Za-z_.,@][A-Za-z0-9_.]*)(\|json)?\}\}`)

// fill fills a settings template from the fields that the platform gives a process.
func fill(template string, fields map[string]any) string {
	text, rest := fillFrom(template, []any{fields}, "", false)
	if rest != "" {
		panic("the template closes a part that it didn't open")
	}
	return text
}

// fillFrom fills the template up to the end of the part that is open, and returns the rest.
func fillFrom(template string, scopes []any, open string, isLast bool) (text, rest string) {
	var out strings.Builder
	for {
		at := gap.FindStringSubmatchIndex(template)
		if at == nil {
			return out.String() + template, ""
		}
		sign, name, asJSON := template[at[2]:at[3]], template[at[4]:at[5]], at[6] >= 0
		out.WriteString(template[:at[0]])
		template = template[at[1]:]
		switch {
		case sign == "/" && name == open:
			return out.String(), template
		case sign == "#" || sign == "^":
			var part string
			part, template = fillPart(template, scopes, name, sign == "^")
			out.WriteString(part)
		case name == ",":
			if !isLast {
				out.WriteString(",")
			}
		default:
			out.WriteString(format(find(scopes, name), asJSON))
		}
	}
}

func fillPart(template string, scopes []any, name string, inverted bool) (text, rest string) {
	value := find(scopes, name)
	list, isList := value.([]any)
	isGiven := value != nil && value != false && !(isList && len(list) == 0)
	body, rest := fillFrom(template, scopes, name, false)
	switch {
	case inverted == isGiven:
		return "", rest
	case !isList:
		return body, rest
	}
	for i, each := range list {
		part, _ := fillFrom(template, append(scopes[:len(scopes):len(scopes)], each), name, i == len(list)-1)
		text += part
	}
	return text, rest
}

// find looks a dotted name up, in the innermost scope first.
func find(scopes []any, name string) any {
	if name == "." {
		return scopes[len(scopes)-1]
	}
	for i := len(scopes) - 1; i >= 0; i-- {
		value, known := scopes[i], true
		for _, key := range strings.Split(name, ".") {
			var table map[string]any
			if table, known = value.(map[string]any); !known {
				break
			}
			if value, known = table[key]; !known {
				break
			}
		}
		if known {
			return value
		}
	}
	return nil
}

func format(value any, asJSON bool) string {
	if asJSON {
		raw, _ := json.Marshal(value)
		return string(raw)
	}
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}
