package emulator

import (
	"coralhub/internal/invariants"
	"coralhub/wire"
)

// saveTime is how long a task takes to save a checkpoint when it is stopped.
const saveTime = Second

// task is an attempt of a task on a machine.
type task struct {
	wire.TaskStatus
	stateSince   Micros // when it was received, started, or began to wait or to save
	fromProgress Micros // the progress that it started from, or saves
	onMachine    bool   // it has its image and has not left the machine
}

// TaskRunner takes tasks through their states.
type TaskRunner struct {
	Fails map[string]Micros // machines on which every task fails that starts after that time

	protocol *Protocol
	cloud    *Cloud // gives the model
	jobs     *JobRegistry
	progress *progress
	events   *EventSink
}

// advance takes a task to its next state if it is time. Gangs are started and completed by gangs.
func (r *TaskRunner) advance(now Micros, m *Machine, t *task) {
	id, n, _ := wire.ParseTaskName(t.Task)
	j := r.jobs.Jobs[id]
	if j == nil {
		return
	}
	switch t.State {
	case wire.Fetching:
		r.advanceFetching(now, m, t, j)
	case wire.Waiting:
		if now-t.stateSince > r.protocol.GangWait {
			r.exit(now, m, t, wire.CauseIncomplete)
		}
	case wire.Running:
		since, failing := r.Fails[m.Name]
		switch {
		case failing && t.stateSince > since || j.Mistaken:
			r.exit(now, m, t, wire.CauseError)
		case j.Shape == wire.Array && r.progress.of(now, m, t) >= j.RunOf(n):
			r.complete(now, m, t)
		}
	case wire.Saving:
		if now-t.stateSince >= saveTime {
			t.Saved = true
			r.progress.save(j, n, t.fromProgress)
			r.exit(now, m, t, wire.CauseStopped)
		}
	}
}

// advanceFetching starts a task that has its image, or ends it if the task has completed meanwhile.
func (r *TaskRunner) advanceFetching(now Micros, m *Machine, t *task, j *SubmittedJob) {
	if r.cloud.Model != nil && !m.hasImage(now, j) {
		return
	}
	id, n, _ := wire.ParseTaskName(t.Task)
	if r.jobs.done[id][n] {
		r.exit(now, m, t, wire.Done)
		return
	}
	t.onMachine = true
	r.events.emit(invariants.Event{
		At: now, Kind: invariants.TaskStarted, Job: id, Task: n, Attempt: t.Attempt, Machine: m.Name,
	})
	r.run(now, m, t, j, n)
	if j.Shape == wire.Gang {
		t.State = wire.Waiting
	}
}

// run has a task run from the progress that was saved of the n-th task of its job.
func (r *TaskRunner) run(now Micros, m *Machine, t *task, j *SubmittedJob, n int) {
	t.State = wire.Running
	t.stateSince = now
	t.fromProgress = r.progress.saved(j, n)
	m.changed = true
}

// complete ends a task that is done.
func (r *TaskRunner) complete(now Micros, m *Machine, t *task) {
	id, n, _ := wire.ParseTaskName(t.Task)
	r.jobs.complete(id, n)
	r.events.emit(invariants.Event{At: now, Kind: invariants.TaskDone, Job: id, Task: n})
	r.exit(now, m, t, wire.Done)
}

// exit ends a task with a cause. The worker reports it until a command has it forget the task.
func (r *TaskRunner) exit(now Micros, m *Machine, t *task, cause string) {
	r.leave(now, m, t)
	t.State = wire.Exited
	t.Cause = cause
	m.changed = true
}

// leave notes that a task is not on its machine any more.
func (r *TaskRunner) leave(now Micros, m *Machine, t *task) {
	if !t.onMachine {
		return
	}
	t.onMachine = false
	id, n, _ := wire.ParseTaskName(t.Task)
	r.events.emit(invariants.Event{
		At: now, Kind: invariants.TaskStopped, Job: id, Task: n, Attempt: t.Attempt, Machine: m.Name,
	})
}

// endAll ends all tasks of a machine; their periodic checkpoints remain.
func (r *TaskRunner) endAll(now Micros, m *Machine) {
	for _, t := range m.tasks {
		id, n, _ := wire.ParseTaskName(t.Task)
		if j := r.jobs.Jobs[id]; j != nil && t.State == wire.Running && j.CheckpointS > 0 {
			interval := Micros(j.CheckpointS * float64(Second))
			r.progress.save(j, n, r.progress.of(now, m, t)/interval*interval)
		}
		r.leave(now, m, t)
	}
}
