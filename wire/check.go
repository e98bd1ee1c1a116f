package wire

import (
	"encoding/binary"
	"errors"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth is how deep lists and maps may nest. Check needs no recursion, but decoders do.
const maxDepth = 100

var (
	errShort  = errors.New("message ends early")
	errDeep   = errors.New("message nests too deep")
	errBinary = errors.New("message holds binary data or extensions")
	errExtra  = errors.New("bytes after the message")
)

// Check returns an error unless b is one complete message without binary data. It guards the decoder, which reserves
// memory for as many elements as a list claims to have: a message of ten bytes could otherwise take gigabytes.
func Check(b []byte) error {
	var pending [maxDepth]int // elements still to come, by depth
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
			return errDeep
		}
		pending[depth] = elements
	}
}

func checkEnd(b []byte) error {
	if len(b) > 0 {
		return errExtra
	}
	return nil
}

// nextElement returns how many elements the first element of b holds, and what follows its header.
func nextElement(b []byte) (elements int, rest []byte, err error) {
	if len(b) == 0 {
		return 0, nil, errShort
	}
	skip, elements, err := elementHeader(b[0], b[1:])
	if err != nil {
		return 0, nil, err
	}
	rest = b[1:]
	if skip > len(rest) {
		return 0, nil, errShort
	}
	rest = rest[skip:]
	if elements > len(rest) { // each takes a byte at least
		return 0, nil, errShort
	}
	return elements, rest, nil
}

// elementHeader returns how many bytes follow a code before its elements, and how many elements there are.
func elementHeader(code byte, b []byte) (skip, elements int, err error) {
	size := func(n int) int {
		if len(b) < n {
			err = errShort
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
