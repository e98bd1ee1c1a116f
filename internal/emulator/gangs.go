package emulator

import (
	"fmt"

	"coralhub/wire"
)

// gangMember is an attempt of a gang's task and the machine that it is on.
type gangMember struct {
	machine *Machine
	task    *task
}

type gangs struct {
	cloud    *Cloud
	jobs     *JobRegistry
	tasks    *TaskRunner
	progress *progress
}

// advance starts gangs that are complete, and ends gangs that are done or have lost a task. A task on a
// machine that hangs counts as lost.
func (g *gangs) advance(now Micros) {
	for _, members := range g.members() {
		g.advanceGang(now, members)
	}
}

// members returns the tasks of gangs that have not exited, by job and attempt.
func (g *gangs) members() map[string][]gangMember {
	members := map[string][]gangMember{}
	for _, name := range g.cloud.MachineNames() {
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
	waiting, running, progress := g.summarize(now, members)
	for _, member := range members {
		m, t := member.machine, member.task
		switch {
		case m.Hanging:
		case waiting == j.Tasks:
			g.tasks.run(now, m, t, j, 0)
		case running == j.Tasks && progress >= j.RunTime:
			g.tasks.complete(now, m, t)
		case running > 0 && running < j.Tasks && t.State == wire.Running:
			g.tasks.exit(now, m, t, wire.CausePeerStopped)
		}
	}
}

// summarize counts the waiting and the running members on machines that don't hang, and returns the
// progress of the gang.
func (g *gangs) summarize(now Micros, members []gangMember) (waiting, running int, progress Micros) {
	for _, member := range members {
		switch {
		case member.machine.Hanging:
		case member.task.State == wire.Waiting:
			waiting++
		case member.task.State == wire.Running:
			running++
			own := g.progress.current(now, member.machine, member.task)
			// With a model the slowest member determines the progress; without one all started at the same time.
			if running == 1 || own < progress || g.cloud.Model == nil {
				progress = own
			}
		}
	}
	return waiting, running, progress
}
