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
	// maxWithdrawals bounds the withdrawn instances that are remembered. It
	// allows for four restarts of each target within MaxTTL.
	maxWithdrawals = 4 * MaxTargets
	sweepInterval  = 100 * time.Millisecond
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
	// Tracer receives events; nil drops them.
	Tracer *tracer.Tracer

	mu            sync.Mutex
	registrations map[string]registration
	// withdrawals holds withdrawn instances until no delayed announcement of
	// theirs can arrive any more.
	withdrawals map[string]withdrawal
	lastEpoch   uint64
}

// Announce registers a target or renews its registration. An outdated
// announcement is ignored without an error. Errors are *coder.Error.
func (r *Registrar) Announce(a Announcement) error {
	s, err := r.validate(a)
	if err != nil {
		return err
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
	if r.outdated(old, known, a) {
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
	r.mu.Unlock()
	if changed {
		r.Tracer.Add(tracer.Event{Kind: "target-announced", Target: name, Detail: t.State.String()})
		r.publish()
	}
	return nil
}

// outdated reports whether an announcement was superseded by a later one or by
// the withdrawal of its target. The caller holds the lock.
func (r *Registrar) outdated(old registration, known bool, a Announcement) bool {
	if a.Instance == "" {
		return known && old.target.Instance == "" && a.Epoch > 0 && a.Epoch < old.announcedEpoch
	}
	if w, withdrawn := r.withdrawals[a.Instance]; withdrawn && a.Epoch <= w.epoch {
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

// withdrawal rejects announcements of an instance up to an epoch.
type withdrawal struct {
	epoch     uint64
	expiresAt time.Time
}

// addWithdrawal records that an instance was withdrawn. An epoch of 0 is unknown:
// the target was only discovered, or this process has just started. Then the
// present time stands in for it, since the target started earlier on this VM, by
// the same clock. The caller holds the lock.
func (r *Registrar) addWithdrawal(instance string, epoch uint64, now time.Time) {
	if epoch == 0 {
		epoch = uint64(now.UnixMilli())
	}
	if r.withdrawals == nil {
		r.withdrawals = map[string]withdrawal{}
	}
	if _, ok := r.withdrawals[instance]; !ok && len(r.withdrawals) >= maxWithdrawals {
		return
	}
	r.withdrawals[instance] = withdrawal{max(epoch, r.withdrawals[instance].epoch), now.Add(MaxTTL)}
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

// Withdraw removes the target of a service at an address. It reports whether
// there was one.
func (r *Registrar) Withdraw(service, address string) bool {
	name := service + "@" + address
	r.mu.Lock()
	_, known := r.registrations[name]
	delete(r.registrations, name)
	r.mu.Unlock()
	if known {
		r.Tracer.Add(tracer.Event{Kind: "target-withdrawn", Target: name})
		r.publish()
	}
	return known
}

// WithdrawInstance removes the targets of an instance and ignores its delayed
// announcements. It reports whether there was a target.
func (r *Registrar) WithdrawInstance(instance string) bool {
	now := time.Now()
	r.mu.Lock()
	var removed []string
	epoch := uint64(0)
	for name, reg := range r.registrations {
		if reg.target.Instance != instance {
			continue
		}
		delete(r.registrations, name)
		removed = append(removed, name)
		epoch = max(epoch, reg.announcedEpoch)
	}
	r.addWithdrawal(instance, epoch, now)
	r.mu.Unlock()
	for _, name := range removed {
		r.Tracer.Add(tracer.Event{Kind: "target-withdrawn", Target: name, Detail: instance})
	}
	if len(removed) > 0 {
		r.publish()
	}
	return len(removed) > 0
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
	for instance, w := range r.withdrawals {
		if now.After(w.expiresAt) {
			delete(r.withdrawals, instance)
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
