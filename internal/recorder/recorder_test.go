package recorder

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

func init() { _ = flag.Set("rapid.seed", "1") }

// TestKeyedCallsRunAtMostOnce runs random sequences of calls and faults and
// checks the target's log for keys that ran twice.
func TestKeyedCallsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		steps := rapid.SliceOfN(rapid.SampledFrom(faultSteps), 10, 60).Draw(r, "steps")
		synctest.Test(t, func(*testing.T) { checkAtMostOnce(r, seed, steps) })
	})
}

var faultSteps = []string{
	"call", "call", "call", "call", "call", "call", "call", "call", "call", "call", "call", "call",
	"kill", "start", "start", "restart", "stop", "pause", "resume", "block", "block one way", "heal",
	"cut store", "store down", "store down", "store up", "lose replies", "loss", "no loss", "wait", "wait", "wait long", "restore store",
}

func checkAtMostOnce(r *rapid.T, seed uint64, steps []string) {
	cl := newCluster(seed, "a", "b", "c")
	for _, n := range cl.names {
		cl.start(n)
	}
	var calls sync.WaitGroup
	for _, step := range steps {
		cl.applyStep(step, &calls)
		time.Sleep(cl.randomDelay(time.Second))
	}
	cl.heal()
	calls.Wait()
	cl.heal() // starts the nodes whose planned stop ended in the meantime
	time.Sleep(2 * time.Minute)
	for _, n := range cl.names {
		if err := cl.callUntilRecorded(n, "after-"+n); err != nil {
			r.Fatalf("call at %s after all faults ended: %v", n, err)
		}
	}
	cl.close()
	if len(cl.violations) > 0 {
		r.Fatalf("%v", cl.violations)
	}
}

// callUntilRecorded repeats a call while its intent cannot be recorded, at most
// 5 times.
func (cl *cluster) callUntilRecorded(node, key string) error {
	var err error
	for range 5 {
		err = cl.call(node, key, 1)
		if err == nil || coder.Of(err).Code != coder.RecordUnavailable {
			return nil
		}
		time.Sleep(time.Second)
	}
	return err
}

func (cl *cluster) randomNode() string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.names[cl.rnd.IntN(len(cl.names))]
}

func (cl *cluster) isDead(name string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.processes[name].dead
}

// applyStep performs one step of a fault sequence.
func (cl *cluster) applyStep(step string, calls *sync.WaitGroup) {
	a, b := cl.randomNode(), cl.randomNode()
	dead := cl.isDead(a)
	switch step {
	case "call":
		if !dead {
			key := fmt.Sprintf("key%d", cl.randomDelay(3))
			calls.Go(func() { _ = cl.call(a, key, 1) })
		}
	case "kill", "restart":
		cl.kill(a)
		if step == "restart" {
			cl.start(a)
		}
	case "stop":
		if !dead {
			p := cl.process(a)
			calls.Go(func() {
				p.Release(p.releaseContext())
				cl.killProcess(p)
			})
		}
	case "start":
		if dead {
			cl.start(a)
		}
	case "pause":
		cl.pause(a)
	case "resume":
		cl.resume(a)
	case "block":
		cl.block(a, b)
		cl.block(b, a)
	case "block one way":
		cl.block(a, b)
	case "heal":
		cl.mu.Lock()
		cl.blocked = map[[2]string]bool{}
		cl.mu.Unlock()
	case "cut store":
		cl.block(a, "store")
	case "store down":
		cl.store.SetFaults(faker.StoreFaults{Down: true})
	case "store up":
		cl.store.SetFaults(faker.StoreFaults{})
	case "lose replies":
		cl.store.SetFaults(faker.StoreFaults{LoseReplies: true})
	case "restore store":
		cl.restoreStore(time.Now().Add(-cl.randomDelay(20 * time.Second)))
	case "loss":
		cl.setLoss(0.2)
	case "no loss":
		cl.setLoss(0)
	case "wait":
		time.Sleep(cl.randomDelay(5 * time.Second))
	case "wait long":
		time.Sleep(cl.randomDelay(40 * time.Second))
	}
}

func (cl *cluster) block(from, to string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.blocked[[2]string{from, to}] = true
}

func (cl *cluster) setLoss(probability float64) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.loss = probability
}

// heal ends all faults and starts the dead nodes.
func (cl *cluster) heal() {
	cl.store.SetFaults(faker.StoreFaults{})
	cl.mu.Lock()
	cl.blocked, cl.loss = map[[2]string]bool{}, 0
	cl.mu.Unlock()
	for _, n := range cl.names {
		cl.resume(n)
		if cl.isDead(n) {
			cl.start(n)
		}
	}
}

// TestRepeatGetsFirstAnswerOrAccurateCode repeats a call while it runs, after it
// ran and after its kept answer was lost with the shard's owner.
func TestRepeatGetsFirstAnswerOrAccurateCode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(1, "a", "b", "c")
		for _, n := range cl.names {
			cl.start(n)
		}
		in := Intent{Workspace: "w", Key: "k", RequestDigest: 1, RunID: 1, Timeout: time.Second}
		begin := func(node string, in Intent) (string, coder.Code) {
			answer, err := cl.process(node).Begin(t.Context(), in)
			if err != nil {
				return string(answer), coder.Of(err).Code
			}
			return string(answer), coder.OK
		}
		repeat := in
		repeat.RunID = 2
		other := repeat
		other.RequestDigest = 2
		_, code := begin("a", in)
		c.Check(code, qt.Equals, coder.OK)
		_, code = begin("b", repeat)
		c.Check(code, qt.Equals, coder.RepeatRunning)
		_, code = begin("b", other)
		c.Check(code, qt.Equals, coder.RepeatMismatch)
		cl.process("a").Finish(t.Context(), in, Outcome{Ran: coder.RanYes, Answer: []byte("first")})
		time.Sleep(3 * time.Second)
		answer, code := begin("c", repeat)
		c.Check(code, qt.Equals, coder.OK)
		c.Check(answer, qt.Equals, "first")
		for _, n := range cl.names { // the answer is lost with the owner
			if cl.process(n).shardOf(digestBytes("k")).serves() {
				cl.kill(n)
			}
		}
		time.Sleep(time.Second)
		_, code = begin(cl.alive()[0], repeat)
		c.Check(code, qt.Equals, coder.RepeatRan)
		cl.close()
	})
}

func digestBytes(key string) []byte {
	d := digestKey("w", key)
	return d[:]
}

// A record with a short key in a stored head, as another program may write it,
// must not end the process.
func TestShortKeyInStoredHeadIsIgnored(t *testing.T) {
	r := New("a")
	s := newShard(r, 0)
	h := head{Owner: "a", Records: []storedRecord{{KeyDigest: []byte{1}}}}
	records := map[keyDigest]*record{}
	s.addStored(records, h.Records, time.Now())
	s.becomeOwner(h, 1, records, nil, voteResult{})
	qt.Check(t, s.headRecords, qt.HasLen, 0)
}
