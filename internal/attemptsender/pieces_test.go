package attemptsender

import (
	"bytes"
	"context"
	"net/http"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

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
