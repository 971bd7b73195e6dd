// Package registrar keeps the targets that announce themselves to this node.
// An announcement holds for its time to live and is repeated by the target.
package registrar

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
	// MinTTL and MaxTTL bound how long an announcement holds.
	MinTTL = 500 * time.Millisecond
	MaxTTL = time.Minute
	// MaxTargets is how many targets one node takes.
	MaxTargets = 256
	// maxWithdrawn is how many instances are kept that said that they are gone:
	// some starts of each target within MaxTTL.
	maxWithdrawn = 4 * MaxTargets
	sweepEvery   = 100 * time.Millisecond
)

// Announcement is what a target says of itself.
type Announcement struct {
	// Service is the service's name, Address the target's IP and port.
	Service, Address string
	// Slots is how many calls the target runs at once, 0 for the service's.
	Slots int
	State messenger.State
	// TTL is how long the announcement holds.
	TTL time.Duration
	// Epoch is the Unix millisecond of the target's start; another one means
	// that the target was replaced.
	Epoch uint64
	// Instance is the target's name for its process, if it has one. With it,
	// Epoch and Sequence order announcements: an earlier one is ignored.
	Instance string
	Sequence uint64
}

type record struct {
	target messenger.Target
	said   uint64 // the target's own epoch
	// sequence is that of the latest announcement.
	sequence uint64
	until    time.Time
}

// same tells that an announcement is of the process that the record is of. One
// that was only found beside the node has not told its epoch yet.
func (r record) same(a Announcement) bool {
	found := r.said == 0 && a.Instance != ""
	return r.target.Instance == a.Instance && (r.said == a.Epoch || found)
}

// Registrar keeps one VM's targets. Set the fields before the first call.
type Registrar struct {
	// Node and Centre name this node and its data centre.
	Node, Centre string
	// IP is the VM's address; targets elsewhere are refused.
	IP string
	// Expected is the service that runs on this VM, if it is known: its target
	// may announce itself before there is a configuration.
	Expected string
	// Service returns a service of the configuration, or nil.
	Service func(name string) *declarer.Service
	// Judge fills in trust, limit and score of a target, from its outcomes.
	Judge func(t messenger.Target) messenger.Target
	// Changed is called with all targets after each change.
	Changed func(ts []messenger.Target)
	// Tracer takes events; nil drops them.
	Tracer *tracer.Tracer

	mu      sync.Mutex
	records map[string]record
	// withdrawn are the instances that said that they are gone, until their
	// late announcements can no longer come.
	withdrawn map[string]withdrawal
	epoch     uint64
}

// Announce takes or renews an announcement. Errors are *coder.Error.
func (r *Registrar) Announce(a Announcement) error {
	s, err := r.check(a)
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
	old, known := r.records[name]
	if r.outdated(old, known, a) {
		r.mu.Unlock()
		r.Tracer.Add(tracer.Event{Kind: "announcement-outdated", Target: name, Detail: a.Instance})
		return nil
	}
	if !known && len(r.records) >= MaxTargets {
		r.mu.Unlock()
		return coder.New(coder.BadAnnouncement, "node has %d targets", MaxTargets)
	}
	t := messenger.Target{
		Name: name, Service: a.Service, Address: a.Address, Node: r.Node, Centre: r.Centre,
		Epoch: old.target.Epoch, Instance: a.Instance, Slots: slots, State: a.State,
	}
	if !known || !old.same(a) {
		t.Epoch = r.nextEpoch()
	}
	t = r.Judge(t)
	changed := !known || old.target != t
	r.put(name, record{target: t, said: a.Epoch, sequence: a.Sequence, until: time.Now().Add(a.TTL)})
	r.mu.Unlock()
	if changed {
		r.Tracer.Add(tracer.Event{Kind: "target-announced", Target: name, Detail: t.State.String()})
		r.publish()
	}
	return nil
}

// outdated tells an announcement that was overtaken by a later one, or by its
// target's own word that it is gone. The caller holds the lock.
func (r *Registrar) outdated(old record, known bool, a Announcement) bool {
	if a.Instance == "" {
		return false
	}
	if w, gone := r.withdrawn[a.Instance]; gone && a.Epoch <= w.epoch {
		return true
	}
	if !known || old.target.Instance == "" {
		return false
	}
	if a.Epoch != old.said {
		return a.Epoch < old.said
	}
	return a.Instance == old.target.Instance && a.Sequence < old.sequence
}

