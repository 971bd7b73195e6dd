// Package drawer renders a time line of events as an HTML page with an SVG
// picture: a line for each node, a dot for each event.
package drawer

import (
	_ "embed" // for page.html
	"html/template"
	"io"
	"slices"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

// Dimensions of the picture in pixels, and its number of time intervals.
const (
	width         = 1200
	leftMargin    = 140
	topMargin     = 40
	laneHeight    = 28
	timeIntervals = 6
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// palette holds the dot colours. Kinds of events get them in the order in which
// they first occur; further kinds start over.
var palette = []string{"#1b6ca8", "#c0392b", "#1e8449", "#b9770e", "#7d3c98", "#148f77", "#5d6d7e", "#a04000"}

type lane struct {
	Name string
	Y    int
}

type dot struct {
	X, Y   int
	Colour string
	Event  tracer.Event
}

type tick struct {
	X    int
	Text string
}

type legendEntry struct{ Kind, Colour string }

type picture struct {
	Width, Left, Right, Height, Top int
	Lanes                           []lane
	Dots                            []dot
	Ticks                           []tick
	Colours                         []legendEntry
	Events                          []tracer.Event
}

// Write writes the page for events, which must be sorted by time.
func Write(w io.Writer, events []tracer.Event) error {
	p := picture{Width: width, Left: leftMargin, Right: width - laneHeight, Top: topMargin, Events: events}
	p.addLanes()
	p.addDotsAndTicks()
	p.Height = topMargin + (len(p.Lanes)+1)*laneHeight
	return page.Execute(w, p)
}

func (p *picture) addLanes() {
	var names []string
	for _, e := range p.Events {
		if !slices.Contains(names, e.Node) {
			names = append(names, e.Node)
		}
	}
	slices.Sort(names)
	for i, name := range names {
		p.Lanes = append(p.Lanes, lane{Name: name, Y: topMargin + (i+1)*laneHeight})
	}
}

func (p *picture) addDotsAndTicks() {
	if len(p.Events) == 0 {
		return
	}
	start := p.Events[0].Time
	span := max(p.Events[len(p.Events)-1].Time.Sub(start), time.Millisecond)
	xAt := func(d time.Duration) int {
		return p.Left + int(float64(p.Right-p.Left)*float64(d)/float64(span))
	}
	for _, e := range p.Events {
		i := slices.IndexFunc(p.Lanes, func(l lane) bool { return l.Name == e.Node })
		p.Dots = append(p.Dots, dot{X: xAt(e.Time.Sub(start)), Y: p.Lanes[i].Y, Colour: p.colourOf(e.Kind), Event: e})
	}
	for i := range timeIntervals + 1 {
		offset := span * time.Duration(i) / timeIntervals
		p.Ticks = append(p.Ticks, tick{X: xAt(offset), Text: start.Add(offset).Format("15:04:05.000")})
	}
}

func (p *picture) colourOf(kind string) string {
	for _, c := range p.Colours {
		if c.Kind == kind {
			return c.Colour
		}
	}
	c := legendEntry{Kind: kind, Colour: palette[len(p.Colours)%len(palette)]}
	p.Colours = append(p.Colours, c)
	return c.Colour
}
