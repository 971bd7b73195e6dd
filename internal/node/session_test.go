package node

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/tools/txtar"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestSessions runs each file in testdata/sessions as a session: its comment says
// what is tested, "nodes" names the hosts, "script" has one command per line,
// "want" is the expected transcript, and the other files are configurations.
func TestSessions(t *testing.T) {
	paths, err := filepath.Glob("testdata/sessions/*.txtar")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, paths, qt.Not(qt.HasLen), 0)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			a, err := txtar.ParseFile(path)
			qt.Assert(t, err, qt.IsNil)
			var got string
			synctest.Test(t, func(t *testing.T) { got = runSession(t, a) })
			if *update {
				writeWant(t, path, a, got)
				return
			}
			qt.Check(t, got, qt.Equals, archiveFile(a, "want"))
		})
	}
}

func archiveFile(a *txtar.Archive, name string) string {
	for _, f := range a.Files {
		if f.Name == name {
			return string(f.Data)
		}
	}
	return ""
}

func writeWant(t *testing.T, path string, a *txtar.Archive, got string) {
	a.Files = slices.DeleteFunc(a.Files, func(f txtar.File) bool { return f.Name == "want" })
	a.Files = append(a.Files, txtar.File{Name: "want", Data: []byte(got)})
	qt.Assert(t, os.WriteFile(path, txtar.Format(a), 0o644), qt.IsNil)
}

// session is the state of one script.
type session struct {
	*testFleet
	archive  *txtar.Archive
	callers  map[string]*http.Client
	lastPort int
	lastRuns map[string]int // runs at the last "work" command, by target
	out      strings.Builder
}

func runSession(t *testing.T, a *txtar.Archive) string {
	s := &session{archive: a, callers: map[string]*http.Client{}, lastPort: 9000, lastRuns: map[string]int{}}
	s.testFleet = newTestFleet(t, strings.Fields(archiveFile(a, "nodes"))...)
	defer s.close()
	for line := range strings.Lines(archiveFile(a, "script")) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fmt.Fprintf(&s.out, "> %s\n", line)
		s.runCommand(strings.Fields(line))
	}
	return s.out.String()
}

