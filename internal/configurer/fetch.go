package configurer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// describe describes a head in events.
func (c *Configurer) describe(h Head, overflow uint64) string {
	if c.DeclarationSource != nil {
		return fmt.Sprintf("%v, change %q", position{h.Number, overflow}, h.Identity)
	}
	return describe(h)
}

func describe(h Head) string { return fmt.Sprintf("number %d, change %q", h.Number, h.Identity) }

// errPartMissing is returned when no queried node has a part and the store may
// not be read.
var errPartMissing = errors.New("configurer: no queried node has a required part")

// catchUp tries once to install a later configuration and reports whether it
// did.
func (c *Configurer) catchUp(ctx context.Context, behindSince time.Time) bool {
	c.mu.Lock()
	storeHead, inForce := c.storeHead, c.position()
	c.mu.Unlock()
	if storeHead.Number > inForce.number && c.isWatcher() && c.mayReadStore() && c.fetchAndInstall(ctx, peerHead{Head: storeHead}, true) {
		return true
	}
	if h := c.queryHeads(ctx); h.position().after(inForce) && c.fetchAndInstall(ctx, h, false) {
		return true
	}
	if c.DeclarationSource != nil || time.Since(behindSince) < storeFallbackDelay || !c.drawsFallback() || !c.mayReadStore() {
		return false
	}
	return c.installFromStore(ctx, inForce.number)
}

// drawsFallback reports, at random, whether this node reads from the store in this
// round: of the nodes that know each other, one does in about storeFallbackInterval.
// The others are behind for the same reason, and get what it reads.
func (c *Configurer) drawsFallback() bool {
	rounds := float64(storeFallbackInterval) / float64(catchUpInterval)
	return rand.Float64()*rounds*float64(len(c.Peers())+1) < 1
}

// isWatcher reports whether this node is one of the few that read from the store
// first. Without Watching every node is.
func (c *Configurer) isWatcher() bool { return c.Watching == nil || c.Watching() }

// mayReadStore reports whether parts may be read from the store. A node that
// expects peers first waits for them to be discovered, so that in a fleet that
// starts all at once not every node reads the configuration from the store.
func (c *Configurer) mayReadStore() bool {
	return !c.ExpectPeers || len(c.Peers()) > 0 || time.Since(c.started) > peerDiscoveryWait
}

// installFromStore installs the configuration in the store if its number is
// higher than number.
func (c *Configurer) installFromStore(ctx context.Context, number uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	h, _, err := readHead(ctx, c.Store)
	return err == nil && h.Number > number && c.fetchAndInstall(ctx, peerHead{Head: h}, true)
}

// randomPeers returns up to n random peers, near ones first. One in n, at least,
// is drawn from all peers, so that data centres do not go on with what only they
// believe.
func (c *Configurer) randomPeers(n int) []string {
	var out []string
	if c.NearPeers != nil {
		out = appendRandom(out, c.NearPeers(), n-1)
	}
	return appendRandom(out, c.Peers(), n)
}

// appendRandom appends random names that out does not have until it has n.
func appendRandom(out, names []string, n int) []string {
	for _, i := range rand.Perm(len(names)) {
		if len(out) >= n {
			break
		}
		if !slices.Contains(out, names[i]) {
			out = append(out, names[i])
		}
	}
	return out
}

func (c *Configurer) query(ctx context.Context, node string, q *Query) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return c.SendQuery(ctx, node, q)
}

// peerHead is a head that a node has, which is empty for the store.
type peerHead struct {
	Head
	overflow uint64
	node     string
}

func (h peerHead) position() position { return position{h.Number, h.overflow} }

// queryHeads queries some nodes and returns the highest head of them. Every head was accepted by the store, so the highest is the latest. A node
// without a configuration needs several replies, as a single one may be
// outdated.
func (c *Configurer) queryHeads(ctx context.Context) (best peerHead) {
	n, minReplies := peersPerRound, 1
	if c.Number() == 0 {
		n, minReplies = bootPeersPerRound, min(minBootReplies, len(c.Peers()))
	}
	c.mu.Lock()
	inForce := c.position()
	c.mu.Unlock()
	var mu sync.Mutex
	var wg sync.WaitGroup
	replies := 0
	for _, name := range c.randomPeers(n) {
		wg.Go(func() {
			r, err := c.query(ctx, name, &Query{})
			if err != nil || r.Head.Number == 0 {
				return
			}
			h := peerHead{r.Head, r.Overflow, name}
			if !c.mayFollow(h.position(), inForce) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies++
			if h.position().after(best.position()) {
				best = h
			}
		})
	}
	wg.Wait()
	if replies < minReplies && c.expectedPosition().after(best.position()) {
		return peerHead{}
	}
	return best
}

