package emulator

import (
	"maps"
	"testing"
)

// Machines are distributed evenly, and the remainder over the first zones.
func TestCapacityByZone(t *testing.T) {
	zones := []string{"a", "b", "c"}
	for machines, want := range map[int]map[string]int{
		0: {"a": 0, "b": 0, "c": 0},
		2: {"a": 1, "b": 1, "c": 0},
		9: {"a": 3, "b": 3, "c": 3},
		7: {"a": 3, "b": 2, "c": 2},
	} {
		if got := CapacityByZone(machines, zones); !maps.Equal(got, want) {
			t.Errorf("CapacityByZone(%d, %v) = %v, want %v", machines, zones, got, want)
		}
	}
}
