package scenario

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"coralhub/internal/emulator"
	"coralhub/wire"
)

// requireNoViolations fails the test if an invariant was violated.
func (s *Sim) requireNoViolations(t *testing.T) {
	t.Helper()
	if n := len(s.env.Violations); n > 0 {
		t.Errorf("%d violations: %v", n, s.env.Violations[:min(n, maxProblems)])
	}
}

// Guards against controllers that end one after the other while a job whose tasks fail has a checkpoint interval below
// a microsecond, and against such a job that can no longer be polled or cancelled.
func TestFailingJobWithTinyCheckpointInterval(t *testing.T) {
	s := newSim(3)
	s.run(3 * emulator.Second)
	j := &emulator.SubmittedJob{RunTime: 3 * emulator.Second, AlwaysFails: true}
	j.Job = wire.Job{ID: "j-1", Class: "c", Team: "red", Shape: wire.Array, Priority: wire.High, Tasks: 2,
		CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 3, CheckpointS: 2e-7, SaveS: 1}
	if a := s.submit(s.nodes[0], j); a.Status != 201 {
		t.Fatalf("submission: %s, want 201", formatResponse(a))
	}
	s.run(30 * emulator.Second)
	for _, n := range s.nodes { // new processes find the job in the state service
		s.start(n)
	}
	s.run(30 * emulator.Second)
	if j.Starts < 6 {
		t.Errorf("%d starts, want at least 6: the tasks are retried before and after the restart", j.Starts)
	}
	s.cancelUntilFinal("j-1")
	s.run(20 * emulator.Second)
	if got := s.lastStatus["j-1"]; got != wire.Cancelled {
		t.Errorf("status %q after the cancellation, want %q", got, wire.Cancelled)
	}
	s.requireNoViolations(t)
}

// Guards against emulators that end with a division by zero when a machine is lost whose tasks have a checkpoint
// interval below a microsecond.
func TestMachineWithTinyCheckpointIntervalIsLost(t *testing.T) {
	s := newSim(3)
	s.run(3 * emulator.Second)
	j := &emulator.SubmittedJob{RunTime: 20 * emulator.Second}
	j.Job = wire.Job{ID: "j-1", Class: "c", Team: "red", Shape: wire.Array, Priority: wire.High, Tasks: 2,
		CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 20, CheckpointS: 2e-7, SaveS: 1}
	if a := s.submit(s.nodes[0], j); a.Status != 201 {
		t.Fatalf("submission: %s, want 201", formatResponse(a))
	}
	s.run(10 * emulator.Second)
	for _, name := range s.env.MachineNames() {
		s.env.Restart(s.now, emulator.Second/2, s.env.Machines[name], false)
	}
	s.run(60 * emulator.Second)
	if done := s.env.DoneTasks("j-1"); done != j.Tasks {
		t.Errorf("%d tasks done after the restart of their machines, want %d", done, j.Tasks)
	}
	s.requireNoViolations(t)
}

// Guards against a machine rented for each task of a job whose tasks need so little of a resource that the number of
// them that fit on a machine overflows.
func TestTinyTasksShareMachines(t *testing.T) {
	for name, needs := range map[string]wire.Job{
		"cores":  {CPUs: 1e-300, MemoryGB: 1},
		"GPUs":   {CPUs: 0.1, GPUs: 1e-20, MemoryGB: 1},
		"memory": {CPUs: 0.1, MemoryGB: 5e-324},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(3)
			s.run(3 * emulator.Second)
			j := &emulator.SubmittedJob{RunTime: 3 * emulator.Second, Job: needs}
			j.ID, j.Class, j.Team, j.Shape, j.Priority = "j-1", "c", "red", wire.Array, wire.Normal
			j.Tasks, j.Image, j.ImageGB, j.EstimateS = 24, "i", 1, 3
			if a := s.submit(s.nodes[0], j); a.Status != 201 {
				t.Fatalf("submission: %s, want 201", formatResponse(a))
			}
			s.run(60 * emulator.Second)
			if done := s.env.DoneTasks("j-1"); done != j.Tasks {
				t.Errorf("%d tasks done after 60 s, want %d", done, j.Tasks)
			}
			if s.env.Rented > 2 {
				t.Errorf("%d machines rented, want at most 2: all tasks fit on one, and operators allow a surplus", s.env.Rented)
			}
			s.requireNoViolations(t)
		})
	}
}

// extremeDays is the number of drawn days of TestExtremeAmounts. The default takes a few seconds.
var extremeDays = flag.Int("extreme-days", 20, "number of days of TestExtremeAmounts")

// extremeAmounts are amounts that the protocol allows, from the smallest to the largest number.
var extremeAmounts = []float64{
	0, 5e-324, 1e-300, 1e-18, 1e-9, 2e-7, 4.9e-7, 5e-7, 1e-6, 0.01, 1, 30, 1e6, wire.MaxAmount,
}

