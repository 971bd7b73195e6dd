package node

import (
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// chaosFaults are the names of the faults that a plan may contain.
var chaosFaults = []string{
	"block", "unblock", "silence", "kill", "restart", "stop", "store-down", "store-up", "store-lose",
	"withdraw", "grant", "centre-out", "centre-in",
}

// chaosNodes are the names of the fleet's nodes.
var chaosNodes = []string{"a", "b", "c", "d", "e"}

// step is one fault of a plan. A and B are the nodes that it affects.
type step struct {
	Wait  time.Duration
	Fault string
	A, B  string
}

// drawPlan draws all steps before the synctest bubble starts, since the panics
// that rapid uses internally must not cross it.
func drawPlan(r *rapid.T) []step {
	plan := make([]step, rapid.IntRange(1, 8).Draw(r, "faults"))
	for i := range plan {
		plan[i] = step{
			Wait:  time.Duration(rapid.IntRange(0, 3000).Draw(r, "wait")) * time.Millisecond,
			Fault: rapid.SampledFrom(chaosFaults).Draw(r, "fault"),
			A:     rapid.SampledFrom(chaosNodes).Draw(r, "a"),
			B:     rapid.SampledFrom(chaosNodes).Draw(r, "b"),
		}
	}
	return plan
}

// maxKeyWithdrawalTime bounds how long a withdrawn key may still be accepted.
const maxKeyWithdrawalTime = 3 * time.Second

// callRecord is one request and the response that its caller got.
type callRecord struct {
	token         string
	key           string
	nonIdempotent bool
	began         time.Time
	status        int
	ran           string
	code          string
	ownAnswer     bool // the body answers this request
}

// chaos is a fleet under load and faults, with a record of all calls.
type chaos struct {
	*testFleet
	stop chan struct{}
	wg   sync.WaitGroup

	mu    sync.Mutex
	calls []callRecord
	// withdrawnAt is when the second key was withdrawn; zero while it is valid.
	withdrawnAt time.Time
	centreOut   bool
}

// declaration returns a configuration of two workspaces. The second has a key
// only while it is not withdrawn.
func (c *chaos) declaration() string {
	f := declarer.Fleet{}.
		WithCentre(declarer.Centre{Name: "one", Region: "r"}).
		WithCentre(declarer.Centre{Name: "two", Region: "r", Out: c.centreOut}).
		WithService(declarer.Service{Name: "booking", Slots: 7, Cold: 2, Floor: 0.5}).
		WithRoute(declarer.Route{Name: "stock", Path: "/stock", Service: "booking", Deadline: 2000}).
		WithRoute(declarer.Route{Name: "book", Path: "/book", Service: "booking", Once: true, Deadline: 2000}).
		WithWorkspace(declarer.Workspace{Name: "glide", Rate: 1000, Burst: 100}.WithKey("one", "key-one"))
	second := declarer.Workspace{Name: "club", Rate: 1000, Burst: 100, Keys: []declarer.Key{}}
	if c.withdrawnAt.IsZero() {
		second = second.WithKey("two", "key-two")
	}
	var b strings.Builder
	qt.Assert(c.t, f.WithWorkspace(second).Print(&b), qt.IsNil)
	return b.String()
}

// apply makes a change and writes the declaration, unless the store is faulty.
func (c *chaos) apply(change func()) {
	if f := c.store.Faults(); f.Down || f.LoseReplies {
		return
	}
	c.mu.Lock()
	change()
	text := c.declaration()
	c.mu.Unlock()
	c.configure(text)
}

// injectFault causes the fault of a step.
func (c *chaos) injectFault(s step) {
	a, b := s.A, s.B
	switch s.Fault {
	case "block":
		c.network.Block(a, b)
	case "unblock":
		c.healNetwork()
	case "silence":
		c.network.Silence(a, b)
	case "kill":
		c.kill(a)
	case "restart":
		c.startNode(a, c.centreOf(a))
	case "stop":
		go func() { _ = c.nodes[a].stop() }()
	case "store-down":
		c.store.SetFaults(faker.StoreFaults{Down: true})
	case "store-up":
		c.store.SetFaults(faker.StoreFaults{})
	case "store-lose":
		c.store.SetFaults(faker.StoreFaults{LoseReplies: true})
	case "withdraw":
		c.apply(func() { c.withdrawnAt = time.Now() })
	case "grant":
		c.apply(func() { c.withdrawnAt = time.Time{} })
	case "centre-out", "centre-in":
		c.apply(func() { c.centreOut = s.Fault == "centre-out" })
	}
}

func (c *chaos) healNetwork() {
	for _, a := range c.names {
		for _, b := range c.names {
			c.network.Unblock(a, b)
		}
	}
}

func (c *chaos) centreOf(node string) string {
	if slices.Index(c.names, node)%2 == 0 {
		return "one"
	}
	return "two"
}

// runCaller sends requests, each with its own token, one after the other until
// stop is closed.
func (c *chaos) runCaller(caller int) {
	client := c.client(fmt.Sprintf("caller%d", caller))
	client.Timeout = 5 * time.Second
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(40+7*caller) * time.Millisecond):
		}
		call := callRecord{token: fmt.Sprintf("%d-%d", caller, i), key: "key-one", nonIdempotent: i%3 == 0, began: time.Now()}
		if caller%2 == 1 {
			call.key = "key-two"
		}
		c.send(client, c.names[(caller+i)%len(c.names)], &call)
		c.mu.Lock()
		c.calls = append(c.calls, call)
		c.mu.Unlock()
	}
}

