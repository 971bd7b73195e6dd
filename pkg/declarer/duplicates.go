package declarer

import (
	"bytes"
	"encoding/json"
	"fmt"
)

const ruleDuplicateField = "a field stands here twice"

// duplicateFields returns a problem for each repeated field of a JSON object.
// encoding/json would silently use the last one.
func duplicateFields(b []byte) []Problem {
	w := &duplicateFinder{tokens: json.NewDecoder(bytes.NewReader(b))}
	w.visitValue(".")
	return w.problems
}

// duplicateFinder finds repeated fields in the tokens of one JSON text.
type duplicateFinder struct {
	tokens   *json.Decoder
	problems []Problem
}

// visitValue reads one value. It returns false if no further token can be read.
func (w *duplicateFinder) visitValue(path string) bool {
	token, err := w.tokens.Token()
	if err != nil {
		return false
	}
	switch token {
	case json.Delim('{'):
		return w.visitObject(path)
	case json.Delim('['):
		return w.visitArray(path)
	}
	return true
}

func (w *duplicateFinder) visitObject(path string) bool {
	seen := map[string]bool{}
	for w.tokens.More() {
		token, err := w.tokens.Token()
		if err != nil {
			return false
		}
		field := fmt.Sprint(token)
		if seen[field] {
			w.problems = append(w.problems, Problem{Path: path, Value: formatValue(field), Rule: ruleDuplicateField})
		}
		seen[field] = true
		if !w.visitValue(joinPath(path, field)) {
			return false
		}
	}
	_, err := w.tokens.Token()
	return err == nil
}

func (w *duplicateFinder) visitArray(path string) bool {
	for i := 0; w.tokens.More(); i++ {
		if !w.visitValue(fmt.Sprintf("%s[%d]", path, i)) {
			return false
		}
	}
	_, err := w.tokens.Token()
	return err == nil
}

func joinPath(path, field string) string {
	if path == "." {
		return field
	}
	return path + "." + field
}
