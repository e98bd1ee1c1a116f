package emulator

import (
	"fmt"

	"coralhub/wire"
)

// gangMember is a task of a gang and its machine.
type gangMember struct {
	machine *Machine
	task    *task
}

// advanceGangs starts gangs that are complete, and ends those that are done or have lost a task, be it
// only to a machine that hangs.
func (e *Environment) advanceGangs(now Micros) {
	for _, members := range e.gangs() {
		e.advanceGang(now, members)
	}
}

// gangs returns the tasks of each attempt of a gang that have not exited.
func (e *Environment) gangs() map[string][]gangMember {
	gangs := map[string][]gangMember{}
	for _, name := range e.Names() {
		m := e.Machines[name]
		for _, t := range m.tasks {
			id, _, _ := wire.ParseTaskName(t.Task)
			if j := e.Jobs[id]; j != nil && j.Shape == wire.Gang && t.State != wire.Exited {
				key := fmt.Sprint(id, " ", t.Attempt)
				gangs[key] = append(gangs[key], gangMember{m, t})
			}
		}
	}
	return gangs
}

func (e *Environment) advanceGang(now Micros, members []gangMember) {
	id, _, _ := wire.ParseTaskName(members[0].task.Task)
	j := e.Jobs[id]
	waiting, running, progress := e.gangProgress(now, members)
	for _, member := range members {
		m, t := member.machine, member.task
		switch {
		case m.Hang:
		case waiting == j.Tasks:
			e.run(now, m, t, j, 0)
		case running == j.Tasks && progress >= j.Run:
			e.complete(now, m, t)
		case running > 0 && running < j.Tasks && t.State == wire.Running:
			e.exit(now, m, t, wire.CausePeersGone)
		}
	}
}

// gangProgress counts the members that wait and that run on machines which don't hang, and returns how
// far the gang has come.
func (e *Environment) gangProgress(now Micros, members []gangMember) (waiting, running int, progress Micros) {
	for _, member := range members {
		switch {
		case member.machine.Hang:
		case member.task.State == wire.Waiting:
			waiting++
		case member.task.State == wire.Running:
			running++
			own := e.progress(now, member.machine, member.task)
			// With a model the slowest member counts; without one all have started at the same time.
			if running == 1 || own < progress || e.Model == nil {
				progress = own
			}
		}
	}
	return waiting, running, progress
}
