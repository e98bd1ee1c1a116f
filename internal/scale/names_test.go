package scale

import (
	"testing"

	"coralhub/internal/golden"
	"coralhub/internal/hollow"
	"coralhub/internal/invariants"
)

// The field names of settings files, results and messages between the processes of a run are stable.
func TestStoredNames(t *testing.T) {
	golden.Check(t, "settings-names.txt", golden.Names("toml", Settings{}))
	golden.Check(t, "settings-json-names.txt", golden.Names("json", Settings{}))
	golden.Check(t, "result-names.txt", golden.Names("json", Result{}))
	golden.Check(t, "process-names.txt", golden.Names("json", hollow.Config{}, hollow.Command{}, hollow.Event{},
		invariants.Event{}, invariants.Violation{}))
}
