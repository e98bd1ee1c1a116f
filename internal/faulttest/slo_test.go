package faulttest

import (
	"fmt"
	"testing"
)

// The share of the largest tenth of a class is computed separately from the share of the whole class.
func TestSharesInTime(t *testing.T) {
	var all []countedJob
	for i := range 40 {
		all = append(all, countedJob{id: fmt.Sprint("a", i), class: "narrow", team: "north", tasks: 1 + i, inTime: i < 36})
	}
	all = append(all, countedJob{id: "b", class: "one", team: "south", tasks: 3, inTime: true})
	got := sharesInTime(all)
	if got.Class["narrow"] != 0.9 || got.Largest["narrow"] != 0 || got.Team["north"] != 0.9 ||
		got.Class["one"] != 1 || got.Largest["one"] != 1 {
		t.Errorf("shares %+v, want 0.9 of class narrow and team north, 0 of the largest jobs of narrow, and 1 of class one",
			got)
	}
	if l := got.minShare(""); l != 0 {
		t.Errorf("smallest share %v, want 0", l)
	}
	if l := got.minShare("one"); l != 1 {
		t.Errorf("smallest share of class one %v, want 1", l)
	}
}
