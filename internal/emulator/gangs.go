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

// gangs starts and ends the gangs.
type gangs struct {
	cloud    *Cloud
	jobs     *JobRegistry
	tasks    *TaskRunner
	progress *progress
}

// advance starts gangs that are complete, and ends those that are done or have lost a task, be it
// only to a machine that hangs.
func (g *gangs) advance(now Micros) {
	for _, members := range g.members() {
		g.advanceGang(now, members)
	}
}

// members returns the tasks of each attempt of a gang that have not exited.
func (g *gangs) members() map[string][]gangMember {
	members := map[string][]gangMember{}
	for _, name := range g.cloud.Names() {
		m := g.cloud.Machines[name]
		for _, t := range m.tasks {
			id, _, _ := wire.ParseTaskName(t.Task)
			if j := g.jobs.Jobs[id]; j != nil && j.Shape == wire.Gang && t.State != wire.Exited {
				key := fmt.Sprint(id, " ", t.Attempt)
				members[key] = append(members[key], gangMember{m, t})
			}
		}
	}
	return members
}

func (g *gangs) advanceGang(now Micros, members []gangMember) {
	id, _, _ := wire.ParseTaskName(members[0].task.Task)
	j := g.jobs.Jobs[id]
	waiting, running, progress := g.progressOf(now, members)
	for _, member := range members {
		m, t := member.machine, member.task
		switch {
		case m.Hang:
		case waiting == j.Tasks:
			g.tasks.run(now, m, t, j, 0)
		case running == j.Tasks && progress >= j.Run:
			g.tasks.complete(now, m, t)
		case running > 0 && running < j.Tasks && t.State == wire.Running:
			g.tasks.exit(now, m, t, wire.CausePeersGone)
		}
	}
}

// progressOf counts the members that wait and that run on machines which don't hang, and returns how
// far the gang has come.
func (g *gangs) progressOf(now Micros, members []gangMember) (waiting, running int, progress Micros) {
	for _, member := range members {
		switch {
		case member.machine.Hang:
		case member.task.State == wire.Waiting:
			waiting++
		case member.task.State == wire.Running:
			running++
			own := g.progress.of(now, member.machine, member.task)
			// With a model the slowest member counts; without one all have started at the same time.
			if running == 1 || own < progress || g.cloud.Model == nil {
				progress = own
			}
		}
	}
	return waiting, running, progress
}
