package faulttest

import (
	"net/http"

	"coralhub/internal/emulator"
	"coralhub/internal/invariants"
	"coralhub/wire"
)

// never stands for the time of an event that has not happened.
const never = -1

// jobOutcome is the outcome of a job according to the history. Times are in seconds since the run began, or
// never.
type jobOutcome struct {
	planned        *plannedJob
	submitted      float64
	accepted       float64
	started        float64 // when the number of started tasks reached tasksToStart
	done           float64
	startedTasks   map[int]bool
	doneTasks      map[int]bool
	replicaSeconds float64 // total time of all tasks on machines
	cancelled      bool
}

// outcomeRecorder derives the outcome of each job from the events of a run.
type outcomeRecorder struct {
	scenario  *Scenario
	runStart  emulator.Micros // when the run began
	outcomes  map[string]*jobOutcome
	startedAt map[string]map[int]float64 // start times of the tasks that are on a machine, by job and task
}

// jobOutcomes derives the outcomes of all planned jobs from the history of a run, which began at from and
// ended end seconds later.
func jobOutcomes(
	s *Scenario, jobs []plannedJob, events []invariants.Event, from emulator.Micros, end float64,
) map[string]*jobOutcome {
	rec := &outcomeRecorder{
		scenario:  s,
		runStart:  from,
		outcomes:  map[string]*jobOutcome{},
		startedAt: map[string]map[int]float64{},
	}
	for i := range jobs {
		rec.outcomes[jobs[i].job.ID] = &jobOutcome{
			planned:      &jobs[i],
			submitted:    never,
			accepted:     never,
			started:      never,
			done:         never,
			startedTasks: map[int]bool{},
			doneTasks:    map[int]bool{},
		}
	}
	for i := range events {
		rec.observe(&events[i])
	}
	rec.countRunningTasks(end)
	return rec.outcomes
}

func (rec *outcomeRecorder) observe(e *invariants.Event) {
	o := rec.outcomes[e.Job]
	if o == nil {
		return
	}
	at := inSeconds(e.At - rec.runStart)
	switch e.Kind {
	case invariants.JobSubmitted:
		o.submitted = at
	case invariants.Answered:
		o.answered(e, at)
	case invariants.TaskStarted:
		rec.taskStarted(o, e, at)
	case invariants.TaskStopped:
		if since, ok := rec.startedAt[e.Job][e.Task]; ok {
			o.replicaSeconds += at - since
			delete(rec.startedAt[e.Job], e.Task)
		}
	case invariants.TaskDone:
		o.doneTasks[e.Task] = true
		if len(o.doneTasks) == o.planned.job.Tasks {
			o.done = at
		}
	}
}

func (o *jobOutcome) answered(e *invariants.Event, at float64) {
	if !isSuccess(e.Status) {
		return
	}
	if o.accepted < 0 {
		o.accepted = at
	}
	o.cancelled = o.cancelled || e.JobStatus == wire.Cancelled
}

func (rec *outcomeRecorder) taskStarted(o *jobOutcome, e *invariants.Event, at float64) {
	o.startedTasks[e.Task] = true
	if o.started < 0 && len(o.startedTasks) >= rec.scenario.tasksToStart(o.planned) {
		o.started = at
	}
	if rec.startedAt[e.Job] == nil {
		rec.startedAt[e.Job] = map[int]float64{}
	}
	rec.startedAt[e.Job][e.Task] = at
}

// countRunningTasks adds the replica seconds of the tasks that are still on machines at the end of the run.
func (rec *outcomeRecorder) countRunningTasks(end float64) {
	for id, tasks := range rec.startedAt {
		for _, since := range tasks {
			rec.outcomes[id].replicaSeconds += end - since
		}
	}
}

// tasksToStart returns how many tasks of a job must have started for the job to count as started: all of
// them, or for an array or a service at most as many as the team's GPU quota allows at a time.
func (s *Scenario) tasksToStart(p *plannedJob) int {
	n := p.job.Tasks
	if limit := s.Deploy.TeamGPUs; limit > 0 && p.job.GPUs > 0 && p.class.Shape != shapeGang {
		n = min(n, int(limit/p.job.GPUs))
	}
	return max(n, 1)
}

// isSuccess reports whether an HTTP status means that the request was accepted.
func isSuccess(status int) bool {
	return status == http.StatusOK || status == http.StatusCreated
}
