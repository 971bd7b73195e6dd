package linker

import "sync/atomic"

// traffic counts the bytes of frames by method; 0 counts the links' own frames.
// crossing is the part of sent that went to other data centres.
type traffic struct {
	sent, received, crossing [maxMethods]atomic.Int64
}

// addSent counts a frame that is queued for a peer.
func (t *traffic) addSent(m Method, bytes int64, crossing bool) {
	t.sent[trafficMethod(m)].Add(bytes)
	if crossing {
		t.crossing[trafficMethod(m)].Add(bytes)
	}
}

// addReceived counts a received frame.
func (t *traffic) addReceived(m Method, bytes int64) { t.received[trafficMethod(m)].Add(bytes) }

// trafficMethod returns the method that a frame is counted for: numbers from
// maxMethods on are counted with the links' own frames.
func trafficMethod(m Method) Method {
	if m >= maxMethods {
		return 0
	}
	return m
}

// Traffic returns the bytes of frames sent and received for a method so far;
// method 0 is the links' own frames.
func (l *Linker) Traffic(m Method) (sent, received int64) {
	return l.traffic.sent[m].Load(), l.traffic.received[m].Load()
}

// CrossingTraffic returns the part of the sent bytes of Traffic that went to
// other data centres.
func (l *Linker) CrossingTraffic(m Method) int64 { return l.traffic.crossing[m].Load() }

// methodNames are the names of methods in metrics.
var methodNames = map[Method]string{
	0: "link", MethodCall: "call", MethodFence: "fence", MethodLimit: "limit", MethodTargets: "targets",
	MethodConfiguration: "configuration", MethodRecord: "record", MethodStatus: "status", MethodReference: "reference",
	MethodShares: "shares", MethodSoftLimit: "ration", MethodLoadProbe: "bid", MethodQuarantine: "quarantine", MethodReserve: "reserve",
	MethodLeave: "leave",
}

// MethodNames returns the names of the methods that traffic is counted for.
func MethodNames() map[Method]string { return methodNames }
