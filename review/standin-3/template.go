package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// render fills in a template of the deploy file, as the platform's pages describe
// it: values, and sections for lists, tables and present values.
func render(text string, fields map[string]any) string {
	return renderIn(text, []any{fields}, "", true)
}

var placeholder = regexp.MustCompile(`\{\{([#^]?)([^{}]+)\}\}`)

func renderIn(text string, scopes []any, key string, last bool) string {
	var out strings.Builder
	for {
		m := placeholder.FindStringSubmatchIndex(text)
		if m == nil {
			out.WriteString(text)
			return out.String()
		}
		out.WriteString(text[:m[0]])
		kind, name := text[m[2]:m[3]], text[m[4]:m[5]]
		text = text[m[1]:]
		if kind == "" {
			out.WriteString(value(name, scopes, key, last))
			continue
		}
		end := "{{/" + name + "}}"
		inner, rest, _ := strings.Cut(text, end)
		text = rest
		out.WriteString(section(kind, inner, lookup(name, scopes), scopes))
	}
}

func section(kind, inner string, v any, scopes []any) string {
	present := v != nil && v != false
	if kind == "^" {
		if present {
			return ""
		}
		return renderIn(inner, scopes, "", true)
	}
	var out strings.Builder
	switch t := v.(type) {
	case map[string]any:
		keys := []string{}
		for k := range t {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for i, k := range keys {
			out.WriteString(renderIn(inner, append(slices.Clone(scopes), t[k]), k, i == len(keys)-1))
		}
	case []any:
		for i, e := range t {
			out.WriteString(renderIn(inner, append(slices.Clone(scopes), e), strconv.Itoa(i), i == len(t)-1))
		}
	default:
		if present {
			out.WriteString(renderIn(inner, append(slices.Clone(scopes), v), "", true))
		}
	}
	return out.String()
}

func value(name string, scopes []any, key string, last bool) string {
	switch name {
	case "@":
		return key
	case ",":
		if last {
			return ""
		}
		return ","
	case ".":
		return text(scopes[len(scopes)-1])
	}
	return text(lookup(name, scopes))
}

func text(v any) string {
	switch t := v.(type) {
	case nil:
		return ""
	case string:
		return t
	case float64:
		return strconv.FormatFloat(t, 'g', -1, 64)
	}
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(b)
}

func lookup(name string, scopes []any) any {
	for _, scope := range slices.Backward(scopes) {
		v, ok := scope, true
		for part := range strings.SplitSeq(name, ".") {
			switch t := v.(type) {
			case map[string]any:
				v, ok = t[part]
			case []any:
				i, err := strconv.Atoi(part)
				if ok = err == nil && i < len(t); ok {
					v = t[i]
				}
			default:
				ok = false
			}
			if !ok {
				break
			}
		}
		if ok {
			return v
		}
	}
	return nil
}
