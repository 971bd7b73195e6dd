package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of readersCase.
const (
	memoryMB     = 184
	readers      = 1200
	slots        = 15
	work         = 400 * time.Millisecond
	answerBytes  = 250 << 10
	stopAfter    = 4 << 10
	crowdTime    = 12 * time.Second
	megabyte     = 1 << 20
	pollInterval = 20 * time.Millisecond
	restartDelay = 300 * time.Millisecond
	// The rule: three ends in a day on a tenth of the machines, two at least.
	rounds  = 3
	crowded = 2
)

func init() { cases["readers"] = readersCase }

// readersCase: a crowd of clients of one machine, then of another, asks for downloads and stops reading
// half-way. The platform kills a process that exceeds the memory of its machine.
func readersCase(f *fleet) (bool, error) {
	const service = "files"
	f.memory = memoryMB
	for i := range 7 {
		f.addMachine(fmt.Sprintf("sidecar-%d", i+1), "zone-a", service)
	}
	f.configure([]route{{"file", "/file/", service, "idempotent", 10 * time.Second, 8 * time.Second, 2, true}}, nil, 0)
	for i, m := range f.machines {
		if err := m.start(); err != nil {
			return false, err
		}
		u, err := m.startUpstream(fmt.Sprintf("i-%d", i+1), slots, work)
		if err != nil {
			return false, err
		}
		u.fileBytes = answerBytes
	}
	if err := f.ready(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime + 2*time.Second)
	ends, peak := map[string]int{}, 0
	for range rounds {
		for _, m := range f.machines[:crowded] {
			n, killed := m.meetCrowd(f.trouble)
			peak = max(peak, n)
			if !killed {
				continue
			}
			ends[m.name]++
			<-m.exited
			time.Sleep(restartDelay)
			if err := m.start(); err != nil {
				return false, err
			}
			if err := f.ready(10 * time.Second); err != nil {
				return false, err
			}
			time.Sleep(time.Second)
		}
	}
	often := 0
	for _, n := range ends {
		if n >= rounds {
			often++
		}
	}
	f.record.add("killed for memory, by machine: %v; at most %d MB held, %d allowed", ends, peak/megabyte, memoryMB)
	fmt.Printf("%d machines whose node was killed %d times for memory; %d MB at most, %d allowed\n", often, rounds, peak/megabyte, memoryMB)
	return often >= crowded, nil
}

// meetCrowd sends a crowd to a machine, and kills its node if that exceeds the memory
// of the machine. It returns the most that the node held in bytes.
func (m *machine) meetCrowd(stops bool) (peak int, killed bool) {
	gone := make(chan struct{})
	var crowd sync.WaitGroup
	for range readers {
		crowd.Go(func() { m.download(stops, gone) })
	}
	done := make(chan struct{})
	go func() {
		crowd.Wait()
		close(done)
	}()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	end := time.After(crowdTime)
	for waiting := true; waiting && !killed; {
		select {
		case <-end:
			waiting = false
		case <-done:
			waiting = false
		case <-poll.C:
		}
		n := m.resident()
		peak = max(peak, n)
		if n > memoryMB*megabyte {
			killed = true
			m.fleet.record.add("node %s holds %d MB, its machine has %d", m.name, n/megabyte, memoryMB)
			m.signal(syscall.SIGKILL)
		}
	}
	close(gone)
	<-done
	return peak, killed
}

// resident returns the resident memory of the node's process in bytes.
func (m *machine) resident() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0
	}
	n, _ := strconv.Atoi(fields[1])
	return n * os.Getpagesize()
}

// download asks for a download, and stops reading after its first bytes if stops is
// set.
func (m *machine) download(stops bool, gone <-chan struct{}) {
	f := m.fleet
	dialer := net.Dialer{Timeout: 3 * time.Second, Control: ethernetSocket}
	conn, err := dialer.Dial("tcp", m.address(f.ports.outbound))
	if err != nil {
		f.record.add("not connected: %v", err)
		return
	}
	defer conn.Close()
	id := fmt.Sprintf("%016x", rand.Uint64())
	f.record.add("sent %s GET /file/1 at %s", id, m.name)
	fmt.Fprintf(conn, "GET /file/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 9000\r\n\r\n", host, f.wire.Attempt, id, f.wire.Deadline)
	if stops {
		n, _ := io.ReadFull(conn, make([]byte, stopAfter))
		f.record.add("read %d bytes of the answer to %s, no more", n, id)
		<-gone
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(crowdTime))
	n, err := io.CopyN(io.Discard, conn, answerBytes)
	f.record.add("read %d bytes of the answer to %s, error: %v", n, id, err)
}

// ethernetSocket gives a connection the segments of an Ethernet and a small window, as
// the platform's links have. On loopback the kernel would hold a whole answer.
func ethernetSocket(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
	})
}
