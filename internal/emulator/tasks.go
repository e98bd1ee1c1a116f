package emulator

import (
	"coralhub/internal/invariants"
	"coralhub/wire"
)

// saveTime is how long a task takes to save a checkpoint when it is stopped.
const saveTime = Second

// gangCheckpoint is the key under which the progress of a whole gang is saved.
const gangCheckpoint = -1

// task is an attempt of a task on a machine.
type task struct {
	wire.TaskStatus
	stateSince   Micros // when it was received, started, or began to wait or to save
	fromProgress Micros // the progress that it started from, or saves
	onMachine    bool   // it has its image and has not left the machine
}

// advance takes a task to its next state if it is time. Gangs are started and completed by advanceGangs.
func (e *Environment) advance(now Micros, m *Machine, t *task) {
	id, n, _ := wire.ParseTaskName(t.Task)
	j := e.Jobs[id]
	if j == nil {
		return
	}
	switch t.State {
	case wire.Fetching:
		e.advanceFetching(now, m, t, j)
	case wire.Waiting:
		if now-t.stateSince > e.GangWait {
			e.exit(now, m, t, wire.CauseIncomplete)
		}
	case wire.Running:
		since, failing := e.Fails[m.Name]
		switch {
		case failing && t.stateSince > since || j.Mistaken:
			e.exit(now, m, t, wire.CauseError)
		case j.Shape == wire.Array && e.progress(now, m, t) >= j.RunOf(n):
			e.complete(now, m, t)
		}
	case wire.Saving:
		if now-t.stateSince >= saveTime {
			t.Saved = true
			e.checkpoint(j, n, t.fromProgress)
			e.exit(now, m, t, wire.CauseStopped)
		}
	}
}

// advanceFetching starts a task that has its image, or ends it if the task has completed meanwhile.
func (e *Environment) advanceFetching(now Micros, m *Machine, t *task, j *SubmittedJob) {
	if e.Model != nil && !m.hasImage(now, j) {
		return
	}
	id, n, _ := wire.ParseTaskName(t.Task)
	if e.done[id][n] {
		e.exit(now, m, t, wire.Done)
		return
	}
	t.onMachine = true
	e.emit(invariants.Event{At: now, Kind: invariants.TaskStarted, Job: id, Task: n, Attempt: t.Attempt, Machine: m.Name})
	e.run(now, m, t, j, n)
	if j.Shape == wire.Gang {
		t.State = wire.Waiting
	}
}

// run has a task run from the progress that was saved of the n-th task of its job.
func (e *Environment) run(now Micros, m *Machine, t *task, j *SubmittedJob, n int) {
	t.State = wire.Running
	t.stateSince = now
	t.fromProgress = e.savedProgress(j, n)
	m.changed = true
}

// complete ends a task that is done.
func (e *Environment) complete(now Micros, m *Machine, t *task) {
	id, n, _ := wire.ParseTaskName(t.Task)
	if e.done[id] == nil {
		e.done[id] = map[int]bool{}
	}
	e.done[id][n] = true
	e.emit(invariants.Event{At: now, Kind: invariants.TaskDone, Job: id, Task: n})
	e.exit(now, m, t, wire.Done)
}

// exit ends a task with a cause. The worker reports it until a command has it forget the task.
func (e *Environment) exit(now Micros, m *Machine, t *task, cause string) {
	e.leave(now, m, t)
	t.State = wire.Exited
	t.Cause = cause
	m.changed = true
}

// leave notes that a task is not on its machine any more.
func (e *Environment) leave(now Micros, m *Machine, t *task) {
	if !t.onMachine {
		return
	}
	t.onMachine = false
	id, n, _ := wire.ParseTaskName(t.Task)
	e.emit(invariants.Event{At: now, Kind: invariants.TaskStopped, Job: id, Task: n, Attempt: t.Attempt, Machine: m.Name})
}

// endTasks ends all tasks of a machine; their periodic checkpoints remain.
func (e *Environment) endTasks(now Micros, m *Machine) {
	for _, t := range m.tasks {
		id, n, _ := wire.ParseTaskName(t.Task)
		if j := e.Jobs[id]; j != nil && t.State == wire.Running && j.CheckpointS > 0 {
			interval := Micros(j.CheckpointS * float64(Second))
			e.checkpoint(j, n, e.progress(now, m, t)/interval*interval)
		}
		e.leave(now, m, t)
	}
}

// progress is how far a running task has come. Without a model it counts from its start.
func (e *Environment) progress(now Micros, m *Machine, t *task) Micros {
	if e.Model == nil {
		return now - t.stateSince
	}
	return t.fromProgress + Micros(float64(now-t.stateSince)*m.Speed)
}

// savedProgress is the progress that the n-th task of a job starts from.
func (e *Environment) savedProgress(j *SubmittedJob, n int) Micros {
	if e.Model == nil {
		return 0
	}
	return e.saved[j.ID][checkpointKey(j, n)]
}

// checkpointKey is the key under which the progress of the n-th task of a job is saved.
func checkpointKey(j *SubmittedJob, n int) int {
	if j.Shape == wire.Gang {
		return gangCheckpoint
	}
	return n
}

// checkpoint saves the progress of the n-th task of a job outside of the machines.
func (e *Environment) checkpoint(j *SubmittedJob, n int, progress Micros) {
	if e.Model == nil || j.CheckpointS <= 0 {
		return
	}
	if e.saved == nil {
		e.saved = map[string]map[int]Micros{}
	}
	if e.saved[j.ID] == nil {
		e.saved[j.ID] = map[int]Micros{}
	}
	key := checkpointKey(j, n)
	e.saved[j.ID][key] = max(e.saved[j.ID][key], progress)
}
