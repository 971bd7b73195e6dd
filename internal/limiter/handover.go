package limiter

import (
	"context"
	"slices"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/assigner"
	"github.com/zinniaproxy/zinniaproxy/internal/bucketer"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

const (
	// maxSharesPerHandover bounds the shares of one handover.
	maxSharesPerHandover = 64
	// handoverTimeout bounds one attempt of a handover.
	handoverTimeout = 500 * time.Millisecond
)

// claims returns the shares to change in the share assignment: claimed were
// handed over to this process, and lost were handed over by it to a process that
// is no longer a member.
func (l *Limiter) claims() (claimed, lost []int) {
	alive := l.membership().alive
	h := &l.holder
	h.mu.RLock()
	defer h.mu.RUnlock()
	for s, held := range h.held {
		if held != nil && held.holder != l.process {
			claimed = append(claimed, s)
		}
	}
	for s, ho := range h.handedOver {
		if _, ok := alive[ho.process]; !ok && ho.holder == l.process {
			lost = append(lost, s)
		}
	}
	return claimed, lost
}

// rebalance hands over the shares that the plan gives to other nodes, if they
// are eligible. After a failed batch it goes on with the next node.
func (l *Limiter) rebalance(ctx context.Context, plan []string, eligible func(identity string) bool) {
	for identity, shares := range l.misplaced(plan) {
		node := l.membership().alive[identity]
		if node == "" || identity == l.process || !eligible(identity) {
			continue
		}
		for batch := range slices.Chunk(shares, maxSharesPerHandover) {
			if !l.handOver(ctx, node, identity, batch) {
				break
			}
		}
	}
}

// misplaced returns the usable shares that the plan gives to other processes, by
// the identity of that process.
func (l *Limiter) misplaced(plan []string) map[string][]int {
	h, out, now := &l.holder, map[string][]int{}, l.now()
	h.mu.RLock()
	defer h.mu.RUnlock()
	for s, held := range h.held {
		if held != nil && plan[s] != l.process && now.After(held.validFrom) {
			out[plan[s]] = append(out[plan[s]], s)
		}
	}
	return out
}

// handOver hands shares over and reports whether the receiver accepted any. A
// handover without a reply is repeated unchanged by later calls, since the
// receiver may have accepted the shares.
func (l *Limiter) handOver(ctx context.Context, node, process string, shares []int) bool {
	l.handoverLock <- struct{}{}
	defer func() { <-l.handoverLock }()
	msg := l.unansweredHandovers[process]
	if msg == nil {
		msg = l.detach(node, process, shares)
		l.unansweredHandovers[process] = msg
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	r, err := l.SendHandover(ctx, node, msg)
	if err != nil {
		return false
	}
	delete(l.unansweredHandovers, process)
	l.restoreRejected(msg, r)
	l.Tracer.Add(tracer.Event{Kind: "shares-handed", Detail: node})
	return len(r.Accepted) > 0
}

// detach stops the use of shares and returns the handover message for them.
func (l *Limiter) detach(nodeName, process string, shares []int) *Handover {
	l.handoverSequence++
	h := &l.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	msg := &Handover{From: l.process, To: process, Sequence: l.handoverSequence, AssignmentNumber: h.assignment.Number}
	for _, share := range shares {
		held := h.held[share]
		if held == nil {
			continue
		}
		msg.Shares = append(msg.Shares, l.exportShare(held, share, l.now()))
		h.handedOver[share] = handedOverShare{node: nodeName, process: process, holder: held.holder}
		h.held[share] = nil
	}
	return msg
}

// exportShare returns a share's state for a handover. The caller holds the
// lock.
func (l *Limiter) exportShare(s *heldShare, share int, now time.Time) HandedShare {
	out := HandedShare{Share: uint16(share), Holder: s.holder, Age: now.Sub(s.validFrom)}
	for name, a := range s.accounts {
		p := l.holder.part(assigner.Hash(name), share, now)
		a.applyPart(p, share)
		state := AccountState{Workspace: name, Tokens: a.Level(now, a.limit), MaxBurst: a.maxBurst, MinRate: a.minRate}
		state.Outstanding, state.ExpiresIn = a.Outstanding(now)
		if p.fraction == 0 {
			state.Tokens = 0
		}
		out.Accounts = append(out.Accounts, state)
	}
	return out
}

// restoreRejected takes back the shares that the receiver did not accept.
func (l *Limiter) restoreRejected(msg *Handover, r *HandoverReply) {
	h, now := &l.holder, l.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range msg.Shares {
		hs := &msg.Shares[i]
		share := int(hs.Share)
		ho, handedOver := h.handedOver[share]
		if !handedOver || ho.process != msg.To || slices.Contains(r.Accepted, hs.Share) {
			continue
		}
		delete(h.handedOver, share)
		if h.assignment.Holder(share) == hs.Holder {
			h.held[share] = l.restoreShare(hs, now)
		}
	}
}

// restoreShare returns a share with the state from a handover. The caller holds
// the lock.
func (l *Limiter) restoreShare(hs *HandedShare, now time.Time) *heldShare {
	s := &heldShare{holder: hs.Holder, validFrom: now.Add(-hs.Age), accounts: map[string]*account{}}
	for _, state := range hs.Accounts {
		b := bucketer.Restore(now, state.Tokens, state.Outstanding, l.addDriftMargin(state.ExpiresIn))
		p := l.holder.part(assigner.Hash(state.Workspace), int(hs.Share), now)
		s.accounts[state.Workspace] = &account{
			Bucket: b, limit: l.accountLimit(state.Workspace, p), partSince: now, maxBurst: state.MaxBurst, minRate: state.MinRate, lastUsed: now,
		}
	}
	return s
}

func (l *Limiter) accountLimit(workspace string, p part) bucketer.Limit {
	rate, burst, _ := l.Workspace(workspace)
	return bucketer.Limit{Rate: rate * p.fraction, Burst: float64(burst) * p.fraction, Drift: l.clockDrift()}
}

// HandleHandover accepts shares from another process.
func (l *Limiter) HandleHandover(_ context.Context, _ string, msg *Handover) (*HandoverReply, error) {
	l.setup()
	h, now := &l.holder, l.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.assignment == nil || msg.To != l.process {
		return nil, errWrongProcess
	}
	last := h.lastHandovers[msg.From]
	if msg.Sequence == last.sequence {
		return &last.reply, nil
	}
	if msg.Sequence < last.sequence {
		return nil, errStaleHandover
	}
	r := HandoverReply{}
	if !now.Before(h.acceptFrom) && msg.AssignmentNumber <= h.assignment.Number && l.fenceHolds(now) {
		r.Accepted = l.acceptShares(msg, now)
	}
	h.lastHandovers[msg.From] = receivedHandover{msg.Sequence, r}
	return &r, nil
}

// acceptShares takes the shares of a handover that this process may hold, and
// returns their numbers. The caller holds the lock.
func (l *Limiter) acceptShares(msg *Handover, now time.Time) (shares []uint16) {
	h := &l.holder
	for i := range msg.Shares {
		hs := &msg.Shares[i]
		share := int(hs.Share)
		if share >= assigner.ShareCount || h.held[share] != nil || h.assignment.Holder(share) != hs.Holder {
			continue
		}
		delete(h.handedOver, share)
		h.held[share] = l.restoreShare(hs, now)
		shares = append(shares, hs.Share)
	}
	return shares
}

// handOverAll hands all shares over to the remaining nodes.
func (l *Limiter) handOverAll(ctx context.Context) {
	var remaining []messenger.Node
	for _, m := range l.Members() {
		if m.Name != l.Self.Name {
			remaining = append(remaining, m)
		}
	}
	plan := assigner.Plan(remaining)
	for ctx.Err() == nil && len(remaining) > 0 && l.holdsShares() {
		l.rebalance(ctx, plan, func(string) bool { return true })
		sleep(ctx, leaveRetryInterval)
	}
}

func (l *Limiter) holdsShares() bool {
	h, now := &l.holder, l.now()
	h.mu.RLock()
	defer h.mu.RUnlock()
	return slices.ContainsFunc(h.held[:], func(s *heldShare) bool { return s != nil && now.After(s.validFrom) })
}