// runCommand runs one command of a script.
func (s *session) runCommand(words []string) {
	args := words[1:]
	switch words[0] {
	case "configure": // FILE
		s.configure(archiveFile(s.archive, args[0]))
	case "node": // NAME CENTRE
		s.startNode(args[0], args[1])
	case "stop": // NAME
		fmt.Fprintf(&s.out, "%v\n", s.nodes[args[0]].stop())
	case "target": // NAME NODE SERVICE SLOTS
		slots, err := strconv.Atoi(args[3])
		qt.Assert(s.t, err, qt.IsNil)
		s.lastPort++
		s.startTarget(args[0], args[1], args[2], s.lastPort, slots)
	case "wait": // DURATION
		d, err := time.ParseDuration(args[0])
		qt.Assert(s.t, err, qt.IsNil)
		time.Sleep(d)
	case "call": // NODE METHOD PATH [KEY [BODY]]
		args = append(args, "", "")
		fmt.Fprintln(&s.out, s.call(s.caller("caller"), args[0], args[1], args[2], args[3], args[4]))
	case "within": // DURATION COMMAND...
		s.runWithin(args[0], args[1:])
	case "keyed": // IDEMPOTENCY-KEY NODE METHOD PATH [KEY [BODY]]
		s.idempotencyKey = args[0]
		s.runCommand(append([]string{"call"}, args[1:]...))
		s.idempotencyKey = ""
	case "drain": // TARGET
		s.mu.Lock()
		s.draining[args[0]] = true
		s.mu.Unlock()
	case "total": // TEXT
		fmt.Fprintf(&s.out, "%d runs over all targets\n", s.countRequests(args[0]))
	case "calls": // COUNT NODE METHOD PATH [KEY [BODY]]
		s.callRepeatedly(append(args, "", ""))
	case "work": // TARGET
		name := args[0]
		n := len(s.requests[name])
		fmt.Fprintf(&s.out, "new work: %t\n", n > s.lastRuns[name])
		s.lastRuns[name] = n
	case "send": // COUNT NODE METHOD PATH [KEY]; prints nothing
		n, err := strconv.Atoi(args[0])
		qt.Assert(s.t, err, qt.IsNil)
		for range n {
			s.call(s.caller("caller"), args[1], args[2], args[3], args[4], "")
		}
	case "sick", "well": // TARGET
		s.mu.Lock()
		s.sick[args[0]] = words[0] == "sick"
		s.mu.Unlock()
	case "announce": // NODE SERVICE ADDRESS JSON
		fmt.Fprintln(&s.out, s.announceOnce(args[0], args[1], args[2], args[3]))
	case "runs": // TARGET
		fmt.Fprintf(&s.out, "%d runs\n", len(s.requests[args[0]]))
	case "grep": // TARGET TEXT
		n := 0
		for _, request := range s.requests[args[0]] {
			if strings.Contains(request, args[1]) {
				n++
			}
		}
		fmt.Fprintf(&s.out, "%d requests hold it\n", n)
	case "store": // up | down | deaf
		s.store.SetFaults(faker.StoreFaults{Down: args[0] == "down", Deaf: args[0] == "deaf"})
	case "block": // FROM TO
		s.network.Block(args[0], args[1])
	case "unblock": // FROM TO
		s.network.Unblock(args[0], args[1])
	case "silence": // A B
		s.network.Silence(args[0], args[1])
	case "kill": // NAME
		s.kill(args[0])
	case "timeline": // KIND...
		for _, l := range s.timeline(func(e tracer.Event) bool { return slices.Contains(args, e.Kind) }) {
			fmt.Fprintln(&s.out, l)
		}
	default:
		s.t.Fatalf("unknown command %q", words[0])
	}
}

// runWithin runs a command and prints whether it ended within the limit.
func (s *session) runWithin(limit string, command []string) {
	d, err := time.ParseDuration(limit)
	qt.Assert(s.t, err, qt.IsNil)
	began := time.Now()
	s.runCommand(command)
	fmt.Fprintf(&s.out, "in time: %t\n", time.Since(began) <= d)
}

// countRequests counts the requests at all targets that contain a text.
func (s *session) countRequests(text string) int {
	n := 0
	for _, requests := range s.requests {
		for _, request := range requests {
			if strings.Contains(request, text) {
				n++
			}
		}
	}
	return n
}

// callRepeatedly sends requests one after the other and prints the number of each
// outcome.
func (s *session) callRepeatedly(args []string) {
	n, err := strconv.Atoi(args[0])
	qt.Assert(s.t, err, qt.IsNil)
	counts := map[string]int{}
	for range n {
		counts[s.call(s.caller("caller"), args[1], args[2], args[3], args[4], args[5])]++
	}
	for _, outcome := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&s.out, "%d x %s\n", counts[outcome], outcome)
	}
}

// announceOnce sends one announcement and returns the status and code of the
// response.
func (s *session) announceOnce(node, service, address, body string) string {
	url := "http://" + node + ":82/v1/targets/" + service + "/" + address
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPut, url, strings.NewReader(body))
	qt.Assert(s.t, err, qt.IsNil)
	req.Header.Set("Content-Type", "application/json")
	res, err := s.caller("target").Do(req)
	qt.Assert(s.t, err, qt.IsNil)
	defer res.Body.Close()
	var refusal struct{ Code int }
	_ = json.NewDecoder(res.Body).Decode(&refusal)
	return fmt.Sprintf("%d code=%d", res.StatusCode, refusal.Code)
}

func (s *session) caller(host string) *http.Client {
	if s.callers[host] == nil {
		s.callers[host] = s.client(host)
	}
	return s.callers[host]
}
