// Package targetregistrar keeps the targets that announce themselves to this
// node. An announcement expires after its time to live unless the target repeats
// it.
package targetregistrar

import (
	"context"
	"net"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// Bounds of announcements.
const (
	// MinTTL and MaxTTL bound an announcement's time to live.
	MinTTL = 500 * time.Millisecond
	MaxTTL = time.Minute
	// MaxTargets bounds the targets of one node.
	MaxTargets = 256
	// maxSlots bounds the slots of a target.
	maxSlots = 65_536
	// maxLeaves bounds the leaves that are remembered. It allows for four restarts
	// of each target within MaxTTL.
	maxLeaves     = 4 * MaxTargets
	sweepInterval = 100 * time.Millisecond
)

// Announcement is the state that a target announces.
type Announcement struct {
	// Service is the service's name, Address the target's IP and port.
	Service, Address string
	// Slots is how many calls the target runs at once. 0 means the service's
	// Slots.
	Slots int
	State messenger.State
	// TTL is how long the announcement stays valid.
	TTL time.Duration
	// Epoch is when the target started, in Unix milliseconds. A different epoch
	// means that the target was replaced.
	Epoch uint64
	// Instance is the target's name for its process, if it has one. If so, Epoch
	// and Sequence order its announcements, and earlier ones are ignored.
	Instance string
	Sequence uint64
}

// registration is the latest announcement of a target.
type registration struct {
	target         messenger.Target
	announcedEpoch uint64 // 0 for a discovered target
	sequence       uint64
	expiresAt      time.Time
}

// sameProcess reports whether an announcement comes from the registered process.
// A target that the node discovered by a health request has no epoch until its
// first own announcement.
func (r registration) sameProcess(a Announcement) bool {
	discovered := r.announcedEpoch == 0 && a.Instance != ""
	return r.target.Instance == a.Instance && (r.announcedEpoch == a.Epoch || discovered)
}

// Registrar keeps the targets of one VM. Set the exported fields before the first
// call.
type Registrar struct {
	// Node and Centre name this node and its data centre.
	Node, Centre string
	// IP is the VM's address; announcements of other addresses are refused.
	IP string
	// ExpectedService is the service that runs on this VM, or empty if unknown.
	// Its target may announce itself before there is a configuration.
	ExpectedService string
	// Service returns a service of the configuration in force, or nil.
	Service func(name string) *declarer.Service
	// ApplyVerdict sets the health verdict (trust), limit and score of a target
	// from the outcomes of its calls.
	ApplyVerdict func(t messenger.Target) messenger.Target
	// OnChange is called with all targets after each change.
	OnChange func(ts []messenger.Target)
	// AwaitLeaves waits until the node knows which targets had left before its
	// process started. Nil means that it knows.
	AwaitLeaves func()
	// RecordLeave makes it last beyond this process that a target leaves, given
	// by its instance or else its name, and returns an error if that failed. Nil
	// means that leaves end with the process.
	RecordLeave func(target string, epoch uint64) error
	// Tracer receives events; nil drops them.
	Tracer *tracer.Tracer

	mu            sync.Mutex
	registrations map[string]registration
	// leaves holds the targets that leave or have left, by instance or else name,
	// until no delayed announcement of theirs can arrive any more.
	leaves    map[string]leave
	lastEpoch uint64
}

// Announce registers a target or renews its registration. An outdated
// announcement is ignored without an error. If the target leaves, that is recorded
// before Announce returns. Errors are *coder.Error.
func (r *Registrar) Announce(a Announcement) error {
	s, err := r.validate(a)
	if err != nil {
		return err
	}
	if r.AwaitLeaves != nil {
		r.AwaitLeaves()
	}
	name := a.Service + "@" + a.Address
	slots := a.Slots
	if s != nil {
		slots = s.Slots
		if a.Slots > 0 {
			slots = min(slots, a.Slots)
		}
	}
	r.mu.Lock()
	old, known := r.registrations[name]
	if r.outdated(name, old, known, a) {
		r.mu.Unlock()
		r.Tracer.Add(tracer.Event{Kind: "announcement-outdated", Target: name, Detail: a.Instance})
		return nil
	}
	if !known && len(r.registrations) >= MaxTargets {
		r.mu.Unlock()
		return coder.New(coder.BadAnnouncement, "node has %d targets", MaxTargets)
	}
	t := messenger.Target{
		Name: name, Service: a.Service, Address: a.Address, Node: r.Node, Centre: r.Centre,
		Epoch: old.target.Epoch, Instance: a.Instance, Start: a.Epoch, Slots: slots, State: a.State,
	}
	if !known || !old.sameProcess(a) {
		t.Epoch = r.nextEpoch()
	}
	t = r.ApplyVerdict(t)
	changed := !known || old.target != t
	r.put(name, registration{target: t, announcedEpoch: a.Epoch, sequence: a.Sequence, expiresAt: time.Now().Add(a.TTL)})
	leaves := a.State == messenger.Draining && a.Instance != ""
	var epoch uint64
	if leaves {
		epoch = r.addLeave(a.Instance, a.Epoch, false)
	}
	r.mu.Unlock()
	if changed {
		r.Tracer.Add(tracer.Event{Kind: "target-announced", Target: name, Detail: t.State.String()})
		r.publish()
	}
	if leaves {
		return r.recordLeave(a.Instance, epoch)
	}
	return nil
}

// outdated reports whether an announcement was superseded by a later one or by
// the leave of its target. The caller holds the lock.
func (r *Registrar) outdated(name string, old registration, known bool, a Announcement) bool {
	if a.Instance == "" {
		superseded := known && old.target.Instance == "" && a.Epoch < old.announcedEpoch
		return a.Epoch > 0 && (superseded || r.hasLeft(name, a))
	}
	if r.hasLeft(a.Instance, a) {
		return true
	}
	if !known || old.target.Instance == "" {
		return false
	}
	if a.Epoch != old.announcedEpoch {
		return a.Epoch < old.announcedEpoch
	}
	return a.Instance == old.target.Instance && a.Sequence < old.sequence
}

func (r *Registrar) put(name string, reg registration) {
	if r.registrations == nil {
		r.registrations = map[string]registration{}
	}
	r.registrations[name] = reg
}

// nextEpoch returns an epoch above all earlier ones, including those of earlier
// processes of this node. The caller holds the lock.
func (r *Registrar) nextEpoch() uint64 {
	r.lastEpoch = max(r.lastEpoch+1, uint64(time.Now().UnixNano()))
	return r.lastEpoch
}

func (r *Registrar) validate(a Announcement) (*declarer.Service, error) {
	host, port, err := net.SplitHostPort(a.Address)
	if err != nil {
		return nil, coder.New(coder.BadAnnouncement, "address: %v", err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return nil, coder.New(coder.BadAnnouncement, "port %.20q is not 1 to 65535", port)
	}
	if host != r.IP {
		return nil, coder.New(coder.ForeignAddress, "%.60q is not %s", host, r.IP)
	}
	if a.TTL < MinTTL || a.TTL > MaxTTL {
		return nil, coder.New(coder.BadAnnouncement, "ttl %v is not %v to %v", a.TTL, MinTTL, MaxTTL)
	}
	if a.Slots < 0 || a.Slots > maxSlots {
		return nil, coder.New(coder.BadAnnouncement, "slots %d is not 0 to %d", a.Slots, maxSlots)
	}
	s := r.Service(a.Service)
	if s == nil && a.Service != r.ExpectedService {
		return nil, coder.New(coder.UnknownService, "%.60q", a.Service).WithAfter(time.Second)
	}
	return s, nil
}

// Withdraw removes the target of a service at an address. It reports whether there
// was one. Errors are *coder.Error.
func (r *Registrar) Withdraw(service, address string) (known bool, err error) {
	name := service + "@" + address
	r.mu.Lock()
	reg, known := r.registrations[name]
	target, epoch := name, reg.announcedEpoch
	if known {
		target = leaveKey(reg.target)
	}
	left := r.leaves[target]
	switch {
	case known:
		r.remove(name)
		if epoch > 0 { // else its announcements have no order
			epoch = r.addLeave(target, epoch, true)
		}
	case left.removed:
		known, epoch = true, left.epoch // repeated, since it was not recorded
	}
	r.mu.Unlock()
	if known {
		r.publish()
	}
	if epoch == 0 {
		return known, nil
	}
	return known, r.recordLeave(target, epoch)
}

// WithdrawInstance removes the targets of an instance whose process started at an
// epoch or before, of any process if the epoch is 0, and ignores its delayed
// announcements. It reports whether there was a target. Errors are *coder.Error.
func (r *Registrar) WithdrawInstance(instance string, epoch uint64) (known bool, err error) {
	r.mu.Lock()
	latest := epoch
	for name, reg := range r.registrations {
		if reg.target.Instance != instance || latest > 0 && reg.announcedEpoch > latest {
			continue
		}
		r.remove(name)
		known = true
		epoch = max(epoch, reg.announcedEpoch)
	}
	epoch = r.addLeave(instance, epoch, true)
	r.mu.Unlock()
	if known {
		r.publish()
	}
	return known, r.recordLeave(instance, epoch)
}

// Lookup returns a target by name unless its announcement has expired. It checks
// the time itself, since after a pause of this process Run has not yet removed
// expired targets.
func (r *Registrar) Lookup(name string) (messenger.Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reg, ok := r.registrations[name]
	if !ok || time.Now().After(reg.expiresAt) {
		return messenger.Target{}, false
	}
	return reg.target, true
}

// Targets returns all targets, sorted by name.
func (r *Registrar) Targets() []messenger.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]messenger.Target, 0, len(r.registrations))
	for _, reg := range r.registrations {
		out = append(out, reg.target)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// RefreshVerdicts calls ApplyVerdict for each target again and publishes
// changes.
func (r *Registrar) RefreshVerdicts() {
	changed := false
	r.mu.Lock()
	for name, reg := range r.registrations {
		t := r.ApplyVerdict(reg.target)
		changed = changed || t != reg.target
		reg.target = t
		r.registrations[name] = reg
	}
	r.mu.Unlock()
	if changed {
		r.publish()
	}
}

func (r *Registrar) publish() { r.OnChange(r.Targets()) }

// Run removes expired targets until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			r.sweep(now)
		}
	}
}

func (r *Registrar) sweep(now time.Time) {
	var expired []string
	r.mu.Lock()
	for name, reg := range r.registrations {
		if now.After(reg.expiresAt) {
			delete(r.registrations, name)
			expired = append(expired, name)
		}
	}
	for target, l := range r.leaves {
		if now.After(l.expiresAt) {
			delete(r.leaves, target)
		}
	}
	r.mu.Unlock()
	for _, name := range expired {
		r.Tracer.Add(tracer.Event{Kind: "target-lapsed", Target: name})
	}
	if len(expired) > 0 {
		r.publish()
	}
}
