package leader

import "testing"

// The verdicts are part of the JSON responses that operators' programs read, so their values must not change.
func TestNamesOfVerdicts(t *testing.T) {
	if g := verdictSafe + verdictRisk + verdictLost + verdictUnknown; g != "safe"+"at risk"+"lost"+"unknown" {
		t.Errorf("verdicts: found %q, expected \"safe\", \"at risk\", \"lost\" and \"unknown\"", g)
	}
}
