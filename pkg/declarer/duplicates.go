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
	f := &duplicateFinder{tokens: json.NewDecoder(bytes.NewReader(b))}
	f.visitValue(".")
	return f.problems
}

// duplicateFinder finds repeated fields in the tokens of one JSON text.
type duplicateFinder struct {
	tokens   *json.Decoder
	problems []Problem
}

// visitValue reads one value. It returns false if no further token can be read.
func (f *duplicateFinder) visitValue(path string) bool {
	token, err := f.tokens.Token()
	if err != nil {
		return false
	}
	switch token {
	case json.Delim('{'):
		return f.visitObject(path)
	case json.Delim('['):
		return f.visitArray(path)
	}
	return true
}

func (f *duplicateFinder) visitObject(path string) bool {
	seen := map[string]bool{}
	for f.tokens.More() {
		token, err := f.tokens.Token()
		if err != nil {
			return false
		}
		field := fmt.Sprint(token)
		if seen[field] {
			f.problems = append(f.problems, Problem{Path: path, Value: formatValue(field), Rule: ruleDuplicateField})
		}
		seen[field] = true
		if !f.visitValue(joinPath(path, field)) {
			return false
		}
	}
	_, err := f.tokens.Token()
	return err == nil
}

func (f *duplicateFinder) visitArray(path string) bool {
	for i := 0; f.tokens.More(); i++ {
		if !f.visitValue(fmt.Sprintf("%s[%d]", path, i)) {
			return false
		}
	}
	_, err := f.tokens.Token()
	return err == nil
}

func joinPath(path, field string) string {
	if path == "." {
		return field
	}
	return path + "." + field
}