// expectedPosition returns the highest known position, or the maximum when none is
// known.
func (c *Configurer) expectedPosition() position {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.highestKnown == (position{}) {
		return position{number: ^uint64(0)}
	}
	return c.highestKnown
}

// fetchAndInstall fetches the manifest and missing parts of a head and puts them
// in force. The node that has the head is queried first.
func (c *Configurer) fetchAndInstall(ctx context.Context, h peerHead, allowStore bool) bool {
	f := &partFetcher{c: c, node: h.node, allowStore: allowStore, fetched: map[Hash]cachedBlob{}}
	f.useOwn(h.Manifest)
	if err := f.fetch(ctx, []Hash{h.Manifest}, false); err != nil {
		return false
	}
	manifestData := f.fetched[h.Manifest].data
	m := &manifest{}
	if decode(manifestData, m) != nil {
		return false
	}
	if err := f.fetch(ctx, c.missingParts(m), true); err != nil {
		return false
	}
	return c.installFollowed(h, manifestData, m, f.fetched)
}

// missingParts returns the parts of a manifest that this node does not have.
func (c *Configurer) missingParts(m *manifest) []Hash {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Hash
	for _, h := range m.hashes() {
		if c.parts[h].part == nil {
			out = append(out, h)
		}
	}
	return out
}

// partFetcher fetches manifests and parts from nodes and the store.
type partFetcher struct {
	c          *Configurer
	node       string
	allowStore bool
	fetched    map[Hash]cachedBlob
	// storeReads counts the reads from the store, manifests included.
	storeReads int
}

// useOwn takes a manifest that this node has: the number of a declaration that
// was written again differs, not its content.
func (f *partFetcher) useOwn(h Hash) {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	if b := f.c.parts[h].data; b != nil {
		f.fetched[h] = cachedBlob{data: b}
	}
}

// fetch gets all manifests or parts with these hashes: from f.node, then from
// random peers, then from the store if that is allowed. If it is and there are at
// most maxUnpacedReads hashes, fetch reads from the store only. isPart is false
// for manifests.
func (f *partFetcher) fetch(ctx context.Context, hashes []Hash, isPart bool) error {
	if f.countMissing(hashes) == 0 {
		return nil
	}
	var nodes []string
	if !f.allowStore || len(hashes) > maxUnpacedReads {
		nodes = append([]string{f.node}, f.c.randomPeers(peersPerRound)...)
	}
	for _, node := range nodes {
		for node != "" && f.countMissing(hashes) > 0 {
			if f.fetchFromNode(ctx, node, hashes, isPart) == 0 {
				break
			}
		}
	}
	for _, h := range hashes {
		if _, ok := f.fetched[h]; ok {
			continue
		}
		if !f.allowStore {
			return errPartMissing
		}
		if err := f.fetchFromStore(ctx, h, isPart); err != nil {
			return err
		}
	}
	return nil
}

func (f *partFetcher) countMissing(hashes []Hash) int {
	n := 0
	for _, h := range hashes {
		if _, ok := f.fetched[h]; !ok {
			n++
		}
	}
	return n
}

// fetchFromNode queries one node and returns how many parts it added.
func (f *partFetcher) fetchFromNode(ctx context.Context, node string, hashes []Hash, isPart bool) int {
	q := &Query{}
	requested := map[Hash]bool{}
	for _, h := range hashes {
		if _, ok := f.fetched[h]; !ok && len(q.Parts) < maxQueryParts {
			q.Parts, requested[h] = append(q.Parts, h), true
		}
	}
	r, err := f.c.query(ctx, node, q)
	if err != nil {
		return 0
	}
	n := 0
	for _, b := range r.Parts {
		if h := hashOf(b); requested[h] && f.add(h, b, isPart) == nil {
			n++
		}
	}
	return n
}

// fetchFromStore reads one part, paced after the first maxUnpacedReads.
func (f *partFetcher) fetchFromStore(ctx context.Context, h Hash, isPart bool) error {
	if f.storeReads++; f.storeReads > maxUnpacedReads {
		time.Sleep(pacedReadDelay)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	b, err := readPart(ctx, f.c.Store, h)
	if err != nil {
		return err
	}
	return f.add(h, b, isPart)
}

func (f *partFetcher) add(h Hash, b []byte, isPart bool) error {
	blob := cachedBlob{data: b}
	if isPart {
		blob.part = &part{}
		if err := decode(b, blob.part); err != nil {
			return err
		}
	}
	f.fetched[h] = blob
	return nil
}
