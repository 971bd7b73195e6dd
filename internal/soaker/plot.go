package soaker

import (
	"fmt"
	"html"
	"strings"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/loadgenerator"
)

// Dimensions of the plot.
const (
	plotWidthPx, laneHeightPx, histogramHeightPx = 1200, 16, 120
	binWidth                                     = 500 * time.Millisecond
)

var kindColours = map[loadgenerator.Kind]string{
	loadgenerator.Answered: "#4a9", loadgenerator.Refused: "#bbb", unreachable: "#eee", loadgenerator.Broken: "#e62", loadgenerator.Truncated: "#c0c", loadgenerator.Wrong: "#000",
}

// kindOrder is the order of kinds in the summary and the plot.
var kindOrder = []loadgenerator.Kind{loadgenerator.Answered, loadgenerator.Refused, unreachable, loadgenerator.Broken, loadgenerator.Truncated, loadgenerator.Wrong}

// Table returns the steps of a run, the request counts by kind, and the
// violations.
func (ob *Observations) Table(violations []string) string {
	var b strings.Builder
	for _, st := range ob.Steps {
		fmt.Fprintln(&b, st)
	}
	fmt.Fprintf(&b, "\n%s\n\n%s\n", ob.Summary(), strings.Join(violations, "\n"))
	return b.String()
}

// Plot returns the timeline of a run as SVG: at the top a histogram of request
// kinds by due time, below it a bar for each step.
func (ob *Observations) Plot() string {
	runTime := time.Second
	for _, o := range ob.Outcomes {
		runTime = max(runTime, o.Due.Sub(ob.Start)+o.Took)
	}
	x := func(d time.Duration) float64 { return plotWidthPx * d.Seconds() / runTime.Seconds() }
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="monospace" font-size="11">`+"\n",
		plotWidthPx, histogramHeightPx+(len(ob.Steps)+1)*laneHeightPx)
	ob.plotHistogram(&b, x)
	for i, st := range ob.Steps {
		y, colour := histogramHeightPx+(i+1)*laneHeightPx, "#e62"
		if st.Kind.planned() {
			colour = "#59d"
		}
		fmt.Fprintf(&b, `<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="%s"/><text x="%.1f" y="%d">%s</text>`+"\n",
			x(st.At), y, max(x(st.Duration), 2), laneHeightPx-2, colour, x(st.At+st.Duration)+4, y+laneHeightPx-5, html.EscapeString(st.String()))
	}
	b.WriteString("</svg>\n")
	return b.String()
}

func (ob *Observations) plotHistogram(b *strings.Builder, x func(time.Duration) float64) {
	bins := map[time.Duration]map[loadgenerator.Kind]int{}
	for _, o := range ob.Outcomes {
		binStart := o.Due.Sub(ob.Start) / binWidth * binWidth
		if bins[binStart] == nil {
			bins[binStart] = map[loadgenerator.Kind]int{}
		}
		bins[binStart][outcomeKind(o)]++
	}
	requestsPerFullBin := requestsPerSecond * binWidth.Seconds()
	for binStart, counts := range bins {
		y := float64(histogramHeightPx)
		for _, k := range kindOrder {
			h := histogramHeightPx * float64(counts[k]) / requestsPerFullBin
			y -= h
			fmt.Fprintf(b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`+"\n", x(binStart), y, x(binWidth)-1, h, kindColours[k])
		}
	}
}