// Guards against controllers that end, and against jobs that can be neither polled nor cancelled, because an
// accepted amount is converted and then divides, indexes, sizes or times something.
func TestExtremeAmounts(t *testing.T) {
	for seed := range uint64(*extremeDays) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runExtremeDay(t, rand.New(rand.NewPCG(seed, 55)))
		})
	}
}

// runExtremeDay submits jobs with extreme amounts while machines and nodes restart, and cancels those that are left.
func runExtremeDay(t *testing.T, rnd *rand.Rand) {
	t.Helper()
	s := newSim(3 + 2*rnd.IntN(2))
	s.run(3 * emulator.Second)
	var accepted []string
	for n := range 30 {
		j := extremeJob(rnd, fmt.Sprint("j-", n+1))
		if a := s.submit(s.nodes[rnd.IntN(len(s.nodes))], j); a.Status == 201 {
			accepted = append(accepted, j.ID)
			s.pollUntilFinal(j.ID)
		}
		s.run(emulator.Micros(rnd.IntN(20)) * tick)
		switch names := s.env.MachineNames(); rnd.IntN(6) {
		case 0:
			s.start(s.nodes[rnd.IntN(len(s.nodes))])
		case 1, 2:
			if len(names) > 0 {
				s.env.Restart(s.now, emulator.Second/2, s.env.Machines[names[rnd.IntN(len(names))]], false)
			}
		case 3:
			if len(accepted) > 0 {
				s.cancelUntilFinal(accepted[rnd.IntN(len(accepted))])
			}
		}
	}
	if len(accepted) == 0 {
		t.Fatal("no job was accepted: the test shows nothing")
	}
	s.run(30 * emulator.Second)
	for _, id := range accepted {
		s.cancelUntilFinal(id)
	}
	s.run(60 * emulator.Second)
	for _, id := range accepted {
		if status := s.lastStatus[id]; status != wire.Done && status != wire.Cancelled {
			t.Errorf("%s is %q a minute after its cancellation, want it done or cancelled", id, status)
		}
	}
	s.requireNoViolations(t)
}

// extremeJob returns a job whose amounts are drawn from extremeAmounts, or are usual ones.
func extremeJob(rnd *rand.Rand, id string) *emulator.SubmittedJob {
	amount := func(usual float64) float64 {
		if rnd.IntN(2) == 0 {
			return usual
		}
		return extremeAmounts[rnd.IntN(len(extremeAmounts))]
	}
	small := func(usual float64) float64 { return min(amount(usual), usual) } // fits on a machine
	shapes := []string{wire.Array, wire.Array, wire.Gang, wire.Service}
	j := &emulator.SubmittedJob{RunTime: emulator.Micros(1+rnd.IntN(8)) * emulator.Second, AlwaysFails: rnd.IntN(4) == 0}
	j.Job = wire.Job{ID: id, Class: "c", Team: "red", Shape: shapes[rnd.IntN(len(shapes))],
		Priority: []string{wire.Production, wire.High, wire.Normal, wire.Low}[rnd.IntN(4)], Tasks: 1 + rnd.IntN(4),
		CPUs: small(1), GPUs: small(1), MemoryGB: small(1), Image: "i", ImageGB: amount(1), Spot: rnd.IntN(2) == 0,
		EstimateS: amount(3), CheckpointS: amount(2), SaveS: amount(1)}
	if due := amount(60); rnd.IntN(2) == 0 {
		j.DeadlineS = &due
	}
	return j
}

// Guards against a team whose tasks use more than its limit, because a job that needs less than the tolerance of sums
// is placed beside tasks that use all of the limit.
func TestTinyAmountsCountTowardsLimit(t *testing.T) {
	s := newSim(3)
	s.run(3 * emulator.Second)
	// Each of the large tasks has a machine of its own, part of which stays free.
	large := wire.Job{ID: "j-1", Tasks: 12, CPUs: 9, GPUs: s.teamLimits["red"] / 12}
	tiny := wire.Job{ID: "j-2", Tasks: 1, CPUs: 1, GPUs: 5e-7}
	for _, spec := range []wire.Job{large, tiny} {
		spec.Class, spec.Team, spec.Shape, spec.Priority = "c", "red", wire.Service, wire.Normal
		spec.MemoryGB, spec.Image, spec.ImageGB = 1, "i", 1
		if a := s.submit(s.nodes[0], &emulator.SubmittedJob{Job: spec}); a.Status != 201 {
			t.Fatalf("submission of %s: %s, want 201", spec.ID, formatResponse(a))
		}
		s.run(30 * emulator.Second)
	}
	if used, limit := s.env.UsedGPUs("red"), s.teamLimits["red"]; used > limit {
		t.Errorf("team red uses %v GPUs, want at most its limit of %v", used, limit)
	}
}
