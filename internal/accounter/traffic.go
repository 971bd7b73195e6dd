package accounter

import (
	"slices"
	"strings"
	"time"
)

// Messages of nodes that tell of their traffic. The totals of messageTraffic are since
// the start of the process.
const (
	messageTraffic = "traffic"
	messageStarted = "node started"
)

// Metrics of the bytes that went to other data centres.
const (
	linkCrossingPrefix = "link.crossing."
	proberCrossing     = "prober.crossing"
)

// trafficLine is a message of a node with the totals of its traffic, or the start of
// the node's process.
type trafficLine struct {
	at      time.Time
	started bool
	totals  map[string]int64
}

// crossingBytes returns the bytes that nodes sent to other data centres, by method.
// What a node sent before its first line counts only if the logs have its start, and
// what it sent after its last line does not.
func (a *Account) crossingBytes() map[string]int64 {
	bytes := map[string]int64{}
	for _, lines := range a.traffic {
		slices.SortStableFunc(lines, func(x, y trafficLine) int { return x.at.Compare(y.at) })
		var before map[string]int64 // nil if it is not known
		for _, l := range lines {
			if l.started {
				before = map[string]int64{}
				continue
			}
			if before != nil {
				addIncrease(bytes, before, l.totals)
			}
			before = l.totals
		}
	}
	return bytes
}

// addIncrease adds what was sent between two lines of a node. If a total has become
// less, the node has started anew.
func addIncrease(bytes, before, after map[string]int64) {
	for name, total := range before {
		if after[name] < total {
			before = nil
			break
		}
	}
	for name, total := range after {
		method, crossing := strings.CutPrefix(name, linkCrossingPrefix)
		if name == proberCrossing {
			method, crossing = "heartbeat", true
		}
		if crossing {
			bytes[method] += total - before[name]
		}
	}
}
