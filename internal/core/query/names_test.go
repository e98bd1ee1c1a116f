package query

import (
	"testing"

	"coralhub/internal/golden"
)

// What operators' programs read.
func TestNamesOfAnswers(t *testing.T) {
	golden.Check(t, "admin-json.txt", golden.Names("json", Error{}, Estimates{}, JobOutlook{}, Runs{}, WaitReason{}, []UsageRow{}, Preemptions{}))
}
