package scenario

import (
	"testing"

	"coralhub/internal/emulator"
	"coralhub/wire"
)

// Copies of all executed transactions arrive while jobs run, end, fail and are cancelled, and the leader changes.
func TestCopyOfExecutedTransactionChangesNoJob(t *testing.T) {
	t.Parallel()
	for name, script := range startCopyScripts {
		s := runScript(t, script, meetsCondition(t))
		for range 20 {
			s.repeatWrites()
			s.run(3 * emulator.Second)
		}
		if len(s.executedWrites) == 0 {
			t.Errorf("%s: no transaction was executed", name)
		}
		for _, violation := range s.env.Violations {
			t.Errorf("%s: %s", name, violation)
		}
	}
}

// Guards against machine types that a copy of an earlier write sets back: jobs for a new type would be refused for good.
func TestCopyOfCatalogWriteKeepsNewMachineType(t *testing.T) {
	t.Parallel()
	s := runScript(t, `
		environment
		submit id=j-1 run=1s
		run for=40s`, meetsCondition(t)) // the leader asks for the types every 30 s
	added := s.env.Types[0]
	added.Name = "t9"
	s.env.Types = append(s.env.Types, added)
	s.run(40 * emulator.Second)
	s.repeatWrites()
	s.run(emulator.Second)
	for _, n := range s.nodes {
		j := &emulator.SubmittedJob{Job: wire.Job{ID: "j-2" + n.name[1:], Class: "c", Team: "red", Shape: wire.Array,
			Priority: wire.Normal, Tasks: 1, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "i", Types: []string{"t9"}}}
		if a := s.submit(n, j); a.Status != 201 {
			t.Errorf("%s answers a job for the new type with %d, want 201", n.name, a.Status)
		}
	}
}
