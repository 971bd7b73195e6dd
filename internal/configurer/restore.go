package configurer

import (
	"context"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

// restoreTimeout bounds one try to restore the store.
const restoreTimeout = 30 * time.Second

// restore writes the configuration in force to a store that was rolled back to
// an older one, so that accepted changes are not lost. It does so only when the
// store is empty or its head is an ancestor of the one in force. Any other head
// is a change made on the rolled-back state: then the fleet keeps its
// configuration, and an event reports the divergence to the operators.
func (c *Configurer) restore(ctx context.Context, old Head, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	defer func() {
		c.mu.Lock()
		c.restoring = false
		c.mu.Unlock()
	}()
	c.mu.Lock()
	h, parts := c.head, c.parts
	hashes := append(c.manifest.hashes(), h.Manifest)
	n, recent := c.manifest.numberOf(old.Identity)
	isAncestor := old.Number == 0 || recent && n == old.Number && n < h.Number
	c.mu.Unlock()
	if !isAncestor {
		c.Tracer.Add(tracer.Event{Kind: "configuration-diverged", Detail: "the store has " + describe(old) + ", in force is " + describe(h)})
		time.Sleep(restoreTimeout / 2) // limits repeats of the event until an operator resolves it
		return
	}
	for _, hash := range hashes {
		if err := writePart(ctx, c.Store, parts[hash].data); err != nil {
			return
		}
	}
	if _, err := c.Store.Swap(ctx, HeadKey, encode(&h), version, ""); err == nil {
		c.Tracer.Add(tracer.Event{Kind: "configuration-restored", Detail: "the store had " + describe(old) + ", now has " + describe(h)})
	}
}
