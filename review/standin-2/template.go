package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// fill fills a template of the deploy file as the platform's page says. It knows the forms that the project's template uses.
func fill(text string, stack ...any) string {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String()
		}
		tag, after, _ := strings.Cut(rest, "}}")
		text = after
		switch {
		case tag[0] == '#' || tag[0] == '^':
			inner, following := section(after, tag[1:])
			text = following
			out.WriteString(fillSection(tag, inner, stack))
		case tag == ",":
			if isLast, _ := lookup(stack, "(last)"); isLast == false {
				out.WriteString(",")
			}
		default:
			name, asJSON := strings.CutSuffix(tag, "|json")
			value, known := lookup(stack, name)
			switch {
			case asJSON:
				raw, _ := json.Marshal(value)
				out.Write(raw)
			case known:
				fmt.Fprint(&out, value)
			}
		}
	}
}

// section returns what stands in the section with the name, and what follows it.
func section(text, name string) (inner, following string) {
	end := "{{/" + name + "}}"
	at := strings.Index(text, end)
	return text[:at], text[at+len(end):]
}

func fillSection(tag, inner string, stack []any) string {
	value, known := lookup(stack, tag[1:])
	list, isList := value.([]any)
	isGiven := known && value != nil && value != false && value != "" && (!isList || len(list) > 0)
	if tag[0] == '^' {
		if isGiven {
			return ""
		}
		return fill(inner, stack...)
	}
	if !isGiven {
		return ""
	}
	if !isList {
		return fill(inner, stack...)
	}
	out := ""
	for i, each := range list {
		out += fill(inner, append(append([]any{}, stack...), map[string]any{".": each, "(last)": i == len(list)-1})...)
	}
	return out
}

// lookup finds a dotted name in the innermost table that has it.
func lookup(stack []any, name string) (any, bool) {
	for i := len(stack) - 1; i >= 0; i-- {
		table, isTable := stack[i].(map[string]any)
		if !isTable {
			continue
		}
		if value, known := table[name]; known {
			return value, true
		}
		if value, known := walk(table, strings.Split(name, ".")); known {
			return value, true
		}
	}
	return nil, false
}

func walk(value any, path []string) (any, bool) {
	for _, key := range path {
		switch each := value.(type) {
		case map[string]any:
			found, known := each[key]
			if !known {
				return nil, false
			}
			value = found
		case []any:
			at, err := strconv.Atoi(key)
			if err != nil || at >= len(each) {
				return nil, false
			}
			value = each[at]
		default:
			return nil, false
		}
	}
	return value, true
}

// writeSettings lays the settings file of a gateway, as the platform does.
func writeSettings(root, folder string, fields map[string]any) string {
	template, err := os.ReadFile(filepath.Join(root, "deploy", "gateway.toml"))
	must(err)
	path := filepath.Join(folder, fields["nodeName"].(string)+".toml")
	must(os.WriteFile(path, []byte(fill(string(template), fields)), 0o644))
	return path
}
