package configurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
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
)

// NumberedDeclaration is a declaration with its number and the identity of its
// last change.
type NumberedDeclaration struct {
	Fleet    declarer.Fleet
	Number   uint64
	Identity string
}

// followSource installs each declaration of the source until ctx ends. Nodes
// that do not read from the source, or whose source fails, get changes from their
// peers.
func (c *Configurer) followSource(ctx context.Context) {
	failing, delay := false, minSourceRetryDelay
	for ctx.Err() == nil {
		if c.Number() > 0 && !c.isSourceReader(ctx) {
			continue
		}
		d, err := c.DeclarationSource(ctx, c.Number())
		if err == nil && d.Number > 0 {
			err = c.installDeclared(d)
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
	if err != nil {
		return tracer.Event{Kind: "source-lost", Detail: fmt.Sprintf("configuration %d stays in force: %v", number, err)}
	}
	return tracer.Event{Kind: "source-back", Detail: fmt.Sprintf("configuration %d is in force", number)}
}

// installDeclared splits a declaration into parts, which other nodes can fetch,
// and puts it in force.
func (c *Configurer) installDeclared(d NumberedDeclaration) error {
	refs, data, err := splitFleet(d.Fleet)
	if err != nil {
		return err
	}
	m := &manifest{Parts: refs}
	manifestData := encode(m)
	fetched := make(map[Hash]cachedBlob, len(data))
	f := &partFetcher{c: c, fetched: fetched}
	for h, b := range data {
		if err := f.add(h, b, true); err != nil {
			return err
		}
	}
	c.install(Head{Number: d.Number, Identity: d.Identity, Manifest: hashOf(manifestData)}, manifestData, m, fetched)
	return nil
}
