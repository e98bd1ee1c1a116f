package leader

import (
	"testing"

	"coralhub/internal/golden"
)

// What operators' programs read, and where the leader keeps what it stores.
func TestNamesOfAnswers(t *testing.T) {
	golden.Check(t, "admin-json.txt", golden.Names("json", AdminError{}, Estimates{}, JobOutlook{}, Runs{}, WaitReason{}, []UsageRow{}, Preemptions{}))
	if g := verdictSafe + verdictRisk + verdictLost + verdictUnknown; g != "safe"+"at risk"+"lost"+"unknown" {
		t.Error(g)
	}
}
