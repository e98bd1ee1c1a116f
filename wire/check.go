package wire

import (
	"encoding/binary"
	"errors"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth bounds the nesting of lists and maps: Check isn't recursive, but decoders are.
const maxDepth = 100

var (
	errTruncated     = errors.New("message ends early")
	errTooDeep       = errors.New("message nests too deep")
	errBinary        = errors.New("message holds binary data or extensions")
	errTrailingBytes = errors.New("bytes after the message")
)

// Check returns an error unless b is one complete message without binary data. It protects the decoder, which allocates
// memory for as many elements as the header of a list states: a message of ten bytes could otherwise take gigabytes.
func Check(b []byte) error {
	var pending [maxDepth]int // remaining elements, by depth
	depth := 0
	pending[0] = 1
	for {
		for pending[depth] == 0 {
			if depth == 0 {
				return checkEnd(b)
			}
			depth--
		}
		pending[depth]--
		elements, rest, err := nextElement(b)
		if err != nil {
			return err
		}
		b = rest
		if elements == 0 {
			continue
		}
		depth++
		if depth == maxDepth {
			return errTooDeep
		}
		pending[depth] = elements
	}
}

func checkEnd(b []byte) error {
	if len(b) > 0 {
		return errTrailingBytes
	}
	return nil
}

// nextElement returns the number of elements in the first element of b, and the bytes after its header, or after all of
// it if it is neither a list nor a map.
func nextElement(b []byte) (elements int, rest []byte, err error) {
	if len(b) == 0 {
		return 0, nil, errTruncated
	}
	skip, elements, err := elementHeader(b[0], b[1:])
	if err != nil {
		return 0, nil, err
	}
	rest = b[1:]
	if skip > len(rest) {
		return 0, nil, errTruncated
	}
	rest = rest[skip:]
	if elements > len(rest) { // each takes at least one byte
		return 0, nil, errTruncated
	}
	return elements, rest, nil
}

// elementHeader decodes the header of an element, from its code and the bytes b that follow the code. It returns how
// many of these bytes precede the elements that it contains, and the number of them. In a map, keys and values count.
func elementHeader(code byte, b []byte) (skip, elements int, err error) {
	size := func(n int) int {
		if len(b) < n {
			err = errTruncated
			return 0
		}
		switch n {
		case 1:
			return int(b[0])
		case 2:
			return int(binary.BigEndian.Uint16(b))
		}
		return int(binary.BigEndian.Uint32(b))
	}
	switch {
	case msgpcode.IsFixedNum(code):
		return 0, 0, nil
	case msgpcode.IsFixedMap(code):
		return 0, 2 * int(code&msgpcode.FixedMapMask), nil
	case msgpcode.IsFixedArray(code):
		return 0, int(code & msgpcode.FixedArrayMask), nil
	case msgpcode.IsFixedString(code):
		return int(code & msgpcode.FixedStrMask), 0, nil
	}
	switch code {
	case msgpcode.Nil, msgpcode.True, msgpcode.False:
	case msgpcode.Uint8, msgpcode.Int8:
		skip = 1
	case msgpcode.Uint16, msgpcode.Int16:
		skip = 2
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		skip = 4
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		skip = 8
	case msgpcode.Str8:
		skip = 1 + size(1)
	case msgpcode.Str16:
		skip = 2 + size(2)
	case msgpcode.Str32:
		skip = 4 + size(4)
	case msgpcode.Array16:
		skip, elements = 2, size(2)
	case msgpcode.Array32:
		skip, elements = 4, size(4)
	case msgpcode.Map16:
		skip, elements = 2, 2*size(2)
	case msgpcode.Map32:
		skip, elements = 4, 2*size(4)
	default:
		err = errBinary
	}
	return skip, elements, err
}
