package soaker

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/loader"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

func TestASeedDrawsTheSameSteps(t *testing.T) {
	s := Shape{Seed: 7, Nodes: 4, Steps: 30, Chaos: 20 * time.Second}
	a, b := Draw(s), Draw(s)
	qt.Assert(t, a, qt.DeepEquals, b)
	kinds := map[Kind]bool{}
	for i, st := range a {
		kinds[st.Kind] = true
		qt.Check(t, st.At < s.Chaos && st.Node < s.Nodes, qt.IsTrue, qt.Commentf("%s", st))
		qt.Check(t, i == 0 || a[i-1].At <= st.At, qt.IsTrue)
	}
	qt.Check(t, len(kinds) > 6, qt.IsTrue)
	s.Seed++
	qt.Check(t, Draw(s)[0] == a[0], qt.IsFalse)
}

// TestJudgeFindsEachBrokenPromise has one request or log line that breaks a
// promise beside one that keeps it.
func TestJudgeFindsEachBrokenPromise(t *testing.T) {
	start := time.Unix(1_000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	seen := func(steps []Step, outcomes ...loader.Outcome) *Seen {
		return &Seen{Start: start, Steps: steps, Outcomes: outcomes, Calm: at(time.Minute), Withdrawn: at(10 * time.Second)}
	}
	done := loader.Outcome{Kind: loader.Answered, Status: 200, Took: 50 * time.Millisecond}
	with := func(change func(o *loader.Outcome)) loader.Outcome {
		o := done
		o.Token, o.Due = "x", at(20*time.Second)
		change(&o)
		return o
	}
	broken := with(func(o *loader.Outcome) { o.Kind = loader.Broken })
	shop := make([]loader.Outcome, shopBurst+2)
	for i := range shop {
		shop[i] = with(func(o *loader.Outcome) { o.Call = shopCall })
	}
	for _, c := range []struct {
		name, want string
		seen       *Seen
	}{
		{"good", "", seen(nil, done)},
		{"gone", "", seen(nil, with(func(o *loader.Outcome) { o.Kind, o.Status = loader.Wrong, goneStatus }))},
		{"wrong answer", "not its own whole answer", seen(nil, with(func(o *loader.Outcome) { o.Kind = loader.Wrong }))},
		{"cut answer", "not its own whole answer", seen(nil, with(func(o *loader.Outcome) { o.Kind = loader.Cut }))},
		{"ran twice", "ran 2 times", func() *Seen {
			s := seen(nil, with(func(o *loader.Outcome) { o.Call = bookCall }))
			s.Runs = []faker.Run{{Token: "x"}, {Token: "x"}}
			return s
		}()},
		{"ran and not run", "says not run", func() *Seen {
			s := seen(nil, with(func(o *loader.Outcome) { o.Kind, o.Ran = loader.Refused, coder.RanNo }))
			s.Runs = []faker.Run{{Token: "x"}}
			return s
		}()},
		{"withdrawn key", "withdrawn key", seen(nil, with(func(o *loader.Outcome) { o.Call = oldCall }))},
		{"withdrawn just now", "", seen(nil, with(func(o *loader.Outcome) { o.Call, o.Due = oldCall, at(16*time.Second) }))},
		{"broken in a planned stop", "only planned steps", seen([]Step{{Kind: Stop, At: 19 * time.Second, For: 3 * time.Second}}, broken)},
		{"broken by a kill", "", seen([]Step{{Kind: Kill, At: 12 * time.Second, For: time.Second}}, broken)},
		{"refused when calm", "all is well again", seen(nil, with(func(o *loader.Outcome) { o.Kind, o.Due = loader.Refused, at(61*time.Second) }))},
		{"beyond its rate", "beyond its rate", seen(nil, shop...)},
		{"key at a target", "held a key", &Seen{Counts: []faker.TargetCounts{{Keys: 1}}}},
		{"cold", "cold target", &Seen{Counts: []faker.TargetCounts{{Overcold: 2}}}},
		{"reverted", "went back", &Seen{Reverts: []string{"n1 went back"}}},
	} {
		safety, service := c.seen.Judge()
		got := strings.Join(append(safety, service...), "\n")
		if c.want == "" {
			qt.Check(t, got, qt.Equals, "", qt.Commentf(c.name))
			continue
		}
		qt.Check(t, got, qt.Contains, c.want, qt.Commentf(c.name))
	}
}

// TestBreakerBreaks passes a line through a breaker to an echo, with each fault.
func TestBreakerBreaks(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer echo.Close()
	heard := make(chan string, 8)
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				piece := make([]byte, 64)
				n, _ := c.Read(piece)
				heard <- string(piece[:n])
				_, _ = c.Write(piece[:n])
			}()
		}
	}()
	ask := func(address string) (string, error) {
		c, err := net.Dial("tcp", address)
		qt.Assert(t, err, qt.IsNil)
		defer c.Close()
		_, _ = io.WriteString(c, "hello")
		_ = c.(*net.TCPConn).CloseWrite()
		b, err := io.ReadAll(c)
		return string(b), err
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := free.Addr().String()
	_ = free.Close()
	b := &Breaker{Listen: address, To: echo.Addr().String(), Gone: "gone"}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	qt.Assert(t, b.Run(ctx), qt.IsNil)

	got, err := ask(address)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, got, qt.Equals, "hello")
	qt.Check(t, <-heard, qt.Equals, "hello")
	b.Set(Path{MuteDown: true})
	got, _ = ask(address)
	qt.Check(t, got, qt.Equals, "")
	qt.Check(t, <-heard, qt.Equals, "hello")
	b.Set(Path{MuteUp: true})
	got, _ = ask(address)
	qt.Check(t, got, qt.Equals, "")
	qt.Check(t, <-heard, qt.Equals, "")
	b.Set(Path{Reset: true})
	_, err = ask(address)
	qt.Check(t, err, qt.IsNotNil)
	b.Set(Path{})
	_ = echo.Close()
	got, _ = ask(address)
	qt.Check(t, got, qt.Equals, "gone")
}
