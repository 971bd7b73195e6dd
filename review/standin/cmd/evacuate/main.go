// Command evacuate empties a zone when the store has made many changes since the
// configuration was written.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"review/lab"
)

const (
	// changes is how many changes of other keys the store has made since the
	// configuration was written. CHANGES replaces it.
	changes = 600_000
	// sendGap is the time between two requests, sendTime how long they go on after
	// the evacuation was acknowledged.
	sendGap  = 50 * time.Millisecond
	sendTime = 15 * time.Second
	// calmTime is how long the deployment runs before the evacuation.
	calmTime = 8 * time.Second
	zone     = "zone-b"
)

func main() { lab.Main(run) }

func run(l *lab.Lab) error {
	front, err := l.AddNode("zone-c", "front")
	if err != nil {
		return err
	}
	upstreams := map[string]*lab.Upstream{}
	var starts []func() error
	for _, name := range []string{"zone-a", zone} {
		n, err := l.AddNode(name, "guides")
		if err != nil {
			return err
		}
		u := &lab.Upstream{ID: "i-" + name, Slots: 7, Size: 400, Work: func(*http.Request) time.Duration { return 200 * time.Millisecond }}
		upstreams[name] = u
		starts = append(starts, func() error { return n.AddUpstream(u) })
	}
	err = l.Declare([]string{"front", "guides"}, []lab.Route{
		{Name: "guide", Prefix: "/guide/", Service: "guides", Kind: lab.Idempotent, Timeout: 4000, Latency: 2000},
	})
	if err != nil {
		return err
	}
	l.Store.Advance(changesBefore())
	if err := l.StartNodes(); err != nil {
		return err
	}
	for _, start := range starts {
		if err := start(); err != nil {
			return err
		}
	}
	if err := lab.AwaitService("/guide/1", front); err != nil {
		return err
	}
	// Both upstreams are known when both have run a request.
	for k := 0; len(upstreams[zone].Runs()) == 0 || len(upstreams["zone-a"].Runs()) == 0; k++ {
		if k == 1000 {
			return fmt.Errorf("no request reached %s", zone)
		}
		send(front, fmt.Sprintf("before-%d", k))
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(calmTime)
	if l.Trouble {
		if err := l.Evacuate(zone); err != nil {
			return err
		}
		l.Logf("operator: %s is to be evacuated, acknowledged", zone)
	}
	acknowledged := time.Now()
	for k := 0; time.Since(acknowledged) < sendTime; k++ {
		go send(front, fmt.Sprintf("after-%d", k))
		time.Sleep(sendGap)
	}
	return judge(l, upstreams[zone], acknowledged)
}

func changesBefore() uint64 {
	n, err := strconv.ParseUint(os.Getenv("CHANGES"), 10, 64)
	if err != nil {
		return changes
	}
	return n
}

func send(n *lab.Node, id string) {
	c, err := n.Dial()
	if err != nil {
		return
	}
	defer c.Close()
	c.Do(lab.Request{Method: http.MethodGet, Path: "/guide/1", ID: id, Deadline: 8 * time.Second})
}

func judge(l *lab.Lab, u *lab.Upstream, acknowledged time.Time) error {
	late := 0
	for _, r := range u.Runs() {
		if r.At.After(acknowledged.Add(lab.Evacuated)) {
			late++
		}
	}
	l.Logf("judge: %d requests reached the upstream in %s later than %v after the acknowledgement", late, zone, lab.Evacuated)
	if l.Trouble && late > 0 {
		return lab.Breachf("EVAC: %d requests reached an upstream of the evacuated zone", late)
	}
	return nil
}
