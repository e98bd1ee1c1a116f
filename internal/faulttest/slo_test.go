package faulttest

import (
	"fmt"
	"testing"
)

// The largest tenth of a class has a share of its own, whatever the share of the class as a whole.
func TestSharesInTime(t *testing.T) {
	var all []startedJob
	for i := range 40 {
		all = append(all, startedJob{id: fmt.Sprint("a", i), class: "narrow", team: "north", tasks: 1 + i, inTime: i < 36})
	}
	all = append(all, startedJob{id: "b", class: "one", team: "south", tasks: 3, inTime: true})
	got := sharesInTime(all)
	if got.Class["narrow"] != 0.9 || got.Largest["narrow"] != 0 || got.Team["north"] != 0.9 || got.Class["one"] != 1 || got.Largest["one"] != 1 {
		t.Errorf("%+v", got)
	}
	if l := got.least(""); l != 0 {
		t.Errorf("least %v", l)
	}
	if l := got.least("one"); l != 1 {
		t.Errorf("least of one class %v", l)
	}
}
