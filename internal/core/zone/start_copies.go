package zone

import (
	"maps"
	"slices"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

// startCalls holds the fencing tokens of direct calls that carried a start of an attempt, by attempt, the highest of
// each. The network may deliver a copy of a call again at any time, also long after its answer. The worker executes it
// until it has received a higher token or its incarnation ends. While the worker knows the attempt, a copy has no
// effect.
type startCalls map[job.AttemptKey]uint64

// note records the starts in a call that is sent under a token.
func (s *startCalls) note(token uint64, commands []wire.Command) {
	for _, c := range commands {
		id, task, ok := wire.ParseTaskName(c.Task)
		if c.Verb != wire.CommandStart || !ok {
			continue
		}
		if *s == nil {
			*s = startCalls{}
		}
		key := job.AttemptKey{Job: id, Task: task, Attempt: c.Attempt}
		(*s)[key] = max((*s)[key], token)
	}
}

// discardBelow discards the calls that a worker no longer executes because it has received a higher token.
func (s startCalls) discardBelow(received uint64) {
	maps.DeleteFunc(s, func(_ job.AttemptKey, token uint64) bool { return token < received })
}

// ContainsStart reports whether any of the commands is a start.
func ContainsStart(commands []wire.Command) bool {
	return slices.ContainsFunc(commands, func(c wire.Command) bool { return c.Verb == wire.CommandStart })
}

// StartMayRepeat reports whether the worker may execute a copy of a direct call of this term that carried a start of
// the attempt. Calls of earlier terms are covered by StartsResolved.
func (m *Machine) StartMayRepeat(key job.AttemptKey) bool {
	_, ok := m.startCalls[key]
	return ok
}

// ExitedAttempts returns the number of exited attempts in the worker's newest message.
func (m *Machine) ExitedAttempts() int {
	n := 0
	for _, t := range m.Tasks {
		if t.State == wire.Exited {
			n++
		}
	}
	return n
}

// TokenOfExitedStarts returns the highest token of the direct calls whose copies may start an attempt that the worker
// reports as exited, or 0 if there are none. The worker can be told to forget these attempts once it has received a
// higher token.
func (m *Machine) TokenOfExitedStarts() uint64 {
	highest := uint64(0)
	for key, token := range m.startCalls {
		if m.Tasks[key].State == wire.Exited {
			highest = max(highest, token)
		}
	}
	return highest
}
