package configurer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// settleTime is how long after a restoration the operators may take to write again
// what the source has lost.
const settleTime = 5 * time.Second

// sourceReader turns observations of one node into declarations to install.
type sourceReader struct {
	c *Configurer
	// last is the latest observation.
	last *Observation
	// eraBegan is when the node first observed the era of last.
	eraBegan time.Time
	// merges is set while the orders of the era are merged with those from before
	// the restoration.
	merges bool
	// confirmed is set once the source was read after the era had settled.
	confirmed bool
	// kept holds the data centres that were to be emptied before the restoration
	// and whose order the operators have not taken back since.
	kept map[string]bool
}

// next waits for an observation. It returns the last one again when the operators'
// time to write again what a restoration lost is over, if that changes what may be
// made of it.
func (r *sourceReader) next(ctx context.Context) (*Observation, error) {
	if !r.awaitsSettling() {
		return r.c.DeclarationSource(ctx)
	}
	waitCtx, cancel := context.WithDeadline(ctx, r.eraBegan.Add(settleTime))
	defer cancel()
	o, err := r.c.DeclarationSource(waitCtx)
	if o == nil && waitCtx.Err() != nil && ctx.Err() == nil {
		o, err = r.confirm(ctx)
	}
	if err != nil {
		r.eraBegan = time.Now() // operators may not reach the source either
	}
	return o, err
}

// confirm returns what the source holds now that the era has settled, so that
// nothing is made of an observation that a silent connection has kept old.
func (r *sourceReader) confirm(ctx context.Context) (*Observation, error) {
	o, err := r.c.DeclarationSource(ctx)
	if err == nil {
		r.confirmed = true
	}
	if o == nil && err == nil {
		o = r.last
	}
	return o, err
}

// awaitsSettling reports whether orders from before a restoration are kept, here or
// in what is in force, or what is in force may not be followed by nodes that knew
// more before.
func (r *sourceReader) awaitsSettling() bool {
	if r.last == nil || r.confirmed {
		return false
	}
	inForce := decodeSourceNumber(r.c.Number())
	return len(r.kept) > 0 || inForce.sameEra(r.last.Era) && inForce.trust != trustSettled
}

// install puts what the node has observed in force, unless a later declaration is.
func (r *sourceReader) install(o *Observation) error {
	if o.Version > maxSourceVersion {
		return coder.New(coder.BadDeclaration, "version %d of the declaration is above %d", o.Version, uint64(maxSourceVersion))
	}
	r.c.installing.Lock()
	defer r.c.installing.Unlock()
	inForce := decodeSourceNumber(r.c.Number())
	r.note(o, inForce)
	if o.Version == 0 && r.c.Index() == nil {
		return nil
	}
	n := sourceNumber{
		version: o.Version, era: o.Era, trust: r.trust(inForce), stored: true, revision: o.Revision - min(o.Revision, o.DeclaredAt),
	}
	d := declaration{Fleet: o.Fleet, Identity: o.Identity}
	if o.Version < inForce.version {
		// Only a restored source has an older declaration than the fleet.
		r.c.Tracer.Add(tracer.Event{Kind: "source-outdated", Detail: fmt.Sprintf("%v stays in force, the source has version %d, era %d", inForce, o.Version, o.Era)})
		n.version, n.stored, d.Identity = inForce.version, false, r.c.Head().Identity
		d.Fleet = r.c.Index().Fleet()
		d.Fleet.Centres = o.Fleet.Centres
	}
	d.Fleet.Centres = keepOrders(d.Fleet.Centres, r.kept)
	d.Position = n.position()
	return r.c.installDeclared(d)
}

// note records an observation, and which orders of before a restoration are kept.
func (r *sourceReader) note(o *Observation, inForce sourceNumber) {
	if r.last == nil || o.Era != r.last.Era {
		r.eraBegan, r.merges, r.confirmed, r.kept = time.Now(), false, false, nil
	} else {
		r.dropTakenBack(o)
	}
	r.last = o
	switch {
	case r.settled():
		r.kept = nil
	case !r.merges && r.c.Index() != nil && (!inForce.sameEra(o.Era) || inForce.trust == trustMerged):
		// What is in force is from before the restoration, or was merged with it
		// by another node.
		r.merges, r.kept = true, evacuatedCentres(r.c.Index().Fleet().Centres)
	}
}

// dropTakenBack drops the kept orders that the last observation, of the same era,
// had and this one does not have.
func (r *sourceReader) dropTakenBack(o *Observation) {
	for _, centre := range r.last.Fleet.Centres {
		if centre.Out && !isOut(o.Fleet.Centres, centre.Name) {
			delete(r.kept, centre.Name)
		}
	}
}

func (r *sourceReader) settled() bool { return time.Since(r.eraBegan) >= settleTime }

func (r *sourceReader) trust(inForce sourceNumber) trust {
	switch {
	case r.settled(), inForce.sameEra(r.last.Era) && inForce.trust == trustSettled:
		return trustSettled
	case r.merges:
		return trustMerged
	}
	return trustUnknown
}

func isOut(centres []declarer.Centre, name string) bool {
	return slices.ContainsFunc(centres, func(c declarer.Centre) bool { return c.Name == name && c.Out })
}

// evacuatedCentres returns the names of the data centres that are to be emptied.
func evacuatedCentres(centres []declarer.Centre) map[string]bool {
	out := map[string]bool{}
	for _, centre := range centres {
		if centre.Out {
			out[centre.Name] = true
		}
	}
	return out
}

// keepOrders returns data centres of which the kept ones are to be emptied too.
func keepOrders(centres []declarer.Centre, kept map[string]bool) []declarer.Centre {
	out := slices.Clone(centres)
	for i := range out {
		out[i].Out = out[i].Out || kept[out[i].Name]
	}
	return out
}
