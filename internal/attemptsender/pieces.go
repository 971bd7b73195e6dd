package attemptsender

import (
	"bytes"
	"io"
)

// Pieces is the buffered start of a body, in the pieces in which it was received.
// Buffering copies nothing, so that it takes no more memory than the pieces.
type Pieces struct {
	pieces [][]byte
	length int
}

// with returns the pieces with one more, which is kept. It may use the same memory as
// p, which must not be used any longer.
func (p Pieces) with(piece []byte) Pieces {
	if len(piece) == 0 {
		return p
	}
	return Pieces{append(p.pieces, piece), p.length + len(piece)}
}

// Len returns the number of bytes.
func (p Pieces) Len() int { return p.length }

// Bytes returns all bytes in one slice, which must not be changed.
func (p Pieces) Bytes() []byte {
	if len(p.pieces) == 1 {
		return p.pieces[0]
	}
	return bytes.Join(p.pieces, nil)
}

// WriteTo implements io.WriterTo.
func (p Pieces) WriteTo(w io.Writer) (n int64, err error) {
	for _, piece := range p.pieces {
		m, err := w.Write(piece)
		n += int64(m)
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
