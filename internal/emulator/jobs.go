package emulator

import "coralhub/wire"

// SubmittedJob is a job as its user submitted it, with the user's request to cancel it and the answer to that,
// and with how its tasks behave on the machines.
type SubmittedJob struct {
	wire.Job
	CancelledAt     Micros  // when the user received the answer that it is cancelled; 0 if never
	CancelRequested bool    // whether the user has requested its cancellation
	RunTime         Micros  // run time of a task
	RunTimeStep     Micros  // difference in run time between consecutive tasks of an array
	AlwaysFails     bool    // whether its tasks fail on every machine
	FetchGBs        float64 // rate at which its image is fetched, in GB per second; 0 is treated as defaultFetchGBs
	Starts          int     // number of starts of its tasks
}

// RunTimeOf returns the run time of the n-th task, counted from 0.
func (j *SubmittedJob) RunTimeOf(n int) Micros { return j.RunTime + Micros(n)*j.RunTimeStep }

// JobRegistry holds the submitted jobs, and which of their tasks have completed.
type JobRegistry struct {
	Jobs map[string]*SubmittedJob
	done map[string]map[int]bool // completed tasks, by job
}

func newJobRegistry() *JobRegistry {
	return &JobRegistry{Jobs: map[string]*SubmittedJob{}, done: map[string]map[int]bool{}}
}

func (r *JobRegistry) complete(id string, task int) {
	if r.done[id] == nil {
		r.done[id] = map[int]bool{}
	}
	r.done[id][task] = true
}

// CancelledAt returns when a user first received the answer that a job, or one that it depends on
// directly or indirectly, is cancelled; 0 if never.
func (r *JobRegistry) CancelledAt(id string) Micros {
	first := Micros(0)
	r.eachDependency(id, func(j *SubmittedJob) {
		if j.CancelledAt != 0 && (first == 0 || j.CancelledAt < first) {
			first = j.CancelledAt
		}
	})
	return first
}

// MayBeCancelled reports whether a user has requested the cancellation of a job or of one that it
// depends on, directly or indirectly.
func (r *JobRegistry) MayBeCancelled(id string) bool {
	requested := false
	r.eachDependency(id, func(j *SubmittedJob) { requested = requested || j.CancelRequested })
	return requested
}

// eachDependency calls f once for a job and once for each job that it depends on, directly or indirectly.
func (r *JobRegistry) eachDependency(id string, f func(*SubmittedJob)) {
	seen := map[string]bool{}
	for stack := []string{id}; len(stack) > 0; {
		top := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if j := r.Jobs[top]; j != nil && !seen[top] {
			seen[top] = true
			f(j)
			stack = append(stack, j.Dependencies...)
		}
	}
}

// DoneTasks returns the number of completed tasks of a job.
func (r *JobRegistry) DoneTasks(id string) int { return len(r.done[id]) }

// Done reports whether every task of a job has completed.
func (r *JobRegistry) Done(id string) bool {
	j := r.Jobs[id]
	return j != nil && len(r.done[id]) == j.Tasks
}
