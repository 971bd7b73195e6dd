// Package accountant keeps the account of the bytes that a process holds for its
// clients and for other nodes. What is to be held is reserved first, so that the
// sum stays below a limit whatever clients send.
package accountant

import (
	"context"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	// DefaultMaxWait is the default of Account.MaxWait.
	DefaultMaxWait = 2 * time.Second
	// relieveAfter is how long a reservation waits before Account asks for relief,
	// and between two requests for it.
	relieveAfter = 100 * time.Millisecond
	// smallOwnerBytes is what an owner may hold and still use the part of the limit
	// that is kept from large ones: an ordinary request holds less.
	smallOwnerBytes = 64 << 10
	// reservedDivisor sets that part of the limit.
	reservedDivisor = 8
	retryAfter      = time.Second
)

// Account counts bytes by owner. Set the exported fields before use. A nil Account
// admits everything.
type Account struct {
	// Limit is the highest number of bytes held, 0 for no limit.
	Limit int64
	// MaxWait bounds how long Wait waits. 0 means DefaultMaxWait.
	MaxWait time.Duration

	mu        sync.Mutex
	used      int64
	groups    map[string]*Owner
	waiters   []*waiter
	relievers []func()
}

// Owner is whom bytes are held for: a group of owners, such as a workspace, or a
// connection or request in one. What it holds counts for its parents too.
type Owner struct {
	account *Account
	parent  *Owner
	// name is set in groups.
	name string
	// max bounds held, in bytes; 0 means no bound.
	max, held int64
	members   int
	// closed owners hold nothing more: an attempt that lost may still read a
	// response after its request has ended.
	closed bool
}

// waiter is a reservation that does not fit yet.
type waiter struct {
	owner   *Owner
	bytes   int64
	granted chan struct{}
}

// Group returns the group of a name, which may hold the share of the limit. The
// group of a name is forgotten while it has no members and holds nothing.
func (a *Account) Group(name string, share float64) *Owner {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.group(name, share)
}

func (a *Account) group(name string, share float64) *Owner {
	g := a.groups[name]
	if g == nil {
		g = &Owner{account: a, name: name, max: int64(share * float64(a.Limit))}
		if a.groups == nil {
			a.groups = map[string]*Owner{}
		}
		a.groups[name] = g
	}
	return g
}

// Member returns a new owner in the group of a name. Close ends it.
func (a *Account) Member(group string, share float64) *Owner {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.group(group, share).member()
}

// Member returns a new owner within another one. Close ends it.
func (o *Owner) Member() *Owner {
	if o == nil {
		return nil
	}
	o.account.mu.Lock()
	defer o.account.mu.Unlock()
	return o.member()
}

func (o *Owner) member() *Owner {
	o.members++
	return &Owner{account: o.account, parent: o}
}

// Account returns the account that the owner belongs to.
func (o *Owner) Account() *Account {
	if o == nil {
		return nil
	}
	return o.account
}

// Held returns the number of bytes that the owner holds.
func (o *Owner) Held() int64 {
	if o == nil {
		return 0
	}
	o.account.mu.Lock()
	defer o.account.mu.Unlock()
	return o.held
}

// Move makes the owner a member of the group of a name, which its bytes count for
// from then on, even beyond the group's share.
func (o *Owner) Move(group string, share float64) {
	if o == nil {
		return
	}
	a := o.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.closed {
		return
	}
	to := a.group(group, share)
	for p := o.parent; p != nil; p = p.parent {
		p.held -= o.held
	}
	o.parent.leave()
	to.held += o.held
	to.members++
	o.parent = to
	a.grant()
}

// leave removes a member of the owner. The caller holds the lock.
func (o *Owner) leave() {
	o.members--
	if o.members == 0 && o.held == 0 && o.name != "" {
		delete(o.account.groups, o.name)
	}
}

// Close releases what the owner holds and ends it. It may be called again.
func (o *Owner) Close() {
	if o == nil {
		return
	}
	o.account.mu.Lock()
	defer o.account.mu.Unlock()
	if o.closed {
		return
	}
	o.account.add(o, -o.held)
	o.closed = true
	o.parent.leave()
	o.account.grant()
}

