package load

import (
	"testing"

	"coralhub/internal/golden"
)

// The JSON names of results don't change.
func TestJSONNames(t *testing.T) {
	golden.Check(t, "result-names.txt", golden.Names("json", Result{}))
}
