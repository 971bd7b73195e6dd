package settingsloader

import (
	"math"
	"strconv"
)

// Limits bound what clients can make a node hold. 0 means the default of each.
type Limits struct {
	// Memory is the memory of the VM for the node and its target, in MB. The default
	// is the limit of the process's cgroup, else GOMEMLIMIT, else 256.
	Memory float64 `json:"memory"`
	// Connections is the highest number of callers' connections. The default leaves
	// an eighth of the process's descriptors to its own connections.
	Connections float64 `json:"connections"`
	// Descriptors is how many descriptors the process may have open, where that is
	// less than its own limit.
	Descriptors float64 `json:"descriptors"`
	// Body and Head bound a request's body and head, in bytes; Pipelined bounds the
	// requests in flight of one connection, and Requests those of the node.
	Body      float64 `json:"body"`
	Head      float64 `json:"head"`
	Pipelined float64 `json:"pipelined"`
	Requests  float64 `json:"requests"`
	// MinRate is the lowest rate, in bytes per second, at which a request must arrive
	// and a response be read, on average beyond the first RateTime milliseconds.
	MinRate  float64 `json:"minrate"`
	RateTime float64 `json:"ratetime"`
	// Handshakes is the highest number of connections at the link address that have
	// not proved that they belong to the fleet.
	Handshakes float64 `json:"handshakes"`
	// AuxConnections and AuxHead, in bytes, are the highest number of connections and
	// the longest head at each of the admin, readiness and announcement addresses.
	AuxConnections float64 `json:"auxconnections"`
	AuxHead        float64 `json:"auxhead"`
}

// Bounds of limits.
const (
	minMemoryMB       = 32
	maxMemoryMB       = 1 << 20
	maxConnections    = 1 << 20
	minDescriptors    = 64
	minBodyBytes      = 1 << 10
	maxBodyBytes      = 2 << 20 // a call with its head must fit a frame between nodes
	minHeadBytes      = 1 << 10
	maxHeadBytes      = 1 << 20
	maxPipelined      = 1 << 10
	maxRequests       = 1 << 20
	maxMinRate        = 1 << 20
	maxRateTimeMillis = 3_600_000
)

// Rules of limits as they appear in problems.
const (
	ruleMemory      = "must be 0, or 32 to 1048576 MB"
	ruleConnections = "must be 0, or a whole number up to 1048576"
	ruleDescriptors = "must be 0, or 64 to 1048576"
	ruleBody        = "must be 0, or 1024 to 2097152 bytes"
	ruleHead        = "must be 0, or 1024 to 1048576 bytes"
	rulePipelined   = "must be 0, or a whole number up to 1024"
	ruleMinRate     = "must be 0, or 1 to 1048576 bytes per second"
	ruleRateTime    = "must be 0, or 1 to 3600000 milliseconds"
)

// checkLimits checks the limits of what clients can make a node hold.
func (c *checker) checkLimits(l Limits) {
	c.requireLimit("memory", l.Memory, minMemoryMB, maxMemoryMB, ruleMemory)
	c.requireLimit("connections", l.Connections, 1, maxConnections, ruleConnections)
	c.requireLimit("descriptors", l.Descriptors, minDescriptors, maxConnections, ruleDescriptors)
	c.requireLimit("body", l.Body, minBodyBytes, maxBodyBytes, ruleBody)
	c.requireLimit("head", l.Head, minHeadBytes, maxHeadBytes, ruleHead)
	c.requireLimit("pipelined", l.Pipelined, 1, maxPipelined, rulePipelined)
	c.requireLimit("requests", l.Requests, 1, maxRequests, ruleConnections)
	c.requireLimit("minrate", l.MinRate, 1, maxMinRate, ruleMinRate)
	c.requireLimit("ratetime", l.RateTime, 1, maxRateTimeMillis, ruleRateTime)
	c.requireLimit("handshakes", l.Handshakes, 1, maxConnections, ruleConnections)
	c.requireLimit("auxconnections", l.AuxConnections, 1, maxConnections, ruleConnections)
	c.requireLimit("auxhead", l.AuxHead, minHeadBytes, maxHeadBytes, ruleHead)
}

// requireLimit requires 0 or a whole number from lowest to highest.
func (c *checker) requireLimit(path string, value, lowest, highest float64, rule string) {
	ok := value == 0 || value >= lowest && value <= highest && value == math.Trunc(value)
	c.require(ok, path, strconv.FormatFloat(value, 'g', -1, 64), rule)
}
