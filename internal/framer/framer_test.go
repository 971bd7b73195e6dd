package framer

import (
	"bytes"
	"errors"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var b []byte
		frames := rapid.SliceOf(rapid.Custom(func(r *rapid.T) Frame {
			n := rapid.SampledFrom([]int{0, 1, 100, initialBufferBytes - 1, initialBufferBytes + 1, 3 * initialBufferBytes}).Draw(r, "n")
			return Frame{rapid.Uint8().Draw(r, "kind"), bytes.Repeat([]byte{rapid.Byte().Draw(r, "b")}, n)}
		})).Draw(r, "frames")
		for _, f := range frames {
			b = Append(b, f)
		}
		reader := bytes.NewReader(b)
		for i, f := range frames {
			got, err := Read(reader)
			if err != nil || got.Kind != f.Kind || !bytes.Equal(got.Payload, f.Payload) {
				r.Fatalf("frame %d: got kind %d, %d bytes, %v", i, got.Kind, len(got.Payload), err)
			}
		}
		if _, err := Read(reader); !errors.Is(err, io.EOF) {
			r.Fatalf("after the last frame: got %v, want EOF", err)
		}
	})
}

func TestReadRejectsInvalidFrames(t *testing.T) {
	c := qt.New(t)
	_, err := Read(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, Version, 0}))
	c.Check(err, qt.ErrorIs, ErrLength)
	_, err = Read(bytes.NewReader([]byte{0, 0, 0, 1, Version, 0}))
	c.Check(err, qt.ErrorIs, ErrLength)
	_, err = Read(bytes.NewReader([]byte{0, 0, 0, 2, Version + 1, 0}))
	c.Check(err, qt.ErrorIs, ErrVersion)
	_, err = Read(bytes.NewReader([]byte{0, 0, 0, 9, Version, 0, 1}))
	c.Check(err, qt.ErrorIs, io.ErrUnexpectedEOF)
}

// FuzzRead checks that each frame that Read accepts encodes to the bytes read.
func FuzzRead(f *testing.F) {
	f.Add(Append(nil, Frame{1, []byte("payload")}))
	f.Add([]byte{0, 64, 0, 0, Version, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := Read(bytes.NewReader(b))
		if err != nil {
			return
		}
		if encoded := Append(nil, got); !bytes.Equal(encoded, b[:len(encoded)]) {
			t.Fatalf("encoded again: %x, want %x", encoded, b)
		}
	})
}
