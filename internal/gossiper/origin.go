package gossiper

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// item is one target of an origin, or the tombstone of a removed one.
type item struct {
	target messenger.Target
	// sequence is the origin's sequence at the last change of the target.
	sequence  uint64
	removed   bool
	removedAt time.Time
}

// origin is the known state of the targets of one node.
type origin struct {
	version Version
	// minSince is the lowest sequence that a delta can start from; tombstones of
	// earlier removals have been dropped.
	minSince uint64
	items    map[string]*item
	// downSince is when the process was first found not to be running, or
	// replaced; zero while it runs.
	downSince time.Time
}

func newOrigin(v Version) *origin {
	return &origin{version: v, items: map[string]*item{}}
}

// hash returns the contribution of an origin at this version to its bucket's
// digest, which is the XOR over all origins.
func (v Version) hash() uint64 {
	return xxhash.Sum64String(v.Origin) ^ (v.Epoch*31+v.Sequence)*0x9e3779b97f4a7c15
}

func bucketOf(origin string) int { return int(xxhash.Sum64String(origin) % digestBuckets) }

// deltaSince returns the changes after the version that another node has, or the
// whole state if the tombstones no longer reach back to it.
func (o *origin) deltaSince(have Version) Delta {
	d := Delta{Version: o.version}
	if have.Epoch == o.version.Epoch && have.Sequence >= o.minSince {
		d.Since = have.Sequence
	}
	for name, it := range o.items {
		switch {
		case it.removed && d.Since > 0 && it.sequence > d.Since:
			d.Removed = append(d.Removed, name)
		case !it.removed && it.sequence > d.Since:
			d.Targets = append(d.Targets, it.target)
		}
	}
	return d
}

// apply brings the origin to the delta's version and returns the services that
// changed. It does nothing and returns false if the delta is not newer or starts
// after the origin's version. Targets of other nodes are ignored, since only the
// origin may write its targets.
func (o *origin) apply(d Delta, now time.Time) (services []string, ok bool) {
	fits := d.Since == 0 || d.Version.Epoch == o.version.Epoch && d.Since <= o.version.Sequence
	if !fits || !d.Version.newer(o.version) {
		return nil, false
	}
	if d.Since == 0 {
		for _, it := range o.items {
			services = append(services, it.target.Service)
		}
		o.items = map[string]*item{}
		o.minSince = d.Version.Sequence
	}
	o.version = d.Version
	for _, t := range d.Targets {
		if t.Node != o.version.Origin {
			continue
		}
		if old := o.items[t.Name]; old != nil {
			services = append(services, old.target.Service)
		}
		o.items[t.Name] = &item{target: t, sequence: d.Version.Sequence}
		services = append(services, t.Service)
	}
	for _, name := range d.Removed {
		if it := o.items[name]; it != nil {
			services = append(services, it.target.Service)
			it.removed, it.removedAt, it.sequence = true, now, d.Version.Sequence
		}
	}
	return services, true
}

// dropTombstones drops tombstones older than tombstoneRetention. A node with an
// earlier version then gets the whole state.
func (o *origin) dropTombstones(now time.Time) {
	for name, it := range o.items {
		if it.removed && now.Sub(it.removedAt) > tombstoneRetention {
			o.minSince = max(o.minSince, it.sequence)
			delete(o.items, name)
		}
	}
}
