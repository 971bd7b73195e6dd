// Package drainer takes targets, a data centre or the node itself out of
// service without interrupting a request. All three work the same way: during a
// short notice period peers learn of it and calls that still arrive are served;
// then new calls are refused without being run, and calls in flight are
// finished.
package drainer

import (
	"context"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	// DefaultNotice is how long peers and callers have to learn that something
	// leaves. New calls are refused after it.
	DefaultNotice = 2 * time.Second
	// DefaultFinishTimeout is how long a stopping node waits for calls in
	// flight.
	DefaultFinishTimeout = 30 * time.Second

	observeInterval = 100 * time.Millisecond
	pollInterval    = 20 * time.Millisecond
	// retryAfter is the retry-after of refusals; callers should retry elsewhere.
	retryAfter = time.Second
)

// usage is the state of one target.
type usage struct {
	// inFlight counts the calls that run at the target or wait for it.
	inFlight int
	// leavingSince is when the target began to leave, zero when it is in service.
	leavingSince time.Time
}

// Drainer counts the calls in flight at one node's targets and refuses new calls
// to targets that leave. Set the fields before Run.
type Drainer struct {
	// Notice is how long new calls are still admitted after something began to
	// leave, FinishTimeout how long Finish waits for calls in flight.
	Notice, FinishTimeout time.Duration
	// Keep is for how long the targets of a stopping node stay in use before their
	// notice begins.
	Keep time.Duration
	// Schedule returns, for a node that began to stop at a time, until when it
	// accepts requests that may outlast it, and when it ends. Nil means that it
	// waits for all requests.
	Schedule func(began time.Time) (acceptUntil, end time.Time)
	// Targets returns the targets on this VM.
	Targets func() []messenger.Target
	// CentreOut reports whether the node's data centre is out of service.
	CentreOut func() bool
	// NotifyPeers notifies the peers that this node leaves. It must not block on
	// them.
	NotifyPeers func(ctx context.Context)
	// WithdrawTargets publishes that the targets of this node leave, after Keep.
	WithdrawTargets func()
	// Tracer receives events; nil drops them.
	Tracer *tracer.Tracer

	mu sync.Mutex
	// usages holds the targets that are announced or have calls in flight.
	usages map[string]*usage
	// inFlight is the sum over all usages.
	inFlight int
	// stoppingSince and outSince are when the node began to stop and its data
	// centre went out of service, zero when they did not.
	stoppingSince, outSince time.Time
}

// Enter admits a call to a target, or refuses it before it is run. done must be
// called once when the call has ended.
func (d *Drainer) Enter(target string) (done func(), err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.usageOf(target)
	if err := d.refusal(target, u, time.Now()); err != nil {
		return nil, err
	}
	u.inFlight++
	d.inFlight++
	return func() { d.callEnded(u) }, nil
}

// Check returns why a call to a target that was admitted must not start any more, or
// nil.
func (d *Drainer) Check(target string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refusal(target, d.usageOf(target), time.Now())
}

func (d *Drainer) callEnded(u *usage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u.inFlight--
	d.inFlight--
}

// refusal returns why a target takes no new calls, or nil. The caller holds the
// lock.
func (d *Drainer) refusal(target string, u *usage, now time.Time) error {
	switch {
	case d.noticeOver(d.stoppingSince, now.Add(-d.Keep)):
		return coder.New(coder.NodeLeaving, "").WithAfter(retryAfter)
	case d.noticeOver(d.outSince, now):
		return coder.New(coder.TargetLeaving, "data centre is out").WithAfter(retryAfter)
	case d.noticeOver(u.leavingSince, now):
		return coder.New(coder.TargetLeaving, "%s", target).WithAfter(retryAfter)
	}
	return nil
}

func (d *Drainer) noticeOver(since, now time.Time) bool {
	return !since.IsZero() && now.Sub(since) >= d.Notice
}

// usageOf returns the usage of a target, which it creates if needed. The caller
// holds the lock.
func (d *Drainer) usageOf(target string) *usage {
	if d.usages == nil {
		d.usages = map[string]*usage{}
	}
	u := d.usages[target]
	if u == nil {
		u = &usage{}
		d.usages[target] = u
	}
	return u
}

// InFlight returns how many calls are in flight at a target.
func (d *Drainer) InFlight(target string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u := d.usages[target]; u != nil {
		return u.inFlight
	}
	return 0
}

// Leaving reports whether the node is stopping, in which case its responses ask
// callers to use another node.
func (d *Drainer) Leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.stoppingSince.IsZero()
}

// AdmitRequest admits a caller's request with a deadline, or refuses it before it
// is run, because the node is about to end and the request may outlast it.
func (d *Drainer) AdmitRequest(deadline time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stoppingSince.IsZero() || d.Schedule == nil {
		return nil
	}
	acceptUntil, end := d.Schedule(d.stoppingSince)
	if time.Now().Before(acceptUntil) || !deadline.After(end) {
		return nil
	}
	return coder.New(coder.NodeLeaving, "the request may outlast the node").WithAfter(retryAfter)
}

// TargetsLeave reports whether the targets leave because the node is stopping.
func (d *Drainer) TargetsLeave() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.stoppingSince.IsZero() && time.Since(d.stoppingSince) >= d.Keep
}

// Run tracks which targets leave and whether the data centre is out of service,
// until ctx ends.
func (d *Drainer) Run(ctx context.Context) error {
	tick := time.NewTicker(observeInterval)
	defer tick.Stop()
	for {
		d.observe(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// observe updates when targets and the data centre began to leave, and drops
// targets that are neither announced nor in use. A target with calls that is no longer
// announced leaves too: it has withdrawn.
func (d *Drainer) observe(now time.Time) {
	targets, out := d.Targets(), d.CentreOut()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outSince = updateStart(d.outSince, out, now)
	known := make(map[string]bool, len(targets))
	for _, t := range targets {
		known[t.Name] = true
		u := d.usageOf(t.Name)
		u.leavingSince = updateStart(u.leavingSince, !t.AcceptsCalls(), now)
	}
	for name, u := range d.usages {
		switch {
		case known[name]:
		case u.inFlight == 0:
			delete(d.usages, name)
		default:
			u.leavingSince = updateStart(u.leavingSince, true, now)
		}
	}
}

// updateStart returns when a condition became active: start if it was active
// before, now if it has just become so, zero if it is not.
func updateStart(start time.Time, active bool, now time.Time) time.Time {
	switch {
	case !active:
		return time.Time{}
	case start.IsZero():
		return now
	}
	return start
}

// Begin begins to stop the node: it notifies the peers, and after Keep withdraws
// the targets. It returns when the notice period is over or ctx ends.
func (d *Drainer) Begin(ctx context.Context) {
	d.mu.Lock()
	d.stoppingSince = updateStart(d.stoppingSince, true, time.Now())
	d.mu.Unlock()
	d.Tracer.Add(tracer.Event{Kind: "node-leaving"})
	d.NotifyPeers(ctx)
	sleep(ctx, d.Keep)
	d.WithdrawTargets()
	sleep(ctx, d.Notice)
}

// Finish waits until no call is in flight at the targets and busy, which covers
// the rest of the node, is false, but at most for FinishTimeout. It returns how
// many calls are still in flight.
func (d *Drainer) Finish(ctx context.Context, busy func() bool) int {
	ctx, stop := context.WithTimeout(ctx, d.FinishTimeout)
	defer stop()
	for ctx.Err() == nil && (d.totalInFlight() > 0 || busy()) {
		sleep(ctx, pollInterval)
	}
	return d.totalInFlight()
}

func (d *Drainer) totalInFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
