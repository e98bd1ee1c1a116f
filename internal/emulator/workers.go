package emulator

import (
	"net/http"

	"coralhub/wire"
)

// Workers emulates the workers of the machines: their leases, incarnations and commands.
type Workers struct {
	protocol *Protocol
	cloud    *Cloud
	jobs     *JobRegistry
	checker  *Checker
	tasks    *TaskRunner
}

// tickWorker advances a worker that has started, and its tasks. When the worker's lease has expired, all
// its tasks end and the next incarnation begins.
func (w *Workers) tickWorker(now Micros, m *Machine) {
	// Whether the lease of a machine that hangs can expire depends on KeepTasksOnHang.
	if now-m.leaseStart > w.protocol.Lease && (!w.protocol.KeepTasksOnHang || !m.Hanging) {
		w.tasks.endAll(now, m)
		m.tasks = nil
		m.changed = true
		m.Incarnation++
		m.leaseStart = now
	}
	if m.Hanging {
		return
	}
	for _, t := range m.tasks {
		w.tasks.advance(now, m, t)
	}
}

// Commands handles a direct call with commands to a worker and returns the HTTP status and the worker's
// status. Commands with an older fencing token or for another incarnation are refused with 409.
func (w *Workers) Commands(now Micros, m *Machine, request wire.CommandRequest) (int, wire.Heartbeat) {
	m.observeFencingToken(request.FencingToken)
	if request.FencingToken < m.FencingToken || request.Incarnation != m.Incarnation {
		return http.StatusConflict, m.NextHeartbeat()
	}
	w.execute(now, m, request.Commands)
	return http.StatusOK, m.NextHeartbeat()
}

// execute executes commands in order. A command that doesn't apply to the task's state has no effect.
func (w *Workers) execute(now Micros, m *Machine, commands []wire.Command) {
	for _, c := range commands {
		t := m.findTask(c.Task, c.Attempt)
		switch {
		case c.Verb == wire.CommandStart && t == nil:
			w.start(now, m, c)
		case c.Verb == wire.CommandStop && t != nil && t.State != wire.Exited:
			w.stop(now, m, t, c)
		case c.Verb == wire.CommandForget && t != nil && t.State == wire.Exited:
			m.removeTask(t)
		}
	}
}

// stop makes a running task save a checkpoint if its job has checkpoints and the grace period of the
// command suffices, and ends it otherwise. A task that is already saving continues to do so unless the
// command gives no grace period.
func (w *Workers) stop(now Micros, m *Machine, t *task, c wire.Command) {
	id, _, _ := wire.ParseTaskName(c.Task)
	j := w.jobs.Jobs[id]
	if t.State == wire.Running && j.CheckpointS > 0 && c.GraceS != nil && *c.GraceS >= j.SaveS {
		t.fromProgress = w.tasks.progress.current(now, m, t)
		t.State = wire.Saving
		t.stateSince = now
		m.changed = true
		return
	}
	noGrace := c.GraceS == nil || *c.GraceS == 0
	if t.State != wire.Saving || noGrace {
		w.tasks.exit(now, m, t, wire.CauseStopped)
	}
}

// start adds a task to a machine, which then fetches the task's image. A task that is unknown or for which
// the machine has too few GPUs exits at once.
func (w *Workers) start(now Micros, m *Machine, c wire.Command) {
	m.changed = true
	t := &task{TaskStatus: wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.Fetching}, stateSince: now}
	m.tasks = append(m.tasks, t)
	id, n, ok := wire.ParseTaskName(c.Task)
	j := w.jobs.Jobs[id]
	if !ok || j == nil || n >= j.Tasks {
		w.tasks.exit(now, m, t, wire.CauseUnknown)
		return
	}
	if w.usedGPUs(m) > w.cloud.gpusOf(m) {
		w.tasks.exit(now, m, t, wire.CauseNoCapacity)
		return
	}
	j.Starts++
	w.checker.checkStart(now, m, t)
}

// usedGPUs returns the number of GPUs that the tasks on a machine use.
func (w *Workers) usedGPUs(m *Machine) float64 {
	used := 0.0
	for _, t := range m.tasks {
		id, _, _ := wire.ParseTaskName(t.Task)
		if j := w.jobs.Jobs[id]; j != nil && t.State != wire.Exited {
			used += j.GPUs
		}
	}
	return used
}

// Restart stops a machine with all its tasks; it starts again after the given time. Its worker continues with the
// next incarnation or, if loseState is set, starts at incarnation 1 without any of its former state.
func (w *Workers) Restart(now, after Micros, m *Machine, loseState bool) {
	w.tasks.endAll(now, m)
	m.tasks = nil
	m.changed = true
	m.inFlight = false
	m.Incarnation++
	if loseState {
		m.Incarnation = 1
		m.Sequence = 0
		m.FencingToken = 0
	}
	m.StartsAt = now + after
	m.leaseStart = now + after
}

// HandleHeartbeatResponse handles a successful answer to the heartbeat that an incarnation of a worker sent
// at a time. An answer that has an older fencing token, is for another incarnation, or arrives more than
// maxAnswerAge after the heartbeat was sent has no effect.
func (w *Workers) HandleHeartbeatResponse(
	now, sent Micros, incarnation uint64, m *Machine, response wire.HeartbeatResponse,
) {
	if response.FencingToken < m.FencingToken || incarnation != m.Incarnation || now-sent > maxAnswerAge {
		return
	}
	m.observeFencingToken(response.FencingToken)
	m.leaseStart = sent
	w.execute(now, m, response.Commands)
}
