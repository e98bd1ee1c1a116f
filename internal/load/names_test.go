package load

import (
	"testing"

	"coralhub/internal/golden"
)

func TestNamesOfResult(t *testing.T) {
	golden.Check(t, "result-names.txt", golden.Names("json", Result{}))
}
