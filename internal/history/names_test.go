package history

import (
	"testing"

	"coralhub/internal/golden"
)

// The JSON names of histories and of the results of replays don't change, because files and tools use them.
func TestJSONNames(t *testing.T) {
	golden.Check(t, "names.txt", golden.Names("json", Run{}, Result{}))
}
