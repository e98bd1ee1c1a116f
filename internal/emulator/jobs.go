package emulator

import (
	"fmt"

	"coralhub/wire"
)

// SubmittedJob is a submission as its user sees it.
type SubmittedJob struct {
	wire.Job
	Cancelled Micros  // when the user was answered that it is cancelled; 0: never
	Asked     bool    // the user has requested its cancellation
	Run       Micros  // how long a task runs
	Steps     Micros  // how much longer each task of an array runs than the one before
	Mistaken  bool    // it fails on every machine
	FetchGBs  float64 // the rate at which its image is fetched, in GB a second; 0: defaultFetchGBs
	Starts    int     // how often its tasks have been started
}

// RunOf is how long the n-th task runs.
func (j *SubmittedJob) RunOf(n int) Micros { return j.Run + Micros(n)*j.Steps }

// CancelledAt is when a user was first answered that a job, or one that it depends on, directly or not,
// is cancelled; 0: never.
func (e *Environment) CancelledAt(id string) Micros {
	first := Micros(0)
	e.eachDependency(id, func(j *SubmittedJob) {
		if j.Cancelled != 0 && (first == 0 || j.Cancelled < first) {
			first = j.Cancelled
		}
	})
	return first
}

// MayBeCancelled reports whether a user has requested the cancellation of a job or of one that it
// depends on, directly or not.
func (e *Environment) MayBeCancelled(id string) bool {
	requested := false
	e.eachDependency(id, func(j *SubmittedJob) { requested = requested || j.Asked })
	return requested
}

// eachDependency calls f for a job and all that it depends on, directly or not, once for each.
func (e *Environment) eachDependency(id string, f func(*SubmittedJob)) {
	seen := map[string]bool{}
	for stack := []string{id}; len(stack) > 0; {
		top := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if j := e.Jobs[top]; j != nil && !seen[top] {
			seen[top] = true
			f(j)
			stack = append(stack, j.Needs...)
		}
	}
}

// On lists where a job's tasks are and in which state; all includes those on machines that hang.
func (e *Environment) On(id string, all bool) []string {
	var out []string
	for _, name := range e.Names() {
		m := e.Machines[name]
		if m.Hang && !all {
			continue
		}
		for _, t := range m.tasks {
			if taskJob, _, _ := wire.ParseTaskName(t.Task); taskJob == id && t.State != wire.Exited {
				out = append(out, fmt.Sprintf("%s.%d %s %s", t.Task, t.Attempt, name, t.State))
			}
		}
	}
	return out
}

// Used is how many GPUs the tasks of a team use.
func (e *Environment) Used(team string) float64 {
	used := 0.0
	for id, j := range e.Jobs {
		if j.Team == team {
			used += j.GPUs * float64(len(e.On(id, true)))
		}
	}
	return used
}

// DoneTasks counts the tasks of a job that have completed.
func (e *Environment) DoneTasks(id string) int { return len(e.done[id]) }

// Done reports whether every task of a job has completed.
func (e *Environment) Done(id string) bool {
	j := e.Jobs[id]
	return j != nil && len(e.done[id]) == j.Tasks
}
