package machinecache

import "testing"

// Nodes of other versions read and write the same pages.
func TestPagesOfStoredMachines(t *testing.T) {
	if KeyPrefix != "ch/machines/" {
		t.Errorf("prefix ch/machines/ was %s", KeyPrefix)
	}
	if pageCount != 32 {
		t.Error("the division of stored values has changed")
	}
}
