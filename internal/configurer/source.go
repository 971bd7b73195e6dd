package configurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

const (
	// minSourceRetryDelay is the mean delay after the first failure of the
	// source. It doubles up to maxSourceRetryDelay, which bounds how long a change
	// is delayed on a node that does not get it from its peers, or up to
	// maxJoinedRetryDelay on one that has peers.
	minSourceRetryDelay = 250 * time.Millisecond
	maxSourceRetryDelay = time.Second
	maxJoinedRetryDelay = 2 * time.Second
	// readerCheckInterval is the mean interval at which a node that does not read
	// from the source checks whether it should.
	readerCheckInterval = 500 * time.Millisecond
	// settleTime is how long after a restoration the operators may take to write
	// again what the source has lost.
	settleTime = 5 * time.Second
)

// Observation is what a source held when a node read it.
type Observation struct {
	// Fleet is the declaration, with the data centres that are to be emptied.
	// Without a declaration it has only the data centres.
	Fleet declarer.Fleet
	// Version orders the operators' declarations; a later one has a higher
	// version, of at most 32 bits. 0 means that the source has no declaration.
	Version uint64
	// Identity names the declaration in events.
	Identity string
	// Era rises each time the source is restored from an older copy. Revision is
	// the source's revision at the last change that the node has seen, and
	// DeclaredAt that at which the declaration was written; both are comparable
	// within an era only.
	Era, Revision, DeclaredAt uint64
}

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
	// kept holds the data centres that were to be emptied before the restoration
	// and whose order the operators have not taken back since.
	kept map[string]bool
}

// followSource installs what the source declares until ctx ends. Nodes that do
// not read from the source, or whose source fails, get changes from their peers.
func (c *Configurer) followSource(ctx context.Context) {
	failing, delay := false, minSourceRetryDelay
	r := &sourceReader{c: c}
	for ctx.Err() == nil {
		if c.Number() > 0 && !c.isSourceReader(ctx) {
			continue
		}
		o, err := r.next(ctx)
		if err == nil && o != nil {
			err = r.install(o)
		}
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			c.Tracer.Add(sourceEvent(c.Number(), err))
		}
		if err == nil {
			delay = minSourceRetryDelay
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay/2 + rand.N(delay)):
		}
		delay = min(2*delay, c.maxRetryDelay())
	}
}

// next waits for an observation. While orders from before a restoration are kept,
// it returns the last one again when the operators' time to renew them is over.
func (r *sourceReader) next(ctx context.Context) (*Observation, error) {
	if len(r.kept) == 0 {
		return r.c.DeclarationSource(ctx)
	}
	waitCtx, cancel := context.WithDeadline(ctx, r.eraBegan.Add(settleTime))
	defer cancel()
	o, err := r.c.DeclarationSource(waitCtx)
	switch {
	case o == nil && waitCtx.Err() != nil && ctx.Err() == nil:
		return r.last, nil
	case err != nil:
		r.eraBegan = time.Now() // operators may not reach the source either
	}
	return o, err
}

// install puts what the node has observed in force, unless a later declaration is.
func (r *sourceReader) install(o *Observation) error {
	if o.Version > maxSourceVersion {
		return coder.New(coder.BadDeclaration, "version %d of the declaration is above %d", o.Version, uint64(maxSourceVersion))
	}
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
	d.Fleet.Centres = r.keepOrders(d.Fleet.Centres)
	d.Number = n.encode()
	return r.c.installDeclared(d)
}

