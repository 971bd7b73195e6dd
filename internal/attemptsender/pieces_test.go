package attemptsender

import (
	"bytes"
	"context"
	"net/http"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/accountant"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// Guards against a response in pieces that takes several times its size while it is
// buffered, and against pieces that are lost or out of order.
func TestBufferingTakesTheMemoryOfThePieces(t *testing.T) {
	const count = MaxBufferedBytes / pieceBytes
	received := make([][]byte, count)
	var whole []byte
	for i := range received {
		received[i] = bytes.Repeat([]byte{byte(i)}, pieceBytes)
		whole = append(whole, received[i]...)
	}
	open := func() *Response {
		next := 0
		return &Response{Source: Source{Recv: func(context.Context) (*messenger.ResponseHead, []byte, bool, error) {
			piece := received[next]
			next++
			if next == 1 {
				return &messenger.ResponseHead{Status: http.StatusOK, Length: -1, Body: piece}, nil, false, nil
			}
			return nil, piece, next == count, nil
		}}}
	}
	r := open()
	qt.Assert(t, r.buffer(t.Context(), http.MethodGet), qt.IsNil)
	qt.Check(t, r.Complete, qt.IsTrue)
	qt.Check(t, r.Buffered.Len(), qt.Equals, len(whole))
	qt.Check(t, bytes.Equal(r.Buffered.Bytes(), whole), qt.IsTrue)
	var written bytes.Buffer
	_, err := r.Buffered.WriteTo(&written)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, bytes.Equal(written.Bytes(), whole), qt.IsTrue)

	var before, after runtime.MemStats
	r = open()
	runtime.ReadMemStats(&before)
	qt.Assert(t, r.buffer(t.Context(), http.MethodGet), qt.IsNil)
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	qt.Check(t, allocated < pieceBytes, qt.IsTrue, qt.Commentf("%d bytes allocated to buffer %d", allocated, len(whole)))
}

// Guards against a response that takes the memory of the node because requests behind
// it wait: the rest is buffered up to a limit, if the account has room.
func TestBufferRestIsBounded(t *testing.T) {
	for _, tc := range []struct {
		name           string
		length         int64
		pieces, limit  int
		complete       bool
		least, highest int
	}{
		{"fits", -1, 16, 0, true, 16 * pieceBytes, 16 * pieceBytes},
		{"without end", -1, 1000, 0, false, maxCompletedBytes, maxCompletedBytes},
		{"known to be longer", 1000 * pieceBytes, 1000, 0, false, MaxBufferedBytes, MaxBufferedBytes},
		{"no room", -1, 16, 12 * pieceBytes, false, MaxBufferedBytes, 12 * pieceBytes},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := &accountant.Account{Limit: int64(tc.limit)}
			owner := a.Member("g", 1)
			defer owner.Close()
			ctx := accountant.NewContext(t.Context(), owner)
			next := 0
			r := &Response{Source: Source{Recv: func(context.Context) (*messenger.ResponseHead, []byte, bool, error) {
				next++
				if next == 1 {
					return &messenger.ResponseHead{Status: http.StatusOK, Length: tc.length, Body: make([]byte, pieceBytes)}, nil, false, nil
				}
				return nil, make([]byte, pieceBytes), next == tc.pieces, nil
			}}}
			qt.Assert(t, r.buffer(ctx, http.MethodGet), qt.IsNil)
			qt.Assert(t, r.BufferRest(ctx, http.MethodGet), qt.IsNil)
			qt.Check(t, r.Complete, qt.Equals, tc.complete)
			n := r.Buffered.Len()
			qt.Check(t, n >= tc.least && n <= tc.highest, qt.IsTrue, qt.Commentf("%d bytes", n))
		})
	}
}
