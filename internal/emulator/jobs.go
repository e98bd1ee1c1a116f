package emulator

import "coralhub/wire"

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

// JobRegistry holds what users have submitted, and which tasks have completed.
type JobRegistry struct {
	Jobs map[string]*SubmittedJob
	done map[string]map[int]bool // completed tasks, by job
}

func newJobRegistry() *JobRegistry {
	return &JobRegistry{Jobs: map[string]*SubmittedJob{}, done: map[string]map[int]bool{}}
}

// complete notes that a task has completed.
func (r *JobRegistry) complete(id string, task int) {
	if r.done[id] == nil {
		r.done[id] = map[int]bool{}
	}
	r.done[id][task] = true
}

// CancelledAt is when a user was first answered that a job, or one that it depends on, directly or not,
// is cancelled; 0: never.
func (r *JobRegistry) CancelledAt(id string) Micros {
	first := Micros(0)
	r.eachDependency(id, func(j *SubmittedJob) {
		if j.Cancelled != 0 && (first == 0 || j.Cancelled < first) {
			first = j.Cancelled
		}
	})
	return first
}

// MayBeCancelled reports whether a user has requested the cancellation of a job or of one that it
// depends on, directly or not.
func (r *JobRegistry) MayBeCancelled(id string) bool {
	requested := false
	r.eachDependency(id, func(j *SubmittedJob) { requested = requested || j.Asked })
	return requested
}

// eachDependency calls f for a job and all that it depends on, directly or not, once for each.
func (r *JobRegistry) eachDependency(id string, f func(*SubmittedJob)) {
	seen := map[string]bool{}
	for stack := []string{id}; len(stack) > 0; {
		top := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if j := r.Jobs[top]; j != nil && !seen[top] {
			seen[top] = true
			f(j)
			stack = append(stack, j.Needs...)
		}
	}
}

// DoneTasks counts the tasks of a job that have completed.
func (r *JobRegistry) DoneTasks(id string) int { return len(r.done[id]) }

// Done reports whether every task of a job has completed.
func (r *JobRegistry) Done(id string) bool {
	j := r.Jobs[id]
	return j != nil && len(r.done[id]) == j.Tasks
}
