package measurer

import "strings"

// Row describes a metric or a family of metrics.
type Row struct {
	// Name has a placeholder in capitals where the names of a family differ.
	Name string
	// Unit is the unit of the value.
	Unit string
	// Meaning describes the value.
	Meaning string
}

// Table lists all metrics of a node.
var Table = []Row{
	{"request.code.CODE", "requests", "ended at this entry with that code"},
	{"request.took", "microseconds", "whole time of a request at its entry"},
	{"attempt.took", "microseconds", "one attempt, from its entry to the head of the answer and what came with it"},
	{"link.took", "microseconds", "the part of an attempt that was not spent at its exit, when that is another node"},
	{"queue.took", "microseconds", "a call's wait for a slot of a target of this node, refused ones included"},
	{"target.took", "microseconds", "from the first byte to a target of this node to the head of its answer"},
	{"target.result.RESULT", "calls", "ended that way at targets of this node"},
	{"queue.waiting", "calls", "wait for a slot of a target of this node now"},
	{"queue.waiting.RANK", "tickets", "of that rank wait for a slot of a target of this node now; the last rank stands for all below it too"},
	{"queue.granted.RANK", "slots", "of targets of this node were given to tickets of that rank"},
	{"reservations.granted", "reservations", "that were given a slot of a target of this node"},
	{"reservations.expired", "reservations", "of these were not followed by their call in time"},
	{"reservations.withdrawn", "reservations", "that their entry gave up, with a slot or without"},
	{"queue.flying", "calls", "run at targets of this node now"},
	{"targets.known", "targets", "this node knows now"},
	{"targets.sound", "targets", "of these are chosen freely; the others are ejected or recovering"},
	{"targets.limited", "targets", "of this node state how many calls per second they accept"},
	{"requests.quarantined", "requests", "that crash targets and are kept from them now"},
	{"targets.crashed", "count", "of targets of this node whose process ended while it ran calls"},
	{"nodes.alive", "nodes", "this node takes to be running now"},
	{"configuration.number", "number", "of the configuration in force"},
	{"retry.sent", "attempts", "beyond the first of a request"},
	{"retry.hedges", "attempts", "of these began while another one ran"},
	{"retry.denied", "attempts", "that the budget did not pay for"},
	{"retry.redirects", "attempts", "sent elsewhere by an exit that had not run the call"},
	{"retry.left", "attempts", "that the budgets of all services would pay for now"},
	{"store.KIND.OUTCOME", "calls", "to the platform's store"},
	{"store.took", "microseconds", "one call to the store, without those that wait for a change"},
	{"link.sent.METHOD", "bytes", "to other nodes, by what they carry"},
	{"link.crossing.METHOD", "bytes", "of link.sent.METHOD that went to other data centres"},
	{"link.received.METHOD", "bytes", "from other nodes, by what they carry"},
	{"prober.sent", "bytes", "of heartbeats to other nodes"},
	{"prober.crossing", "bytes", "of prober.sent that went to other data centres, or to nodes whose data centre was unknown"},
	{"prober.received", "bytes", "of heartbeats from other nodes"},
	{"prober.rejected", "datagrams", "that were not by a node of the fleet"},
	{"prober.suspicions", "count", "of nodes that did not answer"},
	{"log.dropped", "lines", "for which the buffer had no room"},
	{"process.memory", "bytes", "that the process has from the operating system"},
	{"account.used", "bytes", "held for clients and other nodes now"},
	{"account.waiting", "reservations", "for which the account has no room now"},
	{"clients.refused.KIND", "clients", "refused or disconnected in that way, see operators/clients.md"},
}

// Lookup returns the row that describes a metric.
func Lookup(name string) (Row, bool) {
	for _, r := range Table {
		if matches(r.Name, name) {
			return r, true
		}
	}
	return Row{}, false
}

// matches compares a name with a row's name, word by word. A placeholder at the
// end may stand for several words.
func matches(pattern, name string) bool {
	want, got := strings.Split(pattern, "."), strings.Split(name, ".")
	if len(got) < len(want) {
		return false
	}
	for i, w := range want {
		if w != got[i] && w != strings.ToUpper(w) {
			return false
		}
	}
	return len(got) == len(want) || want[len(want)-1] == strings.ToUpper(want[len(want)-1])
}
