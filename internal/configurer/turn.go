package configurer

import (
	"context"
	"time"
)

const (
	// turnDuration is how long a node reads from the source after a reader whose
	// source fails has asked it to. A reader asks again with each failure, at least
	// every three seconds.
	turnDuration = 6 * time.Second
	// failureMemory is how long after a failure of its source a node does not take
	// a turn.
	failureMemory = 4 * time.Second
	// maxAsked is how many nodes a reader asks after a failure until one takes its
	// turn, and handOnInterval how long it waits until it asks others than the
	// last one that did. So the calls to a source that is down for all at most
	// double.
	maxAsked       = 3
	handOnInterval = 3 * time.Second
)

// turn is what a node knows of reading from the source in place of another.
type turn struct {
	// until is when the turn of this node ends.
	until time.Time
	// failedAt is when the source last failed this node.
	failedAt time.Time
	// taker is the node that took the turn of this one, which is a reader, and
	// handedOnAt is when others were last asked.
	taker      string
	handedOnAt time.Time
	// asking is set while this node asks others to take its turn.
	asking bool
	wake   chan struct{}
}

// takeTurn makes this node read from the source for a while, and reports whether
// it does so in place of another. The caller holds the lock.
func (c *Configurer) takeTurn() bool {
	now := time.Now()
	if c.DeclarationSource == nil || c.SourceReader == nil || c.SourceReader() || now.Sub(c.turn.failedAt) < failureMemory {
		return false
	}
	c.turn.until = now.Add(turnDuration)
	select {
	case c.turn.wake <- struct{}{}:
	default:
	}
	return true
}

// hasTurn reports whether this node reads in place of another.
func (c *Configurer) hasTurn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.turn.until)
}

// noteSource records how a call to the source ended. After a failure a reader hands
// its turn on, and a node that took one drops it: its reader asks another.
func (c *Configurer) noteSource(ctx context.Context, err error) {
	if c.SourceReader == nil || ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.turn.failedAt = time.Time{}
		return
	}
	c.turn.failedAt, c.turn.until = time.Now(), time.Time{}
	if !c.turn.asking {
		c.turn.asking = true
		go c.handOn(ctx)
	}
}

// handOn asks the last taker, or else random nodes, to take the turn of this node
// if it is a reader.
func (c *Configurer) handOn(ctx context.Context) {
	c.mu.Lock()
	taker, handedOnAt := c.turn.taker, c.turn.handedOnAt
	c.mu.Unlock()
	if !c.SourceReader() || !c.askToRead(ctx, taker) {
		taker = ""
	}
	if now := time.Now(); taker == "" && c.SourceReader() && now.Sub(handedOnAt) >= handOnInterval {
		handedOnAt = now
		for _, node := range appendRandom(nil, c.Peers(), maxAsked) {
			if c.askToRead(ctx, node) {
				taker = node
				break
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn.asking, c.turn.taker, c.turn.handedOnAt = false, taker, handedOnAt
}

// askToRead asks a node to read in place of this one and reports whether it does.
func (c *Configurer) askToRead(ctx context.Context, node string) bool {
	if node == "" {
		return false
	}
	r, err := c.query(ctx, node, &Query{Read: true})
	return err == nil && r.Reads
}
