package estimate

import (
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"coralhub/internal/golden"
)

// The stored format doesn't change, because later versions read values that earlier ones have written.
func TestStoredFormat(t *testing.T) {
	c := &Chunk{
		UpTo:  3,
		Epoch: 4,
		Seen:  5,
		Base: []storedGroup{{
			Level:          uint8(Everything),
			Name:           "a",
			Shape:          "b",
			Class:          "train",
			Generation:     6,
			DetectedChange: true,
			LastUse:        7,
			Sums:           [7]int64{8, 9, 7, 11, 12, 13, 14},
			Errors:         []int64{1, 2, 3},
		}},
		Own: []storedGroup{{
			Level:      uint8(Everything) + 1,
			Name:       "c",
			Shape:      "d",
			Class:      "sweep",
			Generation: 15,
			LastUse:    16,
			Sums:       [7]int64{1, 2, 1, 3, 4, 5, 6},
		}},
		Trust:  []storedCoverage{{Class: "train", Outcomes: 17, Covered: [3]uint16{18, 19, 20}}},
		Speeds: []storedSpeed{{Machine: "m-1", N: 21, Sum: 22, Spread: 23}},
	}
	plain, err := msgpack.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckBytes(t, "stored/chunk-plain.hex", plain)
	value, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckBytes(t, "stored/chunk.hex", value)
	got, err := Decode(golden.Bytes(t, "stored/chunk.hex"))
	if err != nil || !reflect.DeepEqual(got, c) {
		t.Errorf("decoded %+v, error %v, want %+v", got, err, c)
	}
	if Chunks != 4 {
		t.Errorf("a model is stored in %d chunks, want 4", Chunks)
	}
}
