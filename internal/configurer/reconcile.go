package configurer

import (
	"fmt"

	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// declaration is a declaration to install, with its position and the identity of
// its last change.
type declaration struct {
	Fleet    declarer.Fleet
	Position position
	Identity string
	// Renumber puts the declaration in force also where only its position is new.
	Renumber bool
}

// installDeclared splits a declaration into parts, which other nodes can fetch,
// and puts it in force unless that changes nothing. The caller holds
// c.installing.
func (c *Configurer) installDeclared(d declaration) error {
	c.mu.Lock()
	inForce, validAt := c.position(), c.validAt
	c.mu.Unlock()
	if !d.Position.after(inForce) || validAt.decode().readLater(d.Position.decode()) {
		if inForce != d.Position {
			c.Tracer.Add(tracer.Event{Kind: "configuration-ignored", Detail: fmt.Sprintf("%v, in force is %v, read at %v", d.Position, inForce, validAt)})
		}
		return nil
	}
	refs, data, err := splitFleet(d.Fleet)
	if err != nil {
		return err
	}
	m := &manifest{Parts: refs}
	manifestData := encode(m)
	h := Head{Number: d.Position.number, Identity: d.Identity, Manifest: hashOf(manifestData)}
	if inForce := c.Head(); h.Manifest == inForce.Manifest && !d.Renumber && !addsTrust(inForce.Number, h.Number) {
		c.keepValidAt(d.Position)
		return nil
	}
	fetched := make(map[Hash]cachedBlob, len(data))
	f := &partFetcher{c: c, fetched: fetched}
	for hash, b := range data {
		if err := f.add(hash, b, true); err != nil {
			return err
		}
	}
	c.install(h, d.Position.overflow, manifestData, m, fetched)
	return nil
}

// keepValidAt records that the source still held what is in force at p.
func (c *Configurer) keepValidAt(p position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.decode().readLater(c.validAt.decode()) {
		c.validAt = p
	}
}

// installFollowed puts the configuration of another node in force. If this node
// has a later reading of the same era, it keeps that and only takes over what the
// other node knew before.
func (c *Configurer) installFollowed(h peerHead, manifestData []byte, m *manifest, fetched map[Hash]cachedBlob) bool {
	c.installing.Lock()
	defer c.installing.Unlock()
	if d := c.reconcile(h, m, fetched); d != nil {
		return c.installDeclared(*d) == nil
	}
	return c.install(h.Head, h.overflow, manifestData, m, fetched)
}

// reconcile returns what to install in place of the configuration of another node,
// or nil if that is to be installed as it is. A source that another node knows to
// have settled by an earlier revision has settled; the orders that another node
// kept from before a restoration are kept.
func (c *Configurer) reconcile(h peerHead, m *manifest, fetched map[Hash]cachedBlob) *declaration {
	c.mu.Lock()
	defer c.mu.Unlock()
	own, next := c.validAt.decode(), h.position().decode()
	if c.DeclarationSource == nil || h.Manifest == c.head.Manifest || !own.readLater(next) {
		return nil
	}
	d := &declaration{Fleet: c.index.Load().Fleet(), Identity: c.head.Identity, Renumber: true}
	if next.trust == trustMerged && own.trust == trustUnknown {
		followed := joinFleet(m, c.collectParts(m, fetched))
		d.Fleet.Centres = keepOrders(d.Fleet.Centres, evacuatedCentres(followed.Centres))
	}
	own.trust = max(own.trust, next.trust)
	d.Position = own.position()
	return d
}

// mayFollow reports whether a node on which inForce is in force may put a position
// of another node in force, or wait for it. What a node has read that knew nothing
// from before a restoration waits until the source has settled. Orders that were
// merged wait for a reading of the settled source that is as late, since only a
// reader knows which of them to drop.
func (c *Configurer) mayFollow(p, inForce position) bool {
	if c.DeclarationSource == nil || inForce.number == 0 {
		return true
	}
	next, own := p.decode(), inForce.decode()
	if next.trust == trustUnknown && next.laterEra(own) {
		return false
	}
	return own.trust != trustMerged || next.trust != trustSettled || !own.readLater(next)
}

// addsTrust reports whether a number must be in force although it changes
// nothing, so that what a node reads that knows less does not replace it.
func addsTrust(inForce, next uint64) bool {
	before, after := decodeSourceNumber(inForce), decodeSourceNumber(next)
	return before.version != after.version || before.era != after.era || before.trust == trustUnknown && after.trust != trustUnknown
}