// withdrawal holds for the processes of an instance up to an epoch.
type withdrawal struct {
	epoch uint64
	until time.Time
}

// withdraw keeps that an instance is gone. One whose epoch is not known, since
// it was only found or this process has just started, has begun before now: it
// runs on this VM, by the same clock. The caller holds the lock.
func (r *Registrar) withdraw(instance string, said uint64, now time.Time) {
	if said == 0 {
		said = uint64(now.UnixMilli())
	}
	if r.withdrawn == nil {
		r.withdrawn = map[string]withdrawal{}
	}
	if _, ok := r.withdrawn[instance]; !ok && len(r.withdrawn) >= maxWithdrawn {
		return
	}
	r.withdrawn[instance] = withdrawal{max(said, r.withdrawn[instance].epoch), now.Add(MaxTTL)}
}

func (r *Registrar) put(name string, rec record) {
	if r.records == nil {
		r.records = map[string]record{}
	}
	r.records[name] = rec
}

// nextEpoch returns an epoch above all earlier ones, also of earlier processes
// of this node. The caller holds the lock.
func (r *Registrar) nextEpoch() uint64 {
	r.epoch = max(r.epoch+1, uint64(time.Now().UnixNano()))
	return r.epoch
}

func (r *Registrar) check(a Announcement) (*declarer.Service, error) {
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
	if a.Slots < 0 {
		return nil, coder.New(coder.BadAnnouncement, "slots %d", a.Slots)
	}
	s := r.Service(a.Service)
	if s == nil && a.Service != r.Expected {
		return nil, coder.New(coder.UnknownService, "%.60q", a.Service).WithAfter(time.Second)
	}
	return s, nil
}

// Withdraw removes a target that says it is gone. It reports whether there was
// one.
func (r *Registrar) Withdraw(service, address string) bool {
	name := service + "@" + address
	r.mu.Lock()
	_, known := r.records[name]
	delete(r.records, name)
	r.mu.Unlock()
	if known {
		r.Tracer.Add(tracer.Event{Kind: "target-withdrawn", Target: name})
		r.publish()
	}
	return known
}

// WithdrawInstance removes the target of a process that says it is gone. It
// reports whether there was one.
func (r *Registrar) WithdrawInstance(instance string) bool {
	now := time.Now()
	r.mu.Lock()
	var gone []string
	said := uint64(0)
	for name, rec := range r.records {
		if rec.target.Instance != instance {
			continue
		}
		delete(r.records, name)
		gone = append(gone, name)
		said = max(said, rec.said)
	}
	r.withdraw(instance, said, now)
	r.mu.Unlock()
	for _, name := range gone {
		r.Tracer.Add(tracer.Event{Kind: "target-withdrawn", Target: name, Detail: instance})
	}
	if len(gone) > 0 {
		r.publish()
	}
	return len(gone) > 0
}

// Lookup returns a target by name, unless its announcement has lapsed: after a
// pause of the process nobody has removed it yet.
func (r *Registrar) Lookup(name string) (messenger.Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records[name]
	if !ok || time.Now().After(rec.until) {
		return messenger.Target{}, false
	}
	return rec.target, true
}

// Targets returns all targets in the order of their names.
func (r *Registrar) Targets() []messenger.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]messenger.Target, 0, len(r.records))
	for _, rec := range r.records {
		out = append(out, rec.target)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Rejudge asks for each target's judgement again and publishes changes.
func (r *Registrar) Rejudge() {
	changed := false
	r.mu.Lock()
	for name, rec := range r.records {
		t := r.Judge(rec.target)
		changed = changed || t != rec.target
		rec.target = t
		r.records[name] = rec
	}
	r.mu.Unlock()
	if changed {
		r.publish()
	}
}

func (r *Registrar) publish() { r.Changed(r.Targets()) }

// Run removes targets that stopped announcing, until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepEvery)
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
	var gone []string
	r.mu.Lock()
	for name, rec := range r.records {
		if now.After(rec.until) {
			delete(r.records, name)
			gone = append(gone, name)
		}
	}
	for instance, w := range r.withdrawn {
		if now.After(w.until) {
			delete(r.withdrawn, instance)
		}
	}
	r.mu.Unlock()
	for _, name := range gone {
		r.Tracer.Add(tracer.Event{Kind: "target-lapsed", Target: name})
	}
	if len(gone) > 0 {
		r.publish()
	}
}
