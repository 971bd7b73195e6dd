package declarer

import (
	"bytes"
	_ "embed" // for schema.json
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// MaxBytes is the largest declaration that Read accepts, in bytes.
const MaxBytes = 64 << 20

const schemaURL = "schema.json"

//go:embed schema.json
var schemaText []byte

// Schema returns the JSON schema of a declaration. It covers all rules except
// those that compare two values; Check covers all.
func Schema() []byte {
	return bytes.Clone(schemaText)
}

var compiledSchema = sync.OnceValue(func() *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		panic("declarer: " + err.Error())
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaURL, doc); err != nil {
		panic("declarer: " + err.Error())
	}
	return c.MustCompile(schemaURL)
})

// Read parses and checks one declaration. It returns an InvalidError, which
// wraps coder.BadDeclaration, for text that is not JSON, is larger than
// MaxBytes, has unknown or duplicate fields, or breaks a rule.
func Read(r io.Reader) (Fleet, error) {
	b, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return Fleet{}, fmt.Errorf("declarer: %w", err)
	}
	if len(b) > MaxBytes {
		return Fleet{}, newInvalidError(Problem{Path: ".", Rule: fmt.Sprintf("must have at most %d bytes", MaxBytes)})
	}
	if problems := validate(b); len(problems) > 0 {
		return Fleet{}, newInvalidError(problems...)
	}
	return decode(b)
}

func newInvalidError(problems ...Problem) error {
	return &InvalidError{Problems: problems}
}

func decode(b []byte) (Fleet, error) {
	var f Fleet
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return Fleet{}, newInvalidError(Problem{Path: ".", Rule: err.Error()})
	}
	if problems := f.Check(); len(problems) > 0 {
		return Fleet{}, newInvalidError(problems...)
	}
	return f, nil
}

// validate checks the text against the schema. Numbers are parsed as float64,
// because the exact value of a number such as 1e999999 would take unbounded
// time.
func validate(b []byte) []Problem {
	var doc any
	if err := json.Unmarshal(b, &doc); err != nil {
		return []Problem{{Path: ".", Rule: "is not JSON: " + err.Error()}}
	}
	if problems := duplicateFields(b); len(problems) > 0 {
		return problems
	}
	var validationErr *jsonschema.ValidationError
	if err := compiledSchema().Validate(doc); errors.As(err, &validationErr) {
		return leafProblems(validationErr, doc, message.NewPrinter(language.English))
	}
	return nil
}

// leafProblems converts the innermost causes of a schema error to problems.
func leafProblems(e *jsonschema.ValidationError, doc any, printer *message.Printer) []Problem {
	if len(e.Causes) == 0 {
		path, value := locateValue(doc, e.InstanceLocation)
		return []Problem{{Path: path, Value: value, Rule: ruleText(e, printer)}}
	}
	var out []Problem
	for _, cause := range e.Causes {
		out = append(out, leafProblems(cause, doc, printer)...)
	}
	return out
}

// ruleText returns the rule's text for an invalid value of a field in fieldRules,
// and the schema library's message for any other error.
func ruleText(e *jsonschema.ValidationError, printer *message.Printer) string {
	switch e.ErrorKind.(type) {
	case *kind.Required, *kind.AdditionalProperties, *kind.Type, *kind.MaxItems:
		return e.ErrorKind.LocalizedString(printer)
	}
	for i := len(e.InstanceLocation) - 1; i >= 0; i-- {
		if rule, ok := fieldRules[e.InstanceLocation[i]]; ok {
			return rule
		}
	}
	return e.ErrorKind.LocalizedString(printer)
}

// fieldRules maps fields that schema.json constrains to the texts of their
// rules. Fields that are not listed get the schema library's message.
var fieldRules = map[string]string{
	"name": ruleName, "region": ruleName, "slots": ruleSlots, "cold": ruleCold, "floor": ruleFloor,
	"rate": ruleRate, "burst": ruleBurst, "weight": ruleWeight, "digest": ruleDigest,
	"host": ruleHost, "path": rulePath, "methods": ruleMethods, "deadline": ruleDeadline,
}

// locateValue converts a JSON pointer to a path such as "routes[3].deadline"
// and formats the value there, if it is a scalar.
func locateValue(doc any, pointer []string) (path, value string) {
	var b strings.Builder
	for _, token := range pointer {
		switch parent := doc.(type) {
		case map[string]any:
			doc = parent[token]
			b.WriteString("." + token)
		case []any:
			var i int
			if _, err := fmt.Sscanf(token, "%d", &i); err == nil && i < len(parent) {
				doc = parent[i]
			}
			b.WriteString("[" + token + "]")
		}
	}
	path = strings.TrimPrefix(b.String(), ".")
	if path == "" {
		path = "."
	}
	return path, scalarText(path, doc)
}

// scalarText formats a scalar, and returns "" for an object or array. It never
// shows a digest's text, because an operator may have entered the key itself
// there.
func scalarText(path string, doc any) string {
	if strings.HasSuffix(path, ".digest") {
		return fmt.Sprintf("%d characters", len(fmt.Sprint(doc)))
	}
	switch doc.(type) {
	case map[string]any, []any:
		return ""
	}
	return formatValue(doc)
}
