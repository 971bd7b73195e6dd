package messenger

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a message or a stored value of a few bytes that announces more
// elements than it has, for which the decoder allocates the memory of all of them.
func TestImplausibleDataIsRefused(t *testing.T) {
	for name, b := range map[string][]byte{
		"array of four billion":   {0xdd, 0xff, 0xff, 0xff, 0xff, 0x94},
		"map of two billion":      {0xdf, 0x7f, 0xff, 0xff, 0xff},
		"array in an array":       {0x92, 0x01, 0xdd, 0x00, 0xff, 0xff, 0xff, 0x01},
		"string beyond the end":   {0xdb, 0xff, 0xff, 0xff, 0xff, 'a'},
		"bytes beyond the end":    {0xc6, 0x00, 0xff, 0xff, 0xff, 1},
		"length beyond the end":   {0xdd, 0xff},
		"deeply nested":           bytes.Repeat([]byte{0x91}, 1<<20),
		"code that is never used": {0xc1},
	} {
		var reports []struct {
			_msgpack struct{} `msgpack:",as_array"`
			A        [16]uint64
		}
		qt.Check(t, Decode(b, &reports), qt.ErrorIs, errImplausible, qt.Commentf(name))
	}
}

func TestValuesOfAllKindsAreDecoded(t *testing.T) {
	type value struct {
		_msgpack struct{} `msgpack:",as_array"`

		Numbers []int64
		Floats  []float64
		Texts   []string
		Bytes   [][]byte
		Map     map[string]uint64
		Flags   []bool
		Node    *Node
		None    *Node
	}
	v := value{
		Numbers: []int64{0, 1, -1, 127, 128, 255, 256, 65535, 65536, 1 << 32, 1<<63 - 1, -32, -33, -128, -129, -32769, -1 << 31, -1 << 40},
		Floats:  []float64{0, 1.5, 1e300}, Texts: []string{"", "a", string(bytes.Repeat([]byte{'b'}, 40)), string(bytes.Repeat([]byte{'c'}, 300)), string(bytes.Repeat([]byte{'d'}, 70_000))},
		Bytes: [][]byte{nil, {}, {1}, bytes.Repeat([]byte{2}, 300), bytes.Repeat([]byte{3}, 70_000)},
		Map:   map[string]uint64{"a": 1}, Flags: make([]bool, 70_000), Node: &Node{Name: "n", Epoch: 1 << 60},
	}
	var decoded value
	qt.Assert(t, Decode(Encode(&v), &decoded), qt.IsNil)
	qt.Check(t, decoded.Numbers, qt.DeepEquals, v.Numbers)
	qt.Check(t, decoded.Floats, qt.DeepEquals, v.Floats)
	qt.Check(t, decoded.Texts, qt.DeepEquals, v.Texts)
	qt.Check(t, decoded.Bytes[3:], qt.DeepEquals, v.Bytes[3:])
	qt.Check(t, decoded.Flags, qt.HasLen, 70_000)
	qt.Check(t, decoded.Node.Name, qt.Equals, "n")
	qt.Check(t, decoded.None, qt.IsNil)
}

func BenchmarkDecode(b *testing.B) {
	encoded := Encode(&Node{Name: "vm-001", Epoch: 1 << 60, Link: "10.0.0.1:70", HTTP: "10.0.0.1:80", Centre: "jos-a", Region: "ng-central"})
	for b.Loop() {
		var n Node
		if err := Decode(encoded, &n); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkPlausible(b *testing.B) {
	encoded := Encode(&Node{Name: "vm-001", Epoch: 1 << 60, Link: "10.0.0.1:70", HTTP: "10.0.0.1:80", Centre: "jos-a", Region: "ng-central"})
	for b.Loop() {
		if !plausible(encoded) {
			b.Fatal("not plausible")
		}
	}
}
