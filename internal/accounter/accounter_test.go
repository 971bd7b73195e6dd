package accounter

import (
	"bytes"
	"encoding/xml"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/tools/txtar"
	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "write the tables to the testdata file")

const periodFile = "testdata/period.txtar"

func readPeriod(t *testing.T) (*Account, *txtar.Archive) {
	f, err := txtar.ParseFile(periodFile)
	qt.Assert(t, err, qt.IsNil)
	a, err := Read(bytes.NewReader(f.Files[0].Data))
	qt.Assert(t, err, qt.IsNil)
	return a, f
}

func TestTablesMatchGoldenFile(t *testing.T) {
	a, f := readPeriod(t)
	var b bytes.Buffer
	qt.Assert(t, a.Write(&b), qt.IsNil)
	if *update {
		f.Files[1].Data = b.Bytes()
		qt.Assert(t, os.WriteFile(periodFile, txtar.Format(f), 0o644), qt.IsNil)
	}
	qt.Check(t, b.String(), qt.Equals, string(f.Files[1].Data))
}

// The tables must not depend on the order of the files, whose lines the collectors
// deliver in any order.
func TestOrderOfLinesDoesNotMatter(t *testing.T) {
	_, f := readPeriod(t)
	lines := strings.SplitAfter(string(f.Files[0].Data), "\n")
	rapid.Check(t, func(r *rapid.T) {
		a, err := Read(strings.NewReader(strings.Join(rapid.Permutation(lines).Draw(r, "lines"), "")))
		if err != nil {
			r.Fatal(err)
		}
		var b bytes.Buffer
		if err := a.Write(&b); err != nil || b.String() != string(f.Files[1].Data) {
			r.Fatalf("%v\n%s", err, b.String())
		}
	})
}

func TestEmptyLog(t *testing.T) {
	a, err := Read(strings.NewReader("no log\n"))
	qt.Assert(t, err, qt.IsNil)
	var table, chart bytes.Buffer
	qt.Check(t, a.Write(&table), qt.IsNil)
	qt.Check(t, strings.Count(table.String(), "none in these logs"), qt.Equals, 5)
	qt.Check(t, a.WriteChart(&chart), qt.IsNil)
	qt.Check(t, readBars(t, chart.Bytes()), qt.HasLen, 0)
}

// bar is one part of a bar of the chart.
type bar struct {
	result              string
	x, y, width, height float64
	count               string
}

// readBars returns the parts of the chart's bars, which must be well-formed and
// inside of the plot.
func readBars(t testing.TB, svg []byte) []bar {
	var doc struct {
		XMLName xml.Name `xml:"http://www.w3.org/2000/svg svg"`
		Rects   []struct {
			Class  string  `xml:"class,attr"`
			X      float64 `xml:"x,attr"`
			Y      float64 `xml:"y,attr"`
			Width  float64 `xml:"width,attr"`
			Height float64 `xml:"height,attr"`
			Title  string  `xml:"title"`
		} `xml:"rect"`
	}
	qt.Assert(t, xml.Unmarshal(svg, &doc), qt.IsNil)
	var bars []bar
	for _, r := range doc.Rects {
		if r.Class == "" {
			continue
		}
		const rounding = 0.01
		inside := r.X >= leftMargin && r.X+r.Width <= leftMargin+plotWidth+rounding && r.Y >= topMargin-rounding && r.Y+r.Height <= topMargin+plotHeight+rounding
		qt.Check(t, inside, qt.IsTrue, qt.Commentf("%+v", r))
		bars = append(bars, bar{r.Class, r.X, r.Y, r.Width, r.Height, r.Title})
	}
	return bars
}

// Bars of 100 ms, counted from the end of the first request. The two requests that end
// together make the highest bar.
func TestChartShowsRequestsOverTime(t *testing.T) {
	a, _ := readPeriod(t)
	var b bytes.Buffer
	qt.Assert(t, a.WriteChart(&b), qt.IsNil)
	var got []string
	for _, p := range readBars(t, b.Bytes()) {
		n := int((p.x-leftMargin)/p.width + 0.5)
		got = append(got, fmt.Sprintf("%d ms: %s %s, %.0f px", 100*n, p.result, p.count, p.height))
	}
	qt.Check(t, got, qt.DeepEquals, []string{
		"0 ms: answered 1, 140 px", "200 ms: answered 1, 140 px", "800 ms: refused 1, 140 px",
		"900 ms: refused 1, 140 px", "1000 ms: failed 1, 140 px", "2800 ms: failed 2, 280 px",
	})
	qt.Check(t, plotHeight, qt.Equals, 280)
}

// Each request must be in one bar, however long the period is.
func TestChartHasEachRequest(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		a, err := Read(strings.NewReader(""))
		qt.Assert(t, err, qt.IsNil)
		scale := rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, time.Hour}).Draw(r, "scale")
		offsets := rapid.SliceOfN(rapid.IntRange(0, 10_000), 1, 50).Draw(r, "offsets")
		for _, offset := range offsets {
			a.requests = append(a.requests, request{at: time.Unix(0, 0).Add(time.Duration(offset) * scale), status: 200 + offset%400})
		}
		var b bytes.Buffer
		if err := a.WriteChart(&b); err != nil {
			r.Fatal(err)
		}
		drawn := 0
		for _, p := range readBars(t, b.Bytes()) {
			n, _ := strconv.Atoi(p.count)
			drawn += n
		}
		if drawn != len(offsets) {
			r.Fatalf("%d requests drawn of %d", drawn, len(offsets))
		}
	})
}
