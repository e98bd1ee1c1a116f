package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"coralhub/internal/emulator"
	"coralhub/wire"
)

// nodeArg returns the node that a command names, or n1 if it names none.
func nodeArg(t *testing.T, s *Sim, d *datadriven.TestData) *node {
	t.Helper()
	name := "n1"
	d.MaybeScanArgs(t, "node", &name)
	known := slices.Contains([]string{"leader", "deposed", "successor", "other", "others", "all"}, name) ||
		slices.ContainsFunc(s.nodes, func(n *node) bool { return n.name == name })
	if !known {
		t.Fatalf("%s: unknown node %q", d.Pos, name)
	}
	return s.resolveNode(name)
}

// resolveNode returns the node with a name or in a role, or the first node if there is none.
func (s *Sim) resolveNode(name string) *node {
	switch name {
	case "leader":
		name = s.leader()
	case "deposed":
		if s.deposedLeader != nil {
			name = s.deposedLeader.name
		}
	case "successor":
		if name = s.leader(); s.deposedLeader != nil && name == s.deposedLeader.name {
			name = "none"
		}
	case "other":
		for _, n := range s.nodes {
			if n.name != s.leader() && n.alive {
				name = n.name
			}
		}
	}
	return s.node(name)
}

// durationArg returns the value of a duration argument of a command, or the default.
func durationArg(t *testing.T, d *datadriven.TestData, key, def string) emulator.Micros {
	t.Helper()
	d.MaybeScanArgs(t, key, &def)
	x, err := time.ParseDuration(def)
	if err != nil {
		t.Fatalf("%s: duration %s: %v", d.Pos, key, err)
	}
	if x < 0 {
		t.Fatalf("%s: %s=%s: expected a duration of at least 0", d.Pos, key, def)
	}
	return x.Microseconds()
}

// fractionArg returns the value of an argument of a command that is a fraction from 0 to 1, or 0 if
// there is none.
func fractionArg(t *testing.T, d *datadriven.TestData, name string) float64 {
	t.Helper()
	text := "0"
	d.MaybeScanArgs(t, name, &text)
	fraction, err := strconv.ParseFloat(text, 64)
	if err != nil || fraction < 0 || fraction > 1 {
		t.Fatalf("%s: %s=%s: expected a fraction from 0 to 1", d.Pos, name, text)
	}
	return fraction
}

// nodeNamed reports whether the node argument of a command is the given name.
func nodeNamed(t *testing.T, d *datadriven.TestData, name string) bool {
	t.Helper()
	named := ""
	return d.MaybeScanArgs(t, "node", &named) && named == name
}

// priorities maps the usual names of priorities to those of the protocol, which scripts may use too.
var priorities = map[string]string{"production": wire.Production, "normal": wire.Normal, "low": wire.Low}

// jobArg returns the job that a submit command describes.
func jobArg(t *testing.T, d *datadriven.TestData, id string) *emulator.SubmittedJob {
	t.Helper()
	shape, team, rank := wire.Array, "red", wire.Normal
	tasks, gpus, save := 1, 1, 0
	d.MaybeScanArgs(t, "shape", &shape)
	switch shape {
	case "array":
		shape = wire.Array
	case "gang":
		shape = wire.Gang
	}
	d.MaybeScanArgs(t, "team", &team)
	if d.MaybeScanArgs(t, "rank", &rank); priorities[rank] != "" {
		rank = priorities[rank]
	}
	d.MaybeScanArgs(t, "tasks", &tasks)
	d.MaybeScanArgs(t, "gpus", &gpus)
	d.MaybeScanArgs(t, "save", &save)
	zone, needs, cpus := "", "", 1
	d.MaybeScanArgs(t, "zone", &zone)
	d.MaybeScanArgs(t, "needs", &needs)
	d.MaybeScanArgs(t, "cpus", &cpus)
	j := &emulator.SubmittedJob{RunTime: durationArg(t, d, "run", "3s"), RunTimeStep: durationArg(t, d, "steps", "0s"),
		AlwaysFails: d.HasArg("mistaken")}
	j.Job = wire.Job{ID: id, Class: "c", Team: team, Shape: shape, Priority: rank, Tasks: tasks, CPUs: float64(cpus),
		GPUs: float64(gpus), MemoryGB: 1, Image: "i", ImageGB: 1, Zone: zone,
		OneZone: d.HasArg("one_zone"), Spread: d.HasArg("spread"), Spot: d.HasArg("spot"),
		EstimateS: float64(j.RunTime) / 1e6, SaveS: float64(save), CheckpointS: float64(save)}
	if d.HasArg("wordy") { // strings of the maximum length
		j.Class = strings.Repeat("c", 128)
		j.Types = []string{"t4"}
		for i := range 15 {
			j.Types = append(j.Types, fmt.Sprintf("%0128d", i))
		}
	}
	if d.HasArg("due") {
		due := float64(durationArg(t, d, "due", "1s")) / 1e6
		j.DeadlineS = &due
	}
	if needs != "" {
		j.Dependencies = strings.Split(needs, "+")
	}
	return j
}
