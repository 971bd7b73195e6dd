package messenger

import (
	"encoding/binary"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth bounds how deep arrays and maps may be nested.
const maxDepth = 64

// errImplausible is returned for data whose headers announce more elements or
// bytes than follow, or that is nested too deeply. The decoder would allocate
// memory for what is announced.
var errImplausible = errors.New("messenger: lengths or nesting of the data are not plausible")

// Decode decodes a message that another process or the store sent.
func Decode(b []byte, m any) error {
	if !plausible(b) {
		return errImplausible
	}
	return msgpack.Unmarshal(b, m)
}

// plausible reports whether each array, map, string and extension in b can have as
// many elements or bytes as its header announces.
func plausible(b []byte) bool {
	var left [maxDepth]uint64 // elements that remain, by depth
	depth := 0
	for len(b) > 0 {
		elements, size, ok := header(b)
		if !ok || size > uint64(len(b)) {
			return false
		}
		b = b[size:]
		for depth > 0 && left[depth-1] == 0 {
			depth--
		}
		if depth > 0 {
			left[depth-1]--
		}
		if elements == 0 {
			continue
		}
		if elements > uint64(len(b)) || depth == maxDepth {
			return false
		}
		left[depth] = elements
		depth++
	}
	return true
}

// header returns how many elements follow the value at the start of b, and how
// many bytes it takes without them.
func header(b []byte) (elements, size uint64, ok bool) {
	c := b[0]
	switch {
	case msgpcode.IsFixedNum(c):
		return 0, 1, true
	case msgpcode.IsFixedMap(c):
		return 2 * uint64(c&msgpcode.FixedMapMask), 1, true
	case msgpcode.IsFixedArray(c):
		return uint64(c & msgpcode.FixedArrayMask), 1, true
	case msgpcode.IsFixedString(c):
		return 0, 1 + uint64(c&msgpcode.FixedStrMask), true
	}
	lengthBytes := int(lengthSizes[c])
	if lengthBytes == 0 {
		return 0, uint64(fixedSizes[c]), fixedSizes[c] != 0
	}
	if len(b) < 1+lengthBytes {
		return 0, 0, false
	}
	var buf [8]byte
	copy(buf[8-lengthBytes:], b[1:1+lengthBytes])
	n, head := binary.BigEndian.Uint64(buf[:]), 1+uint64(lengthBytes)
	switch c {
	case msgpcode.Array16, msgpcode.Array32:
		return n, head, true
	case msgpcode.Map16, msgpcode.Map32:
		return 2 * n, head, true
	case msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		head++ // the type
	}
	return 0, head + n, true
}

// lengthSizes holds the bytes of the length by code, or 0 for values without one.
var lengthSizes = byCode(map[byte]uint8{
	msgpcode.Bin8: 1, msgpcode.Bin16: 2, msgpcode.Bin32: 4, msgpcode.Str8: 1, msgpcode.Str16: 2, msgpcode.Str32: 4,
	msgpcode.Ext8: 1, msgpcode.Ext16: 2, msgpcode.Ext32: 4, msgpcode.Array16: 2, msgpcode.Array32: 4, msgpcode.Map16: 2, msgpcode.Map32: 4,
})

// fixedSizes holds the bytes of values of a fixed size by code, the code included.
var fixedSizes = byCode(map[byte]uint8{
	msgpcode.Nil: 1, msgpcode.False: 1, msgpcode.True: 1, msgpcode.Float: 5, msgpcode.Double: 9,
	msgpcode.Uint8: 2, msgpcode.Uint16: 3, msgpcode.Uint32: 5, msgpcode.Uint64: 9,
	msgpcode.Int8: 2, msgpcode.Int16: 3, msgpcode.Int32: 5, msgpcode.Int64: 9,
	msgpcode.FixExt1: 3, msgpcode.FixExt2: 4, msgpcode.FixExt4: 6, msgpcode.FixExt8: 10, msgpcode.FixExt16: 18,
})

func byCode(sizes map[byte]uint8) (table [256]uint8) {
	for code, size := range sizes {
		table[code] = size
	}
	return table
}
