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

// fleetSizes are the fleet sizes that are compared: about 36 and 400 machines.
var fleetSizes = []struct {
	name  string
	scale int
}{{"earlier", 6}, {"grown", 67}}

// newBusySim returns a simulation in which team red uses all of its limit and has jobs that wait for it,
// and the leader and another node.
func newBusySim(tb testing.TB, scale int) (s *Sim, leader, other *node) {
	tb.Helper()
	s = newSimOfScale(3, scale, 0)
	s.run(3 * emulator.Second)
	for i := range 3 * scale {
		j := &emulator.SubmittedJob{RunTime: 1000 * emulator.Second}
		j.Job = wire.Job{ID: fmt.Sprintf("j-%d", i), Class: "c", Team: "red", Shape: wire.Array, Priority: wire.Normal,
			Tasks: 8, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 1000}
		if i%10 == 9 {
			j.Tasks = 40 // more than the limit allows
		}
		if a := s.submit(s.nodes[i%3], j); a.Status != 201 {
			tb.Fatalf("submission of %s: %v, want status 201", j.ID, a)
		}
	}
	s.run(15 * emulator.Second)
	leader = s.node(s.leader())
	for _, n := range s.nodes {
		if n != leader {
			other = n
		}
	}
	if used := s.env.UsedGPUs("red"); used < s.teamLimits["red"] {
		tb.Fatalf("team red uses %v GPUs, want its limit of %v", used, s.teamLimits["red"])
	}
	return s, leader, other
}

// stepper returns a function that advances the time of a node and runs a step of its core.
func (s *Sim) stepper(n *node) func(emulator.Micros, msg.Input) []msg.Effect {
	at := s.now - n.startedAt + 1
	return func(after emulator.Micros, in msg.Input) []msg.Effect {
		at += after
		return n.core.Step(at, in)
	}
}

// heartbeats returns a function that returns heartbeats of the same machine with unchanged content.
func (s *Sim) heartbeats() func() msg.Input {
	m := s.env.Machines[s.env.MachineNames()[0]]
	return func() msg.Input { return msg.HeartbeatIn{RequestID: 1, Heartbeat: m.NextHeartbeat(), Forwarded: true} }
}

// recordChanges returns a function that returns changes of the record of a job, each with a higher
// version than the one before and the same value.
func (s *Sim) recordChanges(tb testing.TB) func() wire.Change {
	tb.Helper()
	key := job.RecordKey("j-0")
	it := s.state.Get(key)
	if it.Version == 0 {
		tb.Fatalf("record %s not found", key)
	}
	version := s.state.Revision()
	return func() wire.Change {
		version++
		return wire.Change{Put: key, Value: it.Value, Version: version}
	}
}

// benchmarkSizes benchmarks the function that prepare returns, at each fleet size.
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

// BenchmarkHeartbeat measures an unchanged heartbeat at the leader.
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

// BenchmarkFailover measures a failover: reading all records, the election, and reading the records again.
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
				b.Fatal("the node started no election after its lease was granted")
			}
		}
	})
}

// The cost of an unchanged heartbeat and of a step without changes must not grow with the fleet. It is
// measured in allocations, which are independent of the clock.
func TestAllocationsIndependentOfFleetSize(t *testing.T) {
	var heartbeatAllocs, idleStepAllocs [2]float64
	for i, size := range fleetSizes {
		s, leader, _ := newBusySim(t, size.scale)
		step, next := s.stepper(leader), s.heartbeats()
		heartbeatAllocs[i] = testing.AllocsPerRun(200, func() { step(1, next()) })
		idleStepAllocs[i] = testing.AllocsPerRun(5, func() { step(1, msg.PeerAlive{Node: "n9"}) })
	}
	if heartbeatAllocs[1] > heartbeatAllocs[0]*1.1+2 {
		t.Errorf("a heartbeat takes %v allocations at size %s and %v at size %s",
			heartbeatAllocs[0], fleetSizes[0].name, heartbeatAllocs[1], fleetSizes[1].name)
	}
	if idleStepAllocs[1] > idleStepAllocs[0]+2 {
		t.Errorf("a step without changes takes %v allocations at size %s and %v at size %s",
			idleStepAllocs[0], fleetSizes[0].name, idleStepAllocs[1], fleetSizes[1].name)
	}
}

// Tasks that end one by one must not take a change of the job's record each: the number of changes of
// records grows with the number of jobs, and that of the completion log with time.
func TestRecordChangesIndependentOfTaskCount(t *testing.T) {
	const jobs = 4
	var records [2]int
	for i, tasks := range []int{3, 30} {
		s := newSimOfScale(3, 24, 0)
		s.run(3 * emulator.Second)
		start := s.now
		for k := range jobs {
			j := &emulator.SubmittedJob{RunTime: 2 * emulator.Second, RunTimeStep: emulator.Second / 2}
			j.Job = wire.Job{ID: fmt.Sprintf("j-%d", k), Class: "c", Team: "red", Shape: wire.Array, Priority: wire.Normal,
				Tasks: tasks, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 2}
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
		if logChanges := len(s.state.Since(job.KeyRoot+"ended/", 0)); logChanges > 10*(seconds+1)+4 {
			t.Errorf("%d changes of the completion log in %d s, want at most %d", logChanges, seconds, 10*(seconds+1)+4)
		}
		for _, b := range s.env.Violations {
			t.Error(b)
		}
	}
	if records[1] > records[0]+2*jobs {
		t.Errorf("%d jobs of 3 tasks took %d changes of records, and of 30 tasks %d", jobs, records[0], records[1])
	}
}
