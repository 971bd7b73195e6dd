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

// followSource installs what the source declares until ctx ends. Nodes that do
// not read from the source, or whose source fails, get changes from their peers. A
// reader whose source fails asks another node to read in its place.
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
		c.noteSource(ctx, err)
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
	if (c.SourceReader() || c.hasTurn()) && time.Since(c.started) > readerCheckInterval {
		return true
	}
	select {
	case <-ctx.Done():
	case <-c.turn.wake:
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
