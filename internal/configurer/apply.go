package configurer

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

const (
	// maxRecentChanges bounds the changes that a manifest lists, in which a
	// retried Apply looks for its own.
	maxRecentChanges = 32
	// droppedPartRetention is the number of changes for which an unused part
	// stays in the store.
	droppedPartRetention = 16
	// applyRetryDelay is the pause of Apply after a store call that failed.
	applyRetryDelay = 100 * time.Millisecond
)

// StoredHead returns the head in the store. Its number is 0 when there is none.
func StoredHead(ctx context.Context, s *storer.Store) (Head, error) {
	h, _, err := readHead(ctx, s)
	return h, err
}

func readHead(ctx context.Context, s *storer.Store) (Head, uint64, error) {
	var h Head
	e, err := s.Get(ctx, HeadKey)
	if err != nil || e.Version == 0 {
		return h, 0, err
	}
	return h, e.Version, decode(e.Value, &h)
}

// readPart reads a manifest or part and checks its hash.
func readPart(ctx context.Context, s *storer.Store, h Hash) ([]byte, error) {
	e, err := s.Get(ctx, h.key())
	if err != nil {
		return nil, err
	}
	if e.Version == 0 || hashOf(e.Value) != h {
		return nil, errors.New("configurer: part " + h.key() + " is missing or damaged")
	}
	return e.Value, nil
}

func readManifest(ctx context.Context, s *storer.Store, h Head) (*manifest, error) {
	m := &manifest{}
	if h.Number == 0 {
		return m, nil
	}
	b, err := readPart(ctx, s, h.Manifest)
	if err != nil {
		return nil, err
	}
	return m, decode(b, m)
}

// Read returns the declaration in the store and its number, or number 0 when
// there is none.
func Read(ctx context.Context, s *storer.Store) (declarer.Fleet, uint64, error) {
	h, _, err := readHead(ctx, s)
	if err != nil || h.Number == 0 {
		return declarer.Fleet{}, 0, err
	}
	m, err := readManifest(ctx, s, h)
	if err != nil {
		return declarer.Fleet{}, 0, err
	}
	parts := map[Hash]cachedBlob{}
	for _, hash := range m.hashes() {
		b, err := readPart(ctx, s, hash)
		if err != nil {
			return declarer.Fleet{}, 0, err
		}
		p := &part{}
		if err := decode(b, p); err != nil {
			return declarer.Fleet{}, 0, err
		}
		parts[hash] = cachedBlob{part: p}
	}
	return joinFleet(m, parts).Sorted(), h.Number, nil
}

// ApplyAbove is like Apply, but the new number is also higher than above.
// Operators use it when the store was rolled back to an older configuration and
// changed before the fleet restored it: above is the number in force on the
// nodes.
func ApplyAbove(ctx context.Context, s *storer.Store, parent, above uint64, f declarer.Fleet, identity string) (uint64, error) {
	return apply(ctx, &pendingChange{store: s, parent: parent, above: above, identity: identity}, f)
}

// Apply replaces configuration parent (0: there is none yet) by f and returns
// the new number. The identity names the change: a retry with the same identity
// recognizes a change whose reply was lost and does not apply it again.
//
// The error is coder.Raced when another change came first, coder.BadDeclaration
// when f breaks a rule, and coder.StoreUnavailable when ctx ended before the
// outcome was known.
func Apply(ctx context.Context, s *storer.Store, parent uint64, f declarer.Fleet, identity string) (uint64, error) {
	return apply(ctx, &pendingChange{store: s, parent: parent, identity: identity}, f)
}

func apply(ctx context.Context, pc *pendingChange, f declarer.Fleet) (uint64, error) {
	if problems := f.Check(); len(problems) > 0 {
		return 0, &declarer.InvalidError{Problems: problems}
	}
	var err error
	if pc.partRefs, pc.partData, err = splitFleet(f); err != nil {
		return 0, err
	}
	for {
		n, done, err := pc.attempt(ctx)
		if done {
			return n, err
		}
		select {
		case <-time.After(applyRetryDelay):
		case <-ctx.Done():
			return 0, coder.New(coder.StoreUnavailable, "outcome of change %q is unknown, apply it again: %v", pc.identity, err)
		}
	}
}

// pendingChange is a change that Apply is writing to the store.
type pendingChange struct {
	store    *storer.Store
	parent   uint64
	above    uint64
	identity string
	partRefs []partRef
	partData map[Hash][]byte
}

