package load

import (
	"testing"

	"coralhub/internal/golden"
)

// The JSON field names of results are stable.
func TestJSONNames(t *testing.T) {
	golden.Check(t, "result-names.txt", golden.Names("json", Result{}))
}
