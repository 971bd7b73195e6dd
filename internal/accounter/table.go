package accounter

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/tabler"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// sampleHeads are the heads of samples.cells.
var sampleHeads = []string{"p50 ms", "p95 ms", "max ms"}

// group is a group of requests in the tables.
type group struct {
	route, workspace string
	rank             int
}

func (g group) compare(other group) int {
	return cmp.Or(cmp.Compare(g.route, other.route), cmp.Compare(g.rank, other.rank), cmp.Compare(g.workspace, other.workspace))
}

func (g group) cells() []string {
	return []string{cmp.Or(g.route, unknown), strconv.Itoa(g.rank), cmp.Or(g.workspace, unknown)}
}

// tally counts the requests of a group.
type tally struct {
	results [resultCount]int
	late    int
	// hasAim is true if a request of the group has a latency objective.
	hasAim bool
	held   samples
	// codes holds how long the requests were held that ended with each code but OK.
	codes map[coder.Code]*samples
}

func (t *tally) add(r *request) {
	t.results[r.result()]++
	t.hasAim = t.hasAim || r.aimMillis > 0
	if r.late() {
		t.late++
	}
	t.held.add(r.tookMillis)
	if r.code == coder.OK {
		return
	}
	if t.codes[r.code] == nil {
		t.codes[r.code] = &samples{}
	}
	t.codes[r.code].add(r.tookMillis)
}

func (t *tally) cells() []string {
	late := unknown
	if t.hasAim {
		late = strconv.Itoa(t.late)
	}
	return []string{
		strconv.Itoa(len(t.held.values)), strconv.Itoa(t.results[answered]), late, strconv.Itoa(t.results[refused]), strconv.Itoa(t.results[failed]),
	}
}

func (a *Account) tallies() map[group]*tally {
	tallies := map[group]*tally{}
	for i := range a.requests {
		r := &a.requests[i]
		g := group{route: r.route, workspace: r.workspace, rank: a.ranks[r.id]}
		if tallies[g] == nil {
			tallies[g] = &tally{codes: map[coder.Code]*samples{}}
		}
		tallies[g].add(r)
	}
	return tallies
}

// Write writes the account as tables.
func (a *Account) Write(w io.Writer) error {
	if _, err := io.WriteString(w, a.header()); err != nil {
		return err
	}
	requests, codes := a.requestTables()
	for _, t := range []struct {
		title string
		rows  [][]string
	}{
		{"Requests, and how long they were held", requests},
		{"Requests that ended with a code, and how long they were held", codes},
		{"Attempts, by the data centre of their target", a.attemptTable()},
		{"Waits of calls for a slot", a.waitTable()},
		{"Bytes between data centres", a.trafficTable()},
	} {
		if _, err := fmt.Fprintf(w, "\n%s\n\n", t.title); err != nil {
			return err
		}
		if len(t.rows) == 1 {
			t.rows = [][]string{{"none in these logs"}}
		}
		if err := tabler.Write(w, t.rows); err != nil {
			return err
		}
	}
	return nil
}

// header returns the period, and what the tables lack.
func (a *Account) header() string {
	out := "no events in these logs\n"
	if a.events > 0 {
		out = fmt.Sprintf("%s to %s: %.1f s, %d nodes, %d lines\n", a.first.UTC().Format(time.RFC3339), a.last.UTC().Format(time.RFC3339),
			a.last.Sub(a.first).Seconds(), len(a.nodeCentres), a.events)
	}
	if a.droppedRequests > 0 {
		out += fmt.Sprintf("requests without a response when their node stopped: %d\n", a.droppedRequests)
	}
	if a.droppedLines > 0 {
		out += fmt.Sprintf("log lines dropped by the nodes: %d; most are of answered requests, so the counts are too low\n", a.droppedLines)
	}
	return out
}

