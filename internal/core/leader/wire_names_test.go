package leader

import (
	"testing"

	"coralhub/internal/golden"
)

// What operators' programs read, and where the leader keeps what it stores.
func TestNamesOfAnswers(t *testing.T) {
	golden.Check(t, "admin-json.txt", golden.Names("json", AdminError{}, Estimates{}, JobOutlook{}, Runs{}, Waits{}, []AccountRow{}, Standing{}))
	for got, want := range map[string]string{hintPrefix: "ch/machines/", learntPrefix: "ch/learnt/"} {
		if got != want {
			t.Errorf("prefix %s was %s", got, want)
		}
	}
	if hintPages != 32 || pageBits != 20 {
		t.Error("the division of stored values has changed")
	}
	if g := verdictSafe + verdictRisk + verdictLost + verdictUnknown; g != "safe"+"at risk"+"lost"+"unknown" {
		t.Error(g)
	}
}
