package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

func init() { cases["gone"] = gone }

const (
	// goneBehind is how many requests each client sends at once on its connection.
	goneBehind = 20
	// few is how many requests may reach an upstream late.
	few = 5
	// lateAfter is half a second after the client has closed its connection.
	lateAfter = 500 * time.Millisecond
)

// gone: clients send idempotent requests one behind another, and three of ten close
// their connection before they are answered.
func gone(f *fleet, trouble bool) (string, error) {
	f.services = []string{"guides"}
	for range 3 {
		f.addNode("zone-a", "guides")
	}
	f.configure(1, []route{
		{Name: "r-guides", Host: host, Prefix: "/guides/", Kind: "idempotent", Timeout: 4000, Latency: 2000, Service: "guides", MaxAttempts: 2, Public: true},
	}, nil)
	if err := f.startAll("/guides/1"); err != nil {
		return "", err
	}
	for _, n := range f.nodes {
		n.up.mu.Lock()
		n.up.work = 1500 * time.Millisecond
		n.up.mu.Unlock()
	}
	late, working, lasting := 0, 0, 0
	for client := range 10 {
		closed, ids, err := f.sendAndLeave(f.nodes[client%3], trouble && client%4 == 1)
		if err != nil {
			return "", err
		}
		time.Sleep(4500 * time.Millisecond)
		if closed.IsZero() {
			continue
		}
		for _, n := range f.nodes {
			for _, r := range n.up.list() {
				if !ids[r.id] {
					continue
				}
				if r.at.After(closed.Add(lateAfter)) {
					f.note("%s reached an upstream %v after its client had left", r.id, r.at.Sub(closed).Round(time.Millisecond))
					late++
				}
				if r.at.Before(closed) && r.planned.After(closed.Add(lateAfter)) {
					lasting++
					if r.ended.After(closed.Add(lateAfter)) {
						working++
					}
				}
			}
		}
	}
	f.note("%d requests reached an upstream over %v after their client had left; upstreams were then at work on %d of %d that would have lasted so long", late, lateAfter, working, lasting)
	if late > few || 4*working > lasting {
		return fmt.Sprintf("GONE: %d requests reached an upstream over %v after their client had left, and upstreams were then at work on %d of the %d that would have lasted so long", late, lateAfter, working, lasting), nil
	}
	return "", nil
}

// sendAndLeave sends requests on one connection and reads their answers or, if
// leave is set, closes the connection after 300 ms and returns when.
func (f *fleet) sendAndLeave(n *node, leave bool) (closed time.Time, ids map[string]bool, err error) {
	c, err := net.Dial("tcp", n.address(portOutbound))
	if err != nil {
		return closed, nil, err
	}
	defer c.Close()
	var text strings.Builder
	ids = map[string]bool{}
	for i := range goneBehind {
		id := newID()
		ids[id] = true
		fmt.Fprintf(&text, "GET /guides/%d HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 8000\r\n\r\n", i, host, wire["id"], id, wire["deadline"])
		f.note("client sends %s GET /guides/%d", id, i)
	}
	if _, err := io.WriteString(c, text.String()); err != nil {
		return closed, nil, err
	}
	if leave {
		time.Sleep(300 * time.Millisecond)
		c.Close()
		f.note("the client closes its connection")
		return time.Now(), ids, nil
	}
	_ = c.SetReadDeadline(time.Now().Add(4500 * time.Millisecond))
	n2, _ := io.Copy(io.Discard, c)
	f.note("client: %d bytes of answers", n2)
	return closed, ids, nil
}
