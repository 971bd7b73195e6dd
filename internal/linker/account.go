package linker

import (
	"context"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/accountant"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	// linksGroup is the group of the account for all links, and linksShare the share
	// of the account that calls may hold in it.
	linksGroup = "links"
	linksShare = 0.5
	// queryCopies is how many copies of a query's payload its handler holds: the
	// payload and what is decoded from it.
	queryCopies = 2
	// roomPollInterval is how often a reply without room looks whether its link has
	// no queued frame.
	roomPollInterval = 20 * time.Millisecond
)

// owner returns the account's group of links.
func (l *Linker) owner() *accountant.Owner { return l.Account.Group(linksGroup, linksShare) }

// reserveFrame reports whether the account has room for a frame. Only calls need
// room: what nodes ask each other besides is small or rare, and the fleet needs it
// most under load.
func (l *Linker) reserveFrame(o outgoingFrame) bool {
	if o.method == MethodCall {
		return l.Account.Reserve(l.owner(), int64(len(o.payload)))
	}
	l.Account.Charge(l.owner(), int64(len(o.payload)))
	return true
}

// awaitRoom reserves a frame of a reply, and waits while the account has no room
// for it. A link without queued frames takes it all the same: nodes whose accounts
// are full of requests that wait for each other's replies would never go on.
func (k *link) awaitRoom(ctx context.Context, o outgoingFrame) error {
	l := k.linker
	for !l.reserveFrame(o) {
		if k.queueEmpty() {
			l.Account.Charge(l.owner(), int64(len(o.payload)))
			return nil
		}
		wait, cancel := context.WithTimeout(ctx, roomPollInterval)
		err := l.Account.Wait(wait, l.owner(), int64(len(o.payload)))
		cancel()
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil:
			return coder.New(coder.Cut, "no room for a reply to %s", k.peer.Node)
		}
	}
	return nil
}

func (k *link) queueEmpty() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.queue) == 0
}

func (l *Linker) releaseFrames(bytes int) { l.Account.Release(l.owner(), int64(bytes)) }

// reserveQuery reports whether the account has room for a query of a peer.
func (l *Linker) reserveQuery(m *open) bool {
	n := int64(queryCopies * len(m.Payload))
	if m.Method == MethodCall {
		return l.Account.Reserve(l.owner(), n)
	}
	l.Account.Charge(l.owner(), n)
	return true
}

func (l *Linker) releaseQuery(m *open) {
	l.Account.Release(l.owner(), int64(queryCopies*len(m.Payload)))
}
