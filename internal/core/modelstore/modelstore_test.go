package modelstore

import "testing"

// Nodes of other versions read and write the same keys.
func TestKeyOfStoredModel(t *testing.T) {
	if KeyPrefix != "ch/learnt/" {
		t.Errorf("key prefix %s, want ch/learnt/", KeyPrefix)
	}
}
