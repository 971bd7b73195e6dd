package exithandler

import (
	"errors"
	"io"
	"net/http"
)

// bodyLength returns the length of the body in bytes, or -1 when it is not known
// before the body ends.
func bodyLength(method string, res *http.Response) int64 {
	if method == http.MethodHead || res.Body == http.NoBody {
		return 0
	}
	return res.ContentLength
}

// pieceReader splits a body into pieces.
type pieceReader struct {
	source io.Reader
	// remaining is the number of unread bytes, or -1 when it is not known.
	remaining int64
}

// next returns the next piece, which the caller may keep, and whether it
// completes the body.
func (r *pieceReader) next() (piece []byte, last bool, err error) {
	size := int64(maxPieceBytes)
	if r.remaining >= 0 {
		size = min(size, r.remaining)
	}
	piece = make([]byte, size)
	n := 0
	for n < len(piece) && err == nil {
		var m int
		m, err = r.source.Read(piece[n:])
		n += m
	}
	piece = piece[:n]
	if r.remaining >= 0 {
		r.remaining -= int64(n)
		last = r.remaining == 0
	}
	switch {
	case last || err == nil:
		return piece, last, nil
	case errors.Is(err, io.EOF) && r.remaining < 0:
		return piece, true, nil
	}
	return nil, false, err
}
