package declarer

import (
	"fmt"
	"strings"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// maxShownProblems limits how many problems an error text lists.
const maxShownProblems = 20

// Problem is one violation of a rule by a declaration.
type Problem struct {
	// Path locates the invalid value, such as "routes[3].deadline".
	Path string
	// Value is the invalid value as text. It never contains what may be a key.
	Value string
	// Rule states what is allowed.
	Rule string
}

// String formats the problem on one line.
func (p Problem) String() string {
	if p.Value == "" {
		return fmt.Sprintf("%s: %s", p.Path, p.Rule)
	}
	return fmt.Sprintf("%s: %s: %s", p.Path, p.Value, p.Rule)
}

// InvalidError lists all problems of a declaration. It unwraps to a
// coder.Error with code coder.BadDeclaration.
type InvalidError struct {
	// Problems is never empty.
	Problems []Problem
}

// Error lists the first maxShownProblems problems and counts the rest.
func (e *InvalidError) Error() string {
	return e.refusal().Error()
}

// Unwrap returns the problems as a coder.Error.
func (e *InvalidError) Unwrap() error {
	return e.refusal()
}

func (e *InvalidError) refusal() *coder.Error {
	shown := e.Problems[:min(len(e.Problems), maxShownProblems)]
	lines := make([]string, 0, len(shown)+1)
	for _, p := range shown {
		lines = append(lines, p.String())
	}
	if more := len(e.Problems) - len(shown); more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return coder.New(coder.BadDeclaration, "%s", strings.Join(lines, "; "))
}