func (c *chaos) send(client *http.Client, node string, call *callRecord) {
	path, method := "/stock/", http.MethodGet
	if call.nonIdempotent {
		path, method = "/book/", http.MethodPost
	}
	req, err := http.NewRequestWithContext(c.t.Context(), method, "http://"+node+":80"+path+call.token, nil)
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+call.key)
	res, err := client.Do(req)
	if err != nil {
		return
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return
	}
	call.status, call.ran = res.StatusCode, res.Header.Get("Zinnia-Ran")
	call.code = res.Header.Get("Zinnia-Code")
	call.ownAnswer = strings.Contains(string(b), path+call.token+" ")
}

// checkCalls compares the responses that callers got with the requests that
// targets ran.
func (c *chaos) checkCalls() {
	runs := c.countRunsByToken()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.calls {
		count := runs[call.token]
		switch {
		case call.nonIdempotent && count > 1:
			c.t.Errorf("%s is non-idempotent and ran %d times", call.token, count)
		case call.ran == "no" && count > 0:
			c.t.Errorf("%s got Zinnia-Ran: no and ran %d times", call.token, count)
		case call.status == http.StatusOK && !call.ownAnswer:
			c.t.Errorf("%s got the response to another request", call.token)
		case call.status == http.StatusOK && count == 0:
			c.t.Errorf("%s got a response and never ran", call.token)
		}
	}
}

// countRunsByToken counts how often targets ran each request, and checks that no
// target saw a key.
func (c *chaos) countRunsByToken() map[string]int {
	c.testFleet.mu.Lock()
	defer c.testFleet.mu.Unlock()
	runs := map[string]int{}
	for _, requests := range c.requests {
		for _, request := range requests {
			if strings.Contains(request, "key-") {
				c.t.Errorf("a target saw a key: %s", request)
			}
			uri := strings.Fields(request)[1]
			runs[uri[strings.LastIndex(uri, "/")+1:]]++
		}
	}
	return runs
}

// checkWithdrawnKey checks that the second key was rejected once its withdrawal
// had time to apply.
func (c *chaos) checkWithdrawnKey(withdrawnAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.calls {
		if call.key == "key-two" && call.status == http.StatusOK && call.began.After(withdrawnAt.Add(maxKeyWithdrawalTime)) {
			c.t.Errorf("%s was accepted with a key withdrawn %v before", call.token, call.began.Sub(withdrawnAt))
		}
	}
}

// chaosPlanCount is the number of random plans. The seed of each is its index.
var chaosPlanCount = flag.Int("chaos", 6, "number of random fault plans to run")

// TestChaos injects random faults into a fleet of five nodes under load. It checks
// that non-idempotent calls run at most once, that responses and Zinnia-Ran are
// true, that withdrawn keys are rejected, that no target sees a key, and that the
// fleet serves again after the faults.
func TestChaos(t *testing.T) {
	plans := rapid.Custom(drawPlan)
	for seed := range *chaosPlanCount {
		plan := plans.Example(seed)
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				t.Logf("%+v", plan)
				runChaos(t, plan)
			})
		})
	}
}

func runChaos(t *testing.T, plan []step) {
	c := &chaos{testFleet: newTestFleet(t, chaosNodes...), stop: make(chan struct{})}
	defer c.close()
	c.configure(c.declaration())
	for i, name := range c.names {
		c.startNode(name, c.centreOf(name))
		c.startTarget("t"+strconv.Itoa(i), name, "booking", 9000+i, 7)
	}
	time.Sleep(5 * time.Second)
	for n := range 6 {
		c.wg.Go(func() { c.runCaller(n) })
	}
	for _, s := range plan {
		time.Sleep(s.Wait)
		before := c.withdrawnAt
		c.injectFault(s)
		if !before.IsZero() && c.withdrawnAt.IsZero() {
			c.checkWithdrawnKey(before)
			c.ignoreEarlierCalls()
		}
	}
	time.Sleep(2 * maxKeyWithdrawalTime)
	if !c.withdrawnAt.IsZero() {
		c.checkWithdrawnKey(c.withdrawnAt)
	}
	c.checkRecovery()
	close(c.stop)
	c.wg.Wait()
	c.checkCalls()
}

// ignoreEarlierCalls excludes the calls so far from checkWithdrawnKey, as the
// second key is valid again.
func (c *chaos) ignoreEarlierCalls() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.calls {
		c.calls[i].began = time.Time{}
	}
}

// checkRecovery ends all faults and checks that the fleet serves again without
// help.
func (c *chaos) checkRecovery() {
	c.store.SetFaults(faker.StoreFaults{})
	c.healNetwork()
	for _, name := range c.names {
		c.startNode(name, c.centreOf(name))
	}
	time.Sleep(20 * time.Second)
	client := c.client("last")
	counts := map[string]int{}
	for i := range 40 {
		call := callRecord{token: fmt.Sprintf("last-%d", i), key: "key-one", nonIdempotent: i%2 == 0}
		c.send(client, c.names[i%len(c.names)], &call)
		counts[strconv.Itoa(call.status)+"/"+call.code]++
	}
	if !maps.Equal(counts, map[string]int{"200/0": 40}) {
		c.t.Errorf("after the faults: %v", counts)
	}
}
