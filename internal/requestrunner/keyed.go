package requestrunner

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaproxy/zinniaproxy/internal/attemptsender"
	"github.com/zinniaproxy/zinniaproxy/internal/entryhandler"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/recorder"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// maxStoredBodyBytes bounds the body of a response that is stored for repeats of
// its call.
const maxStoredBodyBytes = recorder.DefaultMaxAnswerBytes

// Forward sends a request to a target and returns the response, which must be
// closed. A non-idempotent request with an idempotency key is recorded before its
// first attempt, so that a repeat through any node finds the record.
func (r *Runner) Forward(ctx context.Context, x *entryhandler.Exchange) (*attemptsender.Response, error) {
	if x.IdempotencyKey == "" || !x.Route.Once {
		return r.runAttempts(ctx, x)
	}
	intent := recorder.Intent{
		Workspace: x.WorkspaceName(), Key: x.IdempotencyKey, RequestDigest: requestDigest(x), RunID: r.Rand(),
		Timeout: time.Until(x.Deadline),
	}
	stored, err := r.Record(ctx, intent)
	if err != nil {
		return nil, err
	}
	if stored != nil {
		return decodeStoredResponse(stored)
	}
	response, err := r.runAttempts(ctx, x)
	r.Finish(ctx, intent, outcome(response, err))
	return response, err
}

// requestDigest returns a hash of the parts that must be equal in a repeat and
// the first call. The host is not among them, as a repeat may address another
// node.
func requestDigest(x *entryhandler.Exchange) uint64 {
	h := xxhash.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(x.Request.Method), []byte(x.Request.URL.RequestURI()), x.Body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(part)
	}
	return h.Sum64()
}

// outcome returns how a call ended, with its response if that is complete and
// small enough to be stored.
func outcome(response *attemptsender.Response, err error) recorder.Outcome {
	if err != nil {
		return recorder.Outcome{Ran: coder.Of(err).Ran()}
	}
	o := recorder.Outcome{Ran: coder.RanYes}
	if response.Complete && response.Buffered.Len() <= maxStoredBodyBytes {
		h := response.Head
		h.Body = response.Buffered.Bytes()
		o.Answer = messenger.Encode(&h)
	}
	return o
}

// decodeStoredResponse returns the response that the recorder stored.
func decodeStoredResponse(b []byte) (*attemptsender.Response, error) {
	var h messenger.ResponseHead
	if err := messenger.Decode(b, &h); err != nil {
		return nil, coder.New(coder.RepeatRan, "stored response cannot be decoded: %v", err)
	}
	return attemptsender.StoredResponse(h), nil
}