// attempt tries once to make the change. done is false while the outcome is
// unknown.
func (pc *pendingChange) attempt(ctx context.Context) (number uint64, done bool, err error) {
	h, version, err := readHead(ctx, pc.store)
	if err != nil {
		return 0, false, err
	}
	m, err := readManifest(ctx, pc.store, h)
	if err != nil {
		return 0, false, err
	}
	if n, ok := m.numberOf(pc.identity); ok {
		return n, true, nil
	}
	if h.Number != pc.parent {
		return 0, true, coder.New(coder.Raced, "change %q is on configuration %d, but %d is in force, made by change %q",
			pc.identity, pc.parent, h.Number, h.Identity)
	}
	next, manifestData, expired := pc.nextHead(h, m)
	if err := pc.writeParts(ctx, m, manifestData); err != nil {
		return 0, false, err
	}
	expiredEntries := pc.readExpired(ctx, expired)
	_, err = pc.store.Swap(ctx, HeadKey, encode(&next), version, "")
	if err != nil {
		return 0, false, err // the next attempt finds out whether the write was made
	}
	for _, e := range expiredEntries {
		_, _ = pc.store.Swap(ctx, e.Key, nil, e.Version, "")
	}
	return next.Number, true, nil
}

// nextHead returns the head and the encoded manifest of the change, and the
// parts to remove from the store.
func (pc *pendingChange) nextHead(h Head, m *manifest) (Head, []byte, []droppedPart) {
	n := max(h.Number, pc.above) + 1
	newManifest := manifest{Parts: pc.partRefs}
	newManifest.Recent = append(slices.Clone(m.Recent), acceptedChange{Number: n, Identity: pc.identity})
	newManifest.Recent = newManifest.Recent[max(0, len(newManifest.Recent)-maxRecentChanges):]
	var expired []droppedPart
	for _, d := range m.Dropped {
		switch {
		case pc.partData[d.Hash] != nil:
		case d.Number+droppedPartRetention <= n:
			expired = append(expired, d)
		default:
			newManifest.Dropped = append(newManifest.Dropped, d)
		}
	}
	for _, p := range m.Parts {
		if pc.partData[p.Hash] == nil {
			newManifest.Dropped = append(newManifest.Dropped, droppedPart{Number: n, Hash: p.Hash})
		}
	}
	if h.Number > 0 {
		newManifest.Dropped = append(newManifest.Dropped, droppedPart{Number: n, Hash: h.Manifest})
	}
	b := encode(&newManifest)
	return Head{Number: n, Parent: h.Number, Identity: pc.identity, Manifest: hashOf(b)}, b, expired
}

// writeParts writes the parts that the parent does not have, then the manifest.
func (pc *pendingChange) writeParts(ctx context.Context, parent *manifest, manifestData []byte) error {
	inParent := map[Hash]bool{}
	for _, h := range parent.hashes() {
		inParent[h] = true
	}
	for _, ref := range pc.partRefs {
		if inParent[ref.Hash] {
			continue
		}
		if err := writePart(ctx, pc.store, pc.partData[ref.Hash]); err != nil {
			return err
		}
	}
	return writePart(ctx, pc.store, manifestData)
}

// writePart writes a part or manifest. An existing one is written again: the
// new version makes a concurrent removal of it as expired fail.
func writePart(ctx context.Context, s *storer.Store, data []byte) error {
	if len(data) > storer.MaxValueBytes {
		return coder.New(coder.BadDeclaration, "the manifest has %d bytes, more than a value in the store may have", len(data))
	}
	h := hashOf(data)
	var version uint64
	existed := false // whether the last try was to overwrite an existing part
	for {
		v, err := s.Swap(ctx, h.key(), data, version, "")
		if err == nil {
			return nil
		}
		if !errors.Is(err, storer.ErrConflict) {
			// The request or the reply was lost. If the part did not seem to
			// exist before the try, what is there now may be an old part about
			// to be removed: write it again.
			e, getErr := s.Get(ctx, h.key())
			if getErr != nil || e.Version == version {
				return err
			}
			if existed {
				return nil
			}
			v = e.Version
		}
		version, existed = v, true
	}
}

// readExpired returns the expired parts that are in the store. It must run before
// the head is swapped: a later change that needs one of them writes it again, so
// that removing the version read here fails.
func (pc *pendingChange) readExpired(ctx context.Context, expired []droppedPart) []storer.Entry {
	var out []storer.Entry
	for _, d := range expired {
		if e, err := pc.store.Get(ctx, d.Hash.key()); err == nil && e.Version != 0 {
			out = append(out, e)
		}
	}
	return out
}
