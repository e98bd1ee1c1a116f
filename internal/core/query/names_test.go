package query

import (
	"testing"

	"coralhub/internal/golden"
)

// Operators' programs depend on the names and types of the JSON fields.
func TestNamesOfAnswers(t *testing.T) {
	golden.Check(t, "admin-json.txt", golden.Names("json",
		Error{}, Estimates{}, JobOutlook{}, Runs{}, WaitReason{}, []UsageRow{}, Preemptions{}))
}
