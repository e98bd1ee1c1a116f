package faulttest

import (
	"testing"

	"coralhub/internal/golden"
)

// The names of fields in scenario files and results match the golden files.
func TestNamesInFiles(t *testing.T) {
	golden.Check(t, "scenario-names.txt", golden.Names("toml", Scenario{}, Experiment{}))
	golden.Check(t, "result-names.txt", golden.Names("json", Result{}, Table{}, Second{}))
}
