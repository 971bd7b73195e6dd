package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["held"] = held }

const (
	// heldShops upstreams make bookings, of which slowShops take slowFactor times as
	// long for slowFor.
	heldShops, slowShops = 5, 2
	slowFactor           = 5
	slowFor              = 9 * time.Second
	bookingTime          = 420 * time.Millisecond
	// reportBytes is the size of the downloads of the sound service.
	reportBytes = 540_000
	heldClients = 8
)

// held: clients send a booking and a download behind it. Some upstreams of the
// bookings turn slow; those of the downloads are sound.
func held(f *fleet, trouble bool) (string, error) {
	f.services = []string{"shop", "reports"}
	for range heldShops {
		f.addNode("zone-a", "shop")
	}
	for range 2 {
		f.addNode("zone-a", "reports")
	}
	f.configure(1, []route{
		{Name: "r-open", Host: host, Prefix: "/open/", Kind: "idempotent", Timeout: 2000, Latency: 1200, Service: "shop", MaxAttempts: 2, Public: true},
		{Name: "r-book", Host: host, Prefix: "/book/", Kind: "non_idempotent", Timeout: 2500, Latency: 1200, Service: "shop", MaxAttempts: 2, Public: true},
		{Name: "r-reports", Host: host, Prefix: "/reports/", Kind: "download", Timeout: 2000, Latency: 1200, Service: "reports", MaxAttempts: 2, Public: true},
	}, nil)
	if err := f.startAll("/open/1", "/reports/1"); err != nil {
		return "", err
	}
	for i, n := range f.nodes {
		n.up.mu.Lock()
		switch {
		case n.service == "reports":
			n.up.respond = report
		case trouble && i < slowShops:
			n.up.work = slowFactor * bookingTime
			f.note("from here on upstream %s takes %v for a booking", n.up.id, n.up.work)
		default:
			n.up.work = bookingTime
		}
		n.up.mu.Unlock()
	}
	begun := time.Now()
	var mu sync.Mutex
	unanswered := map[string]bool{}
	var failure error
	var wg sync.WaitGroup
	for i := range heldClients {
		wg.Go(func() {
			for time.Since(begun) < slowFor {
				id, err := f.bookAndRead(f.nodes[i%len(f.nodes)])
				mu.Lock()
				if id != "" {
					unanswered[id] = true
				}
				if err != nil {
					failure = err
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	if failure != nil {
		return "", failure
	}
	lost := 0
	for _, n := range f.nodes {
		if n.service != "reports" {
			continue
		}
		for _, r := range n.up.list() {
			if unanswered[r.id] {
				f.note("%s ran at the sound upstream %s, and its connection was closed without a whole answer", r.id, n.up.id)
				lost++
			}
		}
	}
	if lost > maxLost {
		return fmt.Sprintf("LOST: %d requests from kept connections were passed on to a sound upstream, and the connection closed without a whole answer; allowed are %d", lost, maxLost), nil
	}
	return "", nil
}

// report answers with a large body.
func report(u *upstream, w http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get(wire["id"])
	time.Sleep(u.work)
	w.Header().Set(wire["signature"], "sig."+id)
	w.Header().Set("Content-Length", strconv.Itoa(reportBytes))
	n, err := io.WriteString(w, strings.Repeat("r", reportBytes))
	u.node.fleet.note("upstream %s: answer to %s, %d of %d bytes written, %v", u.id, id, n, reportBytes, err)
	return true
}

// bookAndRead sends a booking and a download behind it on a new connection. It returns
// the ID of the latter if the node closed the connection before that was answered.
func (f *fleet) bookAndRead(n *node) (unanswered string, err error) {
	c, err := net.Dial("tcp", n.address(portOutbound))
	if err != nil {
		return "", err
	}
	defer c.Close()
	booking, download := newID(), newID()
	f.note("client sends %s POST /book/1 and %s GET /reports/1 behind it", booking, download)
	text := fmt.Sprintf("POST /book/1 HTTP/1.1\r\nHost: %[1]s\r\n%[2]s: %[4]s\r\n%[3]s: 5000\r\nContent-Length: 4\r\n\r\nbook"+
		"GET /reports/1 HTTP/1.1\r\nHost: %[1]s\r\n%[2]s: %[5]s\r\n%[3]s: 4000\r\n\r\n", host, wire["id"], wire["deadline"], booking, download)
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
	r := bufio.NewReader(c)
	for _, id := range []string{booking, download} {
		res, err := http.ReadResponse(r, nil)
		size := int64(0)
		if err == nil {
			size, err = io.Copy(io.Discard, res.Body)
		}
		if err != nil {
			f.note("client: the answer to %s broke off after %d bytes: %v", id, size, err)
			return download, nil
		}
		f.note("client: answer to %s: %d, whole, %d bytes", id, res.StatusCode, size)
	}
	return "", nil
}
