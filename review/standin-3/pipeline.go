package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["pipeline"] = pipeline }

const (
	// pipelineClients clients send for pipelineFor, each time behind requests behind
	// the first one.
	pipelineClients, pipelineBehind = 8, 3
	pipelineFor                     = 15 * time.Second
	// One of two upstreams of guides answers one in endlessEvery requests without
	// end.
	endlessEvery = 20
	// maxLost is how many requests may be lost.
	maxLost = 3
)

// pipeline: clients send idempotent requests one behind another. An upstream of the
// first one answers some without end; those of the others are sound.
func pipeline(f *fleet, trouble bool) (string, error) {
	f.services = []string{"guides", "stock"}
	for range 2 {
		f.addNode("zone-a", "guides")
		f.addNode("zone-a", "stock")
	}
	f.configure(1, []route{
		{Name: "r-guides", Host: host, Prefix: "/guides/", Kind: "idempotent", Timeout: 2000, Latency: 1200, Service: "guides", MaxAttempts: 2, Public: true},
		{Name: "r-stock", Host: host, Prefix: "/stock/", Kind: "idempotent", Timeout: 2000, Latency: 1200, Service: "stock", MaxAttempts: 2, Public: true},
	}, nil)
	if err := f.startAll("/guides/1", "/stock/1"); err != nil {
		return "", err
	}
	if trouble {
		u, asked := f.nodes[0].up, 0
		u.mu.Lock()
		u.respond = func(u *upstream, w http.ResponseWriter, r *http.Request) bool {
			u.mu.Lock()
			asked++
			endless := asked%endlessEvery == 0
			u.mu.Unlock()
			if endless {
				withoutEnd(u, w, r)
			}
			return endless
		}
		u.mu.Unlock()
		f.note("from here on upstream %s answers one in %d requests without end", u.id, endlessEvery)
	}
	begun := time.Now()
	var mu sync.Mutex
	unanswered := map[string]bool{}
	var failure error
	var wg sync.WaitGroup
	for i := range pipelineClients {
		wg.Go(func() {
			for time.Since(begun) < pipelineFor {
				ids, err := f.pipelined(f.nodes[i%len(f.nodes)])
				mu.Lock()
				for _, id := range ids {
					unanswered[id] = true
				}
				if err != nil {
					failure = err
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	if failure != nil {
		return "", failure
	}
	lost := 0
	for _, n := range f.nodes {
		if n.service != "stock" {
			continue
		}
		for _, r := range n.up.list() {
			if unanswered[r.id] {
				f.note("%s ran at the sound upstream %s, and its connection was closed without an answer", r.id, n.up.id)
				lost++
			}
		}
	}
	if lost > maxLost {
		return fmt.Sprintf("LOST: %d requests from kept connections were passed on to a sound upstream, and the connection closed without an answer; allowed are %d", lost, maxLost), nil
	}
	return "", nil
}

// withoutEnd writes a body in chunks until the connection is closed.
func withoutEnd(u *upstream, w http.ResponseWriter, r *http.Request) {
	f := u.node.fleet
	f.note("upstream %s answers %s without end", u.id, r.Header.Get(wire["id"]))
	piece := []byte(strings.Repeat("y", 16<<10))
	written := 0
	for r.Context().Err() == nil {
		n, err := w.Write(piece)
		written += n
		if err != nil {
			break
		}
		time.Sleep(200 * time.Microsecond)
	}
	f.note("upstream %s: %s was closed after %d bytes", u.id, r.Header.Get(wire["id"]), written)
}

// pipelined sends one request to guides and some to stock behind it on a new
// connection. It returns the IDs of those to stock that were not answered because
// the node closed the connection.
func (f *fleet) pipelined(n *node) (unanswered []string, err error) {
	c, err := net.Dial("tcp", n.address(portOutbound))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	var text strings.Builder
	ids := []string{}
	add := func(path string) {
		id := newID()
		ids = append(ids, id)
		fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 4000\r\n\r\n", path, host, wire["id"], id, wire["deadline"])
		f.note("client sends %s GET %s", id, path)
	}
	add("/guides/7")
	for i := range pipelineBehind {
		add(fmt.Sprintf("/stock/%d", i))
	}
	if _, err := io.WriteString(c, text.String()); err != nil {
		return nil, err
	}
	_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
	r := bufio.NewReader(c)
	for i, id := range ids {
		res, err := http.ReadResponse(r, nil)
		if err == nil {
			var size int64
			if size, err = io.Copy(io.Discard, res.Body); err == nil {
				f.note("client: answer to %s: %d, whole, %d bytes", id, res.StatusCode, size)
				continue
			}
			f.note("client: the answer to %s (%d) broke off after %d bytes", id, res.StatusCode, size)
		}
		f.note("client: the connection ended before the rest was answered: %v", err)
		return ids[max(i, 1):], nil
	}
	return nil, nil
}
