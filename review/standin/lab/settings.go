package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// render fills in the settings template of the deploy file: values, and sections
// of lists, tables and present values.
func render(template string, fields map[string]any) (string, error) {
	return renderSection(template, fields, nil, "", "")
}

func renderSection(template string, fields map[string]any, entry any, key, comma string) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(template, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		tag, rest, found := strings.Cut(rest, "}}")
		if !found {
			return "", errors.New("template: tag without an end")
		}
		template = rest
		switch {
		case tag == "@":
			out.WriteString(key)
		case tag == ",":
			out.WriteString(comma)
		case tag == ".":
			out.WriteString(text(entry))
		case strings.HasPrefix(tag, "#"):
			body, rest, found := strings.Cut(template, "{{/"+tag[1:]+"}}")
			if !found {
				return "", fmt.Errorf("template: section %s without an end", tag)
			}
			template = rest
			section, err := repeat(body, fields, lookup(fields, tag[1:]))
			if err != nil {
				return "", err
			}
			out.WriteString(section)
		default:
			out.WriteString(text(lookup(fields, tag)))
		}
	}
}

func repeat(body string, fields map[string]any, value any) (string, error) {
	if value == nil || value == false {
		return "", nil
	}
	table, ok := value.(map[string]any)
	if !ok {
		return renderSection(body, fields, value, "", "")
	}
	var out strings.Builder
	keys := slices.Sorted(maps.Keys(table))
	for i, key := range keys {
		comma := ","
		if i == len(keys)-1 {
			comma = ""
		}
		part, err := renderSection(body, fields, table[key], key, comma)
		if err != nil {
			return "", err
		}
		out.WriteString(part)
	}
	return out.String(), nil
}

func lookup(fields map[string]any, path string) any {
	var value any = fields
	for name := range strings.SplitSeq(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []any:
			i := 0
			if _, err := fmt.Sscan(name, &i); err != nil || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}

func text(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return v
	}
	b, _ := json.Marshal(value)
	return string(b)
}
