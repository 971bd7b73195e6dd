package assigner

import (
	"context"
	"fmt"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

// NoteEra records an era of the store. After a restoration from an older copy the
// store may hold an older share assignment, so that it is read at once.
func (a *Assigner) NoteEra(era uint64) {
	for {
		known := a.notedEra.Load()
		if era <= known || a.notedEra.CompareAndSwap(known, era) {
			return
		}
	}
}

// isFromOlderCopy reports whether the store holds an older share assignment than
// this node has or the fleet knew, newest, before the store was read; or one that
// was made of an older one. Only a restored store does. Nothing may be derived from
// that, since other processes hold shares by the later one.
func (a *Assigner) isFromOlderCopy(h head, newest uint64) bool {
	if h.Number < newest {
		return true
	}
	own := a.Assignment()
	if own == nil {
		return false
	}
	return h.Number < own.Number || h.Number == own.Number && a.state.adoptedBody != "" && h.Body != a.state.adoptedBody
}

// awaitsTurn reports whether the store holds an older assignment and other nodes
// are to write the newest one before this node tries. It ends once a newer number
// is known.
func (a *Assigner) awaitsTurn() bool {
	if a.state.outdatedSince.IsZero() {
		return false
	}
	if number, _, ok := a.NewestNumber(); ok && number > a.state.outdatedNumber {
		a.state.outdatedSince = time.Time{}
		return false
	}
	turn := time.Duration(writePosition(a.Members(), a.Self.Name, "restored")) * a.stepInterval()
	return a.now().Sub(a.state.outdatedSince) < turn
}

// writeAgain writes the assignment that the store has lost, with the next number,
// if this node has the newest one. The nodes try one after the other. If no member
// turns out to have it, its holders are gone, and what the store holds takes the
// next number.
func (a *Assigner) writeAgain(ctx context.Context) {
	number, _, _ := a.NewestNumber()
	if own := a.Assignment(); own != nil {
		number = max(number, own.Number)
	}
	if a.state.outdatedSince.IsZero() {
		a.state.outdatedSince, a.state.outdatedNumber = a.now(), number
	}
	if a.awaitsTurn() {
		return
	}
	next := a.Assignment()
	if next == nil || next.Number < number {
		if a.now().Sub(a.state.outdatedSince) < 2*orDefault(a.HolderTimeout, DefaultHolderTimeout) {
			return
		}
		if next = a.stored(ctx); next == nil {
			return
		}
	}
	a.Tracer.Add(tracer.Event{Kind: "shares-restored", Detail: fmt.Sprintf("the store had assignment %d, the newest is %d", a.state.head.Number, number)})
	a.write(ctx, next.withNumber(number+1))
}

// stored returns the assignment that the store holds, a first one if it holds
// none, or nil if it cannot be read.
func (a *Assigner) stored(ctx context.Context) *Assignment {
	if a.state.headVersion == 0 {
		wide, config := a.wideHashes()
		return New(0, Plan(a.Members()), wide, config)
	}
	return a.readBody(ctx, a.state.head)
}
