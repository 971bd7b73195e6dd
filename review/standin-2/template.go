package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"
)

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-zA-Z.0-9]+)\}\}(.*?)\{\{/([a-zA-Z.0-9]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-zA-Z.0-9]+)\}\}`)
)

// render fills in a settings template: values, and sections over a table or a
// value that is there.
func render(template string, fields map[string]any) string {
	out := section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		switch v := lookup(fields, m[1]).(type) {
		case nil:
			return ""
		case map[string]any:
			return renderEntries(m[2], v)
		default:
			return render(m[2], fields)
		}
	})
	return placeholder.ReplaceAllStringFunc(out, func(s string) string {
		return text(lookup(fields, placeholder.FindStringSubmatch(s)[1]))
	})
}

func renderEntries(template string, table map[string]any) string {
	var keys []string
	for k := range table {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	var b strings.Builder
	for i, k := range keys {
		comma := ","
		if i == len(keys)-1 {
			comma = ""
		}
		b.WriteString(strings.NewReplacer("{{@}}", k, "{{.}}", text(table[k]), "{{,}}", comma).Replace(template))
	}
	return b.String()
}

func lookup(fields map[string]any, path string) any {
	var v any = fields
	for _, name := range strings.Split(path, ".") {
		switch t := v.(type) {
		case map[string]any:
			v = t[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i >= len(t) {
				return nil
			}
			v = t[i]
		default:
			return nil
		}
	}
	return v
}

func text(v any) string {
	switch t := v.(type) {
	case nil:
		return ""
	case string:
		return t
	case map[string]any, []any:
		b, _ := json.Marshal(t)
		return string(b)
	}
	return fmt.Sprint(v)
}
