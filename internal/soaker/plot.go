package soaker

import (
	"fmt"
	"html"
	"strings"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/loader"
)

// Sizes of the plot, in pixels but for the bin.
const (
	plotWidth, laneHeight, binsHeight = 1200, 16, 120
	bin                               = 500 * time.Millisecond
)

var colours = map[loader.Kind]string{
	loader.Answered: "#4a9", loader.Refused: "#bbb", gone: "#eee", loader.Broken: "#e62", loader.Cut: "#c0c", loader.Wrong: "#000",
}

// shown is the order in which kinds are told.
var shown = []loader.Kind{loader.Answered, loader.Refused, gone, loader.Broken, loader.Cut, loader.Wrong}

// Table returns the steps of a run, how its requests ended, and the promises
// that were broken.
func (s *Seen) Table(bad []string) string {
	var b strings.Builder
	for _, st := range s.Steps {
		fmt.Fprintln(&b, st)
	}
	fmt.Fprintf(&b, "\n%s\n\n%s\n", s.Summary(), strings.Join(bad, "\n"))
	return b.String()
}

// Plot returns the time line of a run as SVG: above, how requests ended by the
// time when they were due; below, a bar for each step.
func (s *Seen) Plot() string {
	length := time.Second
	for _, o := range s.Outcomes {
		length = max(length, o.Due.Sub(s.Start)+o.Took)
	}
	x := func(d time.Duration) float64 { return plotWidth * d.Seconds() / length.Seconds() }
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="monospace" font-size="11">`+"\n",
		plotWidth, binsHeight+(len(s.Steps)+1)*laneHeight)
	s.plotOutcomes(&b, x)
	for i, st := range s.Steps {
		y, colour := binsHeight+(i+1)*laneHeight, "#e62"
		if st.Kind.planned() {
			colour = "#59d"
		}
		fmt.Fprintf(&b, `<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="%s"/><text x="%.1f" y="%d">%s</text>`+"\n",
			x(st.At), y, max(x(st.For), 2), laneHeight-2, colour, x(st.At+st.For)+4, y+laneHeight-5, html.EscapeString(st.String()))
	}
	b.WriteString("</svg>\n")
	return b.String()
}

func (s *Seen) plotOutcomes(b *strings.Builder, x func(time.Duration) float64) {
	bins := map[time.Duration]map[loader.Kind]int{}
	for _, o := range s.Outcomes {
		at := o.Due.Sub(s.Start) / bin * bin
		if bins[at] == nil {
			bins[at] = map[loader.Kind]int{}
		}
		bins[at][kindOf(o)]++
	}
	full := loadRate * bin.Seconds()
	for at, counts := range bins {
		y := float64(binsHeight)
		for _, k := range shown {
			h := binsHeight * float64(counts[k]) / full
			y -= h
			fmt.Fprintf(b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`+"\n", x(at), y, x(bin)-1, h, colours[k])
		}
	}
}
