package soaker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/loadgenerator"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

func TestDrawStepsIsDeterministic(t *testing.T) {
	p := Parameters{Seed: 7, Nodes: 4, Steps: 30, FaultPeriod: 20 * time.Second}
	a, b := DrawSteps(p), DrawSteps(p)
	qt.Assert(t, a, qt.DeepEquals, b)
	kinds := map[StepKind]bool{}
	for i, st := range a {
		kinds[st.Kind] = true
		qt.Check(t, st.At < p.FaultPeriod && st.Node < p.Nodes, qt.IsTrue, qt.Commentf("%s", st))
		qt.Check(t, i == 0 || a[i-1].At <= st.At, qt.IsTrue)
	}
	qt.Check(t, len(kinds) > 6, qt.IsTrue)
	p.Seed++
	qt.Check(t, DrawSteps(p)[0] == a[0], qt.IsFalse)
}

// Guards against steps of a known seed that change when something is added besides,
// and against loads that are never drawn.
func TestClientLoadsLeaveOtherStepsAsTheyWere(t *testing.T) {
	p := Parameters{Seed: 7, Nodes: 4, Steps: 30, Restorations: 2, FaultPeriod: 20 * time.Second}
	before := DrawSteps(p)
	p.ClientLoads = 50
	loads := map[ClientLoad]bool{}
	after := slices.DeleteFunc(DrawSteps(p), func(st Step) bool {
		loads[st.Clients.Load] = true
		return st.Kind == Misbehave
	})
	qt.Check(t, after, qt.DeepEquals, before)
	for _, load := range clientLoads {
		qt.Check(t, loads[load], qt.IsTrue, qt.Commentf("%s", load))
	}
}

// TestClientsMisbehave has each load on some connections to a server that reads all
// that it gets, and answers each request by more than the buffers between take.
func TestClientsMisbehave(t *testing.T) {
	for _, load := range clientLoads {
		t.Run(string(load), func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer ln.Close()
			var requests, fields, shortBodies, openBodies, answered atomic.Int64
			var wg sync.WaitGroup
			wg.Go(func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					wg.Go(func() {
						defer c.Close()
						in := bufio.NewReader(c)
						for {
							r, err := http.ReadRequest(in)
							if err != nil {
								return
							}
							requests.Add(1)
							fields.Add(int64(len(r.Header["A"])))
							n, err := io.Copy(io.Discard, r.Body)
							switch {
							case err != nil && n == r.ContentLength-1:
								shortBodies.Add(1)
							case err != nil && r.ContentLength < 0:
								openBodies.Add(1)
							}
							if load == UnreadPipeline || err != nil {
								continue
							}
							_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", make([]byte, 16<<20))
							if err == nil {
								answered.Add(1)
							}
							return
						}
					})
				}
			})
			ctx, stop := context.WithTimeout(t.Context(), 700*time.Millisecond)
			defer stop()
			Clients{Load: load, Connections: 4, Path: "/open", Seed: 1}.run(ctx, ln.Addr().String())
			ln.Close()
			wg.Wait()
			got := map[ClientLoad]bool{
				ShortBody: shortBodies.Load() > 0, EndlessChunks: openBodies.Load() > 0, UnreadPipeline: requests.Load() > 16,
				ManyFields: fields.Load() > 1000, SlowReader: requests.Load() > 0 && answered.Load() == 0,
			}
			qt.Check(t, got[load], qt.IsTrue, qt.Commentf("%d requests, %d fields, %d short and %d open bodies, %d answered",
				requests.Load(), fields.Load(), shortBodies.Load(), openBodies.Load(), answered.Load()))
		})
	}
}

// Guards against a process whose crash passes for a node that was not running.
func TestExitByItselfIsRecorded(t *testing.T) {
	p := &process{name: "n0", program: "/bin/sh", dir: t.TempDir(), args: []string{"-c", "exit 3"}}
	qt.Assert(t, p.start(), qt.IsNil)
	<-p.exited
	qt.Check(t, p.exits, qt.DeepEquals, []string{"n0 exited by itself: exit status 3"})
	p.args = []string{"-c", "sleep 60"}
	qt.Assert(t, p.start(), qt.IsNil)
	qt.Assert(t, p.terminate(syscall.SIGTERM, killTimeout), qt.IsNil)
	qt.Check(t, p.exits, qt.HasLen, 1)
}