func (a *Account) requestTables() (requests, codes [][]string) {
	requests = [][]string{append([]string{"route", "rank", "workspace", "offered", "answered", "late", "refused", "failed"}, sampleHeads...)}
	codes = [][]string{append([]string{"route", "rank", "workspace", "code", "name", "ran", "requests"}, sampleHeads...)}
	tallies := a.tallies()
	for _, g := range slices.SortedFunc(maps.Keys(tallies), group.compare) {
		t := tallies[g]
		requests = append(requests, slices.Concat(g.cells(), t.cells(), t.held.cells()))
		for _, code := range slices.Sorted(maps.Keys(t.codes)) {
			held := t.codes[code]
			codes = append(codes, slices.Concat(g.cells(), codeCells(code),
				[]string{string(coder.Lookup(code).Ran), strconv.Itoa(len(held.values))}, held.cells()))
		}
	}
	return requests, codes
}

// codeCells returns a code and its name, which is not known for a code of a newer node.
func codeCells(code coder.Code) []string {
	name := unknown
	if row := coder.Lookup(code); row.Code == code {
		name = row.Name
	}
	return []string{strconv.Itoa(int(code)), name}
}

// attemptRow is a row of the table of attempts: those of one code, or all of a service
// for the code allCodes.
type attemptRow struct {
	service string
	code    coder.Code
}

// allCodes sorts before all codes.
const allCodes coder.Code = -1

// attemptCounts counts attempts at targets in the data centre of the entry node, in
// others, and where the logs do not tell.
type attemptCounts struct{ own, other, unknown int }

func (c *attemptCounts) add(n int, entryCentre, targetCentre string) {
	switch {
	case entryCentre == "" || targetCentre == "":
		c.unknown += n
	case entryCentre == targetCentre:
		c.own += n
	default:
		c.other += n
	}
}

// attemptTable has a row for all attempts of a service and one for each code. The
// data centre of a target is known if the logs of its node name it.
func (a *Account) attemptTable() [][]string {
	counts := map[attemptRow]*attemptCounts{}
	for at, n := range a.attempts {
		for _, code := range []coder.Code{allCodes, at.code} {
			r := attemptRow{service: serviceOf(at.target), code: code}
			if counts[r] == nil {
				counts[r] = &attemptCounts{}
			}
			counts[r].add(n, at.centre, a.targetCentres[at.target])
		}
	}
	rows := [][]string{{"service", "code", "name", "attempts", "own", "other", "unknown"}}
	for _, r := range slices.SortedFunc(maps.Keys(counts), func(x, y attemptRow) int {
		return cmp.Or(cmp.Compare(x.service, y.service), cmp.Compare(x.code, y.code))
	}) {
		c := counts[r]
		row := []string{r.service, "", "all"}
		if r.code != allCodes {
			row = append([]string{r.service}, codeCells(r.code)...)
		}
		for _, n := range []int{c.own + c.other + c.unknown, c.own, c.other, c.unknown} {
			row = append(row, strconv.Itoa(n))
		}
		rows = append(rows, row)
	}
	return rows
}

func (a *Account) waitTable() [][]string {
	rows := [][]string{append([]string{"service", "rank", "ended", "calls"}, sampleHeads...)}
	for _, q := range slices.SortedFunc(maps.Keys(a.waits), func(x, y queued) int {
		return cmp.Or(cmp.Compare(x.service, y.service), cmp.Compare(x.rank, y.rank), cmp.Compare(x.end, y.end))
	}) {
		s := a.waits[q]
		rows = append(rows, append([]string{q.service, strconv.Itoa(q.rank), q.end, strconv.Itoa(len(s.values))}, s.cells()...))
	}
	return rows
}

func (a *Account) trafficTable() [][]string {
	rows := [][]string{{"method", "bytes"}}
	bytes := a.crossingBytes()
	for _, method := range slices.Sorted(maps.Keys(bytes)) {
		rows = append(rows, []string{method, strconv.FormatInt(bytes[method], 10)})
	}
	return rows
}
