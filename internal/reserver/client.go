package reserver

import (
	"context"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/linker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	// maxConcurrent bounds the exit nodes that are asked at once for a call.
	maxConcurrent = 2
	// promptGrantTimeout is how long a node whose target was said to have a free
	// slot is given before a second one is asked too: a few round trips between
	// data centres.
	promptGrantTimeout = 40 * time.Millisecond
)

// Request asks for a slot of one target.
type Request struct {
	Target messenger.Target
	// Call is the attempt that the slot is for. It must not be deferrable, since a
	// query does not say so.
	Call *messenger.Call
	// FreeSlot is whether the target was last known to have a free slot.
	FreeSlot bool
}

// Client reserves slots for the calls of one entry node. Set the fields before the
// first call of Acquire.
type Client struct {
	// Self is the name of the own node, and Local reserves slots of its targets.
	Self  string
	Local *Server
	// Open sends a query to another node.
	Open func(ctx context.Context, o linker.QueryOptions) (*linker.Stream, error)
	// Statement returns what a target stated about itself to this node. Nil means
	// nothing.
	Statement func(t messenger.Target) messenger.Statement

	lastNumber atomic.Uint64
}

// result is the result of one request. With a grant, withdraw gives up the slot.
type result struct {
	request  Request
	id       string
	withdraw func()
	err      error
}

// Acquire waits for a slot of one of the requests' targets. It asks one exit node
// if a target has a free slot, else the first two concurrently, and the next one
// after a refusal. The first grant is used, and the other reservation is withdrawn.
// The slot is held for admitter.HoldTime for the call that carries the ID. If no
// exit node grants a slot, the error is the refusal with the smallest After. Errors
// are *coder.Error, and prove that the request has not run; Canceled means that ctx
// was canceled.
func (c *Client) Acquire(ctx context.Context, requests []Request) (granted Request, id string, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	requests, width := plan(requests)
	results := make(chan result, len(requests))
	asked, pending := 0, 0
	askNext := func() {
		if asked < len(requests) && pending < width && ctx.Err() == nil {
			r := requests[asked]
			asked, pending = asked+1, pending+1
			q := c.query(ctx, r) // now, since the caller may change the call after the first grant
			go func() { results <- c.ask(ctx, r, q) }()
		}
	}
	for range width {
		askNext()
	}
	timer := time.NewTimer(promptGrantTimeout)
	defer timer.Stop()
	err = coder.New(coder.NoTarget, "no target to reserve a slot of")
	for first := true; pending > 0; askNext() {
		select {
		case r := <-results:
			pending--
			if r.err == nil {
				go withdrawAll(results, pending)
				return r.request, r.id, nil
			}
			if first || sooner(r.err, err) {
				first, err = false, r.err
			}
		case <-timer.C:
			width = maxConcurrent
		}
	}
	if asked == 0 && len(requests) > 0 {
		err = contextError(ctx)
	}
	return Request{}, "", err
}

// contextError returns the error of a request that was not made, since ctx is done.
func contextError(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return coder.New(coder.DeadlineBefore, "before a slot was reserved")
	}
	return coder.New(coder.Canceled, "before a slot was reserved")
}

// plan returns the requests in the order in which they are made, those for targets
// with a free slot first, and how many are made at once.
func plan(requests []Request) (ordered []Request, width int) {
	ordered = slices.Clone(requests)
	slices.SortStableFunc(ordered, func(a, b Request) int {
		switch {
		case a.FreeSlot == b.FreeSlot:
			return 0
		case a.FreeSlot:
			return -1
		}
		return 1
	})
	if len(ordered) > 0 && ordered[0].FreeSlot {
		return ordered, 1
	}
	return ordered, maxConcurrent
}

// sooner reports whether a refusal says that a slot is free earlier than another
// one. A refusal that does not say when comes last.
func sooner(err, than error) bool {
	a, b := coder.Of(err).After, coder.Of(than).After
	return a > 0 && (b == 0 || a < b)
}

// withdrawAll withdraws the reservations that are granted after the first one.
func withdrawAll(results <-chan result, pending int) {
	for range pending {
		if r := <-results; r.err == nil {
			r.withdraw()
		}
	}
}

// ask makes one request with its query, and waits for the grant or the refusal until ctx ends.
func (c *Client) ask(ctx context.Context, r Request, q *Query) result {
	out := result{request: r, id: q.ID}
	if r.Target.Node == c.Self {
		reservation, err := c.Local.reserve(ctx, "", q)
		if out.err = err; err == nil {
			out.withdraw = reservation.Withdraw
		}
		return out
	}
	stream, err := c.Open(ctx, linker.QueryOptions{Node: r.Target.Node, Method: linker.MethodReserve, Payload: messenger.Encode(q)})
	if err != nil {
		out.err = notRun(err)
		return out
	}
	// The stream of a grant stays open: its end would release the slot.
	out.withdraw = stream.Close
	if out.err = awaitGrant(ctx, stream); out.err != nil {
		stream.Close()
	}
	return out
}

func awaitGrant(ctx context.Context, stream *linker.Stream) error {
	b, _, err := stream.Recv(ctx)
	if err != nil {
		return notRun(err)
	}
	var g Grant
	if err := messenger.Decode(b, &g); err != nil {
		return coder.New(coder.NotSent, "grant: %v", err)
	}
	return nil
}

// query returns the query for a request.
func (c *Client) query(ctx context.Context, r Request) *Query {
	call := r.Call
	q := &Query{
		ID: call.ID + idSeparator + strconv.FormatUint(c.lastNumber.Add(1), 10), Target: r.Target.Name, Epoch: r.Target.Epoch,
		Service: call.Service, Workspace: call.Workspace, Route: call.Route, Weight: call.Weight, Rank: call.Rank,
		Inner: call.Inner, Once: call.Once, RelaxRiskLimit: call.RelaxRiskLimit, Insist: call.Insist, Aim: call.Aim, Timeout: call.Timeout,
		Bytes: len(call.Body), Statement: call.Statement,
	}
	if deadline, ok := ctx.Deadline(); ok {
		q.Timeout = time.Until(deadline)
	}
	if c.Statement != nil {
		q.Statement = c.Statement(r.Target)
	}
	return q
}

// notRun returns the error of a query as one that says that the request has not
// run, since a reservation runs nothing.
func notRun(err error) error {
	e := *coder.Of(err)
	switch {
	case e.Ran() == coder.RanNo || e.Code == coder.Canceled:
	case e.Code == coder.DeadlineAfter:
		e.Code = coder.DeadlineBefore
	default:
		e.Code = coder.NotSent
	}
	return &e
}
