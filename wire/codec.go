package wire

import (
	"bytes"
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5"
)

// Marshal encodes a message as MessagePack.
func Marshal(v any) ([]byte, error) { return msgpack.Marshal(v) }

// Unmarshal checks a message with Check and decodes it. Unknown fields are ignored.
func Unmarshal(b []byte, v any) error {
	if err := Check(b); err != nil {
		return err
	}
	return msgpack.Unmarshal(b, v)
}

// JSONSize returns an upper bound of the size, in bytes, that an encoded message would have as JSON. The protocol
// states its limits on the size of values as sizes of JSON. JSONSize returns math.MaxInt32 for a malformed message.
func JSONSize(b []byte) int {
	if Check(b) != nil {
		return math.MaxInt32
	}
	d := msgpack.NewDecoder(bytes.NewReader(b))
	v, err := d.DecodeInterface()
	if err != nil {
		return math.MaxInt32
	}
	return jsonSize(v)
}

func jsonSize(v any) int {
	switch x := v.(type) {
	case nil:
		return 4
	case bool:
		return 5
	case string:
		n := 2
		for _, c := range []byte(x) {
			if c < 0x20 || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
				n += 6
			} else {
				n++
			}
		}
		return n
	case []any:
		n := 2
		for _, e := range x {
			n += jsonSize(e) + 1
		}
		return n
	case map[string]any:
		n := 2
		for k, e := range x {
			n += jsonSize(k) + jsonSize(e) + 2
		}
		return n
	case int8, int16, int32, int64, uint8, uint16, uint32, uint64:
		return len(fmt.Sprint(x))
	default:
		return 24
	}
}
