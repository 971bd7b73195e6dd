// Package tabler writes plain-text tables.
package tabler

import (
	"io"
	"strings"
	"unicode/utf8"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// Write writes rows with aligned columns. Cells that look like numbers are
// right-aligned.
func Write(w io.Writer, rows [][]string) error {
	widths := columnWidths(rows)
	var b strings.Builder
	for _, row := range rows {
		line := ""
		for i, cell := range row {
			line += pad(cell, widths[i]) + strings.Repeat(" ", columnGap)
		}
		b.WriteString(strings.TrimRight(line, " ") + "\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func columnWidths(rows [][]string) []int {
	var widths []int
	for _, row := range rows {
		for i, cell := range row {
			if i == len(widths) {
				widths = append(widths, 0)
			}
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
	return widths
}

func pad(cell string, width int) string {
	space := strings.Repeat(" ", width-utf8.RuneCountInString(cell))
	if cell != "" && strings.Trim(cell, "0123456789.%-") == "" {
		return space + cell
	}
	return cell + space
}
