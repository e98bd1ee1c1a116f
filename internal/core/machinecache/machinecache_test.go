package machinecache

import "testing"

// Nodes of other versions read and write the same pages.
func TestPagesOfStoredMachines(t *testing.T) {
	if KeyPrefix != "ch/machines/" {
		t.Errorf("key prefix %s, want ch/machines/", KeyPrefix)
	}
	if pageCount != 32 {
		t.Errorf("machines are divided into %d pages, want 32", pageCount)
	}
}
