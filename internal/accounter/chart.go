package accounter

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Dimensions of the chart in pixels, its bars and its time marks.
const (
	chartWidth, chartHeight                          = 1200, 360
	leftMargin, rightMargin, topMargin, bottomMargin = 60, 20, 40, 40
	plotWidth                                        = chartWidth - leftMargin - rightMargin
	plotHeight                                       = chartHeight - topMargin - bottomMargin
	maxBars, timeMarks                               = 120, 6
)

// barTimes are the times that one bar may stand for; a longer period than maxBars of
// the last one has bars of a multiple of it.
var barTimes = []time.Duration{
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
	10 * time.Second, 30 * time.Second, time.Minute, 5 * time.Minute, 10 * time.Minute, time.Hour,
}

// series are the results in the order in which a bar stacks them, from below.
var series = [resultCount]struct{ name, colour string }{
	answered: {"answered", "#4a9"}, refused: {"refused", "#bbb"}, failed: {"failed", "#c0392b"},
}

// barTime returns how long each bar of a period stands for.
func barTime(period time.Duration) time.Duration {
	for _, d := range barTimes {
		if period < maxBars*d {
			return d
		}
	}
	longest := barTimes[len(barTimes)-1]
	return longest * (period/(maxBars*longest) + 1)
}

// WriteChart writes an SVG picture: a bar for each part of the period, with the
// requests that ended in it.
func (a *Account) WriteChart(w io.Writer) error {
	start, end := a.requestPeriod()
	width := barTime(end.Sub(start))
	bars := make([][resultCount]int, int(end.Sub(start)/width)+1)
	highest := 1
	for i := range a.requests {
		r := &a.requests[i]
		bar := &bars[int(r.at.Sub(start)/width)]
		bar[r.result()]++
		highest = max(highest, bar[answered]+bar[refused]+bar[failed])
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="monospace" font-size="11">`+"\n", chartWidth, chartHeight)
	fmt.Fprintf(&b, `<rect width="%d" height="%d" fill="#fff"/>`+"\n", chartWidth, chartHeight)
	writeLegend(&b, width)
	writeAxes(&b, start, width*time.Duration(len(bars)), highest)
	writeBars(&b, bars, highest)
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// requestPeriod returns when the first and the last request ended.
func (a *Account) requestPeriod() (start, end time.Time) {
	for i := range a.requests {
		at := a.requests[i].at
		if i == 0 || at.Before(start) {
			start = at
		}
		if i == 0 || at.After(end) {
			end = at
		}
	}
	return start, end
}

func writeLegend(b *strings.Builder, width time.Duration) {
	for i, s := range series {
		x := leftMargin + 120*i
		fmt.Fprintf(b, `<rect x="%d" y="%d" width="10" height="10" fill="%s"/><text x="%d" y="%d">%s</text>`+"\n", x, topMargin-24, s.colour, x+14, topMargin-15, s.name)
	}
	fmt.Fprintf(b, `<text x="%d" y="%d">requests in %v</text>`+"\n", leftMargin+120*len(series), topMargin-15, width)
}

func writeAxes(b *strings.Builder, start time.Time, period time.Duration, highest int) {
	const bottom = topMargin + plotHeight
	fmt.Fprintf(b, `<path d="M%d %dV%dH%d" stroke="#000" fill="none"/>`+"\n", leftMargin, topMargin, bottom, leftMargin+plotWidth)
	for _, n := range []int{0, highest} {
		fmt.Fprintf(b, `<text x="%d" y="%d" text-anchor="end">%d</text>`+"\n", leftMargin-6, bottom-plotHeight*n/highest+4, n)
	}
	for i := range timeMarks + 1 {
		at := start.Add(period * time.Duration(i) / timeMarks).UTC()
		fmt.Fprintf(b, `<text x="%d" y="%d" text-anchor="middle">%s</text>`+"\n", leftMargin+plotWidth*i/timeMarks, bottom+18, at.Format("15:04:05.0"))
	}
}

func writeBars(b *strings.Builder, bars [][resultCount]int, highest int) {
	width := float64(plotWidth) / float64(len(bars))
	for i, counts := range bars {
		y := float64(topMargin + plotHeight)
		for result, n := range counts {
			if n == 0 {
				continue
			}
			height := plotHeight * float64(n) / float64(highest)
			y -= height
			fmt.Fprintf(b, `<rect class="%s" x="%.2f" y="%.2f" width="%.2f" height="%.2f" fill="%s"><title>%d</title></rect>`+"\n",
				series[result].name, leftMargin+width*float64(i), y, width, height, series[result].colour, n)
		}
	}
}
