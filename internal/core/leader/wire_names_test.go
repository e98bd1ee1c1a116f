package leader

import "testing"

// What operators' programs read.
func TestNamesOfVerdicts(t *testing.T) {
	if g := verdictSafe + verdictRisk + verdictLost + verdictUnknown; g != "safe"+"at risk"+"lost"+"unknown" {
		t.Error(g)
	}
}
