package node

import (
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"github.com/zinniaproxy/zinniaproxy/internal/accountant"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
)

// How the memory and the descriptors of the process are divided.
const (
	megabyte = 1 << 20
	// defaultMemory is the memory of node and target if nothing limits it.
	defaultMemory = 256 * megabyte
	// accountDivisor and maxAccountBytes set the limit of the account, and
	// runtimeDivisor Go's own limit: what is held takes up to twice its size until it
	// is collected.
	accountDivisor  = 4
	maxAccountBytes = 48 * megabyte
	runtimeDivisor  = 2
	// connectionsPerMegabyte bounds callers' connections: an idle one takes some 8 KB,
	// so that they take a fifth of the memory at most.
	connectionsPerMegabyte = 24
	// ownDescriptorsDivisor is the part of the descriptors that is left to the node's
	// own connections, and minOwnDescriptors the least of it.
	ownDescriptorsDivisor = 8
	minOwnDescriptors     = 64
	// auxDescriptorsDivisor is the part of those that each auxiliary server, and
	// handshakes at the link address, may take.
	auxDescriptorsDivisor              = 8
	minAuxConns, maxAuxConns           = 4, 64
	cgroupV2Limit, cgroupV1Limit       = "/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes"
	maxCgroupLimit               int64 = 1 << 50 // a higher limit means none
)

// startLimit is Go's memory limit at the start, which GOMEMLIMIT sets.
var startLimit = debug.SetMemoryLimit(-1)

// memoryLimit returns the memory for node and target, in bytes.
func memoryLimit(s settingsloader.Settings) int64 {
	if s.Memory > 0 {
		return int64(s.Memory) * megabyte
	}
	for _, name := range []string{cgroupV2Limit, cgroupV1Limit} {
		b, err := os.ReadFile(name)
		if err != nil {
			continue // not on this kind of system
		}
		if n, err := strconv.ParseInt(strings.TrimSpace(string(b)), 10, 64); err == nil && n > 0 && n < maxCgroupLimit {
			return n
		}
	}
	if startLimit != math.MaxInt64 {
		return startLimit
	}
	return defaultMemory
}

// setRuntimeLimit sets Go's memory limit of this process.
func setRuntimeLimit(s settingsloader.Settings) {
	debug.SetMemoryLimit(memoryLimit(s) / runtimeDivisor)
}

func newAccount(s settingsloader.Settings) *accountant.Account {
	return &accountant.Account{Limit: min(memoryLimit(s)/accountDivisor, maxAccountBytes)}
}

// clientLimits are the limits of connections that follow from the process's own.
type clientLimits struct {
	conns, auxConns, handshakes int
}

func newClientLimits(s settingsloader.Settings) clientLimits {
	descriptors := maxDescriptors(s)
	own := max(descriptors/ownDescriptorsDivisor, min(minOwnDescriptors, descriptors/2))
	aux := min(max(own/auxDescriptorsDivisor, minAuxConns), maxAuxConns)
	l := clientLimits{
		conns:    min(descriptors-own, int(memoryLimit(s)/megabyte)*connectionsPerMegabyte),
		auxConns: aux, handshakes: aux,
	}
	override := func(field *int, setting float64) {
		if setting > 0 {
			*field = int(setting)
		}
	}
	override(&l.conns, s.Connections)
	override(&l.auxConns, s.AuxConnections)
	override(&l.handshakes, s.Handshakes)
	return l
}

// maxDescriptors returns how many descriptors the process may open: the setting or
// the process's own limit, whichever is less. An error means that there is no limit.
func maxDescriptors(s settingsloader.Settings) int {
	setting := int(s.Descriptors)
	if setting == 0 {
		setting = math.MaxInt32
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return setting
	}
	return min(int(limit.Cur), setting)
}
