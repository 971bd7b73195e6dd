package reserver

import (
	"context"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/admitter"
	"github.com/zinniaproxy/zinniaproxy/internal/exithandler"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// leavingCheckInterval is the time between checks whether the target of a waiting
// reservation leaves.
const leavingCheckInterval = 100 * time.Millisecond

// Server reserves slots of the targets of one exit node. Set the fields before the
// first query.
type Server struct {
	// Lookup returns a target on this VM by name.
	Lookup func(name string) (messenger.Target, bool)
	// Enter admits a call for a target, unless the target, its data centre or the
	// node is leaving. leave must be called when the call ends.
	Enter func(target string) (leave func(), err error)
	// Reserve waits for a slot and holds it.
	Reserve func(ctx context.Context, entry string, j *exithandler.Job) (*admitter.Reservation, error)
}

// Handle is the handler of linker.MethodReserve. It sends the grant, and keeps the
// stream open for as long as the slot is held.
func (s *Server) Handle(ctx context.Context, lq linker.Query, send func([]byte, bool) error) error {
	var q Query
	if err := messenger.Decode(lq.Payload, &q); err != nil {
		return coder.New(coder.BadRequest, "%v", err)
	}
	q.Timeout -= lq.Delay
	r, err := s.reserve(ctx, lq.Peer, &q)
	if err != nil {
		return err
	}
	defer r.Withdraw()
	if err := send(messenger.Encode(&Grant{ID: q.ID, HeldFor: admitter.HoldTime}), false); err != nil {
		return err
	}
	select {
	case <-r.Done():
	case <-ctx.Done():
	}
	return nil
}

// reserve waits for a slot for an entry node, which is "" for this node. Errors
// are *coder.Error.
func (s *Server) reserve(ctx context.Context, entry string, q *Query) (*admitter.Reservation, error) {
	target, err := s.findTarget(q)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go s.cancelWhenLeaving(ctx, q, cancel)
	return s.Reserve(ctx, entry, &exithandler.Job{
		Call: q.call(), Target: target, ArrivedAt: time.Now(), Deadline: time.Now().Add(q.Timeout),
	})
}

// findTarget returns the target of a query, or refuses the query if the target was
// replaced or leaves.
func (s *Server) findTarget(q *Query) (messenger.Target, error) {
	t, ok := s.Lookup(q.Target)
	if !ok || t.Epoch != q.Epoch {
		return t, coder.New(coder.WrongTarget, "%s", q.Target)
	}
	if !t.AcceptsCalls() {
		return t, coder.New(coder.TargetLeaving, "%s", q.Target).WithAfter(leavingRetryAfter)
	}
	leave, err := s.Enter(q.Target)
	if err == nil {
		leave() // a reservation does not keep the node from ending
	}
	return t, err
}

// leavingRetryAfter is the retry-after of a reservation at a target that leaves;
// the entry node should ask elsewhere.
const leavingRetryAfter = time.Second

// cancelWhenLeaving ends the wait of a reservation, with the refusal as its cause,
// when its target leaves.
func (s *Server) cancelWhenLeaving(ctx context.Context, q *Query, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(leavingCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if _, err := s.findTarget(q); err != nil {
				cancel(err)
				return
			}
		}
	}
}
