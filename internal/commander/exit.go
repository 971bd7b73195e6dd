package commander

import (
	"errors"
	"io"

	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// Exit codes of the program. help/zinniaproxy.md lists the same codes.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailed means a failure without an exit code of its own.
	ExitFailed = 1
	// ExitUsage means invalid flags, settings or arguments.
	ExitUsage = 2
	// ExitDeclaration means that a declaration breaks a rule.
	ExitDeclaration = 3
	// ExitRaced means that another operator's change came first.
	ExitRaced = 4
	// ExitStore means that the store did not answer, so the outcome may be
	// unknown.
	ExitStore = 5
	// ExitNotInForce means that a change was accepted but was not in force on
	// all nodes within the wait.
	ExitNotInForce = 6
	// ExitGuaranteeBroken means that a guarantee to callers was broken.
	ExitGuaranteeBroken = 7
)

// Errors with their own exit code.
var (
	errNotInForce      = errors.New("accepted, but not in force everywhere in time")
	errGuaranteeBroken = errors.New("a promise was broken")
)

func exitCode(err error) int {
	switch {
	case errors.Is(err, errNotInForce):
		return ExitNotInForce
	case errors.Is(err, errGuaranteeBroken):
		return ExitGuaranteeBroken
	}
	var refusal *coder.Error
	if !errors.As(err, &refusal) {
		return ExitFailed
	}
	switch refusal.Code {
	case coder.BadSettings:
		return ExitUsage
	case coder.BadDeclaration:
		return ExitDeclaration
	case coder.Raced:
		return ExitRaced
	case coder.StoreUnavailable:
		return ExitStore
	}
	return ExitFailed
}

// printError writes an error to Err, with one line for each invalid value.
func (c *Commander) printError(err error) {
	text := ""
	for _, line := range errorLines(err) {
		text += program + ": " + line + "\n"
	}
	_, _ = io.WriteString(c.Err, text)
}

func errorLines(err error) []string {
	var declaration *declarer.InvalidError
	if errors.As(err, &declaration) {
		return problemLines(coder.BadDeclaration, declaration.Problems)
	}
	var settings *settingsloader.InvalidError
	if errors.As(err, &settings) {
		return problemLines(coder.BadSettings, settings.Problems)
	}
	return []string{err.Error()}
}

func problemLines(code coder.Code, problems []declarer.Problem) []string {
	out := make([]string, 0, len(problems))
	for _, p := range problems {
		out = append(out, coder.New(code, "%s", p).Error())
	}
	return out
}
