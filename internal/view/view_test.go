package view

import (
	"strings"
	"testing"

	"coralhub/internal/faulttest"
)

// The text shows the progress, the nodes, the machines and the marks. An empty status is rendered too.
func TestRender(t *testing.T) {
	got := render("night: an election", &faulttest.Status{ElapsedS: 15, DurationS: 60, Leader: "node-1",
		Nodes: []faulttest.NodeStatus{
			{Name: "node-0", Zone: "a"},
			{Name: "node-1", Zone: "b", Ready: true, CPUS: 1.25, PeakMB: 30, Restarts: 2},
		},
		Classes:  []faulttest.ClassStatus{{Class: "live", Submitted: 7, Accepted: 6, Started: 5, Done: 4, Cancelled: 1}},
		Machines: map[string]int{"up": 12, "hanging": 3}, RunningTasks: 40,
		Marks: []faulttest.Mark{{What: "node_kill leader begins"}}})
	for _, want := range []string{"night: an election", "[##########....", "15 of 60 s", "node-0   in a        down",
		"node-1   in b        ready, leads", "3 hanging 12 up; 40 tasks", "node_kill leader begins"} {
		if !strings.Contains(got, want) {
			t.Errorf("text without %q:\n%s", want, got)
		}
	}
	if empty := render("x", &faulttest.Status{}); !strings.Contains(empty, "0 of 0 s") {
		t.Errorf("text of an empty status without progress:\n%s", empty)
	}
}
