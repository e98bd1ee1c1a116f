package hollow

import (
	"net/http"
	"slices"
	"time"

	"coralhub/wire"
)

// awayCheck is how often a direct call looks whether the machine is back.
const awayCheck = 100 * time.Millisecond

// ServeHTTP answers direct calls. A machine that restarts doesn't.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.host.meter.commands.Add(1)
	var commands wire.CommandRequest
	asksStatus := r.URL.Path == wire.PathStatus
	sound := asksStatus || decode(r, &commands)
	for w.isAway() {
		if !w.host.sleep(r.Context(), awayCheck) {
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !sound || !asksStatus && commands.Incarnation == 0:
		respond(out, http.StatusBadRequest, wire.Error{Error: "malformed"})
	case asksStatus:
		respond(out, http.StatusOK, w.status())
	case commands.FencingToken < w.token || commands.Incarnation != w.session:
		w.raise(commands.FencingToken)
		respond(out, http.StatusConflict, w.status())
	default:
		w.raise(commands.FencingToken)
		w.carryOut(commands.Commands)
		respond(out, http.StatusOK, w.status())
	}
}

func (w *worker) isAway() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.away
}

// carryOut executes commands in order. The lock is held.
func (w *worker) carryOut(orders []wire.Command) {
	if w.removed {
		return
	}
	for i := range orders {
		order := &orders[i]
		at := slices.IndexFunc(w.tasks, func(t *task) bool { return t.Task == order.Task && t.Attempt == order.Attempt })
		switch {
		case order.Verb == wire.CommandStart && at < 0:
			w.begin(order)
		case order.Verb == wire.CommandStop && at >= 0 && !terminal(&w.tasks[at].TaskStatus):
			w.exit(w.tasks[at], wire.CauseStopped)
		case order.Verb == wire.CommandForget && at >= 0 && terminal(&w.tasks[at].TaskStatus):
			w.tasks = slices.Delete(w.tasks, at, at+1)
		}
	}
}

// begin takes a task. The lock is held.
func (w *worker) begin(order *wire.Command) {
	id, number, ok := wire.ParseTaskName(order.Task)
	t := &task{TaskStatus: wire.TaskStatus{Task: order.Task, Attempt: order.Attempt, State: wire.Running}, job: w.host.job(id), number: number}
	w.tasks = append(w.tasks, t)
	w.changed()
	switch {
	case !ok || t.job == nil || number >= t.job.Tasks:
		t.State, t.Cause = wire.Exited, wire.CauseUnknown
		return
	case w.hasOther(t):
		t.State, t.Cause = wire.Exited, wire.CauseBusy
		return
	case w.gpusUsed() > w.machine.GPUs:
		t.State, t.Cause = wire.Exited, wire.CauseNoCapacity
		return
	}
	w.tell(TaskOn, t)
	if t.job.Gang {
		t.State = wire.Waiting
		t.timer = w.after(w.host.gangWait, t, func() { w.exit(t, wire.CauseIncomplete) })
		return
	}
	t.timer = w.after(seconds(t.job.RunS), t, func() { w.complete(t) })
}

// hasOther tells whether another attempt of a task is on the machine. The lock is held.
func (w *worker) hasOther(t *task) bool {
	return slices.ContainsFunc(w.tasks, func(o *task) bool { return o != t && o.Task == t.Task && !terminal(&o.TaskStatus) })
}

// gpusUsed adds up what the tasks on the machine take. The lock is held.
func (w *worker) gpusUsed() float64 {
	used := 0.0
	for _, t := range w.tasks {
		if t.job != nil && !terminal(&t.TaskStatus) {
			used += t.job.GPUs
		}
	}
	return used
}

// after calls f later, with the lock held, unless the task has ended by then.
func (w *worker) after(d time.Duration, t *task, f func()) *time.Timer {
	return time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.removed && !terminal(&t.TaskStatus) {
			f()
		}
	})
}

// run has the tasks of a gang run that is complete.
func (w *worker) run(a *Attempt) {
	w.eachOf(a, func(t *task) {
		if t.State != wire.Waiting {
			return
		}
		t.timer.Stop()
		t.State = wire.Running
		t.timer = w.after(seconds(t.job.RunS), t, func() { w.complete(t) })
		w.changed()
	})
}

// breakUp has the running tasks of a gang notice, some time later, that one is gone.
func (w *worker) breakUp(a *Attempt) {
	w.eachOf(a, func(t *task) {
		if t.State != wire.Running {
			return
		}
		t.timer.Stop()
		delay := time.Duration(w.host.random() * float64(w.host.gangPeer))
		t.timer = w.after(delay, t, func() { w.exit(t, wire.CausePeersGone) })
	})
}

// eachOf calls f, with the lock held, for each task here of an attempt.
func (w *worker) eachOf(a *Attempt, f func(*task)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		if t.job != nil && t.job.ID == a.Job && t.Attempt == a.Attempt {
			f(t)
		}
	}
}

// complete ends a task that has done its work. The lock is held.
func (w *worker) complete(t *task) {
	w.tell(TaskDone, t)
	w.exit(t, wire.Done)
}

// exit ends a task. The lock is held.
func (w *worker) exit(t *task, cause string) {
	w.leave(t)
	t.State, t.Cause = wire.Exited, cause
	w.changed()
}

// leave tells that a task is not here any more, unless it never was or has left before. The
// lock is held.
func (w *worker) leave(t *task) {
	if terminal(&t.TaskStatus) {
		return
	}
	if t.timer != nil {
		t.timer.Stop()
	}
	w.tell(TaskOff, t)
}

func (w *worker) tell(kind string, t *task) {
	w.host.tell(Event{Task: &Task{Kind: kind, Job: t.job.ID, Task: t.number, Attempt: t.Attempt, Machine: w.machine.Name}})
}
