package hollow

import (
	"net/http"
	"slices"
	"time"

	"coralhub/internal/wait"
	"coralhub/wire"
)

// restartPollInterval is how often a request to a restarting machine checks whether the machine is up.
const restartPollInterval = 100 * time.Millisecond

// ServeHTTP handles direct commands and status requests. While the machine is restarting, requests are
// delayed until it is up.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.host.meter.commands.Add(1)
	var request wire.CommandRequest
	statusOnly := r.URL.Path == wire.PathStatus
	valid := statusOnly || decode(r, &request)
	for w.isRestarting() {
		if !w.host.sleep(r.Context(), restartPollInterval) {
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !valid || !statusOnly && request.Incarnation == 0:
		respond(out, http.StatusBadRequest, wire.Error{Error: "malformed"})
	case statusOnly:
		respond(out, http.StatusOK, w.heartbeat())
	case request.FencingToken < w.token || request.Incarnation != w.incarnation:
		w.observeToken(request.FencingToken)
		respond(out, http.StatusConflict, w.heartbeat())
	default:
		w.observeToken(request.FencingToken)
		w.executeCommands(request.Commands)
		respond(out, http.StatusOK, w.heartbeat())
	}
}

func (w *worker) isRestarting() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.restarting
}

// executeCommands executes commands in order. The caller holds w.mu.
func (w *worker) executeCommands(commands []wire.Command) {
	if w.removed {
		return
	}
	for i := range commands {
		c := &commands[i]
		at := slices.IndexFunc(w.tasks, func(t *task) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
		switch {
		case c.Verb == wire.CommandStart && at < 0:
			w.startTask(c)
		case c.Verb == wire.CommandStop && at >= 0 && !isTerminal(&w.tasks[at].TaskStatus):
			w.exitTask(w.tasks[at], wire.CauseStopped)
		case c.Verb == wire.CommandForget && at >= 0 && isTerminal(&w.tasks[at].TaskStatus):
			w.tasks = slices.Delete(w.tasks, at, at+1)
		}
	}
}

// startTask adds a task. The task runs, waits for its gang, or exits immediately if the machine can't run
// it. The caller holds w.mu.
func (w *worker) startTask(c *wire.Command) {
	id, number, ok := wire.ParseTaskName(c.Task)
	t := &task{TaskStatus: wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.Running}, job: w.host.job(id),
		number: number}
	w.tasks = append(w.tasks, t)
	w.requestHeartbeat()
	switch {
	case !ok || t.job == nil || number >= t.job.Tasks:
		t.State, t.Cause = wire.Exited, wire.CauseUnknown
		return
	case w.hasOtherAttempt(t):
		t.State, t.Cause = wire.Exited, wire.CauseBusy
		return
	case w.gpusUsed() > w.machine.GPUs:
		t.State, t.Cause = wire.Exited, wire.CauseNoCapacity
		return
	}
	w.emit(TaskPlaced, t)
	if t.job.Gang {
		t.State = wire.Waiting
		t.timer = w.after(w.host.gangWait, t, func() { w.exitTask(t, wire.CauseGangIncomplete) })
		return
	}
	t.timer = w.after(wait.Seconds(t.job.RunS), t, func() { w.completeTask(t) })
}

// hasOtherAttempt reports whether another attempt of a task is active on the machine. The caller holds w.mu.
func (w *worker) hasOtherAttempt(t *task) bool {
	return slices.ContainsFunc(w.tasks, func(other *task) bool {
		return other != t && other.Task == t.Task && !isTerminal(&other.TaskStatus)
	})
}

// gpusUsed returns the number of GPUs that active tasks use. The caller holds w.mu.
func (w *worker) gpusUsed() float64 {
	used := 0.0
	for _, t := range w.tasks {
		if t.job != nil && !isTerminal(&t.TaskStatus) {
			used += t.job.GPUs
		}
	}
	return used
}

// after calls f after d, with w.mu held, unless the task has exited or the worker is removed by then.
func (w *worker) after(d time.Duration, t *task, f func()) *time.Timer {
	return time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.removed && !isTerminal(&t.TaskStatus) {
			f()
		}
	})
}

// runGang runs the waiting tasks of a gang whose tasks are all placed.
func (w *worker) runGang(a *Attempt) {
	w.forAttempt(a, func(t *task) {
		if t.State != wire.Waiting {
			return
		}
		t.timer.Stop()
		t.State = wire.Running
		t.timer = w.after(wait.Seconds(t.job.RunS), t, func() { w.completeTask(t) })
		w.requestHeartbeat()
	})
}

// breakGang stops the running tasks of a gang after another task of the gang has stopped, each after a
// random delay of up to gang_peer_s.
func (w *worker) breakGang(a *Attempt) {
	w.forAttempt(a, func(t *task) {
		if t.State != wire.Running {
			return
		}
		t.timer.Stop()
		delay := time.Duration(w.host.random() * float64(w.host.gangPeer))
		t.timer = w.after(delay, t, func() { w.exitTask(t, wire.CausePeerStopped) })
	})
}

// forAttempt calls f, with w.mu held, for each task of an attempt on the machine.
func (w *worker) forAttempt(a *Attempt, f func(*task)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		if t.job != nil && t.job.ID == a.Job && t.Attempt == a.Attempt {
			f(t)
		}
	}
}

// completeTask ends a task whose run time has passed. The caller holds w.mu.
func (w *worker) completeTask(t *task) {
	w.emit(TaskDone, t)
	w.exitTask(t, wire.Done)
}

// exitTask ends a task with a cause. The caller holds w.mu.
func (w *worker) exitTask(t *task, cause string) {
	w.removeTask(t)
	t.State, t.Cause = wire.Exited, cause
	w.requestHeartbeat()
}

// removeTask stops a task's timer and emits a TaskRemoved event, unless the task has already exited. The
// caller holds w.mu.
func (w *worker) removeTask(t *task) {
	if isTerminal(&t.TaskStatus) {
		return
	}
	if t.timer != nil {
		t.timer.Stop()
	}
	w.emit(TaskRemoved, t)
}

func (w *worker) emit(kind string, t *task) {
	w.host.emit(Event{Task: &TaskEvent{Kind: kind, Job: t.job.ID, Task: t.number, Attempt: t.Attempt,
		Machine: w.machine.Name}})
}
