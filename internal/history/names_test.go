package history

import (
	"testing"

	"coralhub/internal/golden"
)

// Histories and what a replay says of them keep their names.
func TestNamesInFiles(t *testing.T) {
	golden.Check(t, "names.txt", golden.Names("json", Line{}, Result{}))
}
