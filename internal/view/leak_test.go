package view

import (
	"os"
	"path/filepath"
	"testing"

	"coralhub/internal/faulttest"
	"coralhub/internal/leaktest"
)

// Close returns after the goroutines that draw the screen have ended.
func TestCloseLeavesNothingRunning(t *testing.T) {
	f, err := os.Create(filepath.Join(t.TempDir(), "terminal"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	s := Open(t.Context(), f, func() {}, "title")
	s.Show(faulttest.Status{})
	if err := s.Close(); err != nil {
		t.Logf("terminal not usable: %v", err) // expected on machines without a terminal
	}
	leaktest.Check(t, "coralhub/internal/view.Open", "bubbletea/v2.(*Program)")
}
