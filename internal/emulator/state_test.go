package emulator

import (
	"slices"
	"testing"
)

// The first item above a limit is also found if several items have the same key.
func TestFirstAfter(t *testing.T) {
	sorted := []int{2, 4, 4, 4, 7}
	self := func(i int) int { return i }
	for limit := range 9 {
		want := slices.IndexFunc(sorted, func(i int) bool { return i > limit })
		if want < 0 {
			want = len(sorted)
		}
		if got := firstAfter(sorted, limit, self); got != want {
			t.Errorf("firstAfter(%v, %d) = %d, want %d", sorted, limit, got, want)
		}
	}
	if got := firstAfter(nil, 1, self); got != 0 {
		t.Errorf("firstAfter of an empty list = %d, want 0", got)
	}
}
