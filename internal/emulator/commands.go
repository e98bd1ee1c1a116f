package emulator

import (
	"net/http"

	"coralhub/wire"
)

// Commands handles a direct call with commands to a worker and returns the HTTP status and the worker's
// heartbeat. Commands with an older fencing token or for another incarnation are refused.
func (e *Environment) Commands(now Micros, m *Machine, request wire.CommandRequest) (int, wire.Heartbeat) {
	m.observeFencingToken(request.FencingToken)
	if request.FencingToken < m.FencingToken || request.Incarnation != m.Incarnation {
		return http.StatusConflict, m.Status()
	}
	e.execute(now, m, request.Commands)
	return http.StatusOK, m.Status()
}

// execute executes commands in order. One that doesn't apply to the task's state has no effect.
func (e *Environment) execute(now Micros, m *Machine, commands []wire.Command) {
	for _, c := range commands {
		t := m.find(c.Task, c.Attempt)
		switch {
		case c.Verb == wire.CommandStart && t == nil:
			e.start(now, m, c)
		case c.Verb == wire.CommandStop && t != nil && t.State != wire.Exited:
			e.stop(now, m, t, c)
		case c.Verb == wire.CommandForget && t != nil && t.State == wire.Exited:
			m.forget(t)
		}
	}
}

// stop has a task save a checkpoint if it can within the grace of the command, and ends it otherwise.
// A task that saves goes on unless the command gives no grace.
func (e *Environment) stop(now Micros, m *Machine, t *task, c wire.Command) {
	id, _, _ := wire.ParseTaskName(c.Task)
	j := e.Jobs[id]
	if t.State == wire.Running && j.CheckpointS > 0 && c.GraceS != nil && *c.GraceS >= j.SaveS {
		t.fromProgress = e.progress(now, m, t)
		t.State = wire.Saving
		t.stateSince = now
		m.changed = true
		return
	}
	noGrace := c.GraceS == nil || *c.GraceS == 0
	if t.State != wire.Saving || noGrace {
		e.exit(now, m, t, wire.CauseStopped)
	}
}

// start adds a task to a machine, which fetches its image next. A task that is unknown or doesn't fit
// exits at once.
func (e *Environment) start(now Micros, m *Machine, c wire.Command) {
	m.changed = true
	t := &task{TaskStatus: wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.Fetching}, stateSince: now}
	m.tasks = append(m.tasks, t)
	id, n, ok := wire.ParseTaskName(c.Task)
	j := e.Jobs[id]
	if !ok || j == nil || n >= j.Tasks {
		e.exit(now, m, t, wire.CauseUnknown)
		return
	}
	if e.usedGPUs(m) > e.gpusOf(m) {
		e.exit(now, m, t, wire.CauseNoCapacity)
		return
	}
	j.Starts++
	e.checkStart(now, m, t)
}

// usedGPUs is how many GPUs the tasks on a machine use.
func (e *Environment) usedGPUs(m *Machine) float64 {
	used := 0.0
	for _, t := range m.tasks {
		id, _, _ := wire.ParseTaskName(t.Task)
		if j := e.Jobs[id]; j != nil && t.State != wire.Exited {
			used += j.GPUs
		}
	}
	return used
}

// checkStart checks the start of a task against the rules.
func (e *Environment) checkStart(now Micros, m *Machine, t *task) {
	id, _, _ := wire.ParseTaskName(t.Task)
	j := e.Jobs[id]
	for _, need := range j.Needs {
		if !e.Done(need) {
			e.violated(now, "too_early %s before %s", t.Task, need)
		}
	}
	if j.Cancelled != 0 { // no rule of the checker yet, but the protocol says that no task may be started from then on
		e.violated(now, "started_cancelled %s on %s, %d ms after its user was told", t.Task, m.Name, (now-j.Cancelled)/1000)
	}
	zones := e.checkRanTwice(now, m, t)
	outsideZone := j.OneZone && len(zones) > 0 && zones[m.Zone] == 0
	tooMany := j.Spread && zones[m.Zone] >= (j.Tasks+1)/2
	otherZone := j.Zone != "" && j.Zone != m.Zone
	if outsideZone || tooMany || otherZone || m.Spot && !j.Spot {
		e.violated(now, "wrong_place %s on %s", t.Task, m.Name)
	}
}

// checkRanTwice checks that no other attempt of a task that starts is on a machine, and counts the other
// tasks of its job by zone.
func (e *Environment) checkRanTwice(now Micros, m *Machine, t *task) (zones map[string]int) {
	id, n, _ := wire.ParseTaskName(t.Task)
	zones = map[string]int{}
	for _, name := range e.Names() {
		for _, other := range e.Machines[name].tasks {
			otherID, otherN, _ := wire.ParseTaskName(other.Task)
			if other == t || otherID != id || other.State == wire.Exited {
				continue
			}
			zones[e.Machines[name].Zone]++
			if otherN == n {
				e.violated(now, "ran_twice %s on %s and %s", t.Task, m.Name, name)
			}
		}
	}
	return zones
}
