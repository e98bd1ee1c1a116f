package scenario

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"coralhub/internal/core/preemption"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// Urgent gangs are submitted to a full cluster whose leaders crash repeatedly while tasks are
// preempted for the gangs: before or after a decision is committed, while tasks save checkpoints, or
// while machines are reserved. No more tasks may be preempted than the gangs need.
func TestNoUnnecessaryPreemptions(t *testing.T) {
	unnecessary := 0
	for seed := range uint64(60) {
		unnecessary += unnecessaryPreemptions(t, seed, nil, 3)
	}
	if unnecessary > 0 {
		t.Errorf("%d unnecessary preemptions, want none", unnecessary)
	}
	uncommitted := 0
	for seed := range uint64(60) {
		uncommitted += unnecessaryPreemptions(t, seed, []string{"n1", "n2", "n3", "n4", "n5"}, 3)
	}
	t.Logf("%d unnecessary preemptions in the first format, in which decisions aren't committed", uncommitted)
	if uncommitted == 0 {
		t.Error("no unnecessary preemptions in the first format: the test doesn't crash leaders at critical times")
	}
}

// Guards against decisions to preempt tasks that are lost in a failover, because the time that the tasks need to save
// makes them last longer than any decision is in force.
func TestNoUnnecessaryPreemptionsOfSlowSavers(t *testing.T) {
	for _, saveS := range []float64{45, 90, wire.MaxAmount} {
		unnecessary := 0
		for seed := range uint64(30) {
			unnecessary += unnecessaryPreemptions(t, seed, nil, saveS)
		}
		if unnecessary > 0 {
			t.Errorf("%d unnecessary preemptions of tasks that save within %v s, want none", unnecessary, saveS)
		}
	}
}

// unnecessaryPreemptions runs the simulation of TestNoUnnecessaryPreemptions with a seed and returns the
// number of tasks that were preempted beyond those that the gangs need. Nodes that are held to the first
// format don't commit their decisions. saveS is the time that the users of the tasks give for saving a
// checkpoint, in seconds; the simulated workers take less.
func unnecessaryPreemptions(t *testing.T, seed uint64, held []string, saveS float64) int {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 5))
	s := newSimWithUpgrade(5, 1, 0, held)
	s.limitsAnnounced = false
	s.env.Lease = 12 * emulator.Second // so that no task ends for lack of a leader, which would count as a preemption
	for _, n := range s.nodes {
		s.start(n)
	}
	s.run(3 * emulator.Second)
	filler := &emulator.SubmittedJob{RunTime: 900 * emulator.Second}
	filler.Job = wire.Job{ID: "j-1", Class: "idle", Team: "red", Shape: wire.Array, Priority: wire.Low, Tasks: 16,
		CPUs: 16, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 900, CheckpointS: 3, SaveS: saveS}
	s.submit(s.nodes[0], filler)
	for try := 0; len(s.env.TasksOf("j-1", true)) < 16; try++ {
		if try > 200 {
			t.Fatalf("seed %d: %d tasks placed after %d ticks, want 16", seed, len(s.env.TasksOf("j-1", true)), try)
		}
		s.run(tick)
	}
	s.run(5 * emulator.Second)
	var gangs []string
	gangTasks := 0
	for i := range 1 + rnd.IntN(3) {
		g := &emulator.SubmittedJob{RunTime: 900 * emulator.Second}
		g.Job = wire.Job{ID: fmt.Sprintf("j-2%d", i), Class: "urgent", Team: "red", Shape: wire.Gang,
			Priority: wire.Production, Tasks: 1 + rnd.IntN(4),
			CPUs: 16, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 900}
		gangs = append(gangs, g.ID)
		gangTasks += g.Tasks
		s.submit(s.nodes[rnd.IntN(5)], g)
	}
	// At most two of the five nodes are down at a time, so that a leader can be elected.
	for range 2 {
		if rnd.IntN(2) == 0 {
			s.crash = crashTrigger{preemption.KeyPrefix, rnd.IntN(2) == 0}
		}
		s.run(emulator.Micros(rnd.IntN(50)) * tick)
		s.crash = crashTrigger{}
		if n := s.node(s.leader()); n.alive {
			n.alive = false
		}
		s.run(emulator.Micros(rnd.IntN(60)) * tick)
		for _, n := range s.nodes {
			if !n.alive {
				s.start(n)
			}
		}
	}
	for try := 0; ; try++ {
		running := 0
		for _, id := range gangs {
			running += len(s.env.TasksOf(id, true))
		}
		if running == gangTasks {
			break
		}
		if try > 600 {
			t.Errorf("seed %d: %d of %d tasks of the gangs are placed after a minute\n%s", seed, running, gangTasks, s.show())
			break
		}
		s.run(tick)
	}
	s.run(15 * emulator.Second)
	for _, b := range s.env.Violations {
		t.Errorf("seed %d: %s", seed, b)
	}
	return filler.Starts - 16
}
