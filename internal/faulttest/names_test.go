package faulttest

import (
	"testing"

	"coralhub/internal/golden"
)

// Scenario files and results keep their names.
func TestNamesInFiles(t *testing.T) {
	golden.Check(t, "scenario-names.txt", golden.Names("toml", Scenario{}, Experiment{}))
	golden.Check(t, "result-names.txt", golden.Names("json", Result{}, Table{}, Second{}))
}