// note records an observation: a new era, and orders taken back since the last
// observation of the same era.
func (r *sourceReader) note(o *Observation, inForce sourceNumber) {
	if r.last == nil || o.Era != r.last.Era {
		r.eraBegan, r.merges, r.kept = time.Now(), false, nil
	} else if len(r.kept) > 0 {
		for _, centre := range r.last.Fleet.Centres {
			if centre.Out && !isOut(o.Fleet.Centres, centre.Name) {
				delete(r.kept, centre.Name)
			}
		}
	}
	r.last = o
	index := r.c.Index()
	if index == nil || r.merges || r.settled() || inForce.sameEra(o.Era) && inForce.trust != trustMerged {
		if r.settled() {
			r.kept = nil
		}
		return
	}
	// What is in force is from before the restoration, or was merged with it by
	// another node.
	r.merges, r.kept = true, map[string]bool{}
	for _, centre := range index.Fleet().Centres {
		if centre.Out {
			r.kept[centre.Name] = true
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

// keepOrders returns data centres of which the kept ones are to be emptied too.
func (r *sourceReader) keepOrders(centres []declarer.Centre) []declarer.Centre {
	out := slices.Clone(centres)
	for i := range out {
		out[i].Out = out[i].Out || r.kept[out[i].Name]
	}
	return out
}

// maxRetryDelay returns the longest mean delay after a failure of the source.
func (c *Configurer) maxRetryDelay() time.Duration {
	if len(c.Peers()) > 0 {
		return maxJoinedRetryDelay
	}
	return maxSourceRetryDelay
}

// isSourceReader reports whether this node reads from the source. If it does not,
// or has just started and does not know its peers yet, it first waits.
func (c *Configurer) isSourceReader(ctx context.Context) bool {
	if c.SourceReader == nil {
		return true
	}
	if c.SourceReader() && time.Since(c.started) > readerCheckInterval {
		return true
	}
	select {
	case <-ctx.Done():
	case <-time.After(readerCheckInterval/2 + rand.N(readerCheckInterval)):
	}
	return false
}

// sourceEvent returns the event for a source that was lost (err is not nil) or is
// back.
func sourceEvent(number uint64, err error) tracer.Event {
	inForce := decodeSourceNumber(number)
	if err != nil {
		return tracer.Event{Kind: "source-lost", Detail: fmt.Sprintf("%v stays in force: %v", inForce, err)}
	}
	return tracer.Event{Kind: "source-back", Detail: fmt.Sprintf("%v is in force", inForce)}
}

// declaration is a declaration to install, with its number and the identity of
// its last change.
type declaration struct {
	Fleet    declarer.Fleet
	Number   uint64
	Identity string
}

// installDeclared splits a declaration into parts, which other nodes can fetch,
// and puts it in force unless that changes nothing.
func (c *Configurer) installDeclared(d declaration) error {
	if inForce := c.Number(); d.Number <= inForce {
		if d.Number < inForce {
			c.Tracer.Add(tracer.Event{Kind: "configuration-ignored", Detail: fmt.Sprintf("%v, in force is %v", decodeSourceNumber(d.Number), decodeSourceNumber(inForce))})
		}
		return nil
	}
	refs, data, err := splitFleet(d.Fleet)
	if err != nil {
		return err
	}
	m := &manifest{Parts: refs}
	manifestData := encode(m)
	h := Head{Number: d.Number, Identity: d.Identity, Manifest: hashOf(manifestData)}
	if inForce := c.Head(); h.Manifest == inForce.Manifest && !addsTrust(inForce.Number, h.Number) {
		return nil
	}
	fetched := make(map[Hash]cachedBlob, len(data))
	f := &partFetcher{c: c, fetched: fetched}
	for hash, b := range data {
		if err := f.add(hash, b, true); err != nil {
			return err
		}
	}
	c.install(h, manifestData, m, fetched)
	return nil
}

// mayFollow reports whether a node may put a number of another node in force, or
// wait for it. What a node has read that knew nothing from before a restoration
// waits until the source has settled.
func (c *Configurer) mayFollow(number uint64) bool {
	inForce := c.Number()
	if c.DeclarationSource == nil || inForce == 0 {
		return true
	}
	n := decodeSourceNumber(number)
	return n.trust != trustUnknown || !n.laterEra(decodeSourceNumber(inForce))
}

// addsTrust reports whether a number must be in force although it changes
// nothing, so that what a node reads that knows less does not replace it.
func addsTrust(inForce, next uint64) bool {
	before, after := decodeSourceNumber(inForce), decodeSourceNumber(next)
	return before.version != after.version || before.era != after.era || before.trust == trustUnknown && after.trust == trustMerged
}