// TestViolationsFindsEachBrokenGuarantee has a violation of each guarantee, and
// cases that look alike but are allowed.
func TestViolationsFindsEachBrokenGuarantee(t *testing.T) {
	start := time.Unix(1_000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	observations := func(steps []Step, outcomes ...loadgenerator.Outcome) *Observations {
		return &Observations{Start: start, Steps: steps, Outcomes: outcomes, RecoveryDeadline: at(time.Minute), Withdrawn: at(10 * time.Second)}
	}
	answered := loadgenerator.Outcome{Kind: loadgenerator.Answered, Status: 200, Took: 50 * time.Millisecond}
	outcome := func(change func(o *loadgenerator.Outcome)) loadgenerator.Outcome {
		o := answered
		o.Token, o.Due = "x", at(20*time.Second)
		change(&o)
		return o
	}
	broken := outcome(func(o *loadgenerator.Outcome) { o.Kind = loadgenerator.Broken })
	shop := make([]loadgenerator.Outcome, shopBurst+2)
	for i := range shop {
		shop[i] = outcome(func(o *loadgenerator.Outcome) { o.CallIndex = shopCall })
	}
	for _, c := range []struct {
		name, want   string
		observations *Observations
	}{
		{"answered", "", observations(nil, answered)},
		{"unreachable node", "", observations(nil, outcome(func(o *loadgenerator.Outcome) { o.Kind, o.Status = loadgenerator.Wrong, unreachableStatus }))},
		{"another request's response", "not its own whole answer", observations(nil, outcome(func(o *loadgenerator.Outcome) { o.Kind = loadgenerator.Wrong }))},
		{"truncated response", "not its own whole answer", observations(nil, outcome(func(o *loadgenerator.Outcome) { o.Kind = loadgenerator.Truncated }))},
		{"ran twice", "ran 2 times", func() *Observations {
			ob := observations(nil, outcome(func(o *loadgenerator.Outcome) { o.CallIndex = bookCall }))
			ob.Runs = []faker.Run{{Token: "x"}, {Token: "x"}}
			return ob
		}()},
		{"ran despite a not-run refusal", "says not run", func() *Observations {
			ob := observations(nil, outcome(func(o *loadgenerator.Outcome) { o.Kind, o.Ran = loadgenerator.Refused, coder.RanNo }))
			ob.Runs = []faker.Run{{Token: "x"}}
			return ob
		}()},
		{"withdrawn key used", "withdrawn key", observations(nil, outcome(func(o *loadgenerator.Outcome) { o.CallIndex = oldKeyCall }))},
		{"key withdrawn just before", "", observations(nil, outcome(func(o *loadgenerator.Outcome) { o.CallIndex, o.Due = oldKeyCall, at(16*time.Second) }))},
		{"broken by a planned stop", "only planned steps", observations([]Step{{Kind: StopNode, At: 19 * time.Second, Duration: 3 * time.Second}}, broken)},
		{"broken by misbehaving clients", "only planned steps", observations([]Step{{Kind: Misbehave, At: 19 * time.Second, Duration: 3 * time.Second}}, broken)},
		{"broken by a kill", "", observations([]Step{{Kind: KillNode, At: 12 * time.Second, Duration: time.Second}}, broken)},
		{"refused after the recovery deadline", "after the recovery deadline", observations(nil, outcome(func(o *loadgenerator.Outcome) { o.Kind, o.Due = loadgenerator.Refused, at(61*time.Second) }))},
		{"shop above its rate", "beyond its rate", observations(nil, shop...)},
		{"key at a target", "held a key", &Observations{Counts: []faker.TargetCounts{{LeakedKeys: 1}}}},
		{"too many requests at a cold target", "cold target", &Observations{Counts: []faker.TargetCounts{{AboveColdLimit: 2}}}},
		{"process exited", "by itself", &Observations{Exits: []string{"n1 exited by itself"}}},
		{"configuration reverted", "went back", &Observations{Reverts: []string{"n1 went back"}}},
	} {
		safety, availability := c.observations.Violations()
		got := strings.Join(append(safety, availability...), "\n")
		if c.want == "" {
			qt.Check(t, got, qt.Equals, "", qt.Commentf(c.name))
			continue
		}
		qt.Check(t, got, qt.Contains, c.want, qt.Commentf(c.name))
	}
}

// TestFaultProxyDropsResetsAndAnswersUnreachable sends a message through a
// proxy to an echo server: without a fault, with each one but Delay, and with the
// server closed.
func TestFaultProxyDropsResetsAndAnswersUnreachable(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer echo.Close()
	received := make(chan string, 8)
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buffer := make([]byte, 64)
				n, _ := c.Read(buffer)
				received <- string(buffer[:n])
				_, _ = c.Write(buffer[:n])
			}()
		}
	}()
	exchange := func(address string) (string, error) {
		c, err := net.Dial("tcp", address)
		qt.Assert(t, err, qt.IsNil)
		defer c.Close()
		_, _ = io.WriteString(c, "hello")
		_ = c.(*net.TCPConn).CloseWrite()
		b, err := io.ReadAll(c)
		return string(b), err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	_ = listener.Close()
	proxy := &FaultProxy{Listen: address, Upstream: echo.Addr().String(), UnreachableResponse: "gone"}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	qt.Assert(t, proxy.Run(ctx), qt.IsNil)

	got, err := exchange(address)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, got, qt.Equals, "hello")
	qt.Check(t, <-received, qt.Equals, "hello")
	proxy.SetFault(PathFault{DropDownstream: true})
	got, _ = exchange(address)
	qt.Check(t, got, qt.Equals, "")
	qt.Check(t, <-received, qt.Equals, "hello")
	proxy.SetFault(PathFault{DropUpstream: true})
	got, _ = exchange(address)
	qt.Check(t, got, qt.Equals, "")
	qt.Check(t, <-received, qt.Equals, "")
	proxy.SetFault(PathFault{Reset: true})
	_, err = exchange(address)
	qt.Check(t, err, qt.IsNotNil)
	proxy.SetFault(PathFault{})
	_ = echo.Close()
	got, _ = exchange(address)
	qt.Check(t, got, qt.Equals, "gone")
}
