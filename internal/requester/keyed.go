package requester

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaproxy/zinniaproxy/internal/forwarder"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/receiver"
	"github.com/zinniaproxy/zinniaproxy/internal/recorder"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Answers that are kept for repeats carry this much beside the body at most.
const maxKeptBytes = recorder.DefaultAnswerBytes

// Forward gets the answer of a request. The answer must be closed. A request
// that may not be repeated and has an idempotency key is recorded before its
// first attempt, so that a repeat through any node finds it.
func (r *Requester) Forward(ctx context.Context, x *receiver.Exchange) (*forwarder.Answer, error) {
	if x.IdempotencyKey == "" || !x.Route.Once {
		return r.try(ctx, x)
	}
	in := recorder.Intent{
		Workspace: x.WorkspaceName(), Key: x.IdempotencyKey, Request: requestSum(x), Run: r.Rand(),
		Timeout: time.Until(x.Deadline),
	}
	first, err := r.Record(ctx, in)
	if err != nil {
		return nil, err
	}
	if first != nil {
		return decodeAnswer(first)
	}
	a, err := r.try(ctx, x)
	r.Finish(ctx, in, outcome(a, err))
	return a, err
}

// requestSum digests what a repeat must have in common with the first call.
// The host is not part of it: a repeat may go to another node by its address.
func requestSum(x *receiver.Exchange) uint64 {
	h := xxhash.New()
	var n [8]byte
	for _, part := range [][]byte{[]byte(x.Request.Method), []byte(x.Request.URL.RequestURI()), x.Body} {
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = h.Write(n[:])
		_, _ = h.Write(part)
	}
	return h.Sum64()
}

// outcome tells the recorder how the call ended.
func outcome(a *forwarder.Answer, err error) recorder.Outcome {
	if err != nil {
		return recorder.Outcome{Ran: coder.Of(err).Ran()}
	}
	o := recorder.Outcome{Ran: coder.RanYes}
	if a.Whole && len(a.Held) <= maxKeptBytes {
		h := a.Head
		h.Body = a.Held
		o.Answer = messenger.Encode(&h)
	}
	return o
}

// decodeAnswer makes an answer of what the recorder kept.
func decodeAnswer(b []byte) (*forwarder.Answer, error) {
	var h messenger.Head
	if err := messenger.Decode(b, &h); err != nil {
		return nil, coder.New(coder.RepeatRan, "kept answer: %v", err)
	}
	return forwarder.Kept(h), nil
}
