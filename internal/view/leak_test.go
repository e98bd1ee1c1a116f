package view

import (
	"os"
	"path/filepath"
	"testing"

	"coralhub/internal/faulttest"
	"coralhub/internal/leaktest"
)

// Close waits for the program that draws the screen.
func TestCloseLeavesNothingRunning(t *testing.T) {
	f, err := os.Create(filepath.Join(t.TempDir(), "terminal"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	s := Open(t.Context(), f, func() {}, "title")
	s.Show(faulttest.Status{})
	if err := s.Close(); err != nil {
		t.Logf("the terminal could not be used: %v", err) // as on a machine without one
	}
	leaktest.Check(t, "coralhub/internal/view.Open", "bubbletea/v2.(*Program)")
}
