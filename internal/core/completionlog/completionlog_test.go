package completionlog

import "testing"

// Nodes of other versions read and number the same pages.
func TestNumbersOfPages(t *testing.T) {
	if pageNumberBits != 20 {
		t.Error("the division of stored values has changed")
	}
}
