package emulator

import (
	"coralhub/internal/invariants"
	"coralhub/wire"
)

// saveDuration is how long a task takes to save a checkpoint when it is stopped.
const saveDuration = Second

// task is an attempt of a task on a machine.
type task struct {
	wire.TaskStatus
	stateSince   Micros // when it was received, started, or began to wait or to save a checkpoint
	fromProgress Micros // the progress that it started from or that it is saving
	onMachine    bool   // it has started on the machine and not ended
}

// TaskRunner advances tasks through their states.
type TaskRunner struct {
	FailingSince map[string]Micros // by machine: every task that starts there after this time fails

	protocol *Protocol
	cloud    *Cloud // for its model
	jobs     *JobRegistry
	progress *progress
	events   *EventSink
}

// advance moves a task to its next state when that is due. The tasks of gangs are started and completed
// by gangs.advance.
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
			r.exit(now, m, t, wire.CauseGangIncomplete)
		}
	case wire.Running:
		since, failing := r.FailingSince[m.Name]
		switch {
		case failing && t.stateSince > since || j.AlwaysFails:
			r.exit(now, m, t, wire.CauseError)
		case j.Shape == wire.Array && r.progress.current(now, m, t) >= j.RunTimeOf(n):
			r.complete(now, m, t)
		}
	case wire.Saving:
		if now-t.stateSince >= saveDuration {
			t.Saved = true
			r.progress.save(j, n, t.fromProgress)
			r.exit(now, m, t, wire.CauseStopped)
		}
	}
}

// advanceFetching starts a task whose image has been fetched, or ends it if the task has completed
// meanwhile.
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

// run makes a task run, starting from the last checkpoint of the n-th task of its job.
func (r *TaskRunner) run(now Micros, m *Machine, t *task, j *SubmittedJob, n int) {
	t.State = wire.Running
	t.stateSince = now
	t.fromProgress = r.progress.lastCheckpoint(j, n)
	m.changed = true
}

// complete ends a task as done and records it as completed.
func (r *TaskRunner) complete(now Micros, m *Machine, t *task) {
	id, n, _ := wire.ParseTaskName(t.Task)
	r.jobs.complete(id, n)
	r.events.emit(invariants.Event{At: now, Kind: invariants.TaskDone, Job: id, Task: n})
	r.exit(now, m, t, wire.Done)
}

// exit ends a task with a cause. The worker reports the task until it receives a forget command for it.
func (r *TaskRunner) exit(now Micros, m *Machine, t *task, cause string) {
	r.markStopped(now, m, t)
	t.State = wire.Exited
	t.Cause = cause
	m.changed = true
}

// markStopped records that a task is no longer on its machine, if it has started there.
func (r *TaskRunner) markStopped(now Micros, m *Machine, t *task) {
	if !t.onMachine {
		return
	}
	t.onMachine = false
	id, n, _ := wire.ParseTaskName(t.Task)
	r.events.emit(invariants.Event{
		At: now, Kind: invariants.TaskStopped, Job: id, Task: n, Attempt: t.Attempt, Machine: m.Name,
	})
}

// endAll ends all tasks of a machine. Running tasks keep the progress of their last periodic checkpoint.
func (r *TaskRunner) endAll(now Micros, m *Machine) {
	for _, t := range m.tasks {
		id, n, _ := wire.ParseTaskName(t.Task)
		if j := r.jobs.Jobs[id]; j != nil && t.State == wire.Running && j.CheckpointS > 0 {
			// A shorter interval would be rounded to 0.
			interval := max(1, Micros(j.CheckpointS*float64(Second)))
			r.progress.save(j, n, r.progress.current(now, m, t)/interval*interval)
		}
		r.markStopped(now, m, t)
	}
}
