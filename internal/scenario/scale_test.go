package scenario

import (
	"fmt"
	"testing"

	"coralhub/internal/core"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// fleetSizes are the sizes that are compared: about 36 and 400 machines.
var fleetSizes = []struct {
	name  string
	scale int
}{{"earlier", 6}, {"grown", 67}}

// newBusySim returns a simulation whose machines are all in use, with jobs that wait for their
// team's limit, and the leader and another node.
func newBusySim(tb testing.TB, scale int) (s *Sim, leader, other *node) {
	tb.Helper()
	s = newSimOfScale(3, scale, 0)
	s.run(3 * emulator.Second)
	for i := range 3 * scale {
		j := &emulator.SubmittedJob{Run: 1000 * emulator.Second}
		j.Job = wire.Job{ID: fmt.Sprintf("j-%d", i), Class: "c", Team: "red", Shape: wire.Array, Priority: wire.Normal, Tasks: 8,
			CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 1000}
		if i%10 == 9 {
			j.Tasks = 40 // beyond the limit
		}
		if a := s.submit(s.nodes[i%3], j); a.Status != 201 {
			tb.Fatalf("not accepted: %v", a)
		}
	}
	s.run(15 * emulator.Second)
	leader = s.node(s.leader())
	for _, n := range s.nodes {
		if n != leader {
			other = n
		}
	}
	if used := s.env.Used("red"); used < s.teamLimits["red"] {
		tb.Fatalf("%v GPUs in use of %v", used, s.teamLimits["red"])
	}
	return s, leader, other
}

// stepper returns a function that advances a node's time and runs a step of its core.
func (s *Sim) stepper(n *node) func(emulator.Micros, msg.Input) []msg.Effect {
	at := s.now - n.startedAt + 1
	return func(after emulator.Micros, in msg.Input) []msg.Effect {
		at += after
		return n.core.Step(at, in)
	}
}

// heartbeats returns a function that returns the same heartbeat of a machine again and again.
func (s *Sim) heartbeats() func() msg.Input {
	m := s.env.Machines[s.env.Names()[0]]
	return func() msg.Input { return msg.HeartbeatIn{RequestID: 1, Heartbeat: m.Status(), Forwarded: true} }
}

// recordChanges returns a function that returns ever newer versions of the record of a waiting job.
func (s *Sim) recordChanges(tb testing.TB) func() wire.Change {
	tb.Helper()
	key := job.RecordKey("j-0")
	it := s.state.Get(key)
	if it.Version == 0 {
		tb.Fatal("no such job")
	}
	version := s.state.Revision()
	return func() wire.Change {
		version++
		return wire.Change{Put: key, Value: it.Value, Version: version}
	}
}

// benchmarkSizes benchmarks what prepare returns at each size.
func benchmarkSizes(b *testing.B, prepare func(s *Sim, leader, other *node) func()) {
	b.Helper()
	for _, size := range fleetSizes {
		b.Run(size.name, func(b *testing.B) {
			run := prepare(newBusySim(b, size.scale))
			b.ReportAllocs()
			for b.Loop() {
				run()
			}
		})
	}
}

// BenchmarkHeartbeat measures a heartbeat without news at the leader.
func BenchmarkHeartbeat(b *testing.B) {
	benchmarkSizes(b, func(s *Sim, leader, _ *node) func() {
		step, next := s.stepper(leader), s.heartbeats()
		return func() { step(1, next()) }
	})
}

// BenchmarkSchedulingCycle measures a scheduling cycle after a change of a record.
func BenchmarkSchedulingCycle(b *testing.B) {
	benchmarkSizes(b, func(s *Sim, leader, _ *node) func() {
		step, change := s.stepper(leader), s.recordChanges(b)
		return func() { step(100*1000, msg.PeerUpdate{Change: change()}) }
	})
}

// BenchmarkChange measures a change of a record at a node that doesn't lead.
func BenchmarkChange(b *testing.B) {
	benchmarkSizes(b, func(s *Sim, _, other *node) func() {
		step, change := s.stepper(other), s.recordChanges(b)
		return func() { step(1, msg.Changed{Events: []wire.Change{change()}}) }
	})
}

// BenchmarkFailover measures a failover: reading all records, the election, and reading them again.
func BenchmarkFailover(b *testing.B) {
	benchmarkSizes(b, func(s *Sim, _, other *node) func() {
		var items []wire.KeyValue
		for _, it := range s.state.List(job.KeyRoot) {
			if it.Key != job.KeyRoot+"leader" {
				items = append(items, it)
			}
		}
		rev := s.state.Revision()
		return func() {
			c := core.New(s.config(other.name), 0)
			c.Step(1, msg.Snapshot{Items: items, Revision: rev})
			c.Step(emulator.Second, msg.Tick{WallClock: s.now})
			elected := false
			for _, e := range c.Step(emulator.Second+1, msg.LeaseDone{Outcome: msg.OK, Lease: 99}) {
				if election, ok := e.(msg.Commit); ok {
					c.Step(emulator.Second+2, msg.CommitDone{ID: election.ID, Outcome: msg.OK, Revision: rev + 1})
					c.Step(emulator.Second+3, msg.Snapshot{Items: items, Revision: rev + 1})
					elected = true
				}
			}
			if !elected {
				b.Fatal("no election was held")
			}
		}
	})
}

// The cost of a heartbeat and of a step without news must not grow with the fleet. It is measured
// by allocations, which need no clock.
func TestWorkDoesNotGrowWithTheFleet(t *testing.T) {
	var report, quiet [2]float64
	for i, size := range fleetSizes {
		s, leader, _ := newBusySim(t, size.scale)
		step, next := s.stepper(leader), s.heartbeats()
		report[i] = testing.AllocsPerRun(200, func() { step(1, next()) })
		quiet[i] = testing.AllocsPerRun(5, func() { step(1, msg.PeerAlive{Node: "n9"}) })
	}
	if report[1] > report[0]*1.1+2 {
		t.Errorf("a report takes %v allocations at the earlier size and %v at the grown one", report[0], report[1])
	}
	if quiet[1] > quiet[0]+2 {
		t.Errorf("a step without news takes %v allocations at the earlier size and %v at the grown one", quiet[0], quiet[1])
	}
}

// Tasks that end one by one must not cost a change of their job's record each: the changes of
// records grow with the number of jobs, and those of the completion log with time.
func TestChangesGrowWithJobsNotWithTasks(t *testing.T) {
	const jobs = 4
	var records [2]int
	for i, tasks := range []int{3, 30} {
		s := newSimOfScale(3, 24, 0)
		s.run(3 * emulator.Second)
		start := s.now
		for k := range jobs {
			j := &emulator.SubmittedJob{Run: 2 * emulator.Second, Steps: emulator.Second / 2}
			j.Job = wire.Job{ID: fmt.Sprintf("j-%d", k), Class: "c", Team: "red", Shape: wire.Array, Priority: wire.Normal, Tasks: tasks,
				CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 2}
			s.submit(s.nodes[0], j)
		}
		for range 600 {
			if s.run(tick); s.env.Done("j-0") && s.env.Done("j-1") && s.env.Done("j-2") && s.env.Done("j-3") {
				break
			}
		}
		s.run(5 * emulator.Second)
		seconds := int((s.now - start) / emulator.Second)
		records[i] = len(s.state.Since(job.KeyRoot+"job/", 0))
		if pages := len(s.state.Since(job.KeyRoot+"ended/", 0)); pages > 10*(seconds+1)+4 {
			t.Errorf("%d changes of the log in %d s", pages, seconds)
		}
		for _, b := range s.env.Broken {
			t.Error(b)
		}
	}
	if records[1] > records[0]+2*jobs {
		t.Errorf("%d jobs of 3 tasks cost %d changes of records, of 30 tasks %d", jobs, records[0], records[1])
	}
}