// Used returns the number of bytes held.
func (a *Account) Used() int64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Waiting returns the number of reservations that wait.
func (a *Account) Waiting() int {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiters)
}

// AddReliever adds a function that is called while a reservation waits, to make
// clients release bytes. It must not block.
func (a *Account) AddReliever(relieve func()) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.relievers = append(a.relievers, relieve)
}

// Reserve reports whether n more bytes could be reserved for the owner.
func (a *Account) Reserve(o *Owner, n int64) bool {
	if a == nil || o == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.fits(o, n) {
		return false
	}
	a.add(o, n)
	return true
}

// Charge adds n bytes that are held already, even beyond the limit.
func (a *Account) Charge(o *Owner, n int64) { a.Release(o, -n) }

// Release returns n reserved bytes.
func (a *Account) Release(o *Owner, n int64) {
	if a == nil || o == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(o, -n)
	a.grant()
}

// Wait reserves n bytes once they fit. It returns coder.Overloaded if they do not
// within MaxWait, and coder.Canceled when ctx ends first.
func (a *Account) Wait(ctx context.Context, o *Owner, n int64) error {
	if a == nil || o == nil || a.Reserve(o, n) {
		return nil
	}
	w := &waiter{owner: o, bytes: n, granted: make(chan struct{})}
	a.mu.Lock()
	a.waiters = append(a.waiters, w)
	a.grant()
	a.mu.Unlock()
	maxWait := a.MaxWait
	if maxWait == 0 {
		maxWait = DefaultMaxWait
	}
	ticker := time.NewTicker(relieveAfter)
	defer ticker.Stop()
	for end := time.Now().Add(maxWait); time.Now().Before(end); {
		select {
		case <-w.granted:
			return nil
		case <-ctx.Done():
			return a.giveUp(w, coder.New(coder.Canceled, "%v", ctx.Err()))
		case <-ticker.C:
			a.relieve()
		}
	}
	return a.giveUp(w, Overloaded())
}

// Overloaded returns the refusal of what has no room in the account.
func Overloaded() *coder.Error {
	return coder.New(coder.Overloaded, "memory for clients is used up").WithAfter(retryAfter)
}

// giveUp returns err, or nil if the reservation was granted meanwhile.
func (a *Account) giveUp(w *waiter, err error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, o := range a.waiters {
		if o == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return err
		}
	}
	return nil
}

func (a *Account) relieve() {
	a.mu.Lock()
	relievers := a.relievers
	a.mu.Unlock()
	for _, relieve := range relievers {
		relieve()
	}
}

// fits reports whether an owner may hold n more bytes. The caller holds the lock.
func (a *Account) fits(o *Owner, n int64) bool {
	if a.Limit == 0 || o.closed {
		return true
	}
	if o.held+n <= smallOwnerBytes {
		return a.used+n <= a.Limit
	}
	for p := o; p != nil; p = p.parent {
		if p.max > 0 && p.held+n > p.max {
			return false
		}
	}
	return a.used+n <= a.Limit-a.Limit/reservedDivisor
}

// add changes what an owner and its parents hold. The caller holds the lock.
func (a *Account) add(o *Owner, n int64) {
	if o.closed {
		return
	}
	a.used += n
	for p := o; p != nil; p = p.parent {
		p.held += n
	}
}

// grant grants the reservations that fit now, in the order in which they came. The
// caller holds the lock.
func (a *Account) grant() {
	left := a.waiters[:0]
	for _, w := range a.waiters {
		if !a.fits(w.owner, w.bytes) {
			left = append(left, w)
			continue
		}
		a.add(w.owner, w.bytes)
		close(w.granted)
	}
	clear(a.waiters[len(left):])
	a.waiters = left
}

type contextKey struct{}

// NewContext returns a context that carries an owner.
func NewContext(ctx context.Context, o *Owner) context.Context {
	return context.WithValue(ctx, contextKey{}, o)
}

// FromContext returns the owner that a context carries, or nil.
func FromContext(ctx context.Context) *Owner {
	o, _ := ctx.Value(contextKey{}).(*Owner)
	return o
}
