package main

import (
	_ "embed"
	"strings"
)

//go:embed names.txt
var nameTable string

// wire holds the names on the platform's wire, by short names of this program.
var wire = readNames(nameTable)

func readNames(table string) map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(table) {
		if short, name, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			names[short] = name
		}
	}
	return names
}
