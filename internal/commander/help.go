package commander

import (
	"context"
	"embed"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

//go:embed help/*.md
var helpPages embed.FS

// helpPage returns the help page of a command, or of the program for "".
func helpPage(command string) string {
	if command == "" {
		command = program
	}
	b, err := helpPages.ReadFile("help/" + command + ".md")
	if err != nil {
		return ""
	}
	return string(b)
}

func (c *Commander) help() *ffcli.Command {
	return c.command("help", func(_ context.Context, args []string) error {
		name := ""
		if len(args) > 0 {
			name = args[0]
		}
		text := helpPage(name)
		if text == "" {
			return coder.New(coder.BadSettings, "no help for %.40q", name)
		}
		return c.print(text)
	}, nil)
}
