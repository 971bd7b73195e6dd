package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Sizes and shares of pipelineCase.
const (
	fileBytes     = 520 << 10
	truncatedAt   = 400 << 10
	garbledShare  = 0.05
	garbleTime    = 5500 * time.Millisecond
	pipelines     = 240
	readsBehind   = 2
	maxUnanswered = 3
)

func init() { cases["pipeline"] = pipelineCase }

// pipelineCase: clients send idempotent requests behind a large download on a kept
// connection. The upstream of the downloads breaks off some of its answers.
func pipelineCase(f *fleet) (bool, error) {
	f.addMachine("sidecar-1", "zone-a", "files")
	f.addMachine("sidecar-2", "zone-a", "reads")
	tenants := []tenant{{"club", "key-of-the-club", 2000, 2000}}
	f.configure([]route{
		{"file", "/file/", "files", "idempotent", 5 * time.Second, 2 * time.Second, 2, false},
		{"read", "/read/", "reads", "idempotent", 5 * time.Second, 2 * time.Second, 2, false},
	}, tenants, 0)
	for i, m := range f.machines {
		if err := m.start(); err != nil {
			return false, err
		}
		if _, err := m.startUpstream(fmt.Sprintf("i-%d", i+1), 16, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := f.ready(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime + 2*time.Second)
	files := f.machines[0].upstream
	if f.trouble {
		files.mu.Lock()
		files.garbled = garbledShare
		files.mu.Unlock()
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	unanswered := map[string]bool{}
	for range pipelines {
		wg.Go(func() {
			for _, id := range f.machines[1].sendPipeline(tenants[0].key) {
				mu.Lock()
				unanswered[id] = true
				mu.Unlock()
			}
		})
		time.Sleep(garbleTime / pipelines)
	}
	wg.Wait()
	lost := 0
	for _, r := range f.machines[1].upstream.list() {
		if unanswered[r.id] {
			lost++
			f.record.add("lost: %s was passed on to %s, which is sound, and its connection was closed without an answer", r.id, r.instance)
		}
	}
	f.record.add("%d requests were passed on to a sound upstream and got no answer", lost)
	fmt.Printf("%d requests that a sound upstream ran got no answer\n", lost)
	return lost > maxUnanswered, nil
}

// sendPipeline sends a download and reads behind it on one connection, and returns
// the IDs of the reads that got no answer.
func (m *machine) sendPipeline(key string) (unanswered []string) {
	f := m.fleet
	conn, err := net.DialTimeout("tcp", m.address(f.ports.outbound), time.Second)
	if err != nil {
		f.record.add("not connected: %v", err)
		return nil
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	var ids []string
	var b strings.Builder
	for i := range 1 + readsBehind {
		path := "/read/1"
		if i == 0 {
			path = "/file/1"
		}
		id := fmt.Sprintf("%016x", rand.Uint64())
		ids = append(ids, id)
		fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 5000\r\nAuthorization: Bearer %s\r\n\r\n", path, host, f.wire.Attempt, id, f.wire.Deadline, key)
		f.record.add("sent %s GET %s at %s, number %d on its connection", id, path, m.name, i+1)
	}
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return nil
	}
	r := bufio.NewReader(conn)
	for i, id := range ids {
		res, err := http.ReadResponse(r, nil)
		if err == nil {
			var n int64
			n, err = io.Copy(io.Discard, res.Body)
			f.record.add("answered %s with status %d, %d bytes, error: %v", id, res.StatusCode, n, err)
		} else {
			f.record.add("not answered %s: %v", id, err)
		}
		if err != nil {
			if i == 0 {
				return ids[1:]
			}
			return ids[i:]
		}
	}
	return nil
}
