package accountant

import (
	"context"
	"errors"
	"io"
)

const (
	firstStepBytes = 4 << 10
	stepFactor     = 4
)

// ErrTooLarge is returned by ReadAll for more than the highest number of bytes.
var ErrTooLarge = errors.New("accountant: too many bytes")

// ReadAll reads r to its end, at most maxBytes. announced is the length that its
// sender announced, -1 for none. The buffer grows in steps, each reserved for the
// owner before it is allocated: a length that is announced alone takes no memory.
// The bytes of the result stay reserved. Errors of Wait are returned as they are.
func (a *Account) ReadAll(ctx context.Context, o *Owner, r io.Reader, announced, maxBytes int64) ([]byte, error) {
	if announced < 0 || announced > maxBytes {
		announced = maxBytes
	}
	size := min(firstStepBytes, announced)
	if err := a.Wait(ctx, o, size); err != nil {
		return nil, err
	}
	b := make([]byte, 0, size)
	for {
		// A read of one byte more finds the end of a body that fills the buffer.
		var probe [1]byte
		into := b[len(b):cap(b)]
		if len(into) == 0 {
			into = probe[:]
		}
		n, err := r.Read(into)
		if n > 0 && len(b) == cap(b) {
			grown, err := a.grow(ctx, o, b, announced, maxBytes)
			if err != nil {
				return nil, err
			}
			b = append(grown, probe[0])
		} else {
			b = b[:len(b)+n]
		}
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns b with room for at least one more byte.
func (a *Account) grow(ctx context.Context, o *Owner, b []byte, announced, maxBytes int64) ([]byte, error) {
	before := int64(cap(b))
	if before >= maxBytes {
		return nil, ErrTooLarge
	}
	size := min(max(before, 1)*stepFactor, max(announced, before+1))
	if err := a.Wait(ctx, o, size); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, size), b...)
	a.Release(o, before)
	return grown, nil
}
