package completionlog

import "testing"

// The division of page numbers must not change: nodes of other versions read and number the same pages.
func TestPageNumberBits(t *testing.T) {
	if pageNumberBits != 20 {
		t.Errorf("pageNumberBits is %d, want 20 as in other versions", pageNumberBits)
	}
}
